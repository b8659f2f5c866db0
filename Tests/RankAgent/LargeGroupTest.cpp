#include "SimulatedEngines.h"
#include "SimulatedNetwork.h"

#include "RankGroup/GroupPlanner.h"
#include "RankGroup/RankDriver.h"

#include <gtest/gtest.h>

namespace corneldeck::tests {

namespace {

constexpr GroupShape LargeShape{63, 8, 252, 5, 2};
constexpr base::Millis ReportInterval{100};
constexpr base::Millis CommandRepeatInterval{400};

/// The agents of a rank group on links of 8 Mbit/s. The agent of rank 0 is the
/// planner.
class SimulatedAgents {
public:
  explicit SimulatedAgents(GroupShape Shape)
      : m_Engines(Shape, 1),
        m_Network(Shape.m_Ranks, {},
                  [this](std::size_t Vm, const std::string &Bytes) {
                    onDatagram(Vm, Bytes);
                  }),
        m_Drivers(Shape.m_Ranks), m_Trackers(Shape.m_Ranks) {
    rankgroup::PlannerSettings Settings;
    Settings.m_LayerSets = Shape.m_Sets;
    Settings.m_Experts = Shape.m_Experts;
    Settings.m_Placement.m_SlotsPerRank = Shape.m_SlotsPerRank;
    Settings.m_Placement.m_MaxNewPerRank = Shape.m_MaxNewPerRank;
    m_Planner = std::make_unique<rankgroup::GroupPlanner>("group", "0", 1,
                                                          Settings, m_Events);
    wire::RankCommand Announcement;
    Announcement.set_group("group");
    Announcement.set_planner("0");
    Announcement.set_planner_term(1);
    for (rankgroup::RankDriver &Each : m_Drivers)
      Each.acceptCommand(Announcement, m_Now);
  }

  void run(base::Millis Duration) {
    for (const base::Millis End = m_Now + Duration; m_Now < End;) {
      m_Now += base::Millis(1);
      m_Engines.advance(m_Now);
      m_Network.advance(m_Now);
      for (std::uint32_t Rank = 0; Rank < m_Drivers.size(); ++Rank)
        tickAgent(Rank);
      tickPlanner();
    }
  }

  SimulatedEngines &engines() { return m_Engines; }

private:
  void onDatagram(std::size_t Vm, const std::string &Bytes) {
    wire::Datagram Message;
    ASSERT_TRUE(Message.ParseFromString(Bytes));
    if (Message.has_command())
      m_Drivers[Vm].acceptCommand(Message.command(), m_Now);
    if (Message.has_report())
      m_Planner->onReport(Message.report(), m_Now);
  }

  void tickAgent(std::uint32_t Rank) {
    rankgroup::RankDriver &Driver = m_Drivers[Rank];
    Driver.updateState(m_Engines.state(Rank, m_Now));
    if (const auto Order =
            Driver.nextOrder(m_Now, m_Engines.shape().m_Experts)) {
      Driver.onOrderResult(m_Engines.order(Rank, *Order, m_Now), m_Now);
      Driver.updateState(m_Engines.state(Rank, m_Now));
    }
    if ((m_Now.count() + Rank) % ReportInterval.count() != 0)
      return;
    wire::Datagram Message;
    wire::RankReport &Report = *Message.mutable_report();
    Driver.fillReport(Report);
    Report.set_agent(std::to_string(Rank));
    for (const auto &Set : m_Engines.experts(Rank).m_ExpertsBySet) {
      Report.add_held(static_cast<std::uint32_t>(Set.size()));
      for (const std::uint32_t Each : Set)
        Report.add_held(Each);
    }
    for (const std::uint64_t Each :
         m_Trackers[Rank].update(m_Engines.counts(Rank)))
      Report.add_chosen(Each);
    m_Network.send(Rank, 0, Message.SerializeAsString(), m_Now);
  }

  void tickPlanner() {
    const bool Repeat = m_Now.count() % CommandRepeatInterval.count() == 0;
    for (const wire::RankCommand &Each : m_Planner->tick(m_Now, Repeat)) {
      wire::Datagram Message;
      *Message.mutable_command() = Each;
      m_Network.send(0, Each.rank(), Message.SerializeAsString(), m_Now);
    }
  }

  base::Millis m_Now{1000};
  base::Timeline m_Events{"test", 100};
  SimulatedEngines m_Engines;
  SimulatedNetwork m_Network;
  std::vector<rankgroup::RankDriver> m_Drivers;
  std::vector<rankgroup::ExpertCountTracker> m_Trackers;
  std::unique_ptr<rankgroup::GroupPlanner> m_Planner;
};

} // namespace

// Guards against commands to a large group that exceed the queue of the
// planner's link, so that some ranks never receive new maps.
TEST(LargeGroup, AllRanksReceiveNewMapsOverSlowLinks) {
  SimulatedAgents Agents(LargeShape);
  Agents.run(base::seconds(4));
  EXPECT_EQ(Agents.engines().preparedRanks(), LargeShape.m_Ranks);
  EXPECT_GE(Agents.engines().switches(), 1U);
  EXPECT_FALSE(Agents.engines().hasMixedMaps());
}

} // namespace corneldeck::tests

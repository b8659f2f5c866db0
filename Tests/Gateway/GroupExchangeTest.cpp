#include "Gateway/GroupExchange.h"

#include "Fleet/FleetSummary.h"

#include <gtest/gtest.h>

namespace corneldeck::gateway {

namespace {

/// Returns settings with the estimate that all releases exchange.
direct::ConcurrencyLimiterSettings smoothed() {
  direct::ConcurrencyLimiterSettings Settings;
  Settings.m_Estimate = direct::PassTimeEstimate::Smoothed;
  return Settings;
}

direct::ConcurrencyLimiterSettings distribution() {
  direct::ConcurrencyLimiterSettings Settings;
  Settings.m_Estimate = direct::PassTimeEstimate::Distribution;
  return Settings;
}

direct::EngineProfile engine() {
  direct::EngineProfile Engine;
  Engine.m_Capacity = 10;
  Engine.m_StepMillis = 5;
  Engine.m_StepMillisPerRequest = 0.43;
  Engine.m_StepsPerPass = 6;
  return Engine;
}

class GroupExchangeTest : public ::testing::Test {
protected:
  /// Returns the heartbeat of the agent beside the server at \p Address.
  static wire::FleetBeat agent(const std::string &Address,
                               const std::string &Group, bool IsOpen = true,
                               std::uint64_t Epoch = 1) {
    wire::FleetBeat Beat;
    Beat.mutable_sender()->set_node("agent of " + Address);
    wire::GroupNews &News = *Beat.mutable_group();
    News.set_service("s");
    News.set_group(Group);
    News.set_epoch(Epoch);
    News.set_open(IsOpen);
    News.set_server_address(Address);
    return Beat;
  }

  /// Returns the summary of a relay that received \p Beats.
  static wire::FleetSummary summary(const std::vector<wire::FleetBeat> &Beats) {
    fleet::SummarySum Zone;
    for (const wire::FleetBeat &Each : Beats)
      Zone.addAgent(Each.group());
    wire::FleetSummary Partial;
    Zone.write(Partial);
    fleet::SummarySum All;
    All.addSummary(Partial, base::Millis(50));
    wire::FleetSummary Total;
    All.write(Total);
    return Total;
  }

  std::string groupOf(const std::string &Address) const {
    return m_Groups.groupOf("s", direct::RankGroups::addressHash(Address));
  }

  unsigned loggedChanges() const {
    unsigned Count = 0;
    for (const base::TimelineEvent &Each : m_Logged)
      Count += Each.m_Id == base::EventId::GroupServersChanged ? 1 : 0;
    return Count;
  }

  void SetUp() override {
    m_Events.setSink(
        [this](const base::TimelineEvent &Each) { m_Logged.push_back(Each); });
  }

  std::vector<base::TimelineEvent> m_Logged;
  direct::ServerPool m_Pool{"z"};
  direct::RankGroups &m_Groups = m_Pool.groups();
  direct::GroupAvailability m_Availability;
  direct::ConcurrencyLimiter m_Limiter{smoothed()};
  direct::GroupCapacity m_Capacity{m_Pool, m_Limiter, m_Availability};
  base::Timeline m_Events{"e", 16};
  metrics::Registry m_Metrics;
  int m_Changes = 0;
  GroupExchange m_Exchange{
      {m_Groups, m_Availability, m_Limiter, m_Events, m_Metrics},
      [this] { ++m_Changes; }};
  base::Millis m_Now = base::seconds(10);
};

} // namespace

TEST_F(GroupExchangeTest, DirectHeartbeatsNameTheServersOfAGroup) {
  m_Exchange.handleAgent(agent("10.0.0.1:80", "g"), m_Now);
  m_Exchange.handleAgent(agent("10.0.0.2:80", "h"), m_Now);
  EXPECT_EQ(groupOf("10.0.0.1:80"), "g");
  EXPECT_EQ(groupOf("10.0.0.2:80"), "h");
}

TEST_F(GroupExchangeTest, SummariesNameTheServersOfAGroup) {
  m_Exchange.handleSummary(
      "all",
      summary({agent("10.0.0.1:80", "g"), agent("10.0.0.2:80", "h"),
               agent("10.0.0.3:80", "h")}),
      m_Now);
  EXPECT_EQ(groupOf("10.0.0.1:80"), "g");
  EXPECT_EQ(groupOf("10.0.0.2:80"), "h");
  EXPECT_EQ(groupOf("10.0.0.3:80"), "h");
}

// Failure: an agent of an earlier release, which sends no address.
TEST_F(GroupExchangeTest, AServerWithoutAnAddressInItsReportHasNoKnownGroup) {
  m_Exchange.handleAgent(agent("10.0.0.1:80", "g"), m_Now);
  m_Exchange.handleAgent(agent("10.0.0.2:80", "h"), m_Now);
  wire::FleetBeat Earlier = agent("10.0.0.3:80", "h");
  Earlier.mutable_group()->clear_server_address();
  m_Exchange.handleAgent(Earlier, m_Now);
  m_Exchange.handleSummary("all", summary({Earlier}), m_Now);
  EXPECT_EQ(groupOf("10.0.0.3:80"), "");
}

// Failure: of the groups in a summary, only the last one counted, so that a
// service was unavailable while another of its groups was open.
TEST_F(GroupExchangeTest, AnOpenGroupInASummaryKeepsTheServiceAvailable) {
  m_Exchange.handleSummary("all",
                           summary({agent("10.0.0.1:80", "g", true),
                                    agent("10.0.0.2:80", "h", false)}),
                           m_Now);
  EXPECT_EQ(m_Changes, 0);
  EXPECT_FALSE(m_Availability.outageDuration("s", m_Now));
  m_Exchange.handleSummary("all",
                           summary({agent("10.0.0.1:80", "g", false),
                                    agent("10.0.0.2:80", "h", false)}),
                           m_Now);
  EXPECT_EQ(m_Changes, 1);
  EXPECT_TRUE(m_Availability.outageDuration("s", m_Now));
}

// Failure: the agents that knew of the latest epoch were counted, but the
// servers of those that did not were lost or named twice.
TEST_F(GroupExchangeTest, ASummaryNamesTheServersOfTheLatestEpochOnce) {
  fleet::SummarySum Sum;
  Sum.addAgent(agent("10.0.0.1:80", "g", true, 1).group());
  Sum.addAgent(agent("10.0.0.2:80", "g", true, 2).group());
  Sum.addAgent(agent("10.0.0.2:80", "g", true, 2).group());
  wire::FleetSummary Summary;
  Sum.write(Summary);
  ASSERT_EQ(Summary.groups_size(), 1);
  ASSERT_EQ(Summary.groups(0).servers_size(), 1);
  EXPECT_EQ(Summary.groups(0).servers(0),
            direct::RankGroups::addressHash("10.0.0.2:80"));
}

// Load: a group of 24 agents that starts. One line for each agent would fill
// the log.
TEST_F(GroupExchangeTest, ChangesOfAGroupAreLoggedOnceASecond) {
  constexpr int Agents = 24;
  for (int Index = 0; Index < Agents; ++Index) {
    m_Exchange.handleAgent(
        agent("10.0.0." + std::to_string(Index) + ":80", "g"), m_Now);
    m_Exchange.update(nullptr, m_Capacity, m_Now);
    m_Now += base::Millis(10);
  }
  EXPECT_EQ(loggedChanges(), 1U);
  m_Now += base::seconds(1);
  m_Exchange.update(nullptr, m_Capacity, m_Now);
  EXPECT_EQ(loggedChanges(), 2U);
  m_Exchange.update(nullptr, m_Capacity, m_Now + base::seconds(4));
  EXPECT_EQ(loggedChanges(), 3U);
  EXPECT_TRUE(m_Groups.sizes().empty());
}

// Failure: the ratios of the groups were mixed on their way through heartbeats
// and relays, or that of an entry of an earlier release, which sends no group,
// was lost.
TEST_F(GroupExchangeTest, RatiosAreExchangedByGroup) {
  const direct::EngineProfile Engine = engine();
  m_Exchange.handleAgent(agent("10.0.0.1:80", "g"), m_Now);
  m_Exchange.handleAgent(agent("10.0.0.2:80", "h"), m_Now);
  // A ratio of three in one group only.
  for (int Count = 0; Count < 8000; ++Count) {
    m_Limiter.recordInterval({"s", "g"}, Engine, base::Millis(56), 10, m_Now);
    m_Limiter.recordInterval({"s", "h"}, Engine, base::Millis(167), 10, m_Now);
  }
  wire::FleetBeat Beat;
  m_Exchange.fillHeartbeat(Beat);
  ASSERT_EQ(Beat.stretches_size(), 2);
  const auto ExpectLimits = [&] {
    EXPECT_GT(m_Limiter.limit({"s", "g"}, Engine, base::Millis(120)), 9);
    EXPECT_LT(m_Limiter.limit({"s", "h"}, Engine, base::Millis(120)), 6);
  };
  m_Limiter = direct::ConcurrencyLimiter(smoothed());
  m_Exchange.handleRatios(Beat);
  ExpectLimits();
  fleet::SummarySum Sum;
  Sum.addEntry(Beat, {});
  Sum.addEntry(Beat, {});
  wire::FleetSummary Summary;
  Sum.write(Summary);
  m_Limiter = direct::ConcurrencyLimiter(smoothed());
  m_Exchange.handleSummary("all", Summary, m_Now);
  ExpectLimits();
  wire::FleetBeat Earlier;
  *Earlier.add_stretches() = Beat.stretches(1);
  Earlier.mutable_stretches(0)->clear_group();
  m_Limiter = direct::ConcurrencyLimiter(smoothed());
  m_Exchange.handleRatios(Earlier);
  for (const char *Group : {"g", "h"})
    EXPECT_LT(m_Limiter.limit({"s", Group}, Engine, base::Millis(120)), 6);
}

// Failure: the distributions of the groups were mixed or lost on their way
// through heartbeats and relays, or added to those that were received before.
TEST_F(GroupExchangeTest, DistributionsAreExchangedByGroup) {
  m_Exchange.handleAgent(agent("10.0.0.1:80", "g"), m_Now);
  m_Exchange.handleAgent(agent("10.0.0.2:80", "h"), m_Now);
  m_Limiter = direct::ConcurrencyLimiter(distribution());
  // Ratios of 1 and 2.4.
  for (int Count = 0; Count < 100; ++Count) {
    m_Limiter.recordInterval({"s", "g"}, engine(), base::Millis(56), 10, m_Now);
    m_Limiter.recordInterval({"s", "h"}, engine(), base::Millis(134), 10,
                             m_Now);
    m_Limiter.recordStream({"s", "h"}, 2.4);
  }
  wire::FleetBeat Beat;
  m_Exchange.fillHeartbeat(Beat);
  fleet::SummarySum Sum;
  Sum.addEntry(Beat, {});
  Sum.addEntry(Beat, {});
  wire::FleetSummary Partial;
  Sum.write(Partial);
  fleet::SummarySum Whole;
  Whole.addSummary(Partial, {});
  wire::FleetSummary Summary;
  Whole.write(Summary);
  const auto ExpectLimits = [&] {
    EXPECT_DOUBLE_EQ(m_Limiter.limit({"s", "g"}, engine(), base::Millis(120)),
                     10);
    EXPECT_LT(m_Limiter.limit({"s", "h"}, engine(), base::Millis(120)), 7.8);
  };

  m_Limiter = direct::ConcurrencyLimiter(distribution());
  m_Exchange.handleRatios(Beat);
  m_Exchange.handleRatios(Beat);
  ExpectLimits();
  m_Limiter = direct::ConcurrencyLimiter(distribution());
  m_Exchange.handleSummary("all", Summary, m_Now);
  ExpectLimits();
  ASSERT_EQ(Summary.stretches_size(), 2);
  std::uint32_t Total = 0;
  for (const std::uint32_t Each : Summary.stretches(1).stream_counts())
    Total += Each;
  EXPECT_EQ(Total, 2U * 100 * 16);
}

} // namespace corneldeck::gateway

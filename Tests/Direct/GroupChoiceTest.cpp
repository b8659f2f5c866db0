#include "Direct/GroupCapacity.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Target{120};

/// Returns settings with the estimate that depends on the number of intervals
/// and not on their times.
ConcurrencyLimiterSettings smoothed() {
  ConcurrencyLimiterSettings Settings;
  Settings.m_Estimate = PassTimeEstimate::Smoothed;
  return Settings;
}
constexpr int Ranks = 4;

EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = 10;
  Engine.m_StepMillis = 5;
  Engine.m_StepMillisPerRequest = 0.43;
  Engine.m_StepsPerPass = 6;
  return Engine;
}

/// Entries that know three rank groups of four servers each.
class GroupChoiceTest : public ::testing::Test {
protected:
  GroupChoiceTest() {
    for (const char *Group : {"f", "g", "h"})
      for (int Rank = 0; Rank < Ranks; ++Rank) {
        BackendServer Added;
        Added.m_Id = Group + std::to_string(Rank);
        Added.m_Service = "s";
        Added.m_Address = Added.m_Id + ":80";
        Added.m_Capacity = 10;
        m_Servers.push_back(Added);
      }
    prepare(m_Pool);
    m_Pool.setGroupRating(
        [this](const RankGroup &Group, const GroupLoad &Load) {
          return m_Capacity.rate(Group, Load, &m_Engine, Target, m_Now);
        });
  }

  void prepare(ServerPool &Pool) const {
    Pool.replaceServers(m_Servers, m_Now);
    for (const BackendServer &Each : m_Servers)
      Pool.groups().update("s", groupOf(Each.m_Id),
                           {RankGroups::addressHash(Each.m_Address)}, m_Now);
  }

  static std::string groupOf(const std::string &Id) { return Id.substr(0, 1); }

  std::string pick(const std::vector<std::string> &Excluded = {}) {
    return m_Pool.chooseServer("s", Excluded, m_Now, m_Rng)->m_Id;
  }

  /// Starts requests one after the other.
  /// \returns their number by group.
  std::map<std::string, int> start(int Requests) {
    std::map<std::string, int> Chosen;
    for (int Count = 0; Count < Requests; ++Count) {
      const std::string Id = pick();
      m_Pool.attemptStarted(Id, 0, m_Now);
      ++Chosen[groupOf(Id)];
    }
    return Chosen;
  }

  /// Records intervals of a group without requests.
  void record(const char *Id, base::Millis Interval) {
    for (int Count = 0; Count < 8000; ++Count)
      m_Capacity.recordInterval("s", Id, engine(), Interval, m_Now);
  }

  base::Millis m_Now = base::seconds(10);
  base::Random m_Rng{7};
  EngineProfile m_Engine = engine();
  std::vector<BackendServer> m_Servers;
  ServerPool m_Pool{""};
  ConcurrencyLimiter m_Limiter{smoothed()};
  GroupAvailability m_Availability;
  GroupCapacity m_Capacity{m_Pool, m_Limiter, m_Availability};
};

} // namespace

// Load: equal groups. All requests at one group would lengthen its passes.
TEST_F(GroupChoiceTest, EqualGroupsGetEqualShares) {
  for (const auto &[Group, Requests] : start(60))
    EXPECT_NEAR(Requests, 20, 1) << Group;
}

// Load: one slow group of three, whose free ranks attracted as many requests as
// those of the others.
TEST_F(GroupChoiceTest, ASlowGroupGetsFewerRequests) {
  record("f0", base::Millis(31));
  record("g0", base::Millis(31));
  record("h0", base::Millis(93));
  const auto Chosen = start(60);
  EXPECT_LT(Chosen.count("h") > 0 ? Chosen.at("h") : 0, 10);
  EXPECT_NEAR(Chosen.at("f"), Chosen.at("g"), 2);
}

// Load: all groups at their limits. None takes more than its part.
TEST_F(GroupChoiceTest, GroupsReachTheirLimitsTogether) {
  record("f0", base::Millis(31));
  record("g0", base::Millis(31));
  record("h0", base::Millis(93));
  const double Slow = m_Limiter.limit({"s", "h"}, m_Engine, Target);
  ASSERT_LT(Slow, 6);
  const int All = static_cast<int>(Ranks * (20 + Slow));
  const auto Chosen = start(All);
  EXPECT_NEAR(Chosen.at("h"), Ranks * Slow, 5);
}

// Load: within a group, the requests go to the least loaded rank.
TEST_F(GroupChoiceTest, TheLeastLoadedRankOfTheGroupIsChosen) {
  for (const char *Each : {"g0", "g1", "g3", "f0", "f1", "f2", "f3"})
    for (int Count = 0; Count < 6; ++Count)
      m_Pool.attemptStarted(Each, 0, m_Now);
  for (const char *Each : {"h0", "h1", "h2", "h3"})
    for (int Count = 0; Count < 6; ++Count)
      m_Pool.attemptStarted(Each, 0, m_Now);
  EXPECT_EQ(pick(), "g2");
}

// Failure: a closed group without requests looked like the best one.
TEST_F(GroupChoiceTest, AClosedGroupIsNotChosen) {
  m_Availability.update("a", {"s", "h", 1, false, Ranks}, m_Now);
  EXPECT_FALSE(start(40).contains("h"));
}

// Failure: all ranks of a group break off their responses. With the fewest
// requests in flight the group attracted all of them.
TEST_F(GroupChoiceTest, AFailingGroupIsAvoided) {
  for (const char *Each : {"h0", "h1", "h2", "h3"})
    for (int Count = 0; Count < 3; ++Count)
      m_Pool.recordOutcome(Each, ServerOutcome::Failed, {}, m_Now);
  EXPECT_FALSE(start(30).contains("h"));
}

// Failure: all groups were reported as closed by agents that are cut off. A
// request in flight has to be retried somewhere.
TEST_F(GroupChoiceTest, AServerIsLeftIfAllGroupsAreClosed) {
  for (const char *Each : {"f", "g", "h"})
    m_Availability.update(Each, {"s", Each, 1, false, Ranks}, m_Now);
  EXPECT_NE(m_Pool.chooseServer("s", {}, m_Now, m_Rng), nullptr);
}

// Failure: the ranks of the best group have all been tried.
TEST_F(GroupChoiceTest, ARetryGoesToAnotherGroup) {
  for (const char *Each : {"f0", "f1", "f2", "f3", "g0", "g1", "g2", "g3"})
    m_Pool.attemptStarted(Each, 0, m_Now);
  EXPECT_NE(groupOf(pick({"h0", "h1", "h2", "h3"})), "h");
}

// Load: 30 entries with the same reports. All chose the group, or the rank,
// that had the fewest requests by them.
TEST_F(GroupChoiceTest, EntriesWithTheSameReportsSpreadOverGroups) {
  constexpr int Entries = 30;
  constexpr int Rounds = 5;
  std::map<std::string, int> Chosen;
  for (int Entry = 0; Entry < Entries; ++Entry) {
    ServerPool Pool("");
    prepare(Pool);
    ServerLoads Loads;
    for (const BackendServer &Each : m_Servers)
      Loads[Each.m_Id] = {groupOf(Each.m_Id) == "h" ? 4U : 5U, 0};
    Pool.setPeerLoads("all", Loads, m_Now - base::Millis(300), Entries - 1);
    // Its own traffic is what it expects of the others.
    for (int Count = 0; Count < Rounds; ++Count) {
      Pool.attemptStarted("f0", 0, m_Now);
      Pool.attemptEnded("f0", 0);
    }
    ++Chosen[groupOf(Pool.chooseServer("s", {}, m_Now, m_Rng)->m_Id)];
  }
  EXPECT_LT(Chosen["h"], 20);
  EXPECT_GT(Chosen["h"], 8);
  EXPECT_GT(Chosen["f"], 3);
  EXPECT_GT(Chosen["g"], 3);
}

} // namespace corneldeck::direct

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

EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = 10;
  Engine.m_StepMillis = 5;
  Engine.m_StepMillisPerRequest = 0.43;
  Engine.m_StepsPerPass = 6;
  return Engine;
}

/// Two rank groups of two servers each.
class GroupCapacityTest : public ::testing::Test {
protected:
  GroupCapacityTest() {
    std::vector<BackendServer> Servers;
    for (const char *Id : {"g0", "g1", "h0", "h1"}) {
      BackendServer Added;
      Added.m_Id = Id;
      Added.m_Service = "s";
      Added.m_Address = addressOf(Id);
      Added.m_Capacity = 10;
      Servers.push_back(Added);
    }
    m_Pool.replaceServers(Servers, m_Now);
  }

  static std::string addressOf(const std::string &Id) { return Id + ":80"; }

  void report(const std::string &Group, std::initializer_list<const char *> Ids,
              bool IsOpen = true) {
    std::vector<std::uint32_t> Servers;
    for (const char *Each : Ids)
      Servers.push_back(RankGroups::addressHash(addressOf(Each)));
    m_Pool.groups().update("s", Group, Servers, m_Now);
    m_Availability.update(Group, {"s", Group, 1, IsOpen, 2}, m_Now);
  }

  void divide(bool IsSecondOpen = true) {
    report("g", {"g0", "g1"});
    report("h", {"h0", "h1"}, IsSecondOpen);
  }

  void start(const char *Id, int Requests) {
    for (int Count = 0; Count < Requests; ++Count)
      m_Pool.attemptStarted(Id, 0, m_Now);
  }

  /// Records many intervals of streams of a server.
  void record(const char *Id, base::Millis Interval) {
    for (int Count = 0; Count < 8000; ++Count)
      m_Capacity.recordInterval("s", Id, engine(), Interval, m_Now);
  }

  ServerPool::ServiceUsage usage() const {
    return m_Capacity.usage("s", engine(), Target, m_Now);
  }

  base::Millis m_Now = base::seconds(10);
  ServerPool m_Pool{"z"};
  ConcurrencyLimiter m_Limiter{smoothed()};
  GroupAvailability m_Availability;
  GroupCapacity m_Capacity{m_Pool, m_Limiter, m_Availability};
};

} // namespace

// Failure: a service with one group had another capacity or estimate than
// before groups were known.
TEST_F(GroupCapacityTest, AServiceWithOneGroupIsLimitedAsAWhole) {
  report("g", {"g0", "g1"});
  start("g0", 8);
  start("h0", 12);
  record("h0", base::Millis(90));
  ConcurrencyLimiter Expected(smoothed());
  for (int Count = 0; Count < 8000; ++Count)
    Expected.recordInterval({"s"}, engine(), base::Millis(90), 5, m_Now);
  const double Limit = Expected.limit({"s"}, engine(), Target);
  ASSERT_LT(Limit, 10);
  EXPECT_EQ(usage().m_Capacity, static_cast<unsigned>(4 * Limit));
  EXPECT_EQ(usage().m_InFlight, 20U);
  EXPECT_EQ(m_Limiter.localRatios().size(), 1U);
}

// Load: the passes of one of two groups are long. The mean over both limited
// the fast group and let the slow one be late.
TEST_F(GroupCapacityTest, ASlowGroupHasALimitOfItsOwn) {
  divide();
  record("g0", base::Millis(31));
  record("h0", base::Millis(93));
  EXPECT_DOUBLE_EQ(m_Limiter.limit({"s", "g"}, engine(), Target), 10);
  const double Slow = m_Limiter.limit({"s", "h"}, engine(), Target);
  EXPECT_LT(Slow, 6);
  EXPECT_EQ(usage().m_Capacity, 20U + static_cast<unsigned>(2 * Slow));
}

// Load: the requests of one group shorten or lengthen only its own passes.
TEST_F(GroupCapacityTest, TheRatioIsRelativeToTheRequestsOfTheGroup) {
  divide();
  start("g0", 10);
  start("g1", 10);
  record("g0", base::Millis(56));
  record("h0", base::Millis(31));
  EXPECT_NEAR(m_Limiter.localRatios().at({"s", "g"}).m_Mean, 1, 0.1);
  EXPECT_NEAR(m_Limiter.localRatios().at({"s", "h"}).m_Mean, 1, 0.1);
}

// Failure: a group is closed with streams in flight. They occupied the capacity
// of the open group.
TEST_F(GroupCapacityTest, AClosedGroupHasNoCapacity) {
  divide(false);
  start("g0", 3);
  start("h0", 10);
  EXPECT_EQ(usage().m_Capacity, 20U);
  EXPECT_EQ(usage().m_InFlight, 3U);
  EXPECT_EQ(usage().m_Servers, 2U);
}

// Load: the limit of one group fell below its requests in flight. These
// occupied capacity of the other group, which then refused requests that it
// could run.
TEST_F(GroupCapacityTest, RequestsAboveTheLimitOfAGroupTakeNoOtherCapacity) {
  divide();
  record("g0", base::Millis(31));
  record("h0", base::Millis(120));
  const unsigned Slow = usage().m_Capacity - 20;
  ASSERT_LE(Slow, 12U);
  start("h0", 10);
  start("h1", 10);
  start("g0", 10);
  EXPECT_EQ(usage().m_InFlight, 10 + Slow);
}

// Failure: an agent of an earlier release. Its server is in no known group.
TEST_F(GroupCapacityTest, ServersWithoutAKnownGroupAddTheirCapacity) {
  report("g", {"g0", "g1"});
  report("h", {"h0"});
  start("h1", 4);
  EXPECT_EQ(usage().m_Servers, 4U);
  EXPECT_EQ(usage().m_InFlight, 4U);
}

// Failure: a group without streams, since its limit was low, kept its estimate
// of the time when it was slow.
TEST_F(GroupCapacityTest, AnEstimateWithoutStreamsIsDiscarded) {
  divide();
  record("h0", base::Millis(120));
  record("g0", base::Millis(31));
  const double Slow = m_Limiter.limit({"s", "h"}, engine(), Target);
  m_Now += base::seconds(9);
  divide();
  record("g0", base::Millis(31));
  m_Limiter.advance(m_Now);
  EXPECT_DOUBLE_EQ(m_Limiter.limit({"s", "h"}, engine(), Target), Slow);
  m_Now += base::seconds(2);
  m_Limiter.advance(m_Now);
  EXPECT_GT(m_Limiter.limit({"s", "h"}, engine(), Target), Slow);
  // A service without any streams keeps its estimate.
  m_Now += base::seconds(60);
  m_Limiter.advance(m_Now);
  EXPECT_EQ(m_Limiter.localRatios().size(), 1U);
}

} // namespace corneldeck::direct

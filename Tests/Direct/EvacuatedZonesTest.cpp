#include "Direct/AdmissionQueue.h"
#include "Direct/ServerPool.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

BackendServer server(const std::string &Id, const std::string &Zone) {
  BackendServer Made;
  Made.m_Id = Id;
  Made.m_Service = "s";
  Made.m_Address = "10.0.0.1:" + std::to_string(1000 + Id.back());
  Made.m_Zone = Zone;
  Made.m_Capacity = 4;
  Made.m_StartTime = 1;
  return Made;
}

/// Two servers in the zone "b" and one in the zone "a", which is that of the
/// entry.
class EvacuatedZonesTest : public testing::Test {
protected:
  EvacuatedZonesTest() { list(); }

  void list() {
    m_Pool.replaceServers(
        {server("b1", "b"), server("b2", "b"), server("a1", "a")}, m_Now);
  }
  std::string choose(const std::vector<std::string> &Excluded = {}) {
    const BackendServer *Chosen =
        m_Pool.chooseServer("s", Excluded, m_Now, m_Rng);
    return Chosen ? Chosen->m_Id : "";
  }

  base::Millis m_Now = base::seconds(100);
  base::Random m_Rng{7};
  ServerPool m_Pool{"a"};
};

} // namespace

// Failure: the servers of an evacuated zone were chosen for first attempts, for
// retries after the other servers had failed, while all others were in backoff,
// or after a new list of servers.
TEST_F(EvacuatedZonesTest, NoPathChoosesAServerOfAnEvacuatedZone) {
  m_Pool.evacuate({"b"}, m_Now);
  for (int Count = 0; Count < 100; ++Count)
    ASSERT_EQ(choose(), "a1");
  EXPECT_EQ(choose({"a1"}), "");
  m_Pool.recordOutcome("a1", ServerOutcome::Unreachable, {}, m_Now);
  EXPECT_EQ(choose(), "a1");
  list();
  EXPECT_EQ(choose({"a1"}), "");
  EXPECT_EQ(m_Pool.availability("b1", m_Now), ServerAvailability::Unavailable);
}

// Failure: an evacuation that was ordered before the list of servers was known
// had no effect.
TEST_F(EvacuatedZonesTest, AnEvacuationHoldsForServersThatAreListedLater) {
  ServerPool Pool("a");
  Pool.evacuate({"b"}, m_Now);
  Pool.replaceServers({server("b1", "b")}, m_Now);
  EXPECT_EQ(Pool.chooseServer("s", {}, m_Now, m_Rng), nullptr);
}

// Failure: a limited server of an evacuated zone was asked for tokens, and used
// with one.
TEST_F(EvacuatedZonesTest, ATokenDoesNotPermitAnEvacuatedServer) {
  m_Pool.rateTokens().setEntries("e", {"e"}, m_Now);
  m_Pool.rateLimits().recordResponse("b1", {RateLimitField::Kind::Named, 100},
                                     true, m_Now, m_Now);
  m_Pool.rateTokens().update(m_Now);
  m_Now += base::seconds(1);
  m_Pool.requestToken("s", m_Now, m_Rng);
  m_Pool.rateTokens().update(m_Now);
  ASSERT_TRUE(m_Pool.rateTokens().permits("b1"));
  m_Pool.evacuate({"b"}, m_Now);
  EXPECT_EQ(choose(), "a1");
  const std::uint64_t Requested = m_Pool.rateTokens().counts().m_Requested;
  m_Pool.requestToken("s", m_Now, m_Rng);
  EXPECT_EQ(m_Pool.rateTokens().counts().m_Requested, Requested);
}

// Failure: requests in flight in an evacuated zone, or its servers, counted in
// what admission sees, so that requests were refused or sent beyond the
// capacity.
TEST_F(EvacuatedZonesTest, AnEvacuatedZoneCountsInNoSum) {
  m_Pool.attemptStarted("b1", 0, m_Now);
  m_Pool.setPeerLoads("other", {{"b2", {3, 0}}, {"a1", {1, 0}}}, m_Now);
  m_Pool.evacuate({"b"}, m_Now);
  const auto Usage = m_Pool.usage("s", m_Now);
  EXPECT_EQ(Usage.m_Servers, 1U);
  EXPECT_EQ(Usage.m_Capacity, 4U);
  EXPECT_EQ(Usage.m_InFlight, 1U);
  EXPECT_EQ(Usage.m_EvacuatedServers, 2U);
  EXPECT_FALSE(Usage.isUnwanted());
}

// Failure: requests of a service with servers only in evacuated zones waited in
// the queue.
TEST_F(EvacuatedZonesTest, AServiceWithoutOtherServersIsUnwanted) {
  m_Pool.evacuate({"a", "b"}, m_Now);
  EXPECT_TRUE(m_Pool.usage("s", m_Now).isUnwanted());
  EXPECT_TRUE(m_Pool.usage("s", m_Now).isEvacuated());
}

// Failure: an evacuation was not ended, or reported twice.
TEST_F(EvacuatedZonesTest, AnEvacuationEnds) {
  using Changes = std::vector<EvacuatedZones::Change>;
  EXPECT_EQ(m_Pool.evacuate({"b", "unknown"}, m_Now),
            (Changes{{"b", true, {}}, {"unknown", true, {}}}));
  EXPECT_EQ(m_Pool.evacuate({"b", "unknown"}, m_Now), Changes{});
  m_Now += base::seconds(5);
  EXPECT_EQ(m_Pool.evacuate({"unknown"}, m_Now),
            (Changes{{"b", false, base::seconds(5)}}));
  EXPECT_EQ(m_Pool.availability("b1", m_Now), ServerAvailability::Available);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Servers, 3U);
}

// Failure: a request that was not sent because of an evacuation put its server
// into backoff.
TEST_F(EvacuatedZonesTest, AnUnsentRequestIsNoFailureOfItsServer) {
  m_Pool.evacuate({"b"}, m_Now);
  m_Pool.recordOutcome("b1", ServerOutcome::Unreachable, {}, m_Now);
  m_Pool.evacuate({}, m_Now);
  EXPECT_EQ(m_Pool.availability("b1", m_Now), ServerAvailability::Available);
}

} // namespace corneldeck::direct

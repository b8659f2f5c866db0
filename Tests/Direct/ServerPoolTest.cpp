#include "Direct/ServerPool.h"

#include <gtest/gtest.h>
#include <map>

namespace corneldeck::direct {

namespace {

BackendServer server(const std::string &Id, const std::string &Zone = "a") {
  BackendServer Made;
  Made.m_Id = Id;
  Made.m_Service = "s";
  Made.m_Address = "10.0.0.1:" + std::to_string(1000 + Id.back());
  Made.m_Zone = Zone;
  Made.m_Capacity = 4;
  return Made;
}

class ServerPoolTest : public testing::Test {
protected:
  void SetUp() override {
    m_Pool.replaceServers({server("s1"), server("s2"), server("s3")}, m_Now);
  }
  std::string pick(const std::vector<std::string> &Excluded = {}) {
    const BackendServer *Chosen =
        m_Pool.chooseServer("s", Excluded, m_Now, m_Rng);
    return Chosen ? Chosen->m_Id : "";
  }
  std::map<std::string, int> picks(int Count) {
    std::map<std::string, int> Picks;
    for (int Index = 0; Index < Count; ++Index)
      ++Picks[pick()];
    return Picks;
  }

  /// Lets the only entry learn a rate limit.
  void limit(const std::string &Id, double PerSecond) {
    m_Pool.rateTokens().setEntries("e1", {"e1"}, m_Now);
    m_Pool.rateLimits().recordResponse(
        Id, {RateLimitField::Kind::Named, PerSecond}, true, m_Now, m_Now);
    m_Pool.rateTokens().update(m_Now);
  }

  base::Millis m_Now = base::seconds(100);
  base::Random m_Rng{7};
  ServerPool m_Pool{"a"};
};

} // namespace

// Load: many concurrent requests.
TEST_F(ServerPoolTest, SpreadsRequestsInFlight) {
  std::map<std::string, int> Chosen;
  for (int Index = 0; Index < 12; ++Index) {
    const std::string Id = pick();
    ++Chosen[Id];
    m_Pool.attemptStarted(Id, 0, m_Now);
  }
  EXPECT_EQ(Chosen["s1"], 4);
  EXPECT_EQ(Chosen["s2"], 4);
  EXPECT_EQ(Chosen["s3"], 4);
}

// Load: other entries use up the capacity of a server.
TEST_F(ServerPoolTest, CountsLoadOfOtherEntries) {
  m_Pool.setPeerLoads("e2", {{"s1", {4, 0}}, {"s2", {4, 0}}}, m_Now);
  EXPECT_EQ(picks(20)["s3"], 20);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_InFlight, 8U);
  m_Now += base::seconds(3);
  EXPECT_LT(picks(60)["s3"], 60);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_InFlight, 0U);
}

// Failure: an entry that had got one slow response from a server never used it
// again while the load was low.
TEST_F(ServerPoolTest, ASlowResponseIsForgottenAfterSomeTime) {
  m_Pool.recordOutcome("s1", ServerOutcome::Served, base::Millis(800), m_Now);
  for (const char *Id : {"s2", "s3"})
    m_Pool.recordOutcome(Id, ServerOutcome::Served, base::Millis(5), m_Now);
  const base::Millis End = m_Now + base::seconds(30);
  int Used = 0;
  for (int Count = 0; Used == 0 && m_Now < End; ++Count) {
    const std::string Id = pick();
    Used += Id == "s1" ? 1 : 0;
    // It is not used at once.
    EXPECT_TRUE(Used == 0 || Count > 50);
    m_Pool.recordOutcome(Id, ServerOutcome::Served, base::Millis(5), m_Now);
    m_Now += base::Millis(100);
  }
  EXPECT_EQ(Used, 1);
}

// Failure: a server that had started again was used as little as before its
// start.
TEST_F(ServerPoolTest, AServerThatStartsAgainIsNotJudgedByItsPast) {
  for (int Count = 0; Count < 5; ++Count)
    m_Pool.recordOutcome("s1", ServerOutcome::Failed, {}, m_Now);
  m_Pool.recordOutcome("s1", ServerOutcome::Unreachable, {}, m_Now);
  EXPECT_EQ(picks(30)["s1"], 0);
  BackendServer Restarted = server("s1");
  Restarted.m_StartTime = 2;
  m_Pool.replaceServers({Restarted, server("s2"), server("s3")}, m_Now);
  EXPECT_GT(picks(30)["s1"], 0);
}

// Load: prompts of very different sizes.
TEST_F(ServerPoolTest, PromptTokensCountUntilProcessed) {
  m_Pool.attemptStarted("s1", 3000, m_Now);
  m_Pool.attemptStarted("s2", 100, m_Now);
  m_Pool.attemptStarted("s3", 100, m_Now);
  EXPECT_EQ(picks(20)["s1"], 0);
  m_Pool.promptProcessed("s1", 3000);
  EXPECT_GT(picks(60)["s1"], 0);
  m_Pool.attemptEnded("s1", 0);
  EXPECT_EQ(m_Pool.localLoads().count("s1"), 0U);
}

// Fault: gray failure, that is, a server passes health checks but fails part of
// its requests.
TEST_F(ServerPoolTest, AvoidsAFailingServerAndRetriesItLater) {
  m_Pool.recordOutcome("s1", ServerOutcome::Failed, {}, m_Now);
  m_Pool.recordOutcome("s1", ServerOutcome::Failed, {}, m_Now);
  EXPECT_EQ(picks(50)["s1"], 0);
  m_Now += base::seconds(30);
  EXPECT_GT(picks(90)["s1"], 0);
}

// Fault: slow servers.
TEST_F(ServerPoolTest, AvoidsASlowServer) {
  for (int Index = 0; Index < 20; ++Index) {
    m_Pool.recordOutcome("s1", ServerOutcome::Served, base::Millis(400), m_Now);
    m_Pool.recordOutcome("s2", ServerOutcome::Served, base::Millis(60), m_Now);
    m_Pool.recordOutcome("s3", ServerOutcome::Served, base::Millis(60), m_Now);
  }
  EXPECT_EQ(picks(50)["s1"], 0);
}

// Fault: crashed servers. The backoff must never leave a service without a
// server.
TEST_F(ServerPoolTest, ChoosesTheFirstAvailableIfAllAreInBackoff) {
  m_Pool.recordOutcome("s2", ServerOutcome::Unreachable, {}, m_Now);
  m_Now += base::Millis(10);
  m_Pool.recordOutcome("s1", ServerOutcome::Unreachable, {}, m_Now);
  m_Pool.recordOutcome("s3", ServerOutcome::Unreachable, {}, m_Now);
  EXPECT_EQ(pick(), "s2");
  EXPECT_EQ(pick({"s2"}), "s1");
}

TEST_F(ServerPoolTest, DrainingAndRemovedServersAreNotChosen) {
  BackendServer Draining = server("s1");
  Draining.m_Draining = true;
  m_Pool.replaceServers({Draining, server("s2")}, m_Now);
  EXPECT_EQ(picks(30)["s2"], 30);
  m_Pool.replaceServers({Draining}, m_Now);
  EXPECT_EQ(pick(), "");
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Servers, 0U);
}

// A server that restarts under its old id is recognized only by its new
// address.
TEST_F(ServerPoolTest, ResetsHealthWhenTheAddressChanges) {
  for (int Index = 0; Index < 5; ++Index)
    m_Pool.recordOutcome("s1", ServerOutcome::Failed, {}, m_Now);
  BackendServer Moved = server("s1");
  Moved.m_Address = "10.0.0.9:1";
  m_Pool.replaceServers({Moved, server("s2"), server("s3")}, m_Now);
  EXPECT_GT(picks(90)["s1"], 0);
}

// Failure: retries, or the choice among servers in backoff, passed by the rate
// limit of a server.
TEST_F(ServerPoolTest, AServerWithARateLimitIsChosenOnlyWithAToken) {
  limit("s1", 1);
  EXPECT_EQ(picks(50)["s1"], 0);
  EXPECT_EQ(pick({"s2", "s3"}), "");
  m_Pool.recordOutcome("s1", ServerOutcome::Unreachable, {}, m_Now);
  EXPECT_EQ(pick({"s2", "s3"}), "");
  m_Now += base::seconds(1);
  m_Pool.rateTokens().update(m_Now);
  m_Pool.requestToken("s", m_Now, m_Rng);
  EXPECT_EQ(pick({"s2", "s3"}), "s1");
  m_Pool.attemptStarted("s1", 0, m_Now);
  EXPECT_EQ(pick({"s2", "s3"}), "");
}

// Failure: the slots of a server with a rate limit counted as free capacity.
TEST_F(ServerPoolTest, AServerWithARateLimitAddsTheCapacityOfItsTokens) {
  limit("s1", 2);
  m_Pool.setPeerLoads("e2", {{"s1", {3, 0}}}, m_Now);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Capacity, 8U);
  EXPECT_EQ(m_Pool.usage("s", m_Now).totalCapacity(), 11U);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_InFlight, 3U);
  m_Now += base::seconds(1);
  m_Pool.requestToken("s", m_Now, m_Rng);
  EXPECT_EQ(m_Pool.usage("s", m_Now).totalCapacity(), 12U);
  EXPECT_FALSE(m_Pool.usage("s", m_Now).isRateLimited());
  limit("s2", 2);
  limit("s3", 2);
  EXPECT_TRUE(m_Pool.usage("s", m_Now).isRateLimited());
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_LimitPerSecond, 6);
}

TEST_F(ServerPoolTest, PrefersItsZoneAmongEquals) {
  m_Pool.replaceServers({server("s1", "b"), server("s2", "a")}, m_Now);
  EXPECT_EQ(picks(40)["s2"], 40);
}

} // namespace corneldeck::direct

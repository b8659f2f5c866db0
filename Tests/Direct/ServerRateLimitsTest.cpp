#include "Direct/ServerRateLimits.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

using Kind = RateLimitField::Kind;

class ServerRateLimitsTest : public testing::Test {
protected:
  void SetUp() override {
    m_Limits.onChange([this](const ServerRateLimits::Change &Change) {
      m_Changes.push_back(std::string(name(Change.m_Type)));
    });
    m_Limits.replaceServers(m_Servers, m_Now);
  }
  void named(double PerSecond) {
    m_Limits.recordResponse("s", {Kind::Named, PerSecond}, true, m_Now, m_Now);
  }
  void absent(base::Millis SentAt, bool IsConclusive = true) {
    m_Limits.recordResponse("s", {}, IsConclusive, SentAt, m_Now);
  }
  std::vector<std::string> changes() { return std::exchange(m_Changes, {}); }

  using Names = std::vector<std::string>;
  base::Millis m_Now = base::seconds(100);
  std::map<std::string, ServerRateLimits::Instance> m_Servers = {
      {"s", {"10.0.0.1:1", 7}}, {"t", {"10.0.0.2:1", 7}}};
  ServerRateLimits m_Limits;
  Names m_Changes;
};

} // namespace

TEST_F(ServerRateLimitsTest, ReportsEachChangeOnce) {
  named(2);
  named(2);
  EXPECT_EQ(changes(), Names{"learned"});
  named(3);
  EXPECT_EQ(changes(), Names{"changed"});
  m_Now += base::Millis(1);
  absent(m_Now);
  absent(m_Now);
  EXPECT_EQ(changes(), Names{"ended"});
}

// Failure: a late response to an earlier request ended a limit that the server
// named since.
TEST_F(ServerRateLimitsTest, AnEarlierRequestDoesNotEndTheLimit) {
  const base::Millis SentAt = m_Now;
  m_Now += base::Millis(500);
  named(2);
  m_Now += base::Millis(500);
  absent(SentAt);
  absent(m_Now, false);
  EXPECT_EQ(changes(), Names{"learned"});
}

// Failure: the limit of an earlier start of a server was applied to its next
// one.
TEST_F(ServerRateLimitsTest, ARestartOrADepartureEndsTheLimit) {
  named(2);
  m_Servers["s"].m_StartTime = 8;
  m_Limits.replaceServers(m_Servers, m_Now);
  EXPECT_EQ(changes(), (Names{"learned", "forgotten"}));
  named(2);
  m_Servers["s"].m_Address = "10.0.0.9:1";
  m_Limits.replaceServers(m_Servers, m_Now);
  EXPECT_EQ(changes(), (Names{"learned", "forgotten"}));
  named(2);
  m_Servers.erase("s");
  m_Limits.replaceServers(m_Servers, m_Now);
  named(2);
  EXPECT_EQ(changes(), (Names{"learned", "forgotten"}));
}

// Failure: an entry learned a limit, or its end, only from its own responses.
TEST_F(ServerRateLimitsTest, EntriesExchangeLimitsAndTheirEnds) {
  ServerRateLimits Other;
  Other.replaceServers(m_Servers, m_Now);
  const auto Exchange = [&] {
    for (const RateLimitStatement &Each :
         m_Limits.statements(m_Now, [](const std::string &) { return false; }))
      Other.applyStatement(Each, "e1", m_Now + base::seconds(1000));
  };
  named(2);
  m_Now += base::Millis(300);
  Exchange();
  EXPECT_EQ(Other.limit("s"), 2);
  absent(m_Now);
  Exchange();
  EXPECT_FALSE(Other.limit("s"));
}

// Failure: an older statement about a server replaced a newer one.
TEST_F(ServerRateLimitsTest, OlderStatementsAreIgnored) {
  named(2);
  m_Limits.applyStatement({"s", 7, 5, base::Millis(1)}, "e1", m_Now);
  m_Limits.applyStatement({"s", 7, std::nullopt, base::Millis(1)}, "e1", m_Now);
  m_Limits.applyStatement({"s", 6, 5, base::Millis(0)}, "e1", m_Now);
  m_Limits.applyStatement({"other", 7, 5, base::Millis(0)}, "e1", m_Now);
  EXPECT_EQ(m_Limits.limit("s"), 2);
  EXPECT_EQ(m_Limits.limitedServers(), Names{"s"});
  m_Now += base::Millis(100);
  m_Limits.applyStatement({"s", 7, 5, base::Millis(50)}, "e1", m_Now);
  EXPECT_EQ(m_Limits.limit("s"), 5);
  EXPECT_EQ(changes(), (Names{"learned", "changed"}));
}

// Failure: a limit that no response confirmed held forever, or ended at once.
TEST_F(ServerRateLimitsTest, AnUnconfirmedLimitExpires) {
  named(2);
  m_Now += base::seconds(29);
  m_Limits.dropExpired(m_Now);
  EXPECT_EQ(m_Limits.limit("s"), 2);
  m_Now += base::seconds(2);
  m_Limits.dropExpired(m_Now);
  EXPECT_FALSE(m_Limits.limit("s"));
  EXPECT_EQ(changes(), (Names{"learned", "expired"}));
}

TEST_F(ServerRateLimitsTest, TheGranterRepeatsLimitsOfOtherEntries) {
  m_Limits.applyStatement({"s", 7, 5, base::Millis(0)}, "e1", m_Now);
  const auto Count = [this](bool IsGranter) {
    return m_Limits
        .statements(m_Now,
                    [IsGranter](const std::string &) { return IsGranter; })
        .size();
  };
  EXPECT_EQ(Count(false), 0U);
  EXPECT_EQ(Count(true), 1U);
}

TEST_F(ServerRateLimitsTest, ReportsAnInvalidFieldOnce) {
  named(2);
  for (int Count = 0; Count < 3; ++Count)
    m_Limits.recordResponse("s", {Kind::Invalid, 0, "x"}, true, m_Now, m_Now);
  EXPECT_EQ(changes(), (Names{"learned", "invalid"}));
}

} // namespace corneldeck::direct

#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Three entries, each of which gets more requests than the limits that the
/// servers name.
class PlatformRateLimit : public PlatformEntry {
protected:
  PlatformRateLimit() : PlatformEntry(3) {}

  /// Checks the bound for the entries that have forwarded the limit, and for
  /// all of them.
  static void checkLimit(const StandinServer &Server,
                         const EntryAnswers &Answers) {
    fakes::RateLimitOracle Oracle;
    addTraffic(Oracle, Server, Answers);
    fakes::RateLimitBound AllEntries;
    AllEntries.m_InformedEntriesOnly = false;
    for (const fakes::RateLimitBound &Bound :
         {fakes::RateLimitBound{}, AllEntries}) {
      const auto Worst = Oracle.worstWindow(Bound);
      EXPECT_GT(Worst.m_Requests, 0) << Server.id();
      EXPECT_LE(Worst.m_Requests, Worst.m_Allowed) << Server.id();
    }
  }

  /// Returns the number of servers to which an entry applies a limit.
  int limitedServers(int Entry) {
    const std::string Name = "\ncorneldeck_rate_limited_servers ";
    int Count = -1;
    m_Http.get(m_Settings[Entry].m_PeerAddress, "/metrics", base::seconds(5),
               [&](base::Result<net::HttpResponse> Reply) {
                 ASSERT_TRUE(Reply.has_value());
                 const std::size_t At = Reply->m_Body.find(Name);
                 ASSERT_NE(At, std::string::npos);
                 Count = std::stoi(Reply->m_Body.substr(At + Name.size()));
               });
    runUntil([&Count] { return Count >= 0; });
    return Count;
  }

  /// Sends requests until all entries apply limits to \p Servers servers.
  void runUntilLimited(int Servers) {
    runUntil([&] {
      sendTraffic(milliseconds(300), milliseconds(10));
      for (int Entry = 0; Entry < m_EntryCount; ++Entry)
        if (limitedServers(Entry) != Servers)
          return false;
      return true;
    });
  }
};

} // namespace

// Failure: a server that named a rate limit got its ordinary share of requests.
TEST_F(PlatformRateLimit, AllEntriesTogetherKeepToTheLimitOfAServer) {
  m_Servers[0]->m_NamedLimit = "1";
  const auto Answers = sendTraffic(milliseconds(9000), milliseconds(25));
  for (const auto &OfEntry : Answers)
    for (const AnswerPtr &Each : OfEntry)
      EXPECT_EQ(Each->m_Status, 200);
  checkLimit(*m_Servers[0], Answers);
}

// Failure: with all servers limited, they got all requests, or the retry-after
// time of refused requests was below its minimum.
TEST_F(PlatformRateLimit, RefusesWhatLimitedServersDoNotTake) {
  for (const auto &Each : m_Servers)
    Each->m_NamedLimit = "0.5";
  const auto Answers = sendTraffic(milliseconds(9000), milliseconds(25));
  for (const auto &Each : m_Servers)
    checkLimit(*Each, Answers);
  int Refused = 0;
  for (const auto &OfEntry : Answers)
    for (const AnswerPtr &Each : OfEntry) {
      if (Each->m_Status == 200)
        continue;
      ++Refused;
      EXPECT_EQ(Each->m_Status, 503);
      const auto RetryAfter = net::findHeader(Each->m_Headers, "Retry-After");
      ASSERT_FALSE(RetryAfter.empty());
      EXPECT_GE(std::stod(std::string(RetryAfter)), 0.4);
    }
  EXPECT_GT(Refused, 0);
}

// Failure: a limit held at some entries after the server no longer named it.
TEST_F(PlatformRateLimit, ALimitEndsAtAllEntries) {
  m_Servers[0]->m_NamedLimit = "1";
  runUntilLimited(1);
  m_Servers[0]->m_NamedLimit.clear();
  runUntilLimited(0);
}

// Failure: the limit of an earlier start of a server held after its restart
// under the same id.
TEST_F(PlatformRateLimit, ARestartedServerHasNoLimit) {
  m_Servers[0]->m_NamedLimit = "0";
  runUntilLimited(1);
  m_Servers[0]->restart(2);
  m_Store.put("keyed.servers", m_Servers[0]->id(), m_Servers[0]->record());
  runUntilLimited(0);
}

// Failure: an invalid limit ended the one before, or was applied.
TEST_F(PlatformRateLimit, InvalidLimitsAreIgnored) {
  m_Servers[0]->m_NamedLimit = "1";
  runUntilLimited(1);
  m_Servers[0]->m_NamedLimit = "-1";
  m_Servers[1]->m_NamedLimit = "1e9";
  sendTraffic(milliseconds(1000), milliseconds(10));
  runUntilLimited(1);
}

} // namespace corneldeck::tests

#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Three entries, each of which gets more requests than the limits that the
/// servers name.
class PlatformRateLimit : public PlatformEntry {
protected:
  PlatformRateLimit() : PlatformEntry(3) {}
};

} // namespace

// Failure: a server that named a rate limit got its ordinary share of requests.
TEST_F(PlatformRateLimit, AllEntriesTogetherKeepToTheLimitOfAServer) {
  m_Servers[0]->m_NamedLimit = "1";
  const auto Answers = sendTraffic(milliseconds(9000), milliseconds(25));
  for (const auto &OfEntry : Answers)
    for (const AnswerPtr &Each : OfEntry)
      EXPECT_EQ(Each->m_Status, 200);
  fakes::RateLimitOracle Oracle;
  addTraffic(Oracle, *m_Servers[0], Answers);
  const auto Worst = Oracle.worstWindow({});
  EXPECT_GT(Worst.m_Requests, 0);
  EXPECT_LE(Worst.m_Requests, Worst.m_Allowed);
}

} // namespace corneldeck::tests

#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

constexpr double PerSecond = 4;

/// Three entries before a service whose cold servers tolerate few requests.
class PlatformWarmUp : public PlatformEntry {
protected:
  PlatformWarmUp() : PlatformEntry(3) { m_WarmUpPerSecond = PerSecond; }

  void publishServer(StandinServer &Server, int Remaining, int Sequence) {
    Server.m_WarmUpRemaining = Remaining;
    m_Store.put("keyed.servers", Server.id(), Server.record("ready", Sequence));
  }
  /// Waits until each entry counts \p Servers servers as cold.
  void runUntilCold(int Servers) {
    for (int Entry = 0; Entry < m_EntryCount; ++Entry)
      runUntil(
          [&] { return metric(Entry, "corneldeck_cold_servers") == Servers; });
  }
  /// Returns the most requests that a server received in a second, of those
  /// after the first \p Skipped.
  static std::size_t worstSecond(const StandinServer &Server,
                                 std::size_t Skipped) {
    const auto &Received = Server.m_Received;
    std::size_t Worst = 0;
    for (std::size_t First = Skipped, Last = Skipped; Last < Received.size();
         ++Last) {
      while (Received[Last].m_ReceivedAt - Received[First].m_ReceivedAt >=
             std::chrono::seconds(1))
        ++First;
      Worst = std::max(Worst, Last - First + 1);
    }
    return Worst;
  }
};

} // namespace

// Failure: cold servers got their ordinary share, of all entries together more
// than they tolerate, or requests waited for them while a warm one had
// capacity.
TEST_F(PlatformWarmUp, ColdServersGetNoMoreThanTheyTolerate) {
  for (int Index = 0; Index < 3; ++Index)
    publishServer(*m_Servers[static_cast<std::size_t>(Index)],
                  Index == 0 ? 0 : 30'000, 2);
  runUntilCold(2);
  const std::size_t First = m_Servers[1]->m_Received.size();
  const std::size_t Second = m_Servers[2]->m_Received.size();
  for (const auto &OfEntry : sendTraffic(milliseconds(5000), milliseconds(5)))
    for (const AnswerPtr &Each : OfEntry)
      EXPECT_EQ(Each->m_Status, 200);
  const direct::WarmUpBounds Bounds;
  const double Bound = PerSecond * Bounds.m_Overshoot + Bounds.m_Tolerance;
  EXPECT_LE(static_cast<double>(worstSecond(*m_Servers[1], First)), Bound);
  EXPECT_LE(static_cast<double>(worstSecond(*m_Servers[2], Second)), Bound);
}

// Failure: with all servers cold, they got all requests, or much less than they
// tolerate; refused requests did not name a retry-after time.
TEST_F(PlatformWarmUp, AllServersColdAreUsedAtTheirRate) {
  int Sequence = 1;
  for (const auto &Each : m_Servers)
    publishServer(*Each, 30'000, ++Sequence);
  runUntilCold(3);
  std::vector<std::size_t> Before;
  for (const auto &Each : m_Servers)
    Before.push_back(Each->m_Received.size());
  const auto Answers = sendTraffic(milliseconds(6000), milliseconds(5));
  const direct::WarmUpBounds Bounds;
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index) {
    EXPECT_LE(
        static_cast<double>(worstSecond(*m_Servers[Index], Before[Index])),
        PerSecond * Bounds.m_Overshoot + Bounds.m_Tolerance);
    EXPECT_GE(static_cast<double>(m_Servers[Index]->m_Received.size() -
                                  Before[Index]),
              0.8 * 6 * PerSecond);
  }
  for (const auto &OfEntry : Answers)
    for (const AnswerPtr &Each : OfEntry)
      if (Each->m_Status != 200) {
        EXPECT_EQ(Each->m_Status, 503);
        EXPECT_FALSE(net::findHeader(Each->m_Headers, "Retry-After").empty());
      }
}

// Failure: a server that was warm early, or whose time had passed, stayed
// limited.
TEST_F(PlatformWarmUp, WarmServersAreUsedAsBefore) {
  publishServer(*m_Servers[0], 60'000, 2);
  publishServer(*m_Servers[1], 1'000, 3);
  runUntilCold(1);
  publishServer(*m_Servers[0], 0, 3);
  runUntilCold(0);
}

} // namespace corneldeck::tests

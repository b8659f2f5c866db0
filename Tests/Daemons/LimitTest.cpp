#include "Fleet.h"

#include "Base/Clock.h"

namespace corneldeck::tests {

class LimitTest : public Fleet {
protected:
  static constexpr double PerSecond = 4;

  /// Sends requests of the limited customer, one after another, until enough
  /// were let through. \returns the answers.
  std::vector<CallerAnswerPtr> askUntil(int Admitted) {
    std::vector<CallerAnswerPtr> Answers;
    int Count = 0;
    while (Count < Admitted && !HasFatalFailure()) {
      const auto Answer = chat(0, 1, false, {{"X-Customer", "small"}});
      runUntil([&] { return Answer->m_Ended; });
      Count += Answer->m_Status == 200 ? 1 : 0;
      Answers.push_back(Answer);
    }
    return Answers;
  }
};

TEST_F(LimitTest, HoldsOverBothEntries) {
  publishAll();
  const base::Clock Clock = base::steadyClock();
  const base::Millis Start = Clock.now();
  constexpr int Admitted = 16;
  const auto Answers = askUntil(Admitted);
  const double Seconds =
      static_cast<double>((Clock.now() - Start).count()) / 1'000;
  // The stated most: limit x time + limit x 0.2 s + a request for each entry.
  EXPECT_LE(Admitted, PerSecond * (Seconds + 0.2) + Entries);
  int Refused = 0;
  for (const auto &Answer : Answers) {
    if (Answer->m_Status == 200)
      continue;
    ++Refused;
    EXPECT_EQ(Answer->header("X-Corneldeck-Code"), "110");
    EXPECT_EQ(Answer->header("X-Corneldeck-Ran"), "no");
    EXPECT_FALSE(Answer->header("Retry-After").empty());
  }
  EXPECT_GT(Refused, 0);
}

TEST_F(LimitTest, RefusedDuplicateOfARunIsNotCalledNotRun) {
  publishAll();
  // The limit is per customer, so other requests use it up before the repeat.
  const net::HttpHeaders Keyed = {
      {"X-Customer", "small"},
      {"Idempotency-Key", "note-1"},
      {"Idempotency-Key-Created", std::to_string(base::wallTime().count())}};
  int Refused = 0;
  while (Refused == 0 && !HasFatalFailure()) {
    const auto Answer = chat(1, 1, false, Keyed);
    runUntil([&] { return Answer->m_Ended; });
    if (Answer->header("X-Corneldeck-Code") != "110")
      continue;
    ++Refused;
    EXPECT_EQ(Answer->header("X-Corneldeck-Ran"), "unknown");
  }
}

} // namespace corneldeck::tests

#include "Direct/AdmissionQueue.h"
#include "Direct/ConcurrencyLimiter.h"
#include "Direct/SharedRetryBudget.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Target{500};
constexpr ServerPool::ServiceUsage Free{2, 10, 9};
constexpr ServerPool::ServiceUsage Full{2, 10, 10};

EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = 12;
  Engine.m_StepMillis = 4.55;
  Engine.m_StepMillisPerRequest = 0.905;
  Engine.m_StepsPerPass = 4;
  return Engine;
}

} // namespace

TEST(AdmissionQueue, LetsThroughWhatHasAPlace) {
  AdmissionQueue Queue;
  EXPECT_EQ(Queue.admit("s", 1, 1, Target, Free, base::seconds(1)),
            AdmissionQueue::Decision::Admit);
  EXPECT_EQ(Queue.admit("s", 2, 1, Target, Full, base::seconds(1)),
            AdmissionQueue::Decision::Wait);
}

// Load: an urgent kind of request beside a less urgent one.
TEST(AdmissionQueue, ServesTheUrgentFirstAndOthersInTheirOrder) {
  AdmissionQueue Queue;
  const base::Millis Now = base::seconds(1);
  Queue.admit("s", 1, 2, Target, Full, Now);
  Queue.admit("s", 2, 1, Target, Full, Now);
  Queue.admit("s", 3, 1, Target, Full, Now);
  const auto Dequeued = Queue.dequeue("s", {2, 10, 8}, Now);
  EXPECT_EQ(Dequeued.m_Admitted, (std::vector<std::uint64_t>{2, 3}));
  EXPECT_EQ(Queue.waitingCount("s"), 1U);
}

TEST(AdmissionQueue, RefusesAtOnceWhatWouldWaitTooLong) {
  AdmissionQueue Queue;
  // Four completions a second: each place is worth 250 ms.
  for (int Second = 1; Second <= 3; ++Second)
    for (int Count = 0; Count < 4; ++Count)
      Queue.recordCompletion("s", base::seconds(Second));
  const base::Millis Now = base::seconds(4);
  EXPECT_EQ(Queue.admit("s", 1, 1, Target, Full, Now),
            AdmissionQueue::Decision::Wait);
  EXPECT_EQ(Queue.admit("s", 2, 1, Target, Full, Now),
            AdmissionQueue::Decision::Refuse);
}

TEST(AdmissionQueue, NothingWaitsPastItsTime) {
  AdmissionQueue Queue;
  Queue.admit("s", 1, 1, Target, Full, base::seconds(1));
  EXPECT_TRUE(Queue.dequeue("s", Full, base::Millis(1200)).m_TimedOut.empty());
  EXPECT_EQ(Queue.dequeue("s", Full, base::Millis(1250)).m_TimedOut,
            (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(Queue.waitingCount("s"), 0U);
}

TEST(AdmissionQueue, ACallerThatLeftTakesNoPlace) {
  AdmissionQueue Queue;
  Queue.admit("s", 1, 1, Target, Full, base::seconds(1));
  Queue.remove("s", 1);
  EXPECT_TRUE(Queue.dequeue("s", Free, base::seconds(1)).m_Admitted.empty());
}

// Load: a herd that was refused together.
TEST(AdmissionQueue, SpreadsTheTimesToComeBack) {
  AdmissionQueue Queue;
  base::Random Draw(3);
  base::Millis Least = base::seconds(100);
  base::Millis Most{};
  for (int Count = 0; Count < 100; ++Count) {
    const base::Millis Time = Queue.retryAfter("s", Draw);
    Least = std::min(Least, Time);
    Most = std::max(Most, Time);
  }
  EXPECT_GE(Least, base::Millis(400));
  EXPECT_GT(Most - Least, base::Millis(300));
}

// Load: more streams than passes have time for.
TEST(ConcurrencyLimiter, LongPausesLowerTheLimit) {
  ConcurrencyLimiter Limiter;
  const double Before = Limiter.limit("s", engine(), base::Millis(120));
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval("s", engine(), base::Millis(150), 12);
  EXPECT_LT(Limiter.limit("s", engine(), base::Millis(120)), Before);
  // Five times the pauses that the governor remembers.
  for (int Count = 0; Count < 5000; ++Count)
    Limiter.recordInterval("s", engine(), base::Millis(65), 12);
  EXPECT_DOUBLE_EQ(Limiter.limit("s", engine(), base::Millis(120)), 12);
}

// Load: popularity shifts every few seconds, and passes are long for a moment
// after each; filling up in between would make all streams late at the next.
TEST(ConcurrencyLimiter, ShiftsAreRememberedBetweenThem) {
  constexpr int Shifts = 20;
  constexpr int PausesAfterShift = 120;
  constexpr int PausesBetween = 600;
  ConcurrencyLimiter Limiter;
  for (int Shift = 0; Shift < Shifts; ++Shift) {
    for (int Count = 0; Count < PausesAfterShift; ++Count)
      Limiter.recordInterval("s", engine(), base::Millis(130), 8);
    for (int Count = 0; Count < PausesBetween; ++Count)
      Limiter.recordInterval("s", engine(), base::Millis(55), 8);
  }
  EXPECT_LT(Limiter.limit("s", engine(), base::Millis(120)), 9);
}

// Load: entries that see different pauses must agree on the places.
TEST(ConcurrencyLimiter, OtherEntriesPausesCount) {
  ConcurrencyLimiter Limiter;
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval("s", engine(), base::Millis(65), 12);
  const double Alone = Limiter.limit("s", engine(), base::Millis(120));
  Limiter.setPeerRatios("e2", {{"s", {3.0, 0.2}}});
  EXPECT_LT(Limiter.limit("s", engine(), base::Millis(120)), Alone);
  Limiter.removePeer("e2");
  EXPECT_DOUBLE_EQ(Limiter.limit("s", engine(), base::Millis(120)), Alone);
}

TEST(ConcurrencyLimiter, AStallIsNoSlowPass) {
  ConcurrencyLimiter Limiter;
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval("s", engine(), base::Millis(65), 12);
  const double Before = Limiter.limit("s", engine(), base::Millis(120));
  for (int Count = 0; Count < 100; ++Count)
    Limiter.recordInterval("s", engine(), base::Millis(2000), 12);
  EXPECT_DOUBLE_EQ(Limiter.limit("s", engine(), base::Millis(120)), Before);
}

// Load: an outage in which every request fails, at all entries together.
TEST(SharedRetryBudget, AllEntriesTogetherKeepTheBudget) {
  constexpr int Entries = 8;
  SharedRetryBudgetSettings Settings;
  Settings.m_ExtraRetries = 92;
  int Taken = 0;
  int Requests = 0;
  for (int Entry = 0; Entry < Entries; ++Entry) {
    SharedRetryBudget Budget(Settings);
    Budget.setEntryCount(Entries);
    for (int Count = 0; Count < 200; ++Count) {
      const base::Millis Now(1000 + Count * 10);
      Budget.recordRequest("s", Now);
      ++Requests;
      Taken += Budget.tryAcquire("s", Now) ? 1 : 0;
    }
  }
  EXPECT_GT(Taken, 0);
  EXPECT_LE(Taken, Settings.m_Ratio * Requests + Settings.m_ExtraRetries);
}

TEST(SharedRetryBudget, EntriesThatAreCutOffDoNotWidenThisOnesPart) {
  SharedRetryBudgetSettings Settings;
  Settings.m_ExtraRetries = 92;
  SharedRetryBudget Budget(Settings);
  Budget.setEntryCount(8);
  Budget.setEntryCount(1);
  int Taken = 0;
  while (Budget.tryAcquire("s", base::seconds(1)))
    ++Taken;
  EXPECT_LE(Taken, 92 / 8);
}

} // namespace corneldeck::direct

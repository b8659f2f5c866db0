#include "Direct/AdmissionQueue.h"
#include "Direct/ConcurrencyLimiter.h"
#include "Direct/SharedRetryBudget.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Target{500};
constexpr base::Millis Deadline = base::seconds(20);
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

/// Returns settings with the estimate that depends on the number of intervals
/// and not on their times.
ConcurrencyLimiterSettings smoothed() {
  ConcurrencyLimiterSettings Settings;
  Settings.m_Estimate = PassTimeEstimate::Smoothed;
  return Settings;
}

/// Returns the shortest and the longest retry-after time of many requests.
std::pair<base::Millis, base::Millis>
retryAfterRange(const AdmissionQueue &Queue,
                const ServerPool::ServiceUsage &Usage) {
  base::Random Rng(3);
  base::Millis Least = base::seconds(100);
  base::Millis Most{};
  for (int Count = 0; Count < 100; ++Count) {
    const base::Millis Time = Queue.retryAfter("s", Usage, Rng);
    Least = std::min(Least, Time);
    Most = std::max(Most, Time);
  }
  return {Least, Most};
}

} // namespace

TEST(AdmissionQueue, AdmitsRequestsWhileThereIsCapacity) {
  AdmissionQueue Queue;
  EXPECT_EQ(Queue.admit("s", {1, 1, Target, Deadline}, Free, base::seconds(1)),
            AdmissionQueue::Decision::Admit);
  EXPECT_EQ(Queue.admit("s", {2, 1, Target, Deadline}, Full, base::seconds(1)),
            AdmissionQueue::Decision::Wait);
}

// Load: urgent and less urgent requests at the same time.
TEST(AdmissionQueue, DequeuesByPriorityThenArrival) {
  AdmissionQueue Queue;
  const base::Millis Now = base::seconds(1);
  Queue.admit("s", {1, 2, Target, Deadline}, Full, Now);
  Queue.admit("s", {2, 1, Target, Deadline}, Full, Now);
  Queue.admit("s", {3, 1, Target, Deadline}, Full, Now);
  const auto Dequeued = Queue.dequeue("s", {2, 10, 8}, Now);
  EXPECT_EQ(Dequeued.m_Admitted, (std::vector<std::uint64_t>{2, 3}));
  EXPECT_EQ(Queue.waitingCount("s"), 1U);
}

TEST(AdmissionQueue, RefusesRequestsWhoseExpectedWaitIsTooLong) {
  AdmissionQueue Queue;
  // Four completions per second: each position in the queue adds 250 ms.
  for (int Second = 1; Second <= 3; ++Second)
    for (int Count = 0; Count < 4; ++Count)
      Queue.recordCompletion("s", base::seconds(Second));
  const base::Millis Now = base::seconds(4);
  EXPECT_EQ(Queue.admit("s", {1, 1, Target, Deadline}, Full, Now),
            AdmissionQueue::Decision::Wait);
  EXPECT_EQ(Queue.admit("s", {2, 1, Target, Deadline}, Full, Now),
            AdmissionQueue::Decision::Refuse);
}

TEST(AdmissionQueue, RefusesRequestsAtTheEndOfTheirWait) {
  AdmissionQueue Queue;
  Queue.admit("s", {1, 1, Target, Deadline}, Full, base::seconds(1));
  EXPECT_TRUE(Queue.dequeue("s", Full, base::Millis(1200)).m_TimedOut.empty());
  EXPECT_EQ(Queue.dequeue("s", Full, base::Millis(1250)).m_TimedOut,
            (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(Queue.waitingCount("s"), 0U);
}

TEST(AdmissionQueue, RemovedRequestsAreNotAdmitted) {
  AdmissionQueue Queue;
  Queue.admit("s", {1, 1, Target, Deadline}, Full, base::seconds(1));
  Queue.remove("s", 1);
  EXPECT_TRUE(Queue.dequeue("s", Free, base::seconds(1)).m_Admitted.empty());
}

// Failure: a request waited in the queue until its deadline, and was refused
// when its caller had no time left to go elsewhere.
TEST(AdmissionQueue, RequestsDoNotWaitUntilTheirDeadline) {
  AdmissionQueue Queue;
  const base::Millis Now = base::seconds(1);
  const base::Millis Soon = Now + base::Millis(200);
  EXPECT_EQ(Queue.admit("s", {1, 1, Target, Soon}, Full, Now),
            AdmissionQueue::Decision::Wait);
  EXPECT_EQ(Queue.dequeue("s", Full, Now + base::Millis(100)).m_TimedOut,
            (std::vector<std::uint64_t>{1}));
}

// Failure: a request was queued although its deadline was before the end of its
// expected wait.
TEST(AdmissionQueue, RefusesRequestsWhoseDeadlineIsBeforeTheirTurn) {
  AdmissionQueue Queue;
  // Ten completions per second: each position in the queue adds 100 ms.
  for (int Second = 1; Second <= 3; ++Second)
    for (int Count = 0; Count < 10; ++Count)
      Queue.recordCompletion("s", base::seconds(Second));
  const base::Millis Now = base::seconds(4);
  EXPECT_EQ(
      Queue.admit("s", {1, 1, Target, Now + base::Millis(150)}, Full, Now),
      AdmissionQueue::Decision::Refuse);
  EXPECT_EQ(Queue.admit("s", {2, 1, Target, Deadline}, Full, Now),
            AdmissionQueue::Decision::Wait);
}

// Load: many callers that are refused at the same time.
TEST(AdmissionQueue, RandomizesRetryAfterTimes) {
  AdmissionQueue Queue;
  const auto [Least, Most] = retryAfterRange(Queue, {});
  EXPECT_GE(Least, base::Millis(400));
  EXPECT_GT(Most - Least, base::Millis(300));
}

// Failure: callers that were refused while the queue was long, or while all
// servers had a low rate limit, all got the longest retry-after time and
// returned together.
TEST(AdmissionQueue, RandomizesTheLongestRetryAfterTimes) {
  AdmissionQueue Queue;
  for (int Second = 1; Second <= 3; ++Second)
    Queue.recordCompletion("s", base::seconds(Second));
  const base::Millis Now = base::seconds(4);
  constexpr int Waiting = 8;
  for (std::uint64_t Token = 1; Token <= Waiting; ++Token)
    Queue.admit("s", {Token, 1, base::seconds(100), base::seconds(100)}, Full,
                Now);
  ASSERT_EQ(Queue.waitingCount("s"), Waiting);
  ServerPool::ServiceUsage Limited;
  Limited.m_LimitedServers = 1;
  for (const auto &[Least, Most] :
       {retryAfterRange(Queue, Full), retryAfterRange(Queue, Limited)}) {
    EXPECT_GE(Least, base::seconds(1));
    EXPECT_LE(Most, base::Millis(2500));
    EXPECT_GT(Most - Least, base::seconds(1));
  }
}

// Load: so many streams that passes exceed the target interval.
TEST(ConcurrencyLimiter, LongIntervalsLowerTheLimit) {
  ConcurrencyLimiter Limiter(smoothed());
  const double Before = Limiter.limit({"s"}, engine(), base::Millis(120));
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval({"s"}, engine(), base::Millis(150), 12, {});
  EXPECT_LT(Limiter.limit({"s"}, engine(), base::Millis(120)), Before);
  // Five times the number of intervals that the moving average covers.
  for (int Count = 0; Count < 5000; ++Count)
    Limiter.recordInterval({"s"}, engine(), base::Millis(65), 12, {});
  EXPECT_DOUBLE_EQ(Limiter.limit({"s"}, engine(), base::Millis(120)), 12);
}

// Load: expert popularity shifts every few seconds, and passes are slow for a
// short time after each shift. If the limit rose in between, all streams would
// be late at the next shift.
TEST(ConcurrencyLimiter, TheLimitStaysLowBetweenPopularityShifts) {
  constexpr int Shifts = 20;
  constexpr int IntervalsAfterShift = 120;
  constexpr int IntervalsBetweenShifts = 600;
  ConcurrencyLimiter Limiter(smoothed());
  for (int Shift = 0; Shift < Shifts; ++Shift) {
    for (int Count = 0; Count < IntervalsAfterShift; ++Count)
      Limiter.recordInterval({"s"}, engine(), base::Millis(130), 8, {});
    for (int Count = 0; Count < IntervalsBetweenShifts; ++Count)
      Limiter.recordInterval({"s"}, engine(), base::Millis(55), 8, {});
  }
  EXPECT_LT(Limiter.limit({"s"}, engine(), base::Millis(120)), 9);
}

// Load: entries measure different intervals but must use similar limits.
TEST(ConcurrencyLimiter, EstimatesOfOtherEntriesCount) {
  ConcurrencyLimiter Limiter(smoothed());
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval({"s"}, engine(), base::Millis(65), 12, {});
  const double Alone = Limiter.limit({"s"}, engine(), base::Millis(120));
  Limiter.setPeerRatios("e2", {{{"s"}, {3.0, 0.2}}});
  EXPECT_LT(Limiter.limit({"s"}, engine(), base::Millis(120)), Alone);
  Limiter.removePeer("e2");
  EXPECT_DOUBLE_EQ(Limiter.limit({"s"}, engine(), base::Millis(120)), Alone);
}

TEST(ConcurrencyLimiter, StallsAreNotCounted) {
  ConcurrencyLimiter Limiter(smoothed());
  for (int Count = 0; Count < 1000; ++Count)
    Limiter.recordInterval({"s"}, engine(), base::Millis(65), 12, {});
  const double Before = Limiter.limit({"s"}, engine(), base::Millis(120));
  for (int Count = 0; Count < 100; ++Count)
    Limiter.recordInterval({"s"}, engine(), base::Millis(2000), 12, {});
  EXPECT_DOUBLE_EQ(Limiter.limit({"s"}, engine(), base::Millis(120)), Before);
}

// Load: an outage in which every request fails, at all entries together.
TEST(SharedRetryBudget, AllEntriesTogetherStayWithinTheBudget) {
  constexpr int Entries = 8;
  SharedRetryBudgetSettings Settings;
  Settings.m_ExtraRetries = 92;
  int Retries = 0;
  int Requests = 0;
  for (int Entry = 0; Entry < Entries; ++Entry) {
    SharedRetryBudget Budget(Settings);
    Budget.setEntryCount(Entries);
    for (int Count = 0; Count < 200; ++Count) {
      const base::Millis Now(1000 + Count * 10);
      Budget.recordRequest("s", Now);
      ++Requests;
      Retries += Budget.tryAcquire("s", Now) ? 1 : 0;
    }
  }
  EXPECT_GT(Retries, 0);
  EXPECT_LE(Retries, Settings.m_Ratio * Requests + Settings.m_ExtraRetries);
}

TEST(SharedRetryBudget, APartitionDoesNotIncreaseTheShare) {
  SharedRetryBudgetSettings Settings;
  Settings.m_ExtraRetries = 92;
  SharedRetryBudget Budget(Settings);
  Budget.setEntryCount(8);
  Budget.setEntryCount(1);
  int Retries = 0;
  while (Budget.tryAcquire("s", base::seconds(1)))
    ++Retries;
  EXPECT_LE(Retries, 92 / 8);
}

} // namespace corneldeck::direct

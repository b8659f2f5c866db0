#include "Direct/ClassShares.h"
#include "Direct/AdmissionQueue.h"

#include <gtest/gtest.h>
#include <set>

namespace corneldeck::direct {

namespace {

constexpr int Urgent = 0;
constexpr int Middle = 1;
constexpr int Overnight = 2;
constexpr base::Millis Now = base::seconds(100);
constexpr base::Millis Hold = base::seconds(2);
constexpr base::Millis Target{1000};
constexpr base::Millis Deadline = base::seconds(120);

/// Counts of a class that arrives \p Arrivals times a second.
ClassCounts counts(unsigned Arrivals, unsigned InFlight, unsigned Waiting = 0) {
  return {InFlight, Arrivals, 0, Waiting, Hold};
}

/// An entry that knows all counts from the report of the others.
ClassShares withReport(ServiceClasses Classes) {
  ClassShares Shares;
  Shares.setEntries(33);
  Shares.setPeerReport("all", {{"s", std::move(Classes)}}, Now, 32);
  return Shares;
}

bool mayStart(ClassShares &Shares, int Class, ClassShares::Usage Given) {
  return ClassShares::mayStart(Shares.shares("s", Given, Now), Class, Given);
}

} // namespace

// Load: overnight work rises to 2.2 times its rate and fills the slots, so that
// the next urgent requests find none.
TEST(ClassShares, KeepsSlotsForTheArrivalsOfMoreUrgentClasses) {
  ClassShares Shares =
      withReport({{Urgent, counts(75, 140)}, {Overnight, counts(250, 340)}});
  const ClassShares::Usage Given{500, 480};
  EXPECT_FALSE(mayStart(Shares, Overnight, Given));
  EXPECT_TRUE(mayStart(Shares, Urgent, Given));
}

// Load: a calm day. Slots that nobody needs must not be refused.
TEST(ClassShares, ReservesNothingWhileThereAreSlotsForAll) {
  ClassShares Shares =
      withReport({{Urgent, counts(75, 100)}, {Overnight, counts(100, 390)}});
  EXPECT_TRUE(mayStart(Shares, Overnight, {500, 499}));
}

// Failure: capacity stayed reserved after the urgent burst had ended.
TEST(ClassShares, ReleasesTheReservationWhenItIsNotUsed) {
  ClassShares Shares;
  for (int Count = 0; Count < 100; ++Count)
    Shares.recordArrival("s", Urgent, Now);
  const base::Millis Later = Now + base::Millis(1100);
  for (int Count = 0; Count < 100; ++Count)
    Shares.recordArrival("s", Overnight, Later);
  const ClassShares::Usage Given{100, 99};
  EXPECT_TRUE(ClassShares::mayStart(Shares.shares("s", Given, Later), Overnight,
                                    Given));
}

// Load: 2.5 times the capacity, most of it urgent. Each class is served at
// least a quarter as often as all, and none less often than a less urgent one.
TEST(ClassShares, NoClassStarves) {
  ClassShares Shares = withReport({{Urgent, counts(400, 0)},
                                   {Middle, counts(125, 0)},
                                   {Overnight, counts(100, 0)}});
  double LastRatio = 2;
  for (const ClassShares::Share &Each : Shares.shares("s", {500, 500}, Now)) {
    const double Ratio = Each.m_Allocated / Each.m_Need;
    EXPECT_GE(Ratio, 0.25 * 500 / 1250);
    EXPECT_LE(Ratio, LastRatio + 1e-9);
    LastRatio = Ratio;
  }
  EXPECT_TRUE(mayStart(Shares, Overnight, {500, 499}));
}

// Failure: the entries of an earlier release send no reports, and an entry
// reserved only for the requests that it saw itself.
TEST(ClassShares, ScalesItsCountsForEntriesThatSendNone) {
  ClassShares Shares;
  Shares.setEntries(10);
  for (int Count = 0; Count < 5; ++Count)
    Shares.recordArrival("s", Urgent, Now);
  EXPECT_DOUBLE_EQ(Shares.shares("s", {500, 0}, Now).front().m_Arrivals, 50);
}

// Failure: the counts of an entry that was lost stayed in force.
TEST(ClassShares, ReportsExpire) {
  ClassShares Shares = withReport({{Urgent, counts(75, 140)}});
  EXPECT_EQ(Shares.shares("s", {500, 0}, Now).size(), 1U);
  EXPECT_TRUE(Shares.shares("s", {500, 0}, Now + base::seconds(3)).empty());
}

// Failure: a configuration with many priorities made the heartbeats grow.
TEST(ClassShares, ReportsAtMostEightClasses) {
  ClassShares Shares;
  for (int Class = 0; Class < 20; ++Class)
    Shares.recordArrival("s", Class, Now);
  const ServiceClasses Report = Shares.localReport(Now)["s"];
  ASSERT_EQ(Report.size(), ClassShares::MaxClasses);
  EXPECT_EQ(Report.rbegin()->second.m_Arrivals, 13U);
}

// Load: many callers of the least urgent class that are refused in a burst.
// They have to return one after the other, when their class can be served.
TEST(ClassShares, RefusedCallersReturnInTheirOrder) {
  ClassShares Shares =
      withReport({{Urgent, counts(150, 280)}, {Overnight, counts(330, 220)}});
  const auto All = Shares.shares("s", {500, 500}, Now);
  std::set<std::int64_t> Times;
  base::Millis Last{};
  constexpr int Callers = 8;
  for (int Count = 0; Count < Callers; ++Count) {
    const base::Millis Time = Shares.retryAfter("s", All, Overnight, 0.5, Now);
    EXPECT_GT(Time, Last);
    EXPECT_GE(Time, base::Millis(400));
    EXPECT_LE(Time, base::seconds(5));
    Last = Time;
    Times.insert(Time.count());
  }
  EXPECT_EQ(Times.size(), Callers);
  // The urgent class is served sooner.
  EXPECT_LT(Shares.retryAfter("s", All, Urgent, 0.5, Now), Last);
}

// Load: an urgent request arrives while overnight requests wait for slots that
// are reserved.
TEST(AdmissionQueueClasses, AnUrgentRequestPassesThoseThatWait) {
  AdmissionQueue Queue;
  Queue.classShares().setEntries(33);
  Queue.classShares().setPeerReport(
      "all",
      {{"s", {{Urgent, counts(75, 140)}, {Overnight, counts(250, 340)}}}}, Now,
      32);
  const ServerPool::ServiceUsage Usage{72, 500, 480};
  EXPECT_EQ(Queue.admit("s", {1, Overnight, Target, Deadline}, Usage, Now),
            AdmissionQueue::Decision::Wait);
  EXPECT_EQ(Queue.admit("s", {2, Urgent, Target, Deadline}, Usage, Now),
            AdmissionQueue::Decision::Admit);
  EXPECT_TRUE(Queue.dequeue("s", Usage, Now).m_Admitted.empty());
  EXPECT_EQ(Queue.dequeue("s", {72, 500, 300}, Now).m_Admitted,
            (std::vector<std::uint64_t>{1}));
}

// Failure: requests that had ended still counted as in flight.
TEST(AdmissionQueueClasses, CountsEndedRequestsNoMore) {
  AdmissionQueue Queue;
  Queue.admit("s", {1, Urgent, Target, Deadline}, {2, 10, 0}, Now);
  EXPECT_EQ(Queue.classShares().localReport(Now)["s"][Urgent].m_InFlight, 1U);
  Queue.recordEnd("s", 1, Now + Hold);
  Queue.recordEnd("s", 1, Now + Hold);
  const ClassCounts After = Queue.classShares().localReport(Now)["s"][Urgent];
  EXPECT_EQ(After.m_InFlight, 0U);
  EXPECT_EQ(After.m_HoldTime, Hold);
}

} // namespace corneldeck::direct

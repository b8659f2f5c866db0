#include "Gateway/ClassExchange.h"
#include "Fleet/FleetSummary.h"

#include <gtest/gtest.h>

namespace corneldeck::gateway {

namespace {

constexpr base::Millis Now = base::seconds(100);
constexpr direct::ClassShares::Usage Usage{100, 0};

/// An entry with its counts and the heartbeat that it sends.
struct TestEntry {
  direct::ClassShares m_Shares;
  ClassExchange m_Exchange{m_Shares};

  void arrive(int Class, int Count) {
    for (int Index = 0; Index < Count; ++Index)
      m_Shares.recordArrival("s", Class, Now);
  }
  wire::FleetBeat heartbeat(const std::string &Node) const {
    wire::FleetBeat Beat;
    Beat.mutable_sender()->set_node(Node);
    m_Exchange.fillHeartbeat(Beat, Now);
    return Beat;
  }
  double arrivals(base::Millis At = Now) {
    double Sum = 0;
    for (const auto &Each : m_Shares.shares("s", Usage, At))
      Sum += Each.m_Arrivals;
    return Sum;
  }
};

} // namespace

// Load: an entry sees a part of the requests and has to know those of the
// others.
TEST(ClassExchange, AddsTheRequestsOfOtherEntries) {
  TestEntry Own;
  TestEntry Other;
  Own.m_Shares.setEntries(2);
  Own.arrive(0, 2);
  Other.arrive(0, 1);
  Other.arrive(1, 4);
  Own.m_Exchange.handleHeartbeat(Other.heartbeat("b"), Now);
  EXPECT_DOUBLE_EQ(Own.arrivals(), 7);
  EXPECT_TRUE(Own.m_Shares.isShared("s", Now));
  Own.m_Exchange.removePeer("b");
  EXPECT_DOUBLE_EQ(Own.arrivals(), 4);
}

// Failure: the entries of an earlier release send no classes, and their
// requests were missing in the sum.
TEST(ClassExchange, ScalesForEntriesOfEarlierReleases) {
  TestEntry Own;
  Own.m_Shares.setEntries(3);
  Own.arrive(0, 2);
  wire::FleetBeat Earlier;
  Earlier.mutable_sender()->set_node("b");
  Own.m_Exchange.handleHeartbeat(Earlier, Now);
  EXPECT_DOUBLE_EQ(Own.arrivals(), 6);
  TestEntry Idle;
  Own.m_Exchange.handleHeartbeat(Idle.heartbeat("c"), Now);
  EXPECT_DOUBLE_EQ(Own.arrivals(), 3);
}

// Failure: the own requests were counted twice, since summaries include them.
TEST(ClassExchange, SubtractsTheOwnRequestsFromSummaries) {
  TestEntry Own;
  TestEntry Other;
  Own.m_Shares.setEntries(2);
  Own.arrive(0, 2);
  Other.arrive(0, 5);
  const wire::FleetBeat OwnBeat = Own.heartbeat("a");
  fleet::SummarySum Zone;
  Zone.addEntry(OwnBeat, base::Millis(0));
  wire::FleetSummary Partial;
  Zone.write(Partial);
  fleet::SummarySum All;
  All.addSummary(Partial, base::Millis(0));
  All.addEntry(Other.heartbeat("b"), base::Millis(0));
  wire::FleetSummary Total;
  All.write(Total);
  EXPECT_EQ(Total.class_entries(), 2U);
  Own.m_Exchange.handleSummary(Total, &OwnBeat, "all entries", Now);
  EXPECT_DOUBLE_EQ(Own.arrivals(), 7);
  // The summary expires as the loads do.
  Own.arrive(0, 0);
  EXPECT_DOUBLE_EQ(Own.arrivals(Now + base::seconds(3)), 0);
}

// Failure: a configuration with many priorities made the summaries grow.
TEST(ClassExchange, SummariesHaveAtMostEightClasses) {
  fleet::SummarySum Sum;
  for (int Entry = 0; Entry < 4; ++Entry) {
    TestEntry Sender;
    for (int Class = 0; Class < 5; ++Class)
      Sender.arrive(5 * Entry + Class, 1);
    Sum.addEntry(Sender.heartbeat("e"), base::Millis(0));
  }
  wire::FleetSummary Total;
  Sum.write(Total);
  ASSERT_EQ(Total.classes_size(), 1);
  ASSERT_EQ(Total.classes(0).classes_size(), 8);
  EXPECT_EQ(Total.classes(0).classes(7).arrivals(), 13U);
}

// Failure: more classes than a service may have made each decision slow.
TEST(ClassExchange, IgnoresClassesBeyondTheMaximum) {
  TestEntry Own;
  wire::FleetBeat Beat;
  Beat.mutable_sender()->set_node("b");
  Beat.set_reports_classes(true);
  wire::ClassNews &News = *Beat.add_classes();
  News.set_service("s");
  for (int Class = 0; Class < 1000; ++Class)
    News.add_classes()->set_priority(Class);
  Own.m_Exchange.handleHeartbeat(Beat, Now);
  EXPECT_EQ(Own.m_Shares.shares("s", Usage, Now).size(),
            direct::ClassShares::MaxClasses);
}

// Bounds the bytes that the classes add to a heartbeat, see CLASSES.md.
TEST(ClassExchange, ThreeClassesNeedFewBytes) {
  TestEntry Sender;
  for (int Class = 0; Class < 3; ++Class) {
    Sender.arrive(Class, 8);
    for (int Count = 0; Count < 16; ++Count)
      Sender.m_Shares.recordStart("s", Class);
    Sender.m_Shares.recordEnd("s", Class, base::seconds(2));
  }
  wire::FleetBeat Without = Sender.heartbeat("e");
  const std::size_t With = Without.ByteSizeLong();
  Without.clear_classes();
  EXPECT_LE(With - Without.ByteSizeLong(), 60U);
}

} // namespace corneldeck::gateway

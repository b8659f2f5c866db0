#include "Routing/ReplicaChooser.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using base::Millis;
using routing::Choice;
using routing::ChoiceKind;
using routing::ChoiceQuery;
using routing::ReplicaChooser;
using routing::ReplicaInfo;
using routing::ReplicaReport;
using routing::WaitPolicy;

namespace {

const std::vector<ReplicaInfo> Two = {{"a", "z1"}, {"b", "z1"}};

ReplicaReport report(std::uint32_t Running, std::uint32_t StepMicros) {
  ReplicaReport Report;
  Report.m_Running = Running;
  Report.m_Capacity = 32;
  Report.m_StepMicros = StepMicros;
  return Report;
}

ReplicaChooser twoReplicas() {
  ReplicaChooser Chooser({}, "z1", 1);
  Chooser.setReplicas(Two);
  Chooser.onReport(Millis(1'000), "a", report(4, 6'000));
  Chooser.onReport(Millis(1'000), "b", report(4, 6'000));
  return Chooser;
}

/// \returns for how many of 100 requests replica a is chosen.
int countChosenA(ReplicaChooser &Chooser, const ChoiceQuery &Query) {
  int Count = 0;
  for (int Number = 0; Number < 100; ++Number)
    Count += Chooser.choose(Millis(1'000), Query).m_Replica == "a" ? 1 : 0;
  return Count;
}

TEST(ReplicaChooser, SpreadsEvenlyOverEqualReplicas) {
  ReplicaChooser Chooser = twoReplicas();
  const int Count = countChosenA(Chooser, {});
  EXPECT_GT(Count, 25);
  EXPECT_LT(Count, 75);
}

TEST(ReplicaChooser, SkipsExcludedDrainingAndUnreachableReplicas) {
  ReplicaChooser Chooser = twoReplicas();
  ChoiceQuery Query;
  Query.m_Excluded = {"a"};
  EXPECT_EQ(countChosenA(Chooser, Query), 0);
  ReplicaReport DrainingReport = report(0, 6'000);
  DrainingReport.m_Draining = true;
  Chooser.onReport(Millis(1'000), "b", DrainingReport);
  EXPECT_EQ(Chooser.choose(Millis(1'000), Query).m_Kind, ChoiceKind::NoReplica);
  Chooser.setReachable("a", false);
  EXPECT_EQ(Chooser.choose(Millis(1'000), {}).m_Kind, ChoiceKind::NoReplica);
}

TEST(ReplicaChooser, AvoidsAReplicaWithLongSteps) {
  ReplicaChooser Chooser = twoReplicas();
  for (int Number = 0; Number < 50; ++Number)
    Chooser.onReport(Millis(1'000), "a", report(4, 18'000));
  EXPECT_EQ(countChosenA(Chooser, {}), 0);
}

TEST(ReplicaChooser, PrefersTheCachedPrefix) {
  ReplicaChooser Chooser = twoReplicas();
  const std::vector<std::uint64_t> Blocks = {1, 2,  3,  4,  5,  6,  7,  8,
                                             9, 10, 11, 12, 13, 14, 15, 16};
  Chooser.onCacheEvents(Millis(1'000), "a", 0, Blocks, {});
  ChoiceQuery Query;
  Query.m_PromptTokens = 1'024;
  Query.m_PrefixBlocks = Blocks;
  EXPECT_EQ(countChosenA(Chooser, Query), 100);
}

TEST(ReplicaChooser, BacksOffFromAFailingReplica) {
  ReplicaChooser Chooser = twoReplicas();
  ChoiceQuery OnlyA;
  OnlyA.m_Excluded = {"b"};
  for (int Number = 0; Number < 2; ++Number) {
    const std::string Attempt = std::to_string(Number);
    const Choice Chosen = Chooser.choose(Millis(1'000), OnlyA);
    Chooser.onAttemptSent(Millis(1'000), Attempt, Chosen, {});
    Chooser.onAttemptFailed(Millis(1'000), Attempt);
  }
  EXPECT_EQ(countChosenA(Chooser, {}), 0);
  EXPECT_EQ(Chooser.choose(Millis(1'300), OnlyA).m_Replica, "a");
}

TEST(ReplicaChooser, ReportsBusyWhileAllReplicasAreFull) {
  ReplicaChooser Chooser = twoReplicas();
  Chooser.onReport(Millis(1'000), "a", report(90, 6'000));
  Chooser.onReport(Millis(1'000), "b", report(90, 6'000));
  EXPECT_EQ(Chooser.choose(Millis(1'000), {}).m_Kind, ChoiceKind::Busy);
  EXPECT_EQ(Chooser.choose(Millis(1'000), {}, WaitPolicy::NoWait).m_Kind,
            ChoiceKind::Chosen);
}

} // namespace

#include "SoakPlan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace corneldeck::tests {

namespace {

SoakPlan planOf(std::uint64_t Seed, Plant Planted = Plant::None) {
  return SoakPlan({.m_Seed = Seed, .m_Plant = Planted});
}

std::size_t countOf(const SoakPlan &Plan, StepKind Kind) {
  return static_cast<std::size_t>(
      std::count_if(Plan.steps().begin(), Plan.steps().end(),
                    [Kind](const Step &Each) { return Each.m_Kind == Kind; }));
}

constexpr std::uint64_t Seeds = 50;

} // namespace

// Failure: requests and faults drew from one generator in the order in which
// timers ended, so that a seed did not fix a run.
TEST(SoakPlan, TheSeedDeterminesTheRun) {
  std::set<std::string> Digests;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SoakPlan First = planOf(Seed);
    const SoakPlan Second = planOf(Seed);
    EXPECT_EQ(First.steps(), Second.steps());
    EXPECT_EQ(First.digest(), Second.digest());
    EXPECT_EQ(First.request(7), Second.request(7));
    Digests.insert(First.digest());
  }
  EXPECT_EQ(Digests.size(), Seeds);
  // The steps do not depend on how many requests are sent.
  const SoakPlan Plan = planOf(1);
  const PlannedRequest Later = Plan.request(900);
  static_cast<void>(Plan.request(1));
  EXPECT_EQ(Plan.request(900), Later);
}

TEST(SoakPlan, StepsAreInOrderAndWithinTheRun) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SoakPlan Plan = planOf(Seed);
    std::size_t Servers = 4;
    base::Millis Last{};
    for (const Step &Each : Plan.steps()) {
      EXPECT_GE(Each.m_At, Last);
      EXPECT_LT(Each.m_At, base::seconds(12));
      EXPECT_LT(Each.m_Target, Servers);
      Servers += Each.m_Kind == StepKind::LeaveServer ? 1 : 0;
      Last = Each.m_At;
    }
    EXPECT_EQ(countOf(Plan, StepKind::BreakStore) > 0, Seed % 2 == 0) << Seed;
    EXPECT_GT(Plan.steps().size(), 20U) << Seed;
  }
}

TEST(SoakPlan, NoServerIsSpared) {
  std::map<StepKind, std::set<std::size_t>> Targets;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const SoakPlan Plan = planOf(Seed);
    for (const Step &Each : Plan.steps())
      Targets[Each.m_Kind].insert(Each.m_Target);
  }
  for (const StepKind Kind :
       {StepKind::ResetLinks, StepKind::BreakLink, StepKind::ChangeBehavior,
        StepKind::LeaveServer, StepKind::PauseServer, StepKind::SayLeaving,
        StepKind::NameLimit})
    for (std::size_t Index = 0; Index < 4; ++Index)
      EXPECT_TRUE(Targets[Kind].contains(Index)) << name(Kind) << Index;
}

// Failure: the faults of a run could hide the mistake that was planted in it.
TEST(SoakPlan, PlantedMistakesAreNotHiddenByFaults) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    EXPECT_EQ(countOf(planOf(Seed, Plant::LimitExceeded), StepKind::NameLimit),
              4U);
    EXPECT_EQ(countOf(planOf(Seed, Plant::NoticeIgnored), StepKind::SayLeaving),
              3U);
    EXPECT_EQ(countOf(planOf(Seed, Plant::PauseIgnored), StepKind::PauseServer),
              3U);
    EXPECT_EQ(countOf(planOf(Seed, Plant::EraIgnored), StepKind::ReturnStore),
              1U);
    for (const Plant Each :
         {Plant::LeavingStillUsed, Plant::LimitExceeded, Plant::NoticeIgnored,
          Plant::PauseIgnored, Plant::EraIgnored, Plant::FatalPartHidden}) {
      const SoakPlan Plan = planOf(Seed, Each);
      for (const StepKind Kind :
           {StepKind::KillEntry, StepKind::FreezeEntry, StepKind::StopEntry,
            StepKind::ReloadEntry, StepKind::BreakLink, StepKind::ResetLinks,
            StepKind::BreakStore})
        EXPECT_EQ(countOf(Plan, Kind), 0U);
    }
  }
  int Fatal = 0;
  const SoakPlan Plan = planOf(1, Plant::FatalPartHidden);
  for (std::uint64_t Number = 1; Number <= 1000; ++Number)
    Fatal += Plan.request(Number).m_HasFatalPart ? 1 : 0;
  EXPECT_GT(Fatal, 50);
}

} // namespace corneldeck::tests

#include "SimulatedGroup.h"

#include <gtest/gtest.h>

namespace corneldeck::tests {

namespace {

constexpr int Schedules = 120;
constexpr int Ticks = 4000;

FaultRates allFaults() {
  FaultRates Rates;
  Rates.m_OrderDelayed = 0.25;
  Rates.m_ResultLost = 0.1;
  Rates.m_MessageLost = 0.1;
  Rates.m_PlannerKilled = 0.004;
  Rates.m_PlannerPaused = 0.004;
  Rates.m_AgentRestarted = 0.002;
  Rates.m_RankCrashed = 0.0008;
  return Rates;
}

/// \returns whether a pass with different maps occurs in any schedule with the
/// planted fault.
bool detects(PlantedFault Fault) {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, allFaults(), Fault);
    Group.run(Ticks);
    if (Group.hasMixedMaps())
      return true;
  }
  return false;
}

} // namespace

TEST(GroupPlannerSimulation, SwitchesWithoutDelayingPasses) {
  SimulatedGroup Group(1, {}, PlantedFault::None);
  Group.run(Ticks);
  EXPECT_FALSE(Group.hasMixedMaps());
  EXPECT_GT(Group.switches(), 5);
  EXPECT_EQ(Group.longestHeld(), 0);
}

// Failure: the preparation of maps whose copies take longer than a fixed time
// was always aborted, so the group never got new maps.
TEST(GroupPlannerSimulation, SwitchesToMapsThatAreCopiedSlowly) {
  SimulatedGroup Group(1, {}, PlantedFault::None, base::seconds(6));
  Group.run(Ticks);
  EXPECT_FALSE(Group.hasMixedMaps());
  EXPECT_GT(Group.switches(), 1);
}

TEST(GroupPlannerSimulation, DelayedOrdersNeverMixMaps) {
  FaultRates Rates;
  Rates.m_OrderDelayed = 0.35;
  int Switches = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, Rates, PlantedFault::None);
    Group.run(Ticks);
    ASSERT_FALSE(Group.hasMixedMaps()) << "seed " << Seed;
    Switches += Group.switches();
  }
  EXPECT_GT(Switches, Schedules);
}

TEST(GroupPlannerSimulation, KilledAndPausedPlannersNeverMixMaps) {
  FaultRates Rates;
  Rates.m_OrderDelayed = 0.2;
  Rates.m_PlannerKilled = 0.01;
  Rates.m_PlannerPaused = 0.01;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, Rates, PlantedFault::None);
    Group.run(Ticks);
    ASSERT_FALSE(Group.hasMixedMaps()) << "seed " << Seed;
  }
}

TEST(GroupPlannerSimulation, AllFaultsTogetherNeverMixMaps) {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, allFaults(), PlantedFault::None);
    Group.run(Ticks);
    ASSERT_FALSE(Group.hasMixedMaps()) << "seed " << Seed;
    EXPECT_GT(Group.passes(), Ticks / 20) << "seed " << Seed;
  }
}

TEST(GroupPlannerSimulation, HeldGroupResumesAfterPlannerIsKilled) {
  FaultRates Rates;
  Rates.m_PlannerKilled = 0.01;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, Rates, PlantedFault::None);
    Group.run(Ticks);
    // 2 s are 66 ticks, of which the new planner starts after 40.
    EXPECT_LE(Group.longestHeld(), 26) << "seed " << Seed;
  }
}

TEST(GroupPlannerSimulation, DetectsReleaseBeforeAllRanksAreArmed) {
  EXPECT_TRUE(detects(PlantedFault::ReleaseUnarmed));
}

TEST(GroupPlannerSimulation, DetectsNewPlannerThatReleasesHold) {
  EXPECT_TRUE(detects(PlantedFault::ReleaseHoldAtOnce));
}

TEST(GroupPlannerSimulation, DetectsPlannersThatIgnoreHold) {
  FaultRates Rates;
  Rates.m_PlannerKilled = 0.01;
  int Longest = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    SimulatedGroup Group(Seed, Rates, PlantedFault::IgnoreHold);
    Group.run(Ticks);
    Longest = std::max(Longest, Group.longestHeld());
  }
  EXPECT_GT(Longest, 26);
}

TEST(GroupPlannerSimulation, DetectsAgentsThatFollowSupersededPlanner) {
  EXPECT_TRUE(detects(PlantedFault::FollowSupersededPlanner));
}

TEST(GroupPlannerSimulation, DetectsVersionsSharedByTwoPlanners) {
  EXPECT_TRUE(detects(PlantedFault::SameVersions));
}

} // namespace corneldeck::tests

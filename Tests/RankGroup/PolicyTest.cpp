#include "RankGroup/GroupReadiness.h"
#include "RankGroup/RebalancePlanner.h"
#include "RankGroup/StragglerDetector.h"
#include "RankGroup/WeightStoreRateLimiter.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {
namespace {

using base::Millis;

TEST(StragglerDetector, DistinguishesSlowHardwareFromHotExperts) {
  StragglerDetector Detector(4, {});
  // Rank 1 has hot experts; rank 2 takes longer for each token.
  for (int Window = 0; Window < 3; ++Window)
    Detector.observe({100, 300, 100, 100}, {10, 30, 15, 10});
  EXPECT_FALSE(Detector.isSlow(1));
  EXPECT_TRUE(Detector.isSlow(2));
  EXPECT_NEAR(Detector.speeds()[2], 1 / 1.5, 0.05);
  EXPECT_FALSE(Detector.needsReplacement());
}

TEST(StragglerDetector, DoesNotOscillateBetweenThresholds) {
  StragglerDetector Detector(4, {});
  int Changes = 0;
  bool Before = false;
  for (int Window = 0; Window < 50; ++Window) {
    const double Slow = Window % 2 == 0 ? 11.6 : 10.8;
    Detector.observe({100, 100, 100, 100}, {10, 10, 10, Slow});
    Changes += Detector.isSlow(3) != Before ? 1 : 0;
    Before = Detector.isSlow(3);
  }
  EXPECT_LE(Changes, 1);
}

TEST(StragglerDetector, DetectsRankThatNeedsReplacement) {
  StragglerDetector Detector(4, {});
  for (int Window = 0; Window < 3; ++Window)
    Detector.observe({100, 100, 100, 100}, {10, 10, 10, 80});
  EXPECT_TRUE(Detector.needsReplacement());
}

TEST(GroupReadiness, IsNotRoutableAfterRankIsLost) {
  GroupReadiness Readiness({0, 2, Millis(500)});
  EngineState OwnEngine;
  OwnEngine.m_Joined = true;
  OwnEngine.m_Formation.m_Epoch = {1, 9};
  EXPECT_FALSE(Readiness.update(Millis(0), OwnEngine).has_value());
  Status Other;
  Other.m_Joined = true;
  Other.m_Epoch = {1, 9};
  Readiness.onStatus(Millis(10), 1, Other);
  ASSERT_TRUE(Readiness.update(Millis(10), OwnEngine).has_value());
  EXPECT_TRUE(Readiness.isRoutable());
  EXPECT_TRUE(Readiness.update(Millis(511), OwnEngine).has_value());
  EXPECT_EQ(Readiness.reason(), "rank 1 is silent");
  Other.m_Joined = false;
  Readiness.onStatus(Millis(520), 1, Other);
  EXPECT_FALSE(Readiness.update(Millis(520), OwnEngine).has_value());
  EXPECT_EQ(Readiness.reason(), "rank 1 is not in this epoch");
}

TEST(WeightStoreRateLimiter, SharesRateAndLimitsBursts) {
  WeightStoreRateLimiter Limiter({4, 16, base::seconds(1000)});
  EXPECT_EQ(Limiter.grant("a", 100, Millis(0)), 0U);
  EXPECT_EQ(Limiter.grant("b", 100, Millis(0)), 0U);
  EXPECT_EQ(Limiter.grant("a", 100, base::seconds(2)), 4U);
  EXPECT_EQ(Limiter.grant("b", 1, base::seconds(2)), 1U);
  EXPECT_EQ(Limiter.grant("a", 100, base::seconds(100)), 16U);
}

TEST(RebalancePlanner, MovesNothingWhileBlocked) {
  RebalancePlanner::Config Settings;
  Settings.m_SlotsPerRank = 5;
  RebalancePlanner Planner(Settings);
  std::vector<double> Counts(16, 1.0);
  Counts[0] = 20;
  Planner.observe(Counts, 1);
  const std::vector<double> Speeds(4, 1.0);
  const ExpertMap Map = ExpertMap::contiguous(4, 16);
  EXPECT_EQ(Planner.plan(Map, Speeds, true).m_Copies, 0U);
  const RebalancePlanner::Plan Plan = Planner.plan(Map, Speeds);
  EXPECT_GT(Plan.m_Copies, 0U);
  EXPECT_LT(Plan.m_SkewAfter, Plan.m_SkewBefore);
  EXPECT_TRUE(Plan.m_Map.validate(5).has_value());
}

} // namespace
} // namespace corneldeck::rankgroup

#include "Direct/ConcurrencyLimiter.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Target{120};
constexpr double InFlight = 7;

EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = 10;
  Engine.m_StepMillis = 5;
  Engine.m_StepMillisPerRequest = 0.43;
  Engine.m_StepsPerPass = 6;
  return Engine;
}

ConcurrencyLimiterSettings distribution() {
  ConcurrencyLimiterSettings Settings;
  Settings.m_Estimate = PassTimeEstimate::Distribution;
  return Settings;
}

/// An entry with four streams of one group.
class PassTimeDistribution : public ::testing::Test {
protected:
  /// Lets the streams run for some time with a pass time ratio.
  void run(base::Millis Duration, double Ratio) {
    const double Pass = Ratio * 6 * (5 + 0.43 * InFlight);
    const base::Millis Interval(std::lround(Pass));
    for (const base::Millis End = m_Now + Duration; m_Now < End;) {
      m_Now += Interval;
      for (std::size_t Index = 0; Index < 4; ++Index)
        pass(Index, Interval);
      if (m_Now - m_AdvancedAt < base::Millis(200))
        continue;
      m_AdvancedAt = m_Now;
      m_Limiter.advance(m_Now);
    }
  }

  void pass(std::size_t Index, base::Millis Interval) {
    m_Largest[Index] = std::max(
        m_Largest[Index],
        m_Limiter.recordInterval({"s"}, engine(), Interval, InFlight, m_Now));
    // The streams end one after the other.
    if ((++m_Passes + Index * 6) % 24 != 0)
      return;
    m_Limiter.recordStream({"s"}, m_Largest[Index]);
    m_Largest[Index] = 0;
  }

  double limit() const { return m_Limiter.limit({"s"}, engine(), Target); }

  base::Millis m_Now = base::seconds(10);
  base::Millis m_AdvancedAt = m_Now;
  std::size_t m_Passes = 0;
  std::array<double, 4> m_Largest{};
  ConcurrencyLimiter m_Limiter{distribution()};
};

} // namespace

// Load: the ratio rises for good. The limit followed only after thousands of
// intervals, some seconds later.
TEST_F(PassTimeDistribution, TheLimitFollowsALastingChangeWithinASecond) {
  run(base::seconds(20), 1.1);
  ASSERT_DOUBLE_EQ(limit(), 10);
  run(base::seconds(1), 2.3);
  // Passes of 120 ms at 8.6 requests.
  EXPECT_LT(limit(), 8.7);
  EXPECT_GT(limit(), 6);
}

// Load: experts shift every 4 s, and the map follows after a second. If the
// limit rose in between, the streams in flight would be late at the next shift.
TEST_F(PassTimeDistribution, TheLimitStaysLowBetweenFrequentShifts) {
  for (int Shift = 0; Shift < 6; ++Shift) {
    run(base::seconds(1), 2.4);
    run(base::seconds(3), 1.1);
  }
  // Passes of 120 ms at 7.7 requests.
  EXPECT_LT(limit(), 7.8);
}

// Load: a single shift. The map is its cause and follows soon; a low limit
// would refuse streams that would be in time.
TEST_F(PassTimeDistribution, TheLimitRisesSoonAfterARareShift) {
  run(base::seconds(20), 1.1);
  run(base::seconds(1), 2.4);
  run(base::seconds(2), 1.1);
  EXPECT_DOUBLE_EQ(limit(), 10);
}

// Load: passes so long that fewer requests would not keep them in the target.
TEST_F(PassTimeDistribution, FewerRequestsAreNotRunInVain) {
  run(base::seconds(20), 1.1);
  run(base::seconds(1), 3.5);
  EXPECT_DOUBLE_EQ(limit(), 10);
}

// Failure: one long interval of a stream, such as a pause of this process, was
// taken for a long pass.
TEST_F(PassTimeDistribution, OneLongIntervalDoesNotLowerTheLimit) {
  run(base::seconds(20), 1.1);
  pass(0, base::Millis(130));
  EXPECT_DOUBLE_EQ(limit(), 10);
}

// Failure: an entry without streams kept its distribution, which counted as
// much as those of the others.
TEST_F(PassTimeDistribution, OldIntervalsOfAnIdleEntryDoNotCount) {
  run(base::seconds(20), 2.4);
  const auto Others = m_Limiter.localRatios();
  ASSERT_LT(limit(), 10);
  run(base::seconds(40), 1.1);
  const auto Recent = m_Limiter.localRatios();
  ConcurrencyLimiter Idle(distribution());
  Idle.setPeerRatios("a", Others);
  EXPECT_LT(Idle.limit({"s"}, engine(), Target), 8);
  Idle.setPeerRatios("a", Recent);
  EXPECT_DOUBLE_EQ(Idle.limit({"s"}, engine(), Target), 10);
  m_Limiter.advance(m_Now + base::seconds(60));
  EXPECT_LT(m_Limiter.localRatios().at({"s"}).m_Recent.total(), 1);
}

// Failure: an entry without own streams, or one whose peers send no
// distributions.
TEST_F(PassTimeDistribution, WithoutDistributionsTheSmoothedEstimateCounts) {
  m_Limiter.setPeerRatios("earlier", {{{"s"}, {2.5, 0.01}}});
  EXPECT_LT(limit(), 7);
}

TEST(RatioHistogram, AMessageKeepsTheWeights) {
  RatioHistogram Sent;
  for (const double Ratio : {0.5, 1.0, 1.1, 1.1, 2.5, 20.0})
    Sent.add(Ratio);
  Sent.scale(0.5);
  const auto Counts = Sent.encode();
  EXPECT_EQ(Counts.size(), RatioHistogram::Bins);
  const auto Received = RatioHistogram::decode(Counts);
  EXPECT_DOUBLE_EQ(Received.total(), 3);
  EXPECT_DOUBLE_EQ(Received.fractionAbove(1), 2.0 / 3);
  EXPECT_DOUBLE_EQ(Received.fractionAbove(2), 1.0 / 3);
  EXPECT_EQ(RatioHistogram::decode(std::vector<std::uint32_t>(100, 16)).total(),
            100);
  EXPECT_EQ(RatioHistogram().fractionAbove(1), 0);
  EXPECT_TRUE(RatioHistogram().encode().empty());
}

} // namespace corneldeck::direct

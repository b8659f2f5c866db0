#include "Fakes/RateLimitOracle.h"

#include <gtest/gtest.h>

namespace corneldeck::fakes {

namespace {

using base::Millis;
using base::seconds;

/// Adds arrivals at a constant interval in [Begin, End).
void arrive(RateLimitOracle &Oracle, Millis Begin, Millis End, Millis Interval,
            const std::string &Entry) {
  for (Millis At = Begin; At < End; At += Interval)
    Oracle.requestArrived(At, Entry);
}

RateLimitBound allEntries() {
  RateLimitBound Bound;
  Bound.m_InformedEntriesOnly = false;
  return Bound;
}

} // namespace

TEST(RateLimitOracle, CountsInformedEntriesInSlidingWindows) {
  RateLimitOracle Oracle;
  Oracle.limitNamed(seconds(10), 1);
  Oracle.limitForwarded(seconds(10), "a");
  arrive(Oracle, seconds(10), seconds(20), Millis(500), "a");
  arrive(Oracle, seconds(10), seconds(20), Millis(500), "b");
  EXPECT_EQ(Oracle.worstWindow({}).m_Requests, 9);
  EXPECT_EQ(Oracle.worstWindow({}).m_Allowed, 11);
  EXPECT_EQ(Oracle.worstWindow(allEntries()).m_Requests, 18);
}

TEST(RateLimitOracle, IgnoresTheTimeWithoutALimit) {
  RateLimitOracle Oracle;
  arrive(Oracle, seconds(0), seconds(13), Millis(10), "a");
  Oracle.limitNamed(seconds(10), 1);
  EXPECT_EQ(Oracle.worstWindow(allEntries()).m_Requests, 0);
  Oracle.limitEnded(seconds(20));
  arrive(Oracle, seconds(21), seconds(40), Millis(10), "a");
  EXPECT_EQ(Oracle.worstWindow(allEntries()).m_Requests, 0);
  Oracle.limitNamed(seconds(40), 1);
  arrive(Oracle, seconds(47), seconds(48), Millis(10), "a");
  EXPECT_EQ(Oracle.worstWindow(allEntries()).m_Requests, 100);
}

TEST(RateLimitOracle, AddsTheLimitsOfAWindow) {
  RateLimitOracle Oracle;
  Oracle.limitNamed(seconds(0), 4);
  Oracle.limitNamed(seconds(8), 1);
  Oracle.requestArrived(seconds(10), "a");
  EXPECT_EQ(Oracle.worstWindow(allEntries()).m_Allowed, 1.5 * (2 * 4 + 2) + 5);
  RateLimitBound Bound = allEntries();
  Bound.m_LoweringTime = seconds(1);
  EXPECT_EQ(Oracle.worstWindow(Bound).m_Allowed, 1.5 * (3 * 4 + 1) + 5);
  EXPECT_EQ(Oracle.usedRatio(seconds(8), seconds(12)), 0.25);
}

} // namespace corneldeck::fakes

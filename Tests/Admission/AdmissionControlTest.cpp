#include "Admission/AdmissionControl.h"

#include <gtest/gtest.h>
#include <string>

namespace corneldeck::admission {

namespace {

using base::Millis;

/// A queue of one service at 1,000 work per request.
class AdmissionControlTest : public testing::Test {
protected:
  /// \returns whether a request of the class \p Class was accepted.
  bool enqueue(std::uint32_t Class, Millis Deadline) {
    QueuedRequest New;
    New.m_Request = std::to_string(++m_Requests);
    New.m_Customer = "customer";
    New.m_Class = Class;
    New.m_Work = 1'000;
    New.m_Deadline = m_Now + Deadline;
    return !m_Control.enqueue(m_Now, New).m_Refusal;
  }

  /// Dispatches the next request of the class \p Class.
  void dispatch(std::uint32_t Class) {
    for (const QueuedRequest *Each : m_Control.peek(1'000))
      if (Each->m_Class == Class) {
        const std::string Request = Each->m_Request;
        m_Control.dequeue(m_Now, Request);
        return;
      }
  }

  void advance(Millis Duration) { m_Now += Duration; }

  Millis m_Now = base::seconds(1);
  int m_Requests = 0;
  AdmissionControl m_Control{AdmissionSettings()};
};

constexpr Millis LongDeadline = base::minutes(50);

} // namespace

// Failure: the drain rate of a time with few replicas was still used long after
// they had returned, and requests that could be served were refused.
TEST_F(AdmissionControlTest, TheRateBeforeAnIdleTimeIsForgotten) {
  constexpr int Slow = 10;
  for (int Count = 0; Count < Slow; ++Count)
    ASSERT_TRUE(enqueue(0, LongDeadline));
  EXPECT_TRUE(enqueue(0, LongDeadline));
  for (int Count = 0; Count <= Slow; ++Count) {
    advance(base::seconds(10));
    dispatch(0);
  }
  ASSERT_EQ(m_Control.peek(1).size(), 0U);
  ASSERT_TRUE(enqueue(0, LongDeadline));
  EXPECT_FALSE(enqueue(0, base::seconds(5)));
  dispatch(0);
  advance(base::seconds(20));
  ASSERT_TRUE(enqueue(0, LongDeadline));
  EXPECT_TRUE(enqueue(0, base::seconds(5)));
}

// Failure: while a lower class waited, the work of a higher class that was
// dispatched at once was deducted from the drain rate without being a part of
// it, and requests of the lower class were refused although they were served.
TEST_F(AdmissionControlTest, WorkThatIsDispatchedAtOnceCountsWhileOthersWait) {
  constexpr int Rounds = 100;
  for (int Count = 0; Count < 5; ++Count)
    ASSERT_TRUE(enqueue(1, LongDeadline));
  // Each second two requests of the higher class and one of the lower class are
  // dispatched.
  for (int Round = 0; Round < Rounds; ++Round) {
    for (int Count = 0; Count < 2; ++Count) {
      advance(Millis(500));
      ASSERT_TRUE(enqueue(0, LongDeadline));
      dispatch(0);
    }
    dispatch(1);
    EXPECT_TRUE(enqueue(1, base::seconds(20))) << Round;
  }
}

} // namespace corneldeck::admission

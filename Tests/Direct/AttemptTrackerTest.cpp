#include "Direct/AttemptTracker.h"

#include <array>
#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Now{1000};
constexpr std::array AllOutcomes{
    AttemptOutcome::Complete,     AttemptOutcome::ServerError,
    AttemptOutcome::NotRun,       AttemptOutcome::WrongServer,
    AttemptOutcome::NotConnected, AttemptOutcome::Broken,
    AttemptOutcome::Garbled,      AttemptOutcome::Silent};

AttemptTracker tracker(RetryPolicy Repeat, unsigned Attempts = 3) {
  AttemptTracker::Limits Limits;
  Limits.m_RetryPolicy = Repeat;
  Limits.m_MaxAttempts = Attempts;
  Limits.m_Deadline = base::seconds(10);
  return AttemptTracker(Limits);
}

bool mayHaveRun(AttemptOutcome End) {
  return End != AttemptOutcome::NotRun && End != AttemptOutcome::WrongServer &&
         End != AttemptOutcome::NotConnected;
}

const auto Allow = [] { return true; };
const auto Deny = [] { return false; };

} // namespace

// Tries every pair of attempt outcomes.
TEST(AttemptTracker, NeverRetriesAnAtMostOnceRequestThatMayHaveRun) {
  for (const AttemptOutcome First : AllOutcomes)
    for (const AttemptOutcome Second : AllOutcomes) {
      AttemptTracker Tracker = tracker(RetryPolicy::AtMostOnce);
      Tracker.attemptSent();
      const NextAction Next = Tracker.attemptEnded(First, Now, Allow);
      if (mayHaveRun(First)) {
        EXPECT_NE(Next, NextAction::Retry) << name(First);
        continue;
      }
      ASSERT_EQ(Next, NextAction::Retry) << name(First);
      Tracker.attemptSent();
      if (mayHaveRun(Second))
        EXPECT_NE(Tracker.attemptEnded(Second, Now, Allow), NextAction::Retry)
            << name(First) << ", " << name(Second);
    }
}

TEST(AttemptTracker, ReportsNotRunOnlyIfEveryServerDid) {
  for (const RetryPolicy Repeat :
       {RetryPolicy::AtMostOnce, RetryPolicy::Idempotent,
        RetryPolicy::Resumable})
    for (const AttemptOutcome First : AllOutcomes)
      for (const AttemptOutcome Second : AllOutcomes) {
        AttemptTracker Tracker = tracker(Repeat, 2);
        Tracker.attemptSent();
        NextAction Next = Tracker.attemptEnded(First, Now, Allow);
        bool Ran = mayHaveRun(First);
        if (Next == NextAction::Retry) {
          Tracker.attemptSent();
          Next = Tracker.attemptEnded(Second, Now, Allow);
          Ran = Ran || mayHaveRun(Second);
        }
        if (Next == NextAction::Refuse)
          EXPECT_FALSE(Ran) << name(First) << ", " << name(Second);
        if (Ran)
          EXPECT_NE(Tracker.deadlineReached(), NextAction::Refuse);
      }
}

TEST(AttemptTracker, AStartedResponseIsResumedOnlyIfResumable) {
  for (const AttemptOutcome End : AllOutcomes) {
    if (End == AttemptOutcome::Complete || End == AttemptOutcome::ServerError)
      continue;
    AttemptTracker Once = tracker(RetryPolicy::AtMostOnce);
    Once.attemptSent();
    Once.responseStarted();
    EXPECT_EQ(Once.attemptEnded(End, Now, Allow), NextAction::Abort);
    AttemptTracker Resumed = tracker(RetryPolicy::Resumable);
    Resumed.attemptSent();
    Resumed.responseStarted();
    EXPECT_EQ(Resumed.attemptEnded(End, Now, Allow), NextAction::Resume);
  }
}

TEST(AttemptTracker, RespectsAttemptLimitRetryBudgetAndDeadline) {
  AttemptTracker Attempts = tracker(RetryPolicy::Idempotent, 1);
  Attempts.attemptSent();
  EXPECT_EQ(Attempts.attemptEnded(AttemptOutcome::NotRun, Now, Allow),
            NextAction::Refuse);
  AttemptTracker Budget = tracker(RetryPolicy::Idempotent);
  Budget.attemptSent();
  EXPECT_EQ(Budget.attemptEnded(AttemptOutcome::Broken, Now, Deny),
            NextAction::Fail);
  AttemptTracker Late = tracker(RetryPolicy::Idempotent);
  Late.attemptSent();
  EXPECT_EQ(Late.attemptEnded(AttemptOutcome::NotRun,
                              base::seconds(10) - base::Millis(1), Allow),
            NextAction::Refuse);
}

TEST(AttemptTracker, ForwardsAServerErrorWhenRetriesAreUsedUp) {
  AttemptTracker Tracker = tracker(RetryPolicy::Idempotent, 2);
  Tracker.attemptSent();
  EXPECT_EQ(Tracker.attemptEnded(AttemptOutcome::ServerError, Now, Allow),
            NextAction::Retry);
  Tracker.attemptSent();
  EXPECT_EQ(Tracker.attemptEnded(AttemptOutcome::ServerError, Now, Allow),
            NextAction::ForwardResponse);
  AttemptTracker Once = tracker(RetryPolicy::AtMostOnce);
  Once.attemptSent();
  EXPECT_EQ(Once.attemptEnded(AttemptOutcome::ServerError, Now, Allow),
            NextAction::ForwardResponse);
}

} // namespace corneldeck::direct

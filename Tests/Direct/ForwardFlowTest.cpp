#include "Direct/ForwardFlow.h"

#include <array>
#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Now{1000};
constexpr std::array AllEnds{AttemptEnd::Complete,     AttemptEnd::ServerError,
                             AttemptEnd::NotRun,       AttemptEnd::WrongServer,
                             AttemptEnd::NotConnected, AttemptEnd::Broken,
                             AttemptEnd::Garbled,      AttemptEnd::Silent};

ForwardFlow flow(RepeatPolicy Repeat, unsigned Attempts = 3) {
  ForwardFlow::Terms Terms;
  Terms.m_Repeat = Repeat;
  Terms.m_MaxAttempts = Attempts;
  Terms.m_Due = base::seconds(10);
  return ForwardFlow(Terms);
}

bool mayHaveRun(AttemptEnd End) {
  return End != AttemptEnd::NotRun && End != AttemptEnd::WrongServer &&
         End != AttemptEnd::NotConnected;
}

const auto Allow = [] { return true; };
const auto Deny = [] { return false; };

} // namespace

// Every pair of ends, for each policy and with the answer begun or not.
TEST(ForwardFlow, NeverRepeatsWhatMayHaveRunOnce) {
  for (const AttemptEnd First : AllEnds)
    for (const AttemptEnd Second : AllEnds) {
      ForwardFlow Flow = flow(RepeatPolicy::AtMostOnce);
      Flow.attemptSent();
      const NextStep Next = Flow.attemptEnded(First, Now, Allow);
      if (mayHaveRun(First)) {
        EXPECT_NE(Next, NextStep::Retry) << name(First);
        continue;
      }
      ASSERT_EQ(Next, NextStep::Retry) << name(First);
      Flow.attemptSent();
      if (mayHaveRun(Second))
        EXPECT_NE(Flow.attemptEnded(Second, Now, Allow), NextStep::Retry)
            << name(First) << ", " << name(Second);
    }
}

TEST(ForwardFlow, SaysNotRunOnlyIfEveryServerSaidSo) {
  for (const RepeatPolicy Repeat :
       {RepeatPolicy::AtMostOnce, RepeatPolicy::Idempotent,
        RepeatPolicy::Resumable})
    for (const AttemptEnd First : AllEnds)
      for (const AttemptEnd Second : AllEnds) {
        ForwardFlow Flow = flow(Repeat, 2);
        Flow.attemptSent();
        NextStep Next = Flow.attemptEnded(First, Now, Allow);
        bool Ran = mayHaveRun(First);
        if (Next == NextStep::Retry) {
          Flow.attemptSent();
          Next = Flow.attemptEnded(Second, Now, Allow);
          Ran = Ran || mayHaveRun(Second);
        }
        if (Next == NextStep::Refuse)
          EXPECT_FALSE(Ran) << name(First) << ", " << name(Second);
        if (Ran)
          EXPECT_NE(Flow.timeUp(), NextStep::Refuse);
      }
}

TEST(ForwardFlow, ABegunAnswerIsOnlyResumedIfItMayBe) {
  for (const AttemptEnd End : AllEnds) {
    if (End == AttemptEnd::Complete || End == AttemptEnd::ServerError)
      continue;
    ForwardFlow Once = flow(RepeatPolicy::AtMostOnce);
    Once.attemptSent();
    Once.answerBegun();
    EXPECT_EQ(Once.attemptEnded(End, Now, Allow), NextStep::Abort);
    ForwardFlow Resumed = flow(RepeatPolicy::Resumable);
    Resumed.attemptSent();
    Resumed.answerBegun();
    EXPECT_EQ(Resumed.attemptEnded(End, Now, Allow), NextStep::Resume);
  }
}

TEST(ForwardFlow, KeepsTheRoutesAttemptsTheAllowanceAndTheTime) {
  ForwardFlow Attempts = flow(RepeatPolicy::Idempotent, 1);
  Attempts.attemptSent();
  EXPECT_EQ(Attempts.attemptEnded(AttemptEnd::NotRun, Now, Allow),
            NextStep::Refuse);
  ForwardFlow Allowance = flow(RepeatPolicy::Idempotent);
  Allowance.attemptSent();
  EXPECT_EQ(Allowance.attemptEnded(AttemptEnd::Broken, Now, Deny),
            NextStep::Fail);
  ForwardFlow Late = flow(RepeatPolicy::Idempotent);
  Late.attemptSent();
  EXPECT_EQ(Late.attemptEnded(AttemptEnd::NotRun,
                              base::seconds(10) - base::Millis(1), Allow),
            NextStep::Refuse);
}

TEST(ForwardFlow, AServersOwnErrorIsPassedOnOnceRetriesAreUsedUp) {
  ForwardFlow Flow = flow(RepeatPolicy::Idempotent, 2);
  Flow.attemptSent();
  EXPECT_EQ(Flow.attemptEnded(AttemptEnd::ServerError, Now, Allow),
            NextStep::Retry);
  Flow.attemptSent();
  EXPECT_EQ(Flow.attemptEnded(AttemptEnd::ServerError, Now, Allow),
            NextStep::PassOn);
  ForwardFlow Once = flow(RepeatPolicy::AtMostOnce);
  Once.attemptSent();
  EXPECT_EQ(Once.attemptEnded(AttemptEnd::ServerError, Now, Allow),
            NextStep::PassOn);
}

} // namespace corneldeck::direct

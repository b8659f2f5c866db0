#include "Direct/AdmissionGate.h"
#include "Direct/PauseGovernor.h"
#include "Direct/RetryAllowance.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Target{500};
constexpr ServerPool::ServiceRoom Free{2, 10, 9};
constexpr ServerPool::ServiceRoom Full{2, 10, 10};

EngineProfile engine() {
  EngineProfile Engine;
  Engine.m_Capacity = 12;
  Engine.m_StepMillis = 4.55;
  Engine.m_StepMillisPerRequest = 0.905;
  Engine.m_StepsPerPass = 4;
  return Engine;
}

} // namespace

TEST(AdmissionGate, LetsThroughWhatHasAPlace) {
  AdmissionGate Gate;
  EXPECT_EQ(Gate.arrive("s", 1, 1, Target, Free, base::seconds(1)),
            AdmissionGate::Verdict::Go);
  EXPECT_EQ(Gate.arrive("s", 2, 1, Target, Full, base::seconds(1)),
            AdmissionGate::Verdict::Wait);
}

// Load: an urgent kind of request beside a less urgent one.
TEST(AdmissionGate, ServesTheUrgentFirstAndOthersInTheirOrder) {
  AdmissionGate Gate;
  const base::Millis Now = base::seconds(1);
  Gate.arrive("s", 1, 2, Target, Full, Now);
  Gate.arrive("s", 2, 1, Target, Full, Now);
  Gate.arrive("s", 3, 1, Target, Full, Now);
  const auto Moves = Gate.advance("s", {2, 10, 8}, Now);
  EXPECT_EQ(Moves.m_Go, (std::vector<std::uint64_t>{2, 3}));
  EXPECT_EQ(Gate.waiting("s"), 1U);
}

TEST(AdmissionGate, RefusesAtOnceWhatWouldWaitTooLong) {
  AdmissionGate Gate;
  // Four completions a second: each place is worth 250 ms.
  for (int Second = 1; Second <= 3; ++Second)
    for (int Count = 0; Count < 4; ++Count)
      Gate.completed("s", base::seconds(Second));
  const base::Millis Now = base::seconds(4);
  EXPECT_EQ(Gate.arrive("s", 1, 1, Target, Full, Now),
            AdmissionGate::Verdict::Wait);
  EXPECT_EQ(Gate.arrive("s", 2, 1, Target, Full, Now),
            AdmissionGate::Verdict::Refuse);
}

TEST(AdmissionGate, NothingWaitsPastItsTime) {
  AdmissionGate Gate;
  Gate.arrive("s", 1, 1, Target, Full, base::seconds(1));
  EXPECT_TRUE(Gate.advance("s", Full, base::Millis(1200)).m_Refuse.empty());
  EXPECT_EQ(Gate.advance("s", Full, base::Millis(1250)).m_Refuse,
            (std::vector<std::uint64_t>{1}));
  EXPECT_EQ(Gate.waiting("s"), 0U);
}

TEST(AdmissionGate, ACallerThatLeftTakesNoPlace) {
  AdmissionGate Gate;
  Gate.arrive("s", 1, 1, Target, Full, base::seconds(1));
  Gate.leave("s", 1);
  EXPECT_TRUE(Gate.advance("s", Free, base::seconds(1)).m_Go.empty());
}

// Load: a herd that was refused together.
TEST(AdmissionGate, SpreadsTheTimesToComeBack) {
  AdmissionGate Gate;
  base::Random Draw(3);
  base::Millis Least = base::seconds(100);
  base::Millis Most{};
  for (int Count = 0; Count < 100; ++Count) {
    const base::Millis Time = Gate.retryAfter("s", Draw);
    Least = std::min(Least, Time);
    Most = std::max(Most, Time);
  }
  EXPECT_GE(Least, base::Millis(400));
  EXPECT_GT(Most - Least, base::Millis(300));
}

// Load: more streams than passes have time for.
TEST(PauseGovernor, LongPausesLowerTheLimit) {
  PauseGovernor Governor;
  const double Before = Governor.limit("s", engine(), base::Millis(120));
  for (int Count = 0; Count < 1000; ++Count)
    Governor.note("s", engine(), base::Millis(150), 12);
  EXPECT_LT(Governor.limit("s", engine(), base::Millis(120)), Before);
  // Five times the pauses that the governor remembers.
  for (int Count = 0; Count < 5000; ++Count)
    Governor.note("s", engine(), base::Millis(65), 12);
  EXPECT_DOUBLE_EQ(Governor.limit("s", engine(), base::Millis(120)), 12);
}

// Load: popularity shifts every few seconds, and passes are long for a moment
// after each; filling up in between would make all streams late at the next.
TEST(PauseGovernor, ShiftsAreRememberedBetweenThem) {
  constexpr int Shifts = 20;
  constexpr int PausesAfterShift = 120;
  constexpr int PausesBetween = 600;
  PauseGovernor Governor;
  for (int Shift = 0; Shift < Shifts; ++Shift) {
    for (int Count = 0; Count < PausesAfterShift; ++Count)
      Governor.note("s", engine(), base::Millis(130), 8);
    for (int Count = 0; Count < PausesBetween; ++Count)
      Governor.note("s", engine(), base::Millis(55), 8);
  }
  EXPECT_LT(Governor.limit("s", engine(), base::Millis(120)), 9);
}

// Load: entries that see different pauses must agree on the places.
TEST(PauseGovernor, OtherEntriesPausesCount) {
  PauseGovernor Governor;
  for (int Count = 0; Count < 1000; ++Count)
    Governor.note("s", engine(), base::Millis(65), 12);
  const double Alone = Governor.limit("s", engine(), base::Millis(120));
  Governor.setPeer("e2", {{"s", {3.0, 0.2}}});
  EXPECT_LT(Governor.limit("s", engine(), base::Millis(120)), Alone);
  Governor.forgetPeer("e2");
  EXPECT_DOUBLE_EQ(Governor.limit("s", engine(), base::Millis(120)), Alone);
}

TEST(PauseGovernor, AStallIsNoSlowPass) {
  PauseGovernor Governor;
  for (int Count = 0; Count < 1000; ++Count)
    Governor.note("s", engine(), base::Millis(65), 12);
  const double Before = Governor.limit("s", engine(), base::Millis(120));
  for (int Count = 0; Count < 100; ++Count)
    Governor.note("s", engine(), base::Millis(2000), 12);
  EXPECT_DOUBLE_EQ(Governor.limit("s", engine(), base::Millis(120)), Before);
}

// Load: an outage in which every request fails, at all entries together.
TEST(RetryAllowance, AllEntriesTogetherKeepTheBudget) {
  constexpr int Entries = 8;
  RetryTerms Terms;
  Terms.m_Extra = 92;
  int Taken = 0;
  int Requests = 0;
  for (int Entry = 0; Entry < Entries; ++Entry) {
    RetryAllowance Allowance(Terms);
    Allowance.setEntries(Entries);
    for (int Count = 0; Count < 200; ++Count) {
      const base::Millis Now(1000 + Count * 10);
      Allowance.request("s", Now);
      ++Requests;
      Taken += Allowance.take("s", Now) ? 1 : 0;
    }
  }
  EXPECT_GT(Taken, 0);
  EXPECT_LE(Taken, Terms.m_Ratio * Requests + Terms.m_Extra);
}

TEST(RetryAllowance, EntriesThatAreCutOffDoNotWidenThisOnesPart) {
  RetryTerms Terms;
  Terms.m_Extra = 92;
  RetryAllowance Allowance(Terms);
  Allowance.setEntries(8);
  Allowance.setEntries(1);
  int Taken = 0;
  while (Allowance.take("s", base::seconds(1)))
    ++Taken;
  EXPECT_LE(Taken, 92 / 8);
}

} // namespace corneldeck::direct

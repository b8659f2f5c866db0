#include "StreamModel.h"

namespace corneldeck::direct::streammodel {

// Load: constant, with balanced experts.
TEST(GroupStreams, ConstantLoad) {
  const Comparison Result(scenario(constant(HighRate), steady(1.1)));
  Result.expectNotFewer();
  EXPECT_EQ(Result.m_Distribution.m_Late, 0);
}

// Load: constant and above the limit, which unbalanced experts lower for good.
TEST(GroupStreams, ConstantLoadAboveTheLimit) {
  Comparison(scenario(constant(HighRate), steady(2.3))).expectNotFewer();
}

// Load: a wave of 13 s that changes the load threefold within 6 s.
TEST(GroupStreams, WaveOfLoad) {
  const Comparison Result(scenario(wave(70), steady(1.1)));
  Result.expectNotFewer();
  EXPECT_EQ(Result.m_Distribution.m_Late, 0);
}

// Load: the same wave, with unbalanced experts.
TEST(GroupStreams, WaveOfLoadAboveTheLimit) {
  Comparison(scenario(wave(50), steady(2.3))).expectNotFewer();
}

// Load: experts shift every 4 s, and the map follows after one second.
TEST(GroupStreams, FrequentShiftsUnderOverload) {
  Comparison(scenario(constant(HighRate), jumping(2.5, 4))).expectNotFewer();
}

// Load: experts shift every 12 s. A limit that stays low until the next shift
// refuses streams that would be in time.
TEST(GroupStreams, RareShiftsUnderOverload) {
  Comparison(scenario(constant(HighRate), jumping(2.5, 12))).expectNotFewer();
}

// Load: passes after a shift are so long that fewer requests do not help.
TEST(GroupStreams, ShiftsThatNoLimitHelpsAgainst) {
  Comparison(scenario(constant(HighRate), jumping(3.5, 12))).expectNotFewer();
}

// Load: one slow group of three.
TEST(GroupStreams, OneSlowGroup) {
  Comparison(scenario(constant(HighRate), [](std::size_t Group, double) {
    return Group == 2 ? 2.4 : 1.1;
  })).expectNotFewer();
}

} // namespace corneldeck::direct::streammodel

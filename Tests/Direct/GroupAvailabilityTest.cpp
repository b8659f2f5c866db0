#include "Direct/GroupAvailability.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Form{600};
constexpr int Ranks = 12;

std::string agent(int Rank) { return "agent-" + std::to_string(Rank); }

/// All agents of a group say the same.
void reportFromAll(GroupAvailability &Availability, std::uint64_t Epoch,
                   bool Open, base::Millis Now) {
  for (int Rank = 0; Rank < Ranks; ++Rank)
    Availability.update(agent(Rank), {"llm", "g0", Epoch, Open}, Now);
}

} // namespace

TEST(GroupAvailability, NothingKnownIsNotOut) {
  const GroupAvailability Availability;
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(1)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", Form, base::seconds(1)).count(),
      0);
}

TEST(GroupAvailability, ALostRankTakesTheServiceOutUntilTheGroupFormsAnew) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, true, base::seconds(10));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
  reportFromAll(Availability, 1, false, base::seconds(11));
  ASSERT_TRUE(Availability.outageDuration("llm", base::seconds(12)));
  EXPECT_EQ(*Availability.outageDuration("llm", base::seconds(12)),
            base::seconds(1));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", Form, base::seconds(12)).count(),
      1100);
  EXPECT_EQ(Availability.expectedRecoveryTime("llm", Form, base::Millis(13200))
                .count(),
            0);
  // One agent that knows of the next epoch says more than eleven that do not.
  EXPECT_TRUE(Availability.update(agent(3), {"llm", "g0", 2, true},
                                  base::Millis(13200)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::Millis(13200)));
}

TEST(GroupAvailability, OneCutOffRankDoesNotTakeTheServiceOut) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, true, base::seconds(10));
  EXPECT_FALSE(Availability.update(agent(0), {"llm", "g0", 1, false},
                                   base::seconds(10)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
}

TEST(GroupAvailability, ASecondGroupKeepsTheServiceInWork) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  EXPECT_TRUE(Availability.outageDuration("llm", base::seconds(10)));
  EXPECT_TRUE(
      Availability.update("other", {"llm", "g1", 4, true}, base::seconds(10)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
}

TEST(GroupAvailability, OldNewsSayNothing) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  EXPECT_TRUE(Availability.outageDuration("llm", base::seconds(11)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(20)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", Form, base::seconds(20)).count(),
      0);
}

TEST(GroupAvailability, AnOutageAfterSilenceIsANewOne) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  // All agents were silent for long, so nothing is known of the time between.
  EXPECT_TRUE(Availability.update(agent(0), {"llm", "g0", 1, false},
                                  base::seconds(30)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", Form, base::seconds(31)).count(),
      1100);
}

} // namespace corneldeck::direct

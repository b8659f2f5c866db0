#include "Direct/GroupAvailability.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis FormationTime{600};
constexpr int Ranks = 12;

std::string agent(int Rank) { return "agent-" + std::to_string(Rank); }

/// Sends the same report from all agents of a group.
void reportFromAll(GroupAvailability &Availability, std::uint64_t Epoch,
                   bool Open, base::Millis Now) {
  for (int Rank = 0; Rank < Ranks; ++Rank)
    Availability.update(agent(Rank), {"llm", "g0", Epoch, Open}, Now);
}

} // namespace

TEST(GroupAvailability, AServiceWithoutReportsIsAvailable) {
  const GroupAvailability Availability;
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(1)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", FormationTime, base::seconds(1))
          .count(),
      0);
}

TEST(GroupAvailability,
     ALostRankMakesTheServiceUnavailableUntilTheGroupReForms) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, true, base::seconds(10));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
  reportFromAll(Availability, 1, false, base::seconds(11));
  ASSERT_TRUE(Availability.outageDuration("llm", base::seconds(12)));
  EXPECT_EQ(*Availability.outageDuration("llm", base::seconds(12)),
            base::seconds(1));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", FormationTime, base::seconds(12))
          .count(),
      1100);
  EXPECT_EQ(Availability
                .expectedRecoveryTime("llm", FormationTime, base::Millis(13200))
                .count(),
            0);
  // One report of a later epoch overrides eleven of an earlier one.
  EXPECT_TRUE(Availability.update(agent(3), {"llm", "g0", 2, true},
                                  base::Millis(13200)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::Millis(13200)));
}

TEST(GroupAvailability, OnePartitionedRankDoesNotMakeTheServiceUnavailable) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, true, base::seconds(10));
  EXPECT_FALSE(Availability.update(agent(0), {"llm", "g0", 1, false},
                                   base::seconds(10)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
}

TEST(GroupAvailability, ASecondGroupKeepsTheServiceAvailable) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  EXPECT_TRUE(Availability.outageDuration("llm", base::seconds(10)));
  EXPECT_TRUE(
      Availability.update("other", {"llm", "g1", 4, true}, base::seconds(10)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(10)));
}

TEST(GroupAvailability, StaleReportsAreIgnored) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  EXPECT_TRUE(Availability.outageDuration("llm", base::seconds(11)));
  EXPECT_FALSE(Availability.outageDuration("llm", base::seconds(20)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", FormationTime, base::seconds(20))
          .count(),
      0);
}

TEST(GroupAvailability, AnOutageAfterMissingReportsIsANewOne) {
  GroupAvailability Availability;
  reportFromAll(Availability, 1, false, base::seconds(10));
  // There were no reports in between, so the start of the outage is unknown.
  EXPECT_TRUE(Availability.update(agent(0), {"llm", "g0", 1, false},
                                  base::seconds(30)));
  EXPECT_EQ(
      Availability.expectedRecoveryTime("llm", FormationTime, base::seconds(31))
          .count(),
      1100);
}

} // namespace corneldeck::direct

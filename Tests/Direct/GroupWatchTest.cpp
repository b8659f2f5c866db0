#include "Direct/GroupWatch.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr base::Millis Form{600};
constexpr int Ranks = 12;

std::string agent(int Rank) { return "agent-" + std::to_string(Rank); }

/// All agents of a group say the same.
void tellAll(GroupWatch &Watch, std::uint64_t Epoch, bool Open,
             base::Millis Now) {
  for (int Rank = 0; Rank < Ranks; ++Rank)
    Watch.take(agent(Rank), {"llm", "g0", Epoch, Open}, Now);
}

} // namespace

TEST(GroupWatch, NothingKnownIsNotOut) {
  const GroupWatch Watch;
  EXPECT_FALSE(Watch.outFor("llm", base::seconds(1)));
  EXPECT_EQ(Watch.expectedWait("llm", Form, base::seconds(1)).count(), 0);
}

TEST(GroupWatch, ALostRankTakesTheServiceOutUntilTheGroupFormsAnew) {
  GroupWatch Watch;
  tellAll(Watch, 1, true, base::seconds(10));
  EXPECT_FALSE(Watch.outFor("llm", base::seconds(10)));
  tellAll(Watch, 1, false, base::seconds(11));
  ASSERT_TRUE(Watch.outFor("llm", base::seconds(12)));
  EXPECT_EQ(*Watch.outFor("llm", base::seconds(12)), base::seconds(1));
  EXPECT_EQ(Watch.expectedWait("llm", Form, base::seconds(12)).count(), 1100);
  EXPECT_EQ(Watch.expectedWait("llm", Form, base::Millis(13200)).count(), 0);
  // One agent that knows of the next epoch says more than eleven that do not.
  EXPECT_TRUE(
      Watch.take(agent(3), {"llm", "g0", 2, true}, base::Millis(13200)));
  EXPECT_FALSE(Watch.outFor("llm", base::Millis(13200)));
}

TEST(GroupWatch, OneCutOffRankDoesNotTakeTheServiceOut) {
  GroupWatch Watch;
  tellAll(Watch, 1, true, base::seconds(10));
  EXPECT_FALSE(
      Watch.take(agent(0), {"llm", "g0", 1, false}, base::seconds(10)));
  EXPECT_FALSE(Watch.outFor("llm", base::seconds(10)));
}

TEST(GroupWatch, ASecondGroupKeepsTheServiceInWork) {
  GroupWatch Watch;
  tellAll(Watch, 1, false, base::seconds(10));
  EXPECT_TRUE(Watch.outFor("llm", base::seconds(10)));
  EXPECT_TRUE(Watch.take("other", {"llm", "g1", 4, true}, base::seconds(10)));
  EXPECT_FALSE(Watch.outFor("llm", base::seconds(10)));
}

TEST(GroupWatch, OldNewsSayNothing) {
  GroupWatch Watch;
  tellAll(Watch, 1, false, base::seconds(10));
  EXPECT_TRUE(Watch.outFor("llm", base::seconds(11)));
  EXPECT_FALSE(Watch.outFor("llm", base::seconds(20)));
  EXPECT_EQ(Watch.expectedWait("llm", Form, base::seconds(20)).count(), 0);
}

TEST(GroupWatch, AnOutageAfterSilenceIsANewOne) {
  GroupWatch Watch;
  tellAll(Watch, 1, false, base::seconds(10));
  // All agents were silent for long, so nothing is known of the time between.
  EXPECT_TRUE(Watch.take(agent(0), {"llm", "g0", 1, false}, base::seconds(30)));
  EXPECT_EQ(Watch.expectedWait("llm", Form, base::seconds(31)).count(), 1100);
}

} // namespace corneldeck::direct

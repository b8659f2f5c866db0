#include "Direct/RankGroups.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

constexpr std::uint32_t First = 1;
constexpr std::uint32_t Second = 2;
constexpr std::uint32_t Third = 3;

} // namespace

// Failure: with one group, the servers whose agent is new or silent would have
// been split off into a group of their own.
TEST(RankGroups, AServiceWithOneGroupIsNotDivided) {
  RankGroups Groups;
  Groups.update("s", "g", {First}, base::Millis(0));
  EXPECT_FALSE(Groups.isDivided("s"));
  EXPECT_EQ(Groups.groupOf("s", First), "");
  EXPECT_EQ(Groups.groupOf("s", Second), "");
  EXPECT_FALSE(Groups.isDivided("t"));
}

// Load: two groups of one service, and a server whose agent sends no address.
TEST(RankGroups, ServersBelongToTheGroupThatTheirAgentsReport) {
  RankGroups Groups;
  Groups.update("s", "g", {First}, base::Millis(0));
  Groups.update("s", "h", {Second}, base::Millis(0));
  EXPECT_TRUE(Groups.isDivided("s"));
  EXPECT_EQ(Groups.groupOf("s", First), "g");
  EXPECT_EQ(Groups.groupOf("s", Second), "h");
  EXPECT_EQ(Groups.groupOf("s", Third), "");
  EXPECT_EQ(Groups.groupOf("t", First), "");
}

// Failure: a server that restarted into another group counted in both.
TEST(RankGroups, TheLatestReportOfAServerReplacesTheOneBefore) {
  RankGroups Groups;
  Groups.update("s", "g", {First, Second}, base::Millis(0));
  Groups.update("s", "h", {Third}, base::Millis(0));
  Groups.update("s", "h", {First}, base::Millis(100));
  EXPECT_EQ(Groups.groupOf("s", First), "h");
  EXPECT_EQ(Groups.sizes().at("s").at("g"), 1U);
  EXPECT_EQ(Groups.sizes().at("s").at("h"), 2U);
}

// Failure: the agents of a group are lost or cut off, or its engines are
// replaced, and the group counts further on.
TEST(RankGroups, ReportsAreDiscardedAfterTheirLifetime) {
  RankGroups Groups;
  Groups.update("s", "g", {First}, base::Millis(0));
  Groups.update("s", "h", {Second}, base::Millis(2000));
  Groups.discardExpired(base::Millis(2500));
  EXPECT_TRUE(Groups.isDivided("s"));
  Groups.discardExpired(base::Millis(2501));
  EXPECT_FALSE(Groups.isDivided("s"));
  EXPECT_EQ(Groups.groupOf("s", Second), "");
  Groups.discardExpired(base::Millis(4501));
  EXPECT_TRUE(Groups.sizes().empty());
}

} // namespace corneldeck::direct

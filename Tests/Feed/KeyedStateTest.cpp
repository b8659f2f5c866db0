#include "Feed/KeyedState.h"

#include <gtest/gtest.h>

namespace corneldeck::feed {

namespace {

KeyedState state() {
  return KeyedState([](const std::string &, const std::string &Before,
                       const std::string &After) { return Before != After; });
}

KeyedRecord record(std::uint64_t Offset, const std::string &Key,
                   std::optional<std::string> Value) {
  return {Offset, Key, std::move(Value)};
}

} // namespace

TEST(KeyedState, KeepsTheHighestOffsetOfAKeyInAnyOrder) {
  KeyedState State = state();
  EXPECT_TRUE(State.apply(record(5, "a", "new")));
  EXPECT_FALSE(State.apply(record(3, "a", "old")));
  EXPECT_FALSE(State.apply(record(4, "a", std::nullopt)));
  EXPECT_EQ(State.values().at("a"), "new");
  EXPECT_EQ(State.contentOffset(), 5U);
}

TEST(KeyedState, ARenewalIsNotSignificant) {
  KeyedState State = state();
  State.apply(record(1, "a", "x"));
  EXPECT_FALSE(State.apply(record(2, "a", "x")));
  EXPECT_EQ(State.contentOffset(), 1U);
  EXPECT_TRUE(State.apply(record(3, "a", std::nullopt)));
  EXPECT_TRUE(State.values().empty());
  EXPECT_FALSE(State.apply(record(2, "a", "x")));
}

// Fault: the log has lost its history; the snapshot has the remaining keys.
TEST(KeyedState, ASnapshotDeletesMissingKeys) {
  KeyedState State = state();
  State.apply(record(1, "a", "x"));
  State.apply(record(9, "b", "y"));
  EXPECT_TRUE(State.applySnapshot({record(7, "c", "z")}, 8));
  EXPECT_EQ(State.values().count("a"), 0U);
  // The record was appended after the snapshot was started.
  EXPECT_EQ(State.values().count("b"), 1U);
  EXPECT_EQ(State.values().count("c"), 1U);
}

// Fault: the snapshot is seconds behind the records that this node has read.
TEST(KeyedState, AStaleSnapshotDoesNotRevertChanges) {
  KeyedState State = state();
  State.apply(record(10, "a", "new"));
  State.apply(record(11, "b", std::nullopt));
  EXPECT_FALSE(
      State.applySnapshot({record(3, "a", "old"), record(4, "b", "y")}, 5));
  EXPECT_EQ(State.values().at("a"), "new");
  EXPECT_EQ(State.values().count("b"), 0U);
}

TEST(KeyedState, MergedRecordsIncludeDeletions) {
  KeyedState Ahead = state();
  Ahead.apply(record(1, "a", "x"));
  Ahead.apply(record(2, "a", std::nullopt));
  KeyedState Behind = state();
  Behind.apply(record(1, "a", "x"));
  EXPECT_TRUE(Behind.mergeRecords(Ahead.records(), Ahead.contentOffset()));
  EXPECT_TRUE(Behind.values().empty());
  EXPECT_EQ(Behind.contentOffset(), Ahead.contentOffset());
}

} // namespace corneldeck::feed

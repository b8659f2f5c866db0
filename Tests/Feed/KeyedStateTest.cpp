#include "Feed/KeyedState.h"

#include <gtest/gtest.h>

namespace corneldeck::feed {

namespace {

KeyedState state() {
  return KeyedState([](const std::string &, const std::string &Before,
                       const std::string &After) { return Before != After; });
}

/// \returns a state whose writers write ascending values.
KeyedState orderedState() {
  return KeyedState([](const std::string &, const std::string &Before,
                       const std::string &After) { return Before != After; },
                    [](const std::string &, const std::string &Value,
                       const std::string &Than) { return Value < Than; });
}

KeyedRecord record(std::uint64_t Offset, const std::string &Key,
                   std::optional<std::string> Value, std::uint64_t Era = 0) {
  return {Offset, Key, std::move(Value), Era};
}

LogPosition at(std::uint64_t Offset, std::uint64_t Era = 0) {
  return {Era, Offset};
}

} // namespace

TEST(KeyedState, KeepsTheHighestOffsetOfAKeyInAnyOrder) {
  KeyedState State = state();
  EXPECT_TRUE(State.apply(record(5, "a", "new")));
  EXPECT_FALSE(State.apply(record(3, "a", "old")));
  EXPECT_FALSE(State.apply(record(4, "a", std::nullopt)));
  EXPECT_EQ(State.values().at("a"), "new");
  EXPECT_EQ(State.contentPosition(), at(6));
}

TEST(KeyedState, ARenewalIsNotSignificant) {
  KeyedState State = state();
  State.apply(record(1, "a", "x"));
  EXPECT_FALSE(State.apply(record(2, "a", "x")));
  EXPECT_EQ(State.contentPosition(), at(2));
  EXPECT_TRUE(State.apply(record(3, "a", std::nullopt)));
  EXPECT_TRUE(State.values().empty());
  EXPECT_FALSE(State.apply(record(2, "a", "x")));
}

// Fault: the log has lost its history; the snapshot has the remaining keys.
TEST(KeyedState, ASnapshotDeletesMissingKeys) {
  KeyedState State = state();
  State.apply(record(1, "a", "x"));
  State.apply(record(9, "b", "y"));
  EXPECT_TRUE(State.applySnapshot({record(7, "c", "z")}, at(8)));
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
      State.applySnapshot({record(3, "a", "old"), record(4, "b", "y")}, at(5)));
  EXPECT_EQ(State.values().at("a"), "new");
  EXPECT_EQ(State.values().count("b"), 0U);
}

// Failure: the position after the record at offset 0 was that of an empty
// topic, so nodes that had read the empty topic did not fetch that record.
TEST(KeyedState, TheFirstRecordChangesThePosition) {
  KeyedState State = state();
  State.applySnapshot({}, at(0));
  const LogPosition Empty = State.contentPosition();
  State.apply(record(0, "a", "x"));
  EXPECT_GT(State.contentPosition(), Empty);
}

// Failure: a node fetched the state of an empty topic again and again.
TEST(KeyedState, IsLoadedAfterMergingAnEmptyState) {
  KeyedState State = state();
  EXPECT_FALSE(State.isLoaded());
  EXPECT_FALSE(State.mergeRecords({}, at(0)));
  EXPECT_TRUE(State.isLoaded());
}

// Failure: other nodes never learned of a deletion that a node had found by
// reading a snapshot.
TEST(KeyedState, MergedRecordsIncludeDeletionsByASnapshot) {
  KeyedState Ahead = state();
  Ahead.apply(record(1, "a", "x"));
  Ahead.apply(record(2, "b", "y"));
  KeyedState Behind = state();
  Behind.mergeRecords(Ahead.records(), Ahead.contentPosition());
  EXPECT_TRUE(Ahead.applySnapshot({record(2, "b", "y")}, at(5)));
  EXPECT_TRUE(Behind.mergeRecords(Ahead.records(), Ahead.contentPosition()));
  EXPECT_EQ(Behind.values().count("a"), 0U);
  // A record that was appended later holds.
  EXPECT_TRUE(Behind.apply(record(5, "a", "new")));
  EXPECT_FALSE(Behind.mergeRecords(Ahead.records(), Ahead.contentPosition()));
  EXPECT_EQ(Behind.values().at("a"), "new");
}

// Failure: a node that had missed a deletion kept the key forever if the nodes
// that read the log were started anew and had never had it.
TEST(KeyedState, MergedStatesOfNewReadersDeleteKeysThatTheyNeverHad) {
  KeyedState Behind = state();
  Behind.apply(record(1, "a", "x"));
  Behind.apply(record(2, "b", "y"));
  KeyedState Fresh = state();
  Fresh.applySnapshot({record(2, "b", "y")}, at(4));
  EXPECT_GT(Fresh.contentPosition(), Behind.contentPosition());
  EXPECT_TRUE(Behind.mergeRecords(Fresh.records(), Fresh.contentPosition(),
                                  Fresh.coverage()));
  EXPECT_EQ(Behind.values().count("a"), 0U);
  EXPECT_EQ(Behind.values().count("b"), 1U);
  // Nor does a node that has missed the deletion bring the key back.
  KeyedState Late = state();
  Late.apply(record(1, "a", "x"));
  EXPECT_FALSE(Fresh.mergeRecords(Late.records(), Late.contentPosition()));
  EXPECT_EQ(Fresh.values().count("a"), 0U);
}

TEST(KeyedState, MergedRecordsIncludeDeletions) {
  KeyedState Ahead = state();
  Ahead.apply(record(1, "a", "x"));
  Ahead.apply(record(2, "a", std::nullopt));
  KeyedState Behind = state();
  Behind.apply(record(1, "a", "x"));
  EXPECT_TRUE(Behind.mergeRecords(Ahead.records(), Ahead.contentPosition()));
  EXPECT_TRUE(Behind.values().empty());
  EXPECT_EQ(Behind.contentPosition(), Ahead.contentPosition());
}

// Failure: a record at an offset that the log had assigned before it returned
// with an older copy was ignored.
TEST(KeyedState, ARecordOfALaterEraIsNewer) {
  KeyedState State = state();
  State.apply(record(9, "a", "x"));
  EXPECT_TRUE(State.apply(record(3, "a", "y", 1)));
  EXPECT_EQ(State.values().at("a"), "y");
  EXPECT_EQ(State.contentPosition(), at(4, 1));
  // A late record of the earlier era.
  EXPECT_FALSE(State.apply(record(10, "a", "z")));
  EXPECT_EQ(State.values().at("a"), "y");
}

// Failure: the older copy of a record replaced the newer one, or other nodes
// that had only read the copy never got the newer one.
TEST(KeyedState, AnOlderCopyDoesNotReplaceANewerRecord) {
  KeyedState Kept = orderedState();
  Kept.apply(record(5, "a", "2"));
  KeyedState Fresh = orderedState();
  for (KeyedState *Each : {&Kept, &Fresh})
    Each->applySnapshot({record(1, "a", "1", 1)}, at(2, 1),
                        KeyedState::MissingKeys::Keep);
  EXPECT_EQ(Kept.values().at("a"), "2");
  EXPECT_EQ(Fresh.values().at("a"), "1");
  EXPECT_GT(Kept.contentPosition(), Fresh.contentPosition());
  EXPECT_TRUE(Fresh.mergeRecords(Kept.records(), Kept.contentPosition()));
  EXPECT_EQ(Fresh.records(), Kept.records());
  // What the writer writes again holds.
  EXPECT_FALSE(Kept.apply(record(2, "a", "2", 1)));
  EXPECT_TRUE(Kept.apply(record(3, "a", "3", 1)));
  EXPECT_EQ(Kept.values().at("a"), "3");
}

// Failure: a node that had the newer record at another position than the node
// that kept it could not use differences between their states.
TEST(KeyedState, NodesThatKeepARecordHaveTheSameState) {
  KeyedState First = orderedState();
  KeyedState Second = orderedState();
  for (KeyedState *Each : {&First, &Second})
    Each->apply(record(5, "a", "2"));
  First.applySnapshot({record(1, "a", "1", 1)}, at(2, 1));
  EXPECT_FALSE(Second.mergeRecords(First.records(), First.contentPosition()));
  EXPECT_EQ(First.records(), Second.records());
  EXPECT_EQ(First.contentPosition(), Second.contentPosition());
}

// Failure: a key that had been deleted came back with the older copy.
TEST(KeyedState, AnOlderCopyDoesNotRestoreADeletedKey) {
  KeyedState State = orderedState();
  State.apply(record(5, "a", "2"));
  State.apply(record(6, "a", std::nullopt));
  State.apply(record(1, "a", "1", 1));
  EXPECT_TRUE(State.values().empty());
  EXPECT_TRUE(State.apply(record(2, "a", "3", 1)));
}

// Failure: keys that the older copy lacks were deleted before their writers
// could write them again, or never.
TEST(KeyedState, ASnapshotOfALaterEraMayKeepMissingKeys) {
  KeyedState State = state();
  State.apply(record(5, "a", "x"));
  State.apply(record(6, "b", "x"));
  const std::vector<KeyedRecord> Listed = {record(1, "b", "x", 1)};
  EXPECT_FALSE(
      State.applySnapshot(Listed, at(2, 1), KeyedState::MissingKeys::Keep));
  EXPECT_EQ(State.keysBefore(1), 1U);
  EXPECT_TRUE(State.applySnapshot(Listed, at(2, 1)));
  EXPECT_EQ(State.values().count("a"), 0U);
  EXPECT_EQ(State.values().count("b"), 1U);
}

// Failure: the deletion of a key had a position before the start of the log.
TEST(KeyedState, AnEmptyLogDeletesNoKeys) {
  KeyedState State = state();
  State.apply(record(5, "a", "x"));
  EXPECT_FALSE(State.applySnapshot({}, at(0, 1)));
  EXPECT_EQ(State.values().count("a"), 1U);
}

} // namespace corneldeck::feed

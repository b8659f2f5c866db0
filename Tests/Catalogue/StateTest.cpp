#include "Catalogue/State.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using base::ResultCode;
using catalogue::State;

namespace {

wire::CatalogueChange change(const std::string &Entry, std::uint64_t Expected,
                             const std::string &Owner = "vakif") {
  wire::CatalogueChange Change;
  Change.set_entry(Entry);
  Change.set_expected_version(Expected);
  Change.set_owner(Owner);
  Change.set_body("v" + std::to_string(Expected + 1));
  return Change;
}

wire::LogRecord record(const std::string &Id,
                       const wire::CatalogueChange &Change) {
  wire::LogRecord Record;
  Record.set_append_id(Id);
  *Record.mutable_change() = Change;
  return Record;
}

} // namespace

TEST(CatalogueState, AcceptsOneOfTwoConflictingChanges) {
  State Current;
  EXPECT_TRUE(Current.apply(1, record("a", change("w", 0)))->accepted());
  EXPECT_TRUE(Current.apply(2, record("b", change("w", 1)))->accepted());
  const auto Second = Current.apply(3, record("c", change("w", 1)));
  EXPECT_EQ(Second->m_Code, ResultCode::RejectedVersion);
  EXPECT_EQ(Current.entries().at("w").m_Version, 2U);
}

TEST(CatalogueState, RejectsChangeByOtherOwner) {
  State Current;
  Current.apply(1, record("a", change("w", 0)));
  const auto Other = Current.apply(2, record("b", change("w", 1, "ajoke")));
  EXPECT_EQ(Other->m_Code, ResultCode::RejectedOwner);
}

TEST(CatalogueState, AppliesBatchAtomically) {
  State Current;
  Current.apply(1, record("a", change("w", 0)));
  wire::LogRecord Batch;
  Batch.set_append_id("b");
  *Batch.mutable_batch()->add_changes() = change("new", 0);
  *Batch.mutable_batch()->add_changes() = change("w", 7);
  EXPECT_FALSE(Current.apply(2, Batch)->accepted());
  EXPECT_EQ(Current.entries().count("new"), 0U);
}

TEST(CatalogueState, OlderChangeDoesNotRestoreDeletedEntry) {
  State Current;
  Current.apply(1, record("a", change("w", 0)));
  wire::CatalogueChange Deletion = change("w", 1);
  Deletion.set_deletion(true);
  Current.apply(2, record("b", Deletion));
  EXPECT_FALSE(Current.apply(3, record("c", change("w", 0)))->accepted());
  EXPECT_FALSE(Current.apply(4, record("d", change("w", 1)))->accepted());
  EXPECT_TRUE(Current.entries().at("w").m_Deleted);
  EXPECT_TRUE(Current.apply(5, record("e", change("w", 2)))->accepted());
}

TEST(CatalogueState, RepeatedAppendReturnsFirstOutcomeAfterSnapshot) {
  State Current;
  Current.apply(1, record("a", change("w", 0)));
  wire::CatalogueSnapshot Snapshot;
  Current.save(Snapshot);
  State Loaded;
  Loaded.load(Snapshot);
  EXPECT_EQ(Loaded, Current);
  const auto Again = Loaded.apply(2, record("a", change("w", 0)));
  EXPECT_TRUE(Again->accepted());
  EXPECT_EQ(Again->m_Offset, 1U);
  EXPECT_EQ(Loaded.entries().at("w").m_Version, 1U);
}

#include "Feed/SourceSelector.h"

#include "Feed/ReaderRole.h"

#include <gtest/gtest.h>
#include <set>

namespace corneldeck::feed {

namespace {

using base::Millis;

FeedSource source(const std::string &Node, const std::string &Zone = "a") {
  return {Node, Node + ":1", Zone};
}

LogPosition at(std::uint64_t Offset) { return {0, Offset}; }

/// A selector at offset 1, with the spread of first transfers turned off.
SourceSelector selector(std::uint64_t Seed = 1) {
  SourceSelectorSettings Settings;
  Settings.m_MaxSpread = Millis(0);
  SourceSelector Made(Settings, "a", Seed);
  Made.setOwnPosition(at(1));
  return Made;
}

std::string started(SourceSelector &From, Millis Now) {
  const auto Source = From.startTransfer(Now);
  return Source ? Source->m_Node : "none";
}

} // namespace

TEST(SourceSelector, FetchesOnlyNewerStates) {
  SourceSelector Selector = selector();
  Selector.announced(Millis(0), source("n1"), at(1));
  EXPECT_EQ(started(Selector, Millis(0)), "none");
  EXPECT_FALSE(Selector.nextDue(Millis(0)).has_value());
  Selector.announced(Millis(0), source("n1"), at(2));
  EXPECT_EQ(started(Selector, Millis(0)), "n1");
  EXPECT_EQ(started(Selector, Millis(0)), "none");
}

TEST(SourceSelector, PrefersTheNewestStateThenTheOwnZone) {
  SourceSelector Selector = selector();
  Selector.announced(Millis(0), source("n1", "a"), at(2));
  Selector.announced(Millis(0), source("n2", "b"), at(3));
  Selector.announced(Millis(0), source("n3", "a"), at(3));
  EXPECT_EQ(started(Selector, Millis(0)), "n3");
}

// Failure: all nodes requested a transfer from the same source.
TEST(SourceSelector, NodesChooseDifferentSources) {
  std::set<std::string> Chosen;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SourceSelector Selector = selector(Seed);
    for (int Node = 0; Node < 8; ++Node)
      Selector.announced(Millis(0), source("n" + std::to_string(Node)), at(2));
    Chosen.insert(started(Selector, Millis(0)));
  }
  EXPECT_EQ(Chosen.size(), 8U);
}

// Failure: a node repeated its request to a busy source, or to an outdated one.
TEST(SourceSelector, AsksAnotherSourceThanABusyOne) {
  SourceSelector Selector = selector();
  Selector.announced(Millis(0), source("n1"), at(2));
  EXPECT_EQ(started(Selector, Millis(0)), "n1");
  Selector.transferEnded(Millis(0), TransferEnd::Busy);
  // The newest state is waited for.
  Selector.announced(Millis(0), source("n0"), at(1));
  EXPECT_EQ(started(Selector, Millis(1)), "none");
  Selector.announced(Millis(1), source("n2"), at(2));
  EXPECT_EQ(started(Selector, Millis(1)), "n2");
  Selector.transferEnded(Millis(2), TransferEnd::Busy);
  const auto Due = Selector.nextDue(Millis(2));
  ASSERT_TRUE(Due.has_value());
  EXPECT_GE(*Due, Millis(30));
  EXPECT_LE(*Due, Millis(122));
  EXPECT_NE(started(Selector, *Due), "none");
}

// Failure: a node repeated its request at once to a source that did not
// respond, or waited for it although others had a newer state than its own.
TEST(SourceSelector, AvoidsSourcesThatFailed) {
  SourceSelector Selector = selector();
  Selector.announced(Millis(0), source("n1"), at(3));
  EXPECT_EQ(started(Selector, Millis(0)), "n1");
  Selector.transferEnded(Millis(0), TransferEnd::Failed);
  EXPECT_EQ(started(Selector, Millis(400)), "none");
  Selector.announced(Millis(400), source("n2"), at(2));
  EXPECT_EQ(started(Selector, Millis(400)), "n2");
  Selector.transferEnded(Millis(410), TransferEnd::Complete);
  Selector.setOwnPosition(at(2));
  EXPECT_EQ(Selector.nextDue(Millis(410)), Millis(500));
  EXPECT_EQ(started(Selector, Millis(500)), "n1");
}

TEST(SourceSelector, ForgetsOldAnnouncements) {
  SourceSelector Selector = selector();
  Selector.announced(Millis(0), source("n1"), at(2));
  Selector.announced(Millis(0), source("n2"), at(2));
  Selector.removeSource("n2");
  EXPECT_EQ(started(Selector, Millis(1600)), "none");
}

// Failure: all nodes started their transfers in the same moment.
TEST(SourceSelector, SpreadsTheFirstTransfersOfAState) {
  std::set<Millis> Starts;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    SourceSelector Selector({}, "a", Seed);
    Selector.setOwnPosition(at(1));
    for (int Node = 0; Node < 45; ++Node)
      Selector.announced(Millis(0), source("n" + std::to_string(Node)), at(1));
    Selector.announced(Millis(0), source("n1"), at(2));
    const auto Due = Selector.nextDue(Millis(0));
    ASSERT_TRUE(Due.has_value());
    EXPECT_LE(*Due, Millis(100));
    Starts.insert(*Due);
  }
  EXPECT_GT(Starts.size(), 20U);
}

// Failure: nodes with narrow links read the log although others had wider ones,
// so that large versions came into force late everywhere.
TEST(ReaderRole, NodesWithWideLinksReadFirst) {
  const ReaderCandidate Narrow{"n1", 40'000};
  const ReaderCandidate Wide{"n2", 200'000};
  EXPECT_TRUE(Wide.precedes(Narrow));
  EXPECT_FALSE(Narrow.precedes(Wide));
  const ReaderCandidate SameLink{"n3", 200'000};
  EXPECT_TRUE(Wide.precedes(SameLink));
  EXPECT_FALSE(SameLink.precedes(Wide));
  EXPECT_FALSE(Wide.precedes(Wide));
  EXPECT_TRUE(Narrow.precedes({"n0", 0}));
}

TEST(ReaderRole, TheFirstNodesRead) {
  ReaderRole First({});
  EXPECT_TRUE(First.update(Millis(0), {45, 0, 0, true}));
  ReaderRole Second({});
  EXPECT_TRUE(Second.update(Millis(0), {45, 1, 1, true}));
  ReaderRole Third({});
  EXPECT_FALSE(Third.update(Millis(0), {45, 2, 2, true}));
}

// Failure: when the readers were slow, all nodes became readers at once.
TEST(ReaderRole, FewNodesReplaceMissingReadersAtFirst) {
  for (const Millis Lack : {Millis(0), Millis(200), Millis(400)}) {
    std::size_t Readers = 0;
    for (std::size_t Rank = 2; Rank < 360; ++Rank) {
      ReaderRole Role({});
      Role.update(Millis(0), {359, Rank, 0, true});
      Readers += Role.update(Lack, {359, Rank, 0, true}) ? 1 : 0;
    }
    EXPECT_LE(Readers, Lack.count() / 40 + 2) << Lack.count();
  }
}

// Failure: no node read a log that refused all but the last one.
TEST(ReaderRole, AllNodesReadInTheEnd) {
  ReaderRole Last({});
  Last.update(Millis(0), {359, 359, 0, true});
  EXPECT_TRUE(Last.update(Millis(1500), {359, 359, 0, true}));
}

TEST(ReaderRole, WaitsForOtherNodesAfterTheStart) {
  ReaderRole Role({});
  EXPECT_FALSE(Role.update(Millis(0), {0, 0, 0, false}));
  EXPECT_FALSE(Role.update(Millis(200), {9, 9, 2, false}));
  // Without a state from the others in time, the node reads the log.
  EXPECT_TRUE(Role.update(Millis(1500), {9, 9, 2, false}));
  EXPECT_FALSE(Role.update(Millis(1600), {9, 9, 2, true}));
  ReaderRole Alone({});
  Alone.update(Millis(0), {0, 0, 0, false});
  EXPECT_TRUE(Alone.update(Millis(300), {0, 0, 0, false}));
}

} // namespace corneldeck::feed

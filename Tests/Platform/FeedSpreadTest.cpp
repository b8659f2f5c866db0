#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

/// Entries whose links have a limited bandwidth.
class FeedSpread : public PlatformEntry {
protected:
  /// \param BytesPerSecond the bandwidth of each link.
  explicit FeedSpread(int EntryCount = 6, double BytesPerSecond = 2e5)
      : PlatformEntry(EntryCount) {
    m_LinkRate = BytesPerSecond;
  }

  /// Runs until only two entries read the log.
  void SetUp() override {
    PlatformEntry::SetUp();
    runFor(std::chrono::milliseconds(3000));
  }

  /// Returns the version of the configuration that an entry uses.
  int version(int Entry) {
    return static_cast<int>(metric(Entry, "corneldeck_configuration_version"));
  }

  void runUntilInForce(int Version) {
    for (int Entry = 0; Entry < m_EntryCount && !HasFatalFailure(); ++Entry)
      runUntil([&] { return version(Entry) >= Version; });
  }

  void runFor(std::chrono::milliseconds Duration) {
    const auto End = std::chrono::steady_clock::now() + Duration;
    runUntil([End] { return std::chrono::steady_clock::now() >= End; });
  }
};

/// Links on which a version of some thousand routes needs half a second.
class FeedSpreadSlowLinks : public FeedSpread {
protected:
  FeedSpreadSlowLinks() : FeedSpread(6, 1e5) {}
};

class FeedSpreadManyEntries : public FeedSpread {
protected:
  FeedSpreadManyEntries() : FeedSpread(16, 1e6) {}
};

/// Entries that have run for some time before anything is published.
class FeedSpreadBeforeTheFirstVersion : public FeedSpread {
protected:
  FeedSpreadBeforeTheFirstVersion() { m_IsPublishedAtStart = false; }
};

} // namespace

// Failure: a version that takes longer to transfer than a fixed timeout reached
// only the entries that read the log.
TEST_F(FeedSpread, AVersionLargerThanALinkCarriesInASecondReachesAllEntries) {
  constexpr int Routes = 1'600;
  publish(2, {}, Routes);
  runUntilInForce(2);
  const std::uint64_t Size = m_Store.valueSize("keyed.op", "config");
  EXPECT_GT(static_cast<double>(Size), m_LinkRate);
  EXPECT_LT(m_Links->sentBytes(), m_EntryCount * Size);
}

// Failure: entries that were started before the first version was published
// never got it.
TEST_F(FeedSpreadBeforeTheFirstVersion, TheFirstVersionReachesAllEntries) {
  publish(1);
  runUntilInForce(1);
}

// Failure: a transfer whose source no longer responded began again in full at
// another source.
TEST_F(FeedSpreadSlowLinks, ATransferContinuesAtAnotherSource) {
  const std::string Feed = "{feed=\"configuration\"}";
  publish(2, {}, 600, 10);
  constexpr int Receiver = 5;
  runUntil([&] {
    return metric(Receiver, "corneldeck_feed_fetched_bytes_total" + Feed) >
           10'000;
  });
  m_Links->stall("entry-0", true);
  runUntilInForce(2);
  m_Links->stall("entry-0", false);
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    EXPECT_EQ(metric(Entry, "corneldeck_feed_discarded_bytes_total" + Feed), 0)
        << Entry;
}

// Failure: entries sent requests on open connections that had gone silent, and
// waited for the timeout at one source after the other.
TEST_F(FeedSpread, AVersionIsNotRequestedOnSilentConnections) {
  constexpr int Versions = 8;
  for (int Version = 2; Version < 2 + Versions; ++Version) {
    publish(Version);
    runUntilInForce(Version);
  }
  m_Links->silenceOpenConnections();
  publish(2 + Versions);
  runUntilInForce(2 + Versions);
  EXPECT_EQ(m_Links->silencedBytes(), 0U);
}

// Failure: a read of the log ended after a fixed time and was repeated in full,
// so that no entry got a large version from a slow log.
TEST_F(FeedSpread, AVersionIsReadFromASlowLog) {
  m_Store.m_Faults.m_PieceInterval = base::Millis(400);
  publish(2, {}, 1'600);
  runUntilInForce(2);
}

// Failure: each version was sent to each entry in full, also if it changed
// nothing, and entries that had part of a version began again.
TEST_F(FeedSpreadManyEntries, VersionsBackToBackAreSentAsDifferences) {
  constexpr int Routes = 1'000;
  constexpr int Versions = 6;
  publish(2, {}, Routes);
  runUntilInForce(2);
  const std::uint64_t Size = m_Store.valueSize("keyed.op", "config");
  const std::uint64_t Before = m_Links->sentBytes();
  for (int Version = 3; Version < 3 + Versions; ++Version) {
    publish(Version, "/added-" + std::to_string(Version) + "/", Routes);
    runFor(std::chrono::milliseconds(300));
  }
  runUntilInForce(2 + Versions);
  EXPECT_LT(m_Links->sentBytes() - Before, m_EntryCount * Size);
}

} // namespace corneldeck::tests

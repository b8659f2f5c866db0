#ifndef CORNELDECK_CATALOGUE_FOLLOWER_H
#define CORNELDECK_CATALOGUE_FOLLOWER_H

#include "Catalogue/Freshness.h"
#include "Catalogue/LogClient.h"
#include "Catalogue/State.h"
#include "Lease/LeaseTable.h"
#include "Wire/Peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Defects that the fault-injection tests enable; all off in production.
struct FollowerDefects {
  /// Loads every snapshot that is read, even over newer records.
  bool m_LoadOldSnapshots = false;
  /// Continues at the oldest retained record after a gap.
  bool m_SkipGap = false;
};

/// Settings of Follower.
struct FollowerSettings {
  std::string m_Node;
  /// Most records in one read.
  std::uint32_t m_ReadLimit = 500;
  /// How long the log may delay the response to a read until a record arrives.
  base::Millis m_LongPollTimeout = base::seconds(1);
  /// A read without a response fails this long after m_LongPollTimeout.
  base::Millis m_ReadTimeout = base::seconds(2);
  /// Delay before the next read after a failed one.
  base::Millis m_RetryDelay = base::Millis(250);
  /// Shortest time between two requests to peers for their catalogue.
  base::Millis m_PeerRequestInterval = base::Millis(500);
  /// Time between two snapshots. The log must retain records for at least three
  /// times as long.
  base::Millis m_SnapshotInterval = base::minutes(2);
  /// Whether this node may write snapshots.
  bool m_WritesSnapshots = true;
  FreshnessSettings m_Freshness;
  FollowerDefects m_InjectedDefects;
};

/// Events that are reported to operators.
enum class FollowerEvent {
  LogUnavailable,
  LogAvailable,
  LogGap,
  SnapshotLoaded,
  LoadedFromPeer
};

/// Actions that the caller must carry out for the follower.
struct FollowerActions {
  std::vector<ReadRequest> m_Reads;
  /// The peer to request the catalogue from.
  std::optional<std::string> m_CatalogueRequestPeer;
  /// A snapshot to append to the log.
  std::optional<wire::LogRecord> m_Append;
  /// Whether the catalogue or the leases changed.
  bool m_StateChanged = false;
  std::vector<FollowerEvent> m_Events;
};

/// Reads the log and maintains the catalogue and the leases as of one offset.
///
/// The offset never decreases. After a start, or if the log no longer retains
/// the record after the current offset, the follower needs a snapshot that
/// covers the missing records, from the log or from a peer. Without one it
/// reports LogGap and keeps its state.
///
/// Performs no I/O: the caller carries out the returned actions.
class Follower {
public:
  explicit Follower(FollowerSettings Settings, base::Millis Now);

  /// Returns the reads, the request to a peer and the snapshot that are due.
  FollowerActions tick(base::Millis Now);

  /// Processes the response to the read \p ReadId. Ignores one that arrives
  /// after the read timed out.
  FollowerActions onReadCompleted(base::Millis Now, std::uint64_t ReadId,
                                  const base::Result<ReadResponse> &Response);

  /// Sets the peers that follow the same log, without this process.
  void setPeers(const std::vector<std::string> &Peers);

  /// Records the offset of a peer's catalogue and the highest log offset that
  /// the peer knows of.
  void onPeerOffsets(base::Millis Now, const std::string &Peer,
                     std::uint64_t CatalogueOffset, std::uint64_t LogOffset);

  /// \returns a snapshot of the catalogue, or none if it is not newer than the
  /// one that the peer has.
  [[nodiscard]] std::optional<wire::CatalogueReply>
  makeCatalogueReply(const wire::CatalogueAsk &Request) const;

  /// Loads a peer's catalogue if it is newer.
  FollowerActions onPeerSnapshot(base::Millis Now,
                                 const wire::CatalogueSnapshot &Snapshot);

  /// Applies records from the end of the log that a peer relayed.
  FollowerActions onLogTail(base::Millis Now, const wire::LogTail &Tail);

  /// Requests a read at the next tick() to which the log responds without
  /// waiting for new records.
  void requestRead() { m_ImmediateReadRequested = true; }

  /// \returns whether the node may admit requests: its catalogue was loaded and
  /// is not stale.
  [[nodiscard]] bool ready(base::Millis Now) const;

  /// \returns whether the node could admit requests before, but its catalogue
  /// is now stale.
  [[nodiscard]] bool isStale(base::Millis Now) const;

  /// \returns when the newest read that reached the end of the log was sent;
  /// negative before the first. The state contains every record that was in the
  /// log at that time.
  [[nodiscard]] base::Millis currentAsOf() const { return m_CurrentAsOf; }

  /// \returns whether the state is complete as of its offset.
  [[nodiscard]] bool loaded() const { return m_Loaded; }
  [[nodiscard]] bool logReachable() const { return m_LogReachable; }
  [[nodiscard]] bool hasGap() const { return m_GapReported; }
  [[nodiscard]] const State &state() const { return m_State; }
  [[nodiscard]] const lease::LeaseTable &leases() const { return m_Leases; }
  [[nodiscard]] std::uint64_t highestKnownOffset() const {
    return m_Freshness.highestKnownOffset();
  }

private:
  void processRead(base::Millis Now, const ReadResponse &Response,
                   FollowerActions &Actions);
  void applyPending(base::Millis Now, FollowerActions &Actions);
  void applyOne(base::Millis Now, const PositionedRecord &Item);
  void loadPendingSnapshot(base::Millis Now, FollowerActions &Actions);
  void load(base::Millis Now, const wire::CatalogueSnapshot &Snapshot);
  void startAdmissionIfReady(base::Millis Now);
  void reportApplied(base::Millis Now);
  void setLogReachable(bool Reachable, FollowerActions &Actions);
  void sendRead(base::Millis Now, base::Millis Wait, FollowerActions &Actions);
  void expireReads(base::Millis Now, FollowerActions &Actions);
  void requestFromPeer(base::Millis Now, FollowerActions &Actions);
  void writeSnapshot(base::Millis Now, FollowerActions &Actions);
  [[nodiscard]] bool isBehind() const;

  const FollowerSettings m_Settings;
  State m_State;
  lease::LeaseTable m_Leases;
  Freshness m_Freshness;
  /// Set once the state is complete as of its offset.
  bool m_Loaded = false;
  /// Set once the state was complete and recent enough to admit requests.
  bool m_AdmissionStarted = false;
  bool m_LogReachable = false;
  /// Set once a read succeeded or failed.
  bool m_LogStateKnown = false;
  bool m_GapReported = false;
  bool m_ImmediateReadRequested = false;
  base::Millis m_CurrentAsOf{-1};
  /// Offset of the next read. While records are missing, it is more than one
  /// above the offset of the state.
  std::uint64_t m_NextReadOffset = 1;
  /// Records that were read but can't be applied yet; their offsets are
  /// consecutive.
  std::map<std::uint64_t, wire::LogRecord> m_Pending;
  std::uint64_t m_NextReadId = 1;
  /// A read without a response.
  struct ReadInFlight {
    base::Millis m_SentAt{};
    base::Millis m_Deadline{};
    /// Set if the log must not wait for new records.
    bool m_Immediate = false;
  };
  std::map<std::uint64_t, ReadInFlight> m_ReadsInFlight;
  base::Millis m_NextRead{};
  base::Millis m_NextPeerRequest{};
  /// Catalogue offsets of the peers, by peer address.
  std::map<std::string, std::uint64_t> m_PeerOffsets;
  base::Millis m_LastSnapshot{};
  std::uint64_t m_LastSnapshotOffset = 0;
  base::Millis m_NextSnapshotAttempt{};
};

} // namespace corneldeck::catalogue

#endif

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

/// Mistakes that the proofs plant; all off in the product.
struct FollowerDefects {
  /// Loads each snapshot that it reads, also over newer records.
  bool m_LoadOldSnapshots = false;
  /// Goes on from the oldest retained record after a gap.
  bool m_SkipGap = false;
};

/// How a follower is set.
struct FollowerSettings {
  std::string m_Node;
  std::uint32_t m_ReadLimit = 500;
  /// How long the log may hold back a read's answer until a record comes.
  base::Millis m_LongPollTimeout = base::seconds(1);
  /// A read without an answer counts as failed this long after
  /// m_LongPollTimeout.
  base::Millis m_ReadTimeout = base::seconds(2);
  base::Millis m_RetryDelay = base::Millis(250);
  base::Millis m_PeerRequestInterval = base::Millis(500);
  /// A snapshot is written this long after the last one. The log must keep
  /// records for at least three times as long.
  base::Millis m_SnapshotInterval = base::minutes(2);
  /// Set on the nodes that may write snapshots.
  bool m_WritesSnapshots = true;
  FreshnessSettings m_Freshness;
  FollowerDefects m_InjectedDefects;
};

/// Something that operators should see.
enum class FollowerEvent {
  LogUnavailable,
  LogAvailable,
  LogGap,
  SnapshotLoaded,
  LoadedFromPeer
};

/// What the caller is to do for the follower.
struct FollowerActions {
  std::vector<ReadRequest> m_Reads;
  /// Ask this peer for its catalogue.
  std::optional<std::string> m_CatalogueRequestPeer;
  /// Append this snapshot.
  std::optional<wire::LogRecord> m_Append;
  /// The state moved on.
  bool m_StateChanged = false;
  std::vector<FollowerEvent> m_Events;
};

/// Follows the log and keeps the catalogue and the leases as of one offset.
///
/// The offset never goes back. A start, or a gap between the state and the
/// oldest retained record, needs a snapshot that covers the gap, from the log
/// or from a peer; without one the follower reports LogGap and stays as it is.
class Follower {
public:
  explicit Follower(FollowerSettings Settings, base::Millis Now);

  /// Sends reads, asks peers and writes snapshots when they are due.
  FollowerActions tick(base::Millis Now);

  /// Takes the answer to a read.
  FollowerActions onReadCompleted(base::Millis Now, std::uint64_t ReadId,
                                  const base::Result<ReadResponse> &Response);

  /// Names the peers that share the catalogue, without this process.
  void setPeers(const std::vector<std::string> &Peers);

  /// A peer told its catalogue's offset and the highest offset it heard of.
  void onPeerOffsets(base::Millis Now, const std::string &Peer,
                     std::uint64_t CatalogueOffset, std::uint64_t LogOffset);

  /// \returns this catalogue for a peer that has less, else none.
  [[nodiscard]] std::optional<wire::CatalogueReply>
  makeCatalogueReply(const wire::CatalogueAsk &Request) const;

  /// Takes a peer's catalogue if it is newer.
  FollowerActions onPeerSnapshot(base::Millis Now,
                                 const wire::CatalogueSnapshot &Snapshot);

  /// Takes records that a peer relayed from the log's tail.
  FollowerActions onLogTail(base::Millis Now, const wire::LogTail &Tail);

  /// Asks for a read at the next tick() that the log answers at once.
  void requestRead() { m_ImmediateReadRequested = true; }

  /// \returns whether the node may admit requests: it holds a catalogue that is
  /// not too old.
  [[nodiscard]] bool ready(base::Millis Now) const;

  /// \returns whether a catalogue was in force here and is now too old.
  [[nodiscard]] bool isStale(base::Millis Now) const;

  /// \returns the send time of the newest read whose records are all applied.
  [[nodiscard]] base::Millis currentAsOf() const { return m_CurrentAsOf; }

  /// \returns whether the state is the whole catalogue as of its offset.
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
  /// Set once the state is the whole catalogue as of its offset.
  bool m_Loaded = false;
  /// Set once the state was fresh enough to admit requests by.
  bool m_AdmissionStarted = false;
  bool m_LogReachable = false;
  bool m_LogStateKnown = false;
  bool m_GapReported = false;
  bool m_ImmediateReadRequested = false;
  base::Millis m_CurrentAsOf{-1};
  /// Offset to read from next, ahead of the state while a gap is open.
  std::uint64_t m_NextReadOffset = 1;
  /// Records read ahead of the state, without holes among them.
  std::map<std::uint64_t, wire::LogRecord> m_Pending;
  std::uint64_t m_NextReadId = 1;
  /// Reads without an answer: when each was sent and when it counts as failed.
  struct ReadInFlight {
    base::Millis m_SentAt{};
    base::Millis m_Deadline{};
    /// Set if the log is to answer at once.
    bool m_Immediate = false;
  };
  std::map<std::uint64_t, ReadInFlight> m_ReadsInFlight;
  base::Millis m_NextRead{};
  base::Millis m_NextPeerRequest{};
  std::map<std::string, std::uint64_t> m_PeerOffsets;
  base::Millis m_LastSnapshot{};
  std::uint64_t m_LastSnapshotOffset = 0;
  base::Millis m_NextSnapshotAttempt{};
};

} // namespace corneldeck::catalogue

#endif

#ifndef CORNELDECK_GATEWAY_SHAREDFEED_H
#define CORNELDECK_GATEWAY_SHAREDFEED_H

#include "Base/Timeline.h"
#include "Feed/FeedFollower.h"
#include "Feed/ReaderRole.h"
#include "Feed/SourceSelector.h"
#include "Feed/StateHistory.h"
#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace corneldeck::gateway {

/// Settings of SharedFeed.
struct SharedFeedSettings {
  /// Name of the feed in requests between nodes.
  std::string m_Name;
  std::string m_Zone;
  std::uint64_t m_Seed = 0;
  feed::FeedFollowerSettings m_Follower;
  feed::ReaderRoleSettings m_Role;
  feed::SourceSelectorSettings m_Selector;
  /// Readers with a higher staleness are not counted as readers.
  base::Millis m_MaxStaleness = base::Millis(1500);
  /// A transfer without a byte for this time has failed.
  base::Millis m_TransferTimeout = base::Millis(700);
  /// A transfer of fewer bytes in each interval of this length has failed.
  base::Millis m_ProgressInterval = base::Millis(1000);
  std::size_t m_MinProgressBytes = 16 * net::KiB;
  /// Maximum number of transfers to other nodes at the same time. The link also
  /// carries callers' requests.
  std::size_t m_MaxUploads = 4;
  /// Smaller transfers are not counted.
  std::size_t m_SmallUploadBytes = 16 * net::KiB;
  /// Transfers that take longer are no longer counted.
  base::Millis m_MaxUploadTime = base::Millis(5000);
};

/// Replicates one topic of the log to all nodes, with only a few nodes reading
/// the log itself.
///
/// The other nodes fetch the state from any node that has it, as a compressed
/// difference from a state that they have. A node that has too many transfers
/// refuses further ones at once. A transfer may last as long as it makes
/// progress; one that ends early is continued at another node.
class SharedFeed {
public:
  /// Callbacks; all are required.
  struct Hooks {
    /// Called after a significant change of the state.
    std::function<void()> m_OnChanged;
    /// Called when this node has a newer state to fetch.
    /// \p FromLog is whether it was read from the log.
    std::function<void(bool FromLog)> m_OnNewState;
  };

  SharedFeed(boost::asio::io_context &Context, const feed::KeyedLogClient &Log,
             net::HttpClient &Client, base::Timeline &Events,
             metrics::Registry &Metrics, SharedFeedSettings Settings,
             feed::KeyedState::IsSignificant IsSignificant,
             feed::KeyedState::IsOlder IsOlder, Hooks Callbacks);

  /// Writes this node's position in the feed.
  void writePosition(wire::FeedPosition &Position) const;

  /// Records the position of another node, and fetches a newer state.
  void handlePosition(const wire::NodeNews &Sender,
                      const wire::FeedPosition &Position);

  /// Forgets a node that is lost or leaves.
  void removePeer(const std::string &Node);

  /// Decides whether this node reads the log.
  /// \param LiveEntries the other live entries.
  void updateReaderRole(const feed::ReaderCandidate &Self,
                        const std::vector<wire::NodeNews> &LiveEntries);

  /// Responds to a fetch of another node.
  void sendState(const std::shared_ptr<net::HttpExchange> &Exchange);

  [[nodiscard]] const feed::KeyedState &state() const { return m_State; }
  [[nodiscard]] const std::string &name() const { return m_Settings.m_Name; }
  /// Returns the time since the log last responded to this node.
  [[nodiscard]] base::Millis staleness() const {
    return m_Follower.staleness();
  }

private:
  struct Peer {
    wire::FeedPosition m_Position;
    base::Millis m_ReceivedAt{};
  };
  /// The active transfer from another node.
  struct Transfer {
    Transfer(feed::FeedSource Source, base::Millis Now)
        : m_Source(std::move(Source)), m_StartedAt(Now), m_IntervalStart(Now) {}

    feed::FeedSource m_Source;
    base::Millis m_StartedAt;
    net::HttpCallHandle m_Call;
    int m_Status = 0;
    /// Number of bytes that an earlier transfer brought.
    std::size_t m_ResumedAt = 0;
    /// Whether the source sends the complete state without compression, as
    /// nodes of earlier releases do.
    bool m_IsPlain = false;
    /// What the source knows beside the records.
    wire::FeedExtent m_Extent;
    bool m_HasExtent = false;
    base::Millis m_IntervalStart;
    std::size_t m_IntervalBytes = 0;
  };

  void fetchIfDue();
  void startTransfer(const feed::FeedSource &Source);
  void onHead(const net::HttpResponseHead &Head);
  void onData(std::string_view Data);
  void onEnd(const base::Result<void> &Outcome);
  void endTransfer(feed::TransferEnd End, const std::string &Why);
  /// Applies the state of a complete transfer.
  /// \returns the error of a damaged state.
  base::Result<void> applyTransfer();
  base::Result<void> applyState(const std::string &Bytes,
                                const wire::FeedExtent &Extent);

  /// Adds the present state to the history if it is not there yet.
  void updateHistory();
  [[nodiscard]] std::string serializeState() const;
  [[nodiscard]] wire::FeedExtent extent() const;
  /// Reserves one of the uploads.
  /// \returns its number; none if all are in use.
  std::optional<std::uint64_t> reserveUpload();

  /// Records an event when the log becomes reachable or unreachable.
  /// \param Failure the error of the last call, null if it succeeded.
  void recordContact(const base::Error *Failure);
  void recordNewEra(const feed::FeedFollower::NewEra &Started);

  const SharedFeedSettings m_Settings;
  net::HttpClient &m_Client;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  feed::KeyedState m_State;
  feed::FeedFollower m_Follower;
  feed::ReaderRole m_Role;
  feed::SourceSelector m_Selector;
  feed::StateHistory m_History;
  /// The content position of the newest state in m_History.
  std::optional<feed::LogPosition> m_HistoryPosition;
  boost::asio::steady_timer m_FetchTimer;
  std::optional<Transfer> m_Transfer;
  /// What has arrived of a payload of m_PartialSize bytes.
  feed::StatePayload m_Partial;
  std::size_t m_PartialSize = 0;
  std::map<std::uint64_t, base::Millis> m_Uploads;
  std::uint64_t m_NextUpload = 0;
  metrics::Counter &m_SentBytes;
  metrics::Counter &m_FetchedBytes;
  metrics::Counter &m_DiscardedBytes;
  metrics::Counter &m_BusyResponses;
  metrics::Counter &m_FailedFetches;
  std::map<std::string, Peer> m_Peers;
  bool m_LogReachable = true;
};

} // namespace corneldeck::gateway

#endif

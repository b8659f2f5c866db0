#ifndef CORNELDECK_GATEWAY_SHAREDFEED_H
#define CORNELDECK_GATEWAY_SHAREDFEED_H

#include "Base/Timeline.h"
#include "Feed/FeedFollower.h"
#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <map>
#include <string>

namespace corneldeck::gateway {

/// Settings of SharedFeed.
struct SharedFeedSettings {
  /// Name of the feed in requests between nodes.
  std::string m_Name;
  feed::FeedFollowerSettings m_Follower;
  /// Number of nodes that read the log; the other nodes fetch the feed from
  /// them. Two, so that the loss of one causes no interruption.
  unsigned m_Readers = 2;
  /// Readers with a higher staleness are not counted as readers.
  base::Millis m_MaxStaleness = base::Millis(1500);
  base::Millis m_FetchTimeout = base::Millis(800);
};

/// Replicates one topic of the log to all nodes, with only a few nodes reading
/// the log itself.
///
/// A node reads the log if too few of the nodes whose names sort before its own
/// report recent contact with the log. The feed thus continues when readers
/// fail or the log refuses some of them.
class SharedFeed {
public:
  SharedFeed(boost::asio::io_context &Context, const feed::KeyedLogClient &Log,
             net::HttpClient &Client, base::Timeline &Events,
             metrics::Registry &Metrics, SharedFeedSettings Settings,
             feed::KeyedState::IsSignificant IsSignificant,
             std::function<void()> Changed);

  /// Writes this node's position in the feed.
  void writePosition(wire::FeedPosition &Position) const;

  /// Records the position of another node, and fetches its state if it is ahead
  /// of this node.
  void handlePosition(const wire::NodeNews &Sender,
                      const wire::FeedPosition &Position);

  /// Decides whether this node reads the log.
  /// \param Self the name of this node.
  /// \param LiveEntries the live entries.
  void updateReaderRole(const std::string &Self,
                        const std::vector<wire::NodeNews> &LiveEntries);

  /// Responds to a fetch of another node with the full state.
  void sendState(net::HttpExchange &Exchange);

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

  void fetch(const wire::NodeNews &Sender);
  /// Records an event when the log becomes reachable or unreachable.
  /// \param Failure the error of the last call, null if it succeeded.
  void recordContact(const base::Error *Failure);
  void notifyChanged();

  const SharedFeedSettings m_Settings;
  net::HttpClient &m_Client;
  base::Timeline &m_Events;
  const std::function<void()> m_OnChanged;
  const base::Clock m_Clock = base::steadyClock();
  feed::KeyedState m_State;
  feed::FeedFollower m_Follower;
  std::map<std::string, Peer> m_Peers;
  metrics::Counter &m_SentBytes;
  metrics::Counter &m_FetchedBytes;
  metrics::Counter &m_FailedFetches;
  bool m_FetchInFlight = false;
  bool m_LogReachable = true;
};

} // namespace corneldeck::gateway

#endif

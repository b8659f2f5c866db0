#ifndef CORNELDECK_GATEWAY_SHAREDFEED_H
#define CORNELDECK_GATEWAY_SHAREDFEED_H

#include "Base/Timeline.h"
#include "Feed/FeedFollower.h"
#include "Fleet/FleetNode.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <map>
#include <string>

namespace corneldeck::gateway {

/// Settings of SharedFeed.
struct SharedFeedSettings {
  /// The name by which nodes ask each other for it.
  std::string m_Name;
  feed::FeedFollowerSettings m_Follower;
  /// Nodes that read the log; the others take the feed from them. Two, so that
  /// the loss of one is noticed without a gap.
  unsigned m_Readers = 2;
  /// A reader that the log did not answer for longer does not count.
  base::Millis m_MaxStaleness = base::Millis(1500);
  base::Millis m_FetchTimeout = base::Millis(800);
};

/// One topic of the log, read by few nodes and handed on to the rest.
///
/// Each node can read for itself: it does so when too few of the nodes before
/// it in the order of names say that the log answers them, so the feed goes on
/// while readers die or the log turns some of them away.
class SharedFeed {
public:
  SharedFeed(boost::asio::io_context &Context, const feed::KeyedLogClient &Log,
             net::HttpClient &Client, base::Timeline &Events,
             SharedFeedSettings Settings,
             feed::KeyedState::IsSignificant IsSignificant,
             std::function<void()> Changed);

  /// Writes how far this node is.
  void writePosition(wire::FeedPosition &Position) const;

  /// Takes what another node says of itself, and fetches its state if it is
  /// ahead.
  void handlePosition(const wire::NodeNews &From,
                      const wire::FeedPosition &Position);

  /// Decides whether this node reads the log, as \p Self among \p Entries.
  void updateReaderRole(const std::string &Self,
                        const std::vector<wire::NodeNews> &Entries);

  /// Answers another node's fetch.
  void sendState(net::HttpExchange &Exchange) const;

  [[nodiscard]] const feed::KeyedState &state() const { return m_State; }
  [[nodiscard]] const std::string &name() const { return m_Settings.m_Name; }
  /// \returns the time since the log last answered this node.
  [[nodiscard]] base::Millis staleness() const {
    return m_Follower.staleness();
  }

private:
  struct Peer {
    wire::FeedPosition m_Position;
    base::Millis m_ReceivedAt{};
  };

  void fetch(const wire::NodeNews &From);
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
  bool m_Fetching = false;
  bool m_InContact = true;
};

} // namespace corneldeck::gateway

#endif

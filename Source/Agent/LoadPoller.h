#ifndef CORNELDECK_AGENT_LOADPOLLER_H
#define CORNELDECK_AGENT_LOADPOLLER_H

#include "Net/HttpClient.h"
#include "Wire/Link.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>

namespace corneldeck::agent {

/// Polls an engine for its load and cache events, and fills in Load frames.
///
/// Each connection receives the events since its last frame. If it is too far
/// behind, events are skipped; the sequence number of the first event shows the
/// gap.
class LoadPoller {
public:
  /// \param Http must outlive this object.
  /// \param Address the address of the engine, "ip:port".
  LoadPoller(boost::asio::io_context &Loop, net::HttpClient &Http,
             std::string Address);

  void start();
  void stop();

  /// Fills in the engine's latest load and its new cache events.
  /// \param Link the connection on which the frame is sent.
  void fillLoad(std::uint64_t Link, wire::Load &Frame);

  /// Removes the state of a closed connection.
  void removeLink(std::uint64_t Link) { m_NextSequence.erase(Link); }

private:
  struct CacheEvent {
    std::uint64_t m_Block = 0;
    bool m_Evicted = false;
  };

  void poll();
  void onLoad(const std::string &Body);
  void onCacheEvents(const std::string &Body);

  boost::asio::steady_timer m_Timer;
  net::HttpClient &m_Http;
  const std::string m_Address;
  wire::Load m_LatestLoad;
  /// Sequence number of the first event in m_CacheEvents.
  std::uint64_t m_FirstSequence = 0;
  std::deque<CacheEvent> m_CacheEvents;
  std::map<std::uint64_t, std::uint64_t> m_NextSequence;
};

} // namespace corneldeck::agent

#endif

#ifndef CORNELDECK_AGENT_LOADPOLLER_H
#define CORNELDECK_AGENT_LOADPOLLER_H

#include "Net/HttpClient.h"
#include "Wire/Link.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>

namespace corneldeck::agent {

/// Asks an engine for its load and cache events and fills Load frames.
///
/// Each connection gets the events since its last frame; one that fell too far
/// behind gets a gap, which the number of the first event shows.
class LoadPoller {
public:
  /// \param Http must outlive this object. \param Address the engine.
  LoadPoller(boost::asio::io_context &Loop, net::HttpClient &Http,
             std::string Address);

  void start();
  void stop();

  /// Fills in what the engine last said.
  /// \param Link the connection that the frame goes to.
  void fillLoad(std::uint64_t Link, wire::Load &Frame);

  /// Forgets a connection.
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
  /// Number of the first kept event.
  std::uint64_t m_FirstSequence = 0;
  std::deque<CacheEvent> m_CacheEvents;
  std::map<std::uint64_t, std::uint64_t> m_NextSequence;
};

} // namespace corneldeck::agent

#endif

#ifndef CORNELDECK_AGENT_AGENTDAEMON_H
#define CORNELDECK_AGENT_AGENTDAEMON_H

#include "Agent/AgentSettings.h"
#include "Agent/BackendClient.h"
#include "Agent/EntryLinks.h"
#include "Agent/LoadPoller.h"
#include "Metrics/Registry.h"
#include "Net/HttpServer.h"
#include "Node/ControlLoop.h"
#include "Request/AttemptTable.h"
#include "Status/StatusPages.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>

namespace corneldeck::agent {

/// The process that runs next to one backend server. All requests pass through
/// it; it tracks their attempts and idempotency keys, and stops the backend
/// server gracefully.
///
/// Requests are handled on the thread that runs the io_context; the ControlLoop
/// has its own thread.
class AgentDaemon {
public:
  AgentDaemon(boost::asio::io_context &Loop, AgentSettings Settings);
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon &) = delete;
  AgentDaemon &operator=(const AgentDaemon &) = delete;

  /// Starts to serve.
  /// \returns nothing, or the error if an address cannot be bound.
  base::Result<void> start();

  /// Starts a graceful stop: accepts no new requests, and calls \p Done when
  /// all requests in flight have ended or the stop timeout has passed.
  void beginStop(std::function<void()> Done);

private:
  request::AttemptHooks attemptHooks();
  EntryLinksHooks linkHooks();
  BackendHooks backendHooks();
  void onView(const catalogue::ViewPtr &View);
  void onPeerMessage(const wire::PeerMessage &Message);
  void answerFence(const wire::PeerMessage &Message);
  void sendFence(const request::SendFence &Action);
  void execute(const request::AttemptActions &Actions);
  void execute(const request::AttemptAction &Action);
  void armTimer();
  void checkDrained();
  void fillLoad(request::LinkId Link, wire::Load &Load);
  void handleHttp(net::HttpExchange &Exchange);
  void beginDrain();
  void postToTrafficThread(std::function<void()> Task);
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  boost::asio::io_context &m_Loop;
  const AgentSettings m_Settings;
  const base::Clock m_Clock;
  const std::uint64_t m_Incarnation;
  base::Timeline m_Events;
  metrics::Registry m_Metrics;
  net::HttpClient m_Http;
  request::AttemptTable m_Table;
  BackendClient m_Backend;
  EntryLinks m_EntryLinks;
  std::unique_ptr<LoadPoller> m_LoadPoller;
  node::ControlLoop m_Control;
  status::StatusPages m_Pages;
  net::HttpServer m_Server;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_StopTimer;
  catalogue::ViewPtr m_View;
  /// Control addresses of all backend servers of the current and earlier
  /// catalogues, by name.
  std::map<std::string, std::string> m_ControlAddresses;
  std::function<void()> m_OnStopped;
  /// Expires with this object, so that tasks posted by the control thread are
  /// skipped afterwards.
  std::shared_ptr<int> m_Alive = std::make_shared<int>(0);
  metrics::Counter &m_Runs;
  metrics::Counter &m_Tokens;
};

} // namespace corneldeck::agent

#endif

#ifndef CORNELDECK_ENTRY_ENTRYDAEMON_H
#define CORNELDECK_ENTRY_ENTRYDAEMON_H

#include "Entry/EntrySettings.h"
#include "Entry/OperatorHandler.h"
#include "Entry/RequestHandler.h"
#include "Metrics/Registry.h"
#include "Net/HttpServer.h"
#include "Node/ControlLoop.h"
#include "Status/StatusPages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace corneldeck::entry {

/// The process on an entry VM. It serves callers' and operators' requests.
///
/// Requests are handled on the thread that runs the io_context; the ControlLoop
/// has its own thread.
class EntryDaemon {
public:
  EntryDaemon(boost::asio::io_context &Loop, EntrySettings Settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon &) = delete;
  EntryDaemon &operator=(const EntryDaemon &) = delete;

  /// Starts to serve.
  /// \returns nothing, or the error if an address cannot be bound.
  base::Result<void> start();

  /// Starts a graceful stop: removes this entry from the address lists for
  /// callers, serves until the lists that contain it have expired and its
  /// requests are complete or the stop timeout has passed, and then calls \p
  /// Done.
  void beginStop(std::function<void()> Done);

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  void handle(const ExchangePtr &Exchange);
  void handleAddresses(const ExchangePtr &Exchange);
  void checkStopped();
  void exchangeLimits();
  void postToTrafficThread(std::function<void()> Task);
  [[nodiscard]] status::Readiness readiness() const;

  boost::asio::io_context &m_Loop;
  const EntrySettings m_Settings;
  const std::uint64_t m_Incarnation;
  const base::Clock m_Clock;
  base::Timeline m_Events;
  metrics::Registry m_Metrics;
  net::HttpClient m_Http;
  node::ControlLoop m_Control;
  RequestHandler m_RequestHandler;
  OperatorHandler m_OperatorHandler;
  status::StatusPages m_Pages;
  net::HttpServer m_Server;
  boost::asio::steady_timer m_StopTimer;
  boost::asio::steady_timer m_LimitTimer;
  std::uint64_t m_LimitRounds = 0;
  bool m_Ready = false;
  bool m_Stopping = false;
  base::Millis m_ServeUntil{};
  base::Millis m_StopDeadline{};
  std::function<void()> m_OnStopped;
  /// Expires with this object, so that tasks posted by the control thread are
  /// skipped afterwards.
  std::shared_ptr<int> m_Alive = std::make_shared<int>(0);
};

} // namespace corneldeck::entry

#endif

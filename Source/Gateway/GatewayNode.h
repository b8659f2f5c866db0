#ifndef CORNELDECK_GATEWAY_GATEWAYNODE_H
#define CORNELDECK_GATEWAY_GATEWAYNODE_H

#include "Direct/RequestForwarder.h"
#include "Fleet/FleetNode.h"
#include "Gateway/SharedFeed.h"
#include "Membership/AddressSelector.h"
#include "Net/HttpServer.h"

#include <memory>
#include <string>

namespace corneldeck::gateway {

/// Settings of GatewayNode.
struct GatewaySettings {
  fleet::FleetSettings m_Fleet;
  /// Topics of the platform's log.
  std::string m_ConfigurationTopic;
  std::string m_ServersTopic;
  direct::SharedRetryBudgetSettings m_RetryBudget;
  /// How long callers may keep an answer to "which address".
  base::Millis m_AddressLifetime = base::seconds(2);
  std::size_t m_MaxAddresses = 64;
  /// From the order to stop to the last moment to end by itself.
  base::Millis m_StopTimeout = base::Millis(7300);
  std::size_t m_MaxConnections = 3000;
  /// Connections kept to each backend server; below what it takes from all.
  std::size_t m_MaxIdlePerServer = 32;
  base::Millis m_ConnectTimeout = base::Millis(700);
};

/// Translates the platform's records. Each hook is required.
struct RecordCodec {
  /// Reads all that operators published; the values by key.
  std::function<base::Result<direct::Configuration>(
      const std::map<std::string, std::string> &)>
      m_DecodeConfiguration;
  std::function<base::Result<direct::BackendServer>(const std::string &Key,
                                                    const std::string &Value)>
      m_DecodeServer;
};

/// An entry that forwards to backend servers itself: its feeds, its place among
/// the other entries, and its front for callers.
class GatewayNode {
public:
  GatewayNode(boost::asio::io_context &Context, GatewaySettings Settings,
              feed::KeyedLogClient Log, RecordCodec Records,
              direct::RequestCodec Requests, base::Timeline &Events,
              metrics::Registry &Metrics);
  ~GatewayNode();

  base::Result<void> start();

  /// Leaves the answers to callers, serves on, and calls \p Done at the end.
  void beginStop(std::function<void()> Done);

  [[nodiscard]] bool ready() const;

  /// \returns the addresses for a caller in \p Zone.
  membership::AddressList advise(const std::string &Zone);

private:
  void tick();
  void configurationChanged();
  void serversChanged();
  void handlePeerRequest(const std::shared_ptr<net::HttpExchange> &Exchange);
  void fillBeat(wire::FleetBeat &Beat) const;
  void handleBeat(const wire::FleetBeat &Beat);
  void handleAgentBeat(const wire::FleetBeat &Beat);
  void checkStopped();

  const GatewaySettings m_Settings;
  const feed::KeyedLogClient m_Log;
  const RecordCodec m_Records;
  base::Timeline &m_Events;
  metrics::Registry &m_Metrics;
  const base::Clock m_Clock = base::steadyClock();
  base::Random m_Rng;
  net::HttpClient m_PeerClient;
  net::HttpClient m_ServerClient;
  direct::ServerPool m_Pool;
  direct::AdmissionQueue m_AdmissionQueue;
  direct::SharedRetryBudget m_RetryBudget;
  direct::ConcurrencyLimiter m_Limiter;
  direct::GroupAvailability m_GroupAvailability;
  direct::RequestForwarder m_Forwarder;
  SharedFeed m_Configuration;
  SharedFeed m_Servers;
  fleet::FleetNode m_Fleet;
  membership::AddressSelector m_Advisor;
  std::unique_ptr<net::HttpServer> m_CallerServer;
  net::HttpServer m_PeerServer;
  boost::asio::steady_timer m_Timer;
  bool m_Stopping = false;
  base::Millis m_StopStartedAt{};
  std::function<void()> m_OnStopped;
};

} // namespace corneldeck::gateway

#endif

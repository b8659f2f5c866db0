#ifndef CORNELDECK_GATEWAY_GATEWAYNODE_H
#define CORNELDECK_GATEWAY_GATEWAYNODE_H

#include "Direct/RequestForwarder.h"
#include "Fleet/FleetNode.h"
#include "Gateway/ClassExchange.h"
#include "Gateway/GroupExchange.h"
#include "Gateway/QuarantineExchange.h"
#include "Gateway/RateLimitExchange.h"
#include "Gateway/ServerNoticeExchange.h"
#include "Gateway/SharedFeed.h"
#include "Gateway/WarmUpReport.h"
#include "Gateway/ZoneEvacuations.h"
#include "Membership/AddressSelector.h"
#include "Net/HttpServer.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace corneldeck::gateway {

/// Settings of GatewayNode.
struct GatewaySettings {
  fleet::FleetSettings m_Fleet;
  /// Topics of the platform's log.
  std::string m_ConfigurationTopic;
  std::string m_ServersTopic;
  direct::SharedRetryBudgetSettings m_RetryBudget;
  direct::WarmUpBounds m_WarmUp;
  /// Maximum time that callers may cache addresses.
  base::Millis m_AddressLifetime = base::seconds(2);
  std::size_t m_MaxAddresses = 64;
  /// Time from the start of the shutdown to the latest exit of the process.
  base::Millis m_StopTimeout = base::Millis(7300);
  std::size_t m_MaxConnections = 3000;
  /// Receive buffer of a caller's connection in the system, in bytes.
  std::size_t m_ReceiveBufferBytes = 64 * net::KiB;
  /// Maximum size of all that is held for callers and backend servers,
  /// including those responses.
  std::size_t m_MaxHeldBytes = 96 * net::MiB;
  /// Maximum idle connections to each backend server. Lower than the limit that
  /// a backend server has for all clients together.
  std::size_t m_MaxIdlePerServer = 32;
  base::Millis m_ConnectTimeout = base::Millis(700);
  /// Maximum size of all responses that are held until they can be forwarded.
  std::size_t m_MaxResponseBytes = 32 * net::MiB;
};

/// Decodes a configuration in steps, so that requests are served in between.
/// Each call decodes a part.
/// \returns the configuration or the error once it is complete.
using ConfigurationDecoding =
    std::function<std::optional<base::Result<direct::Configuration>>()>;

/// Hooks that decode the platform's records. All are required.
struct RecordCodec {
  /// Starts to decode the configuration from the values of its topic by key.
  std::function<ConfigurationDecoding(std::map<std::string, std::string>)>
      m_DecodeConfiguration;
  /// Decodes the evacuations of zones from the same values.
  std::function<direct::EvacuationRecords(
      const std::map<std::string, std::string> &)>
      m_DecodeEvacuations;
  /// Decodes the record of one backend server.
  std::function<base::Result<direct::BackendServer>(const std::string &Key,
                                                    const std::string &Value)>
      m_DecodeServer;
  /// Return whether an operator or a backend server wrote \p Value before
  /// \p Than. False if either is malformed.
  feed::KeyedState::IsOlder m_IsOlderConfiguration;
  feed::KeyedState::IsOlder m_IsOlderServer;
};

/// An entry that forwards requests directly to backend servers. Owns the feeds
/// of the configuration and the backend servers, the membership among the other
/// entries, and the HTTP servers for callers and peers.
class GatewayNode {
public:
  GatewayNode(boost::asio::io_context &Context, GatewaySettings Settings,
              feed::KeyedLogClient Log, RecordCodec Records,
              direct::RequestCodec Requests, base::Timeline &Events,
              metrics::Registry &Metrics);
  ~GatewayNode();

  /// Starts listening.
  /// \returns the error if an address is not available.
  base::Result<void> start();

  /// Starts the shutdown: the entry is no longer among the addresses for
  /// callers but still serves requests. Calls \p Done at the end.
  void beginStop(std::function<void()> Done);

  /// Returns whether the configuration and the backend servers are loaded and
  /// the entry is not stopping.
  [[nodiscard]] bool ready() const;

  /// Returns the account of what is held for callers and backend servers.
  [[nodiscard]] std::shared_ptr<net::MemoryAccount> memory() const {
    return m_Memory;
  }

  /// Returns the addresses of entries for a caller in \p Zone.
  membership::AddressList advise(const std::string &Zone);

private:
  void onTimer();
  void configurationChanged();
  /// Decodes a part of the newest configuration, and applies it if complete.
  void decodeConfiguration();
  void applyConfiguration(direct::Configuration Decoded);
  /// Logs the parts of a version that are not in effect.
  void recordUnreadableParts(const direct::Configuration &Decoded);
  /// Announces new positions in the feeds to other entries.
  void announceFeeds(bool ToAll);
  [[nodiscard]] SharedFeed::Hooks feedHooks(std::function<void()> Changed);
  void serversChanged();
  /// Notices services all of whose servers have another version than before.
  void updateVersions(const std::vector<direct::BackendServer> &Servers);
  /// Logs the records of servers that cannot be decoded, each once.
  /// \param Records the reasons by key.
  void recordUnreadable(std::map<std::string, std::string> Records);
  void handlePeerRequest(const std::shared_ptr<net::HttpExchange> &Exchange);
  /// Responds with what the planner of a rank group has to know of its engines.
  void
  sendEngineProfile(const std::shared_ptr<net::HttpExchange> &Exchange) const;
  void fillHeartbeat(wire::FleetBeat &Beat) const;
  void handleHeartbeat(const wire::FleetBeat &Beat);
  /// Processes the sums over the entries of a zone, or over all entries.
  /// \param Own the own heartbeat that the sums include, or null.
  void handleSummary(const wire::FleetSummary &Summary,
                     const wire::FleetBeat *Own);
  /// Returns the loads from other entries.
  [[nodiscard]] direct::ServerLoads loadsOf(const wire::FleetSummary &Summary,
                                            const wire::FleetBeat *Own) const;
  /// Removes the sums over all entries, which would count entries twice beside
  /// the reports of entries and zones.
  void removePeerSums();
  void checkStopped();
  void addMemoryMetrics();
  /// Logs that a caller was cut off, at most CutOffLinesPerSecond times a
  /// second.
  void recordCutOff(const net::CallerCutOff &Cut);
  [[nodiscard]] net::HttpServerOptions callerServerOptions() const;

  const GatewaySettings m_Settings;
  const feed::KeyedLogClient m_Log;
  const RecordCodec m_Records;
  base::Timeline &m_Events;
  metrics::Registry &m_Metrics;
  const base::Clock m_Clock = base::steadyClock();
  base::Random m_Rng;
  /// Outlives the connections and requests that are in it.
  const std::shared_ptr<net::MemoryAccount> m_Memory;
  net::HttpClient m_PeerClient;
  net::HttpClient m_ServerClient;
  direct::ServerPool m_Pool;
  direct::AdmissionQueue m_AdmissionQueue;
  direct::SharedRetryBudget m_RetryBudget;
  direct::ConcurrencyLimiter m_Limiter;
  direct::GroupAvailability m_GroupAvailability;
  direct::ServerEnds m_ServerEnds;
  direct::PromptQuarantine m_Quarantine;
  direct::RequestForwarder m_Forwarder;
  SharedFeed m_Configuration;
  SharedFeed m_Servers;
  fleet::FleetNode m_Fleet;
  ClassExchange m_Classes;
  RateLimitExchange m_RateLimits;
  ServerNoticeExchange m_ServerNotices;
  ZoneEvacuations m_Evacuations;
  WarmUpReport m_WarmUp;
  GroupExchange m_Groups;
  QuarantineExchange m_QuarantineExchange;
  membership::AddressSelector m_Advisor;
  std::unique_ptr<net::HttpServer> m_CallerServer;
  net::HttpServer m_PeerServer;
  boost::asio::steady_timer m_Timer;
  /// The configuration that is being decoded.
  ConfigurationDecoding m_Decoding;
  base::Millis m_DecodingStartedAt{};
  /// Since when the newest version received is not in force; zero if it is.
  base::Millis m_PendingSince{};
  bool m_ConfigurationChangedMeanwhile = false;
  /// Versions of the servers that were listed last, by service.
  std::map<std::string, std::set<std::uint64_t>> m_ServerVersions;
  /// Ids of the servers by the hashes by which summaries name them.
  std::unordered_map<std::uint32_t, std::string> m_ServerByHash;
  /// Records of servers that cannot be decoded: the reasons by key.
  std::map<std::string, std::string> m_UnreadableServers;
  /// Expires with this object, for actions that are posted.
  const std::shared_ptr<const bool> m_Lifetime =
      std::make_shared<const bool>(true);
  /// Start of the second in which lines of cut off callers are counted, the
  /// lines in it, and the callers since the last line without one.
  base::Millis m_CutOffSecond{};
  unsigned m_CutOffLines = 0;
  std::uint64_t m_CutOffsWithoutLine = 0;
  bool m_Stopping = false;
  base::Millis m_StopStartedAt{};
  bool m_IsAnsweredBeforeExit = false;
  std::function<void()> m_OnStopped;
};

} // namespace corneldeck::gateway

#endif

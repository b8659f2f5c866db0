#ifndef CORNELDECK_DIRECT_SERVERPOOL_H
#define CORNELDECK_DIRECT_SERVERPOOL_H

#include "Base/Random.h"
#include "Direct/Configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// A backend server as the platform's list names it.
struct BackendServer {
  /// Differs for every start, but for one that begins again under its name.
  std::string m_Id;
  std::string m_Service;
  std::string m_Address;
  std::string m_Zone;
  unsigned m_Capacity = 1;
  /// Takes no new work.
  bool m_Draining = false;
  /// How much longer it is slow after its start, when the entry was read.
  base::Millis m_WarmUpRemaining{};
  /// Wall time of its start in milliseconds, as it told; 0 if it did not.
  std::uint64_t m_StartTime = 0;

  bool operator==(const BackendServer &) const = default;
};

/// Work in flight at one backend server.
struct ServerLoad {
  unsigned m_Requests = 0;
  /// Prompt tokens of requests that have sent no event yet.
  double m_PromptTokens = 0;

  bool operator==(const ServerLoad &) const = default;
};

using ServerLoads = std::map<std::string, ServerLoad>;

/// How one attempt at a backend server ended, as far as its health tells.
enum class ServerOutcome {
  Served,      ///< A complete answer.
  Refused,     ///< It said that it did not run the request.
  Failed,      ///< Broken, garbled or an error of its own.
  Unreachable, ///< No connection.
  Silent       ///< No byte for too long.
};

/// Settings of ServerPool.
struct ServerPoolSettings {
  /// Weight of the newest outcome in the failure rate: two failures in a row
  /// take a server out of ordinary choice.
  double m_FailureSmoothing = 0.35;
  /// Time in which a failure rate halves without new outcomes.
  base::Millis m_FailureHalfLife = base::seconds(3);
  /// Places that a server with failure rate 1 counts as filled, in capacities.
  double m_FailurePenalty = 4;
  /// Places that a server in another zone counts as filled, in capacities;
  /// bytes between zones cost, so ties go to the zone of this VM.
  double m_OtherZonePenalty = 0.04;
  /// Weight of the newest latency in the average.
  double m_LatencySmoothing = 0.2;
  /// Bounds for a server's latency over its service's.
  double m_MinLatencyRatio = 0.5;
  double m_MaxLatencyRatio = 8;
  /// Loads of another entry older than this are not counted.
  base::Millis m_LoadLifetime = base::seconds(2);
  /// Prompt tokens that weigh like one running request.
  double m_TokensPerRequest = 1000;
  /// Time without choice after an unreachable or silent server.
  base::Millis m_InitialBackoff = base::Millis(500);
  base::Millis m_MaxBackoff = base::seconds(4);
};

/// Chooses the backend server for each attempt.
///
/// Answers these loads: many requests at once from all entries (outstanding
/// work of this entry and the last report of the others), slow servers
/// (latency against the service's), servers that fail part of their requests
/// while their health is good (failure rate), crashed and silent ones (a pause
/// that doubles), fresh ones (warm-up). A service is never left without a
/// server: if all are paused, the one whose pause ends first is taken.
class ServerPool {
public:
  /// \param Zone the availability zone of this VM.
  explicit ServerPool(std::string Zone, ServerPoolSettings Settings = {});

  /// Replaces the list; what is known of servers that stay is kept.
  void replaceServers(const std::vector<BackendServer> &Servers,
                      base::Millis Now);

  /// \param Excluded ids that this request was already sent to.
  /// \returns the server for the next attempt, or null if the service has
  /// none.
  const BackendServer *chooseServer(std::string_view Service,
                                    const std::vector<std::string> &Excluded,
                                    base::Millis Now, base::Random &Rng);

  /// An attempt is sent to \p Id.
  void attemptStarted(const std::string &Id, double PromptTokens);
  /// The first event came, so the prompt was read.
  void promptProcessed(const std::string &Id, double PromptTokens);
  /// The attempt ended; \p Tokens are those that begin() counted and
  /// promptProcessed() did not take off.
  void attemptEnded(const std::string &Id, double PromptTokens);

  /// Takes the result of an attempt into account.
  /// \param Latency to the answer or its first event; zero if unknown.
  void recordOutcome(const std::string &Id, ServerOutcome Outcome,
                     base::Millis Latency, base::Millis Now);

  /// Takes the work in flight that another entry reports.
  void setPeerLoads(const std::string &Peer, ServerLoads Loads,
                    base::Millis Now);
  void removePeer(const std::string &Peer);

  /// \returns this entry's own work in flight, for the other entries.
  [[nodiscard]] const ServerLoads &localLoads() const { return m_LocalLoads; }

  /// Usage of a service over all entries.
  struct ServiceUsage {
    unsigned m_Servers = 0;
    unsigned m_Capacity = 0;
    unsigned m_InFlight = 0;
  };
  [[nodiscard]] ServiceUsage usage(std::string_view Service,
                                   base::Millis Now) const;

private:
  struct Health {
    double m_FailureRate = 0;
    base::Millis m_FailureRateTime{};
    double m_Latency = 0;
    base::Millis m_BackoffUntil{};
    base::Millis m_Backoff{};
    base::Millis m_WarmUpUntil{};
  };
  struct ServerState {
    BackendServer m_Server;
    Health m_Health;
  };
  struct PeerReport {
    ServerLoads m_Loads;
    base::Millis m_ReceivedAt{};
  };

  [[nodiscard]] double failureRate(const Health &Of, base::Millis Now) const;
  [[nodiscard]] ServerLoad load(const std::string &Id, base::Millis Now) const;
  [[nodiscard]] double meanLatency(std::string_view Service) const;
  [[nodiscard]] double score(const ServerState &Candidate, double MeanLatency,
                             base::Millis Now) const;

  const std::string m_Zone;
  const ServerPoolSettings m_Settings;
  std::map<std::string, ServerState, std::less<>> m_States;
  ServerLoads m_LocalLoads;
  std::map<std::string, PeerReport> m_Peers;
};

} // namespace corneldeck::direct

#endif

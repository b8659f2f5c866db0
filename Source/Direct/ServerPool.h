#ifndef CORNELDECK_DIRECT_SERVERPOOL_H
#define CORNELDECK_DIRECT_SERVERPOOL_H

#include "Base/Random.h"
#include "Direct/Configuration.h"
#include "Direct/EvacuatedZones.h"
#include "Direct/LevelDraw.h"
#include "Direct/RankGroups.h"
#include "Direct/RateTokens.h"
#include "Direct/ServerNotices.h"
#include "Direct/ServerRateLimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corneldeck::direct {

/// A backend server, as listed by the platform.
struct BackendServer {
  /// Changes with each start, except when a server restarts under its old id.
  std::string m_Id;
  std::string m_Service;
  std::string m_Address;
  std::string m_Zone;
  unsigned m_Capacity = 1;
  /// Accepts no new requests.
  bool m_Draining = false;
  /// Remaining warm-up time when the record was read.
  base::Millis m_WarmUpRemaining{};
  /// Whether the record names a remaining warm-up time.
  bool m_NamesWarmUp = false;
  /// Number of a record that names a time left, so that one that names the same
  /// time again differs; otherwise 0.
  std::uint64_t m_WarmUpRecord = 0;
  /// Wall-clock time of its start in milliseconds; 0 if unknown.
  std::uint64_t m_StartTime = 0;
  /// Version of its software; 0 if unknown.
  std::uint64_t m_Version = 0;

  bool operator==(const BackendServer &) const = default;
};

/// Requests in flight at one backend server.
struct ServerLoad {
  unsigned m_Requests = 0;
  /// Prompt tokens of requests without a first event yet.
  double m_PromptTokens = 0;

  bool operator==(const ServerLoad &) const = default;
};

/// Loads by server id.
using ServerLoads = std::map<std::string, ServerLoad>;

/// Outcome of one attempt, for the health tracking of the backend server.
enum class ServerOutcome {
  Served,      ///< A complete response.
  Refused,     ///< The server reported that it did not run the request.
  Failed,      ///< Connection lost, malformed response or server error.
  Unreachable, ///< No connection, or another server has the address.
  Silent       ///< No byte within the timeout.
};

/// Whether a request may be sent to a backend server now.
enum class ServerAvailability {
  Available,
  NoToken,    ///< It has a rate limit, and this entry has no token.
  InBackoff,  ///< It may be used if no other server is available.
  Unavailable ///< It drains, leaves, is in a pause or in an evacuated zone, or
              ///< was just on trial.
};

/// Load of the servers of a rank group over all entries.
struct GroupLoad {
  /// Requests in flight at all servers; unprocessed prompt tokens count as
  /// requests, too.
  double m_Requests = 0;
  /// Number and capacity of the servers that may be chosen.
  unsigned m_Servers = 0;
  unsigned m_Capacity = 0;
};

/// Settings of ServerPool.
struct ServerPoolSettings {
  /// Smoothing factor of the failure rate. After two consecutive failures a
  /// server is chosen only if the others are overloaded.
  double m_FailureSmoothing = 0.35;
  /// Half-life of the failure rate without new outcomes.
  base::Millis m_FailureHalfLife = base::seconds(3);
  /// Utilization that is added to the score of a server with a failure rate of
  /// 1.
  double m_FailurePenalty = 4;
  /// Utilization that is added to the score of a server in another availability
  /// zone. Traffic between zones is charged, so ties are resolved in favor of
  /// the zone of this VM.
  double m_OtherZonePenalty = 0.04;
  /// Smoothing factor of the moving average of the latency.
  double m_LatencySmoothing = 0.2;
  /// Bounds of the ratio of a server's latency to the mean of its service.
  double m_MinLatencyRatio = 0.5;
  double m_MaxLatencyRatio = 8;
  /// Latencies are forgotten after this time without a response, so that a
  /// server that was slow is tried again.
  base::Millis m_LatencyLifetime = base::seconds(20);
  /// Load reports of other entries are ignored after this time.
  base::Millis m_LoadLifetime = base::seconds(2);
  /// Time constant of the estimated rate of attempts.
  base::Millis m_ArrivalTimeConstant = base::seconds(2);
  /// Lower bound of unreportedRequests(); servers whose loads differ by less
  /// are equally good.
  double m_MinUnreported = 0.1;
  /// Number of unprocessed prompt tokens that count as one request.
  double m_TokensPerRequest = 1000;
  /// Backoff after a server was unreachable or silent; doubled up to the
  /// maximum.
  base::Millis m_InitialBackoff = base::Millis(500);
  base::Millis m_MaxBackoff = base::seconds(4);
  RateTokenSettings m_RateTokens;
  WarmUpBounds m_WarmUp;
  ServerNoticeSettings m_Notices;
  RankGroupSettings m_Groups;
};

/// Chooses the backend server for each attempt.
///
/// Servers have a score, which grows with the requests in flight of this and
/// the other entries, with the server's latency relative to its service, with
/// its failure rate, and during its warm-up.
///
/// Pattern: load interpretation. The loads of other entries are as old as their
/// last reports, and many entries that choose the lowest score would all choose
/// the same few servers. Instead, the requests that the others are expected to
/// have sent since are distributed so that they even out the scores, and the
/// server is drawn with a probability in proportion to its part. With recent
/// reports or few requests this is the server with the lowest score.
///
/// In a service that is divided into rank groups, the group is drawn first in
/// the same way, and then one of its servers: a request lengthens the passes of
/// all ranks of its group.
///
/// Unreachable and silent servers are not chosen during an exponential backoff.
/// If all servers of a service are in backoff, the one whose backoff ends first
/// is chosen, so that a service is never left without a server. A server with a
/// rate limit is chosen, in backoff or not, only while this entry has a token
/// for it. A server that leaves or is in a pause is never chosen, and after a
/// pause it gets few requests until it has accepted one.
///
/// Every path to a server asks availability(): first attempts, retries, resumed
/// streams, requests for tokens and the capacity that admission sees.
class ServerPool {
public:
  /// \param Zone the availability zone of this VM.
  /// \param FirstTokenNumber see RateTokenGranter.
  explicit ServerPool(std::string Zone, ServerPoolSettings Settings = {},
                      std::uint64_t FirstTokenNumber = 1);

  /// Replaces the list of servers. The health state of servers whose id and
  /// address are unchanged is kept.
  /// \param WallTime wall-clock time in milliseconds, by which the age of the
  /// servers is known; 0 if unknown.
  void replaceServers(const std::vector<BackendServer> &Servers,
                      base::Millis Now, std::uint64_t WallTime = 0);

  /// Replaces the zones to whose servers nothing may be sent.
  /// \returns the evacuations that have ended or begun.
  std::vector<EvacuatedZones::Change>
  evacuate(const std::set<std::string> &Zones, base::Millis Now);
  [[nodiscard]] const EvacuatedZones &evacuatedZones() const {
    return m_EvacuatedZones;
  }
  /// Returns whether the server \p Id is in an evacuated zone.
  [[nodiscard]] bool isEvacuated(const std::string &Id) const;
  /// Returns the number of listed servers in \p Zone.
  [[nodiscard]] std::size_t serversInZone(const std::string &Zone) const;

  /// Returns whether a request may be sent to the server \p Id now.
  [[nodiscard]] ServerAvailability availability(const std::string &Id,
                                                base::Millis Now) const;

  /// Returns whether the server \p Id drains or leaves, so that its end is
  /// expected.
  [[nodiscard]] bool isStopping(const std::string &Id) const;

  /// Returns the server for the next attempt, or null if none is left. The
  /// result is valid until the next call of replaceServers().
  /// \param Excluded ids of the servers that this request was already sent to.
  const BackendServer *chooseServer(std::string_view Service,
                                    const std::vector<std::string> &Excluded,
                                    base::Millis Now, base::Random &Rng);

  /// Rates a rank group for the next request. The group with the lowest score
  /// costs the requests that run there least.
  /// \returns nothing if the group must not be used.
  using RateGroup = std::function<std::optional<LoadOption>(
      const RankGroup &Group, const GroupLoad &Load)>;
  /// Sets the rating of rank groups. Without one, their requests in flight
  /// relative to their capacity count.
  void setGroupRating(RateGroup Rate) { m_RateGroup = std::move(Rate); }

  /// Requests a token of one of the servers of \p Service that have a rate
  /// limit and no token here, for a request that waits.
  void requestToken(std::string_view Service, base::Millis Now,
                    base::Random &Rng);

  /// Counts an attempt in flight at the server \p Id, and uses its token.
  void attemptStarted(const std::string &Id, double PromptTokens,
                      base::Millis Now);
  /// Removes the prompt tokens of an attempt from the load, after its first
  /// event.
  void promptProcessed(const std::string &Id, double PromptTokens);
  /// Removes an attempt from the load.
  /// \param PromptTokens the tokens that attemptStarted() added and
  /// promptProcessed() has not removed.
  void attemptEnded(const std::string &Id, double PromptTokens);

  /// Updates the health state of a server with the outcome of an attempt.
  /// \param Latency duration of the attempt; zero if not measured.
  void recordOutcome(const std::string &Id, ServerOutcome Outcome,
                     base::Millis Latency, base::Millis Now);

  /// Replaces the load that another entry reports, or the sum over several
  /// entries.
  /// \param ReportedAt the time of the report.
  /// \param Entries the number of entries whose load is included.
  void setPeerLoads(const std::string &Peer, ServerLoads Loads,
                    base::Millis ReportedAt, unsigned Entries = 1);
  /// Removes the load that another entry reported.
  void removePeer(const std::string &Peer);
  /// Removes all reports but that of \p Peer.
  void keepOnlyPeer(const std::string &Peer);

  /// Returns the rate limits that the servers name.
  [[nodiscard]] ServerRateLimits &rateLimits() { return m_RateLimits; }
  [[nodiscard]] const ServerRateLimits &rateLimits() const {
    return m_RateLimits;
  }
  /// Returns the notices in the servers' responses.
  [[nodiscard]] ServerNotices &notices() { return m_Notices; }
  [[nodiscard]] const ServerNotices &notices() const { return m_Notices; }
  /// Returns the rank groups of the servers.
  [[nodiscard]] RankGroups &groups() { return m_Groups; }
  [[nodiscard]] const RankGroups &groups() const { return m_Groups; }
  /// Returns the limits of the cold servers.
  [[nodiscard]] WarmUpLimits &warmUp() { return m_WarmUp; }
  /// Returns the tokens of the servers with a rate limit.
  [[nodiscard]] RateTokens &rateTokens() { return m_RateTokens; }
  [[nodiscard]] const RateTokens &rateTokens() const { return m_RateTokens; }

  /// Returns the load from this entry, for reporting to the other entries.
  [[nodiscard]] const ServerLoads &localLoads() const { return m_LocalLoads; }

  /// Capacity of a service and its requests in flight over all entries. Servers
  /// that drain, leave, are in a pause or in backoff add no capacity, nor do
  /// servers with a rate limit. A server on trial adds one request. Servers in
  /// evacuated zones count in neither.
  struct ServiceUsage {
    unsigned m_Servers = 0;
    unsigned m_Capacity = 0;
    unsigned m_InFlight = 0;
    /// Servers with a rate limit, named or as a cold server, that neither drain
    /// nor are in backoff.
    unsigned m_LimitedServers = 0;
    /// Requests in flight at these, and those that this entry's tokens permit.
    unsigned m_LimitedCapacity = 0;
    /// Sum of their limits, in requests per second.
    double m_LimitPerSecond = 0;
    /// Cold servers with a limit among them.
    unsigned m_ColdServers = 0;
    /// Servers in backoff.
    unsigned m_ServersInBackoff = 0;
    /// Servers that leave, are in a pause or were just on trial.
    unsigned m_ServersWithNotice = 0;
    /// Servers in evacuated zones.
    unsigned m_EvacuatedServers = 0;
    /// Time until the first pause ends; zero if there is none.
    base::Millis m_PauseRemaining{};

    /// Returns the requests that may be in flight.
    [[nodiscard]] unsigned totalCapacity() const {
      return m_Capacity + m_LimitedCapacity;
    }
    /// Returns whether no server is left without a rate limit.
    [[nodiscard]] bool isRateLimited() const {
      return m_Servers == 0 && m_LimitedServers > 0;
    }
    /// Returns whether all servers that would accept requests otherwise leave,
    /// are in a pause or in evacuated zones.
    [[nodiscard]] bool isUnwanted() const {
      return m_ServersWithNotice + m_EvacuatedServers > 0 && m_Servers == 0 &&
             m_LimitedServers == 0 && m_ServersInBackoff == 0;
    }
    /// Returns whether all servers that would accept requests otherwise are in
    /// evacuated zones.
    [[nodiscard]] bool isEvacuated() const {
      return isUnwanted() && m_ServersWithNotice == 0;
    }
  };
  /// Returns the usage of \p Service.
  /// \param Group if not null, only the servers of this rank group count.
  [[nodiscard]] ServiceUsage usage(std::string_view Service, base::Millis Now,
                                   const std::string *Group = nullptr);

  /// Returns the names of the rank groups that have listed servers, see
  /// RankGroups::groupOf().
  [[nodiscard]] std::set<std::string> groupsOf(std::string_view Service) const;
  /// Returns the name of the rank group of the server \p Id, or null if it is
  /// not listed.
  [[nodiscard]] const std::string *groupOf(const std::string &Id) const;

private:
  struct Health {
    double m_FailureRate = 0;
    base::Millis m_FailureRateTime{};
    double m_Latency = 0;
    base::Millis m_LatencyTime{};
    base::Millis m_BackoffUntil{};
    base::Millis m_Backoff{};
    base::Millis m_WarmUpUntil{};
  };
  struct ServerState {
    BackendServer m_Server;
    Health m_Health;
    /// See RankGroups::addressHash().
    std::uint32_t m_AddressHash = 0;
  };
  struct PeerReport {
    ServerLoads m_Loads;
    base::Millis m_ReportedAt{};
    unsigned m_Entries = 0;
  };
  /// A server that may be chosen.
  struct Candidate {
    const ServerState *m_Server = nullptr;
    double m_Score = 0;
    /// Increase of the score by one more request.
    double m_ScorePerRequest = 0;
    /// The part of the score that does not depend on its load.
    double m_Penalty = 0;
  };
  /// Decaying count of the attempts at a service.
  struct ArrivalCount {
    double m_Count = 0;
    base::Millis m_UpdatedAt{};
  };

  /// Returns the latency of a server in milliseconds; 0 if unknown.
  [[nodiscard]] double latency(const Health &State, base::Millis Now) const;
  /// Returns the failure rate, decayed to the time \p Now.
  [[nodiscard]] double failureRate(const Health &State, base::Millis Now) const;
  [[nodiscard]] ServerAvailability availability(const ServerState &Candidate,
                                                base::Millis Now) const;
  /// Returns the name of the rank group of a server.
  [[nodiscard]] const std::string &groupOf(const ServerState &Member) const;
  /// Returns the load of a server over all entries.
  [[nodiscard]] ServerLoad load(const std::string &Id) const;
  /// Adds or subtracts the loads of an entry to or from m_PeerLoads.
  void addPeerLoads(const ServerLoads &Loads);
  void subtractPeerLoads(const ServerLoads &Loads);
  /// Removes the reports that have reached their lifetime.
  void dropExpiredLoads(base::Millis Now);
  /// Counts a server that leaves or is in a pause.
  void addNotice(ServiceUsage &Usage, const std::string &Id,
                 base::Millis Now) const;
  [[nodiscard]] const std::vector<ServerState *> &
  serversOf(std::string_view Service) const;
  /// Returns the mean latency of the servers of a service, in milliseconds; 0
  /// if unknown.
  [[nodiscard]] double meanLatency(std::string_view Service,
                                   base::Millis Now) const;
  /// Returns a server with its score; the lowest is the best.
  [[nodiscard]] Candidate rate(const ServerState &Rated, double MeanLatency,
                               base::Millis Now) const;
  void recordArrival(const std::string &Service, base::Millis Now);
  /// Returns by how many requests the loads of \p Service are expected to have
  /// changed since the last reports of the other entries.
  [[nodiscard]] double unreportedRequests(std::string_view Service,
                                          base::Millis Now) const;
  /// Keeps the candidates of one rank group, drawn in proportion to what each
  /// takes of the unreported requests.
  /// \param Unreported see unreportedRequests().
  /// \returns the unreported requests of this group.
  double keepBestGroup(std::string_view Service,
                       std::vector<Candidate> &Candidates, double Unreported,
                       base::Random &Rng) const;

  const std::string m_Zone;
  const ServerPoolSettings m_Settings;
  std::map<std::string, ServerState, std::less<>> m_States;
  std::map<std::string, std::vector<ServerState *>, std::less<>> m_ByService;
  ServerLoads m_LocalLoads;
  std::map<std::string, PeerReport> m_Peers;
  /// Sum of the loads in m_Peers, so that a choice does not read the report of
  /// each entry.
  std::unordered_map<std::string, ServerLoad> m_PeerLoads;
  /// Adds or removes a report to or from the sums.
  void countReport(const PeerReport &Report, int Sign);

  /// Number of entries in m_Peers, and the sum of the times of their reports in
  /// milliseconds.
  std::int64_t m_PeerEntries = 0;
  std::int64_t m_ReportTimes = 0;
  /// Attempts of this entry by service.
  std::map<std::string, ArrivalCount, std::less<>> m_Arrivals;
  /// When the oldest report in m_Peers may reach its lifetime.
  base::Millis m_NextExpiry{};
  EvacuatedZones m_EvacuatedZones;
  RankGroups m_Groups;
  RateGroup m_RateGroup;
  ServerNotices m_Notices;
  ServerRateLimits m_RateLimits;
  WarmUpLimits m_WarmUp;
  RateTokens m_RateTokens;
};

} // namespace corneldeck::direct

#endif

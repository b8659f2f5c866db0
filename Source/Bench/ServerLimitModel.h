#ifndef CORNELDECK_BENCH_SERVERLIMITMODEL_H
#define CORNELDECK_BENCH_SERVERLIMITMODEL_H

#include "Direct/AdmissionQueue.h"
#include "Direct/ServerPool.h"
#include "Fakes/FakeNetwork.h"
#include "Fakes/RateLimitOracle.h"
#include "Fakes/VirtualTime.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How the entries apply the rate limit of a server.
enum class ServerLimitMode {
  Shared,    ///< As the product does.
  Ignored,   ///< Not at all.
  EachAlone, ///< Each entry applies the whole limit by itself.
  FixedParts ///< Each entry applies its equal part of the limit.
};

/// Settings of ServerLimitModel.
struct ServerLimitOptions {
  std::size_t m_Entries = 9;
  std::size_t m_Servers = 12;
  unsigned m_ServerCapacity = 6;
  base::Millis m_ServiceTime{60};
  /// Callers' requests per second at all entries together.
  double m_RequestsPerSecond = 60;
  std::uint64_t m_Seed = 1;
  ServerLimitMode m_Mode = ServerLimitMode::Shared;
  /// The planted mistake; empty for none.
  std::string m_Plant;
};

/// Entries before the servers of one service, some of which name rate limits.
/// Runs the product's pool, tokens and admission queue on virtual time.
class ServerLimitModel {
public:
  explicit ServerLimitModel(ServerLimitOptions Options);

  void nameLimit(std::size_t Server, double PerSecond);
  void endLimit(std::size_t Server);
  /// Restarts a server under its id, without a limit.
  void restartServer(std::size_t Server);

  /// Cuts or heals all paths of an entry.
  void cutEntry(std::size_t Entry, bool Cut);
  /// Cuts or heals the paths between two entries.
  void cutPath(std::size_t A, std::size_t B, bool Cut);
  void freezeEntry(std::size_t Entry);
  void thawEntry(std::size_t Entry);
  /// Restarts an entry, which then has to learn everything again.
  void restartEntry(std::size_t Entry);
  void addEntry();
  /// Changes all paths between entries.
  void
  changePaths(const std::function<void(fakes::FakeNetwork::Path &)> &Change);
  /// Returns the entry that grants the tokens of a server.
  [[nodiscard]] std::size_t granter(std::size_t Server) const;

  void runFor(base::Millis Duration);
  [[nodiscard]] base::Millis now() const { return m_Time.now(); }

  /// Returns what a server received. Requests of entries that were frozen or
  /// restarted a short time before are left out.
  [[nodiscard]] const fakes::RateLimitOracle &oracle(std::size_t Server) const {
    return m_Servers[Server].m_Oracle;
  }

  /// What became of the callers' requests.
  struct Outcomes {
    std::uint64_t m_Served = 0;
    std::uint64_t m_Refused = 0;

    [[nodiscard]] double servedRatio() const;
  };
  [[nodiscard]] const Outcomes &outcomes() const { return m_Outcomes; }
  void resetOutcomes() { m_Outcomes = {}; }
  /// Returns the requests that a server got since the start.
  [[nodiscard]] std::uint64_t arrivals(std::size_t Server) const {
    return m_Servers[Server].m_Arrivals;
  }

private:
  struct Server {
    std::string m_Id;
    std::uint64_t m_StartTime = 1;
    std::optional<double> m_Limit;
    std::uint64_t m_Arrivals = 0;
    fakes::RateLimitOracle m_Oracle;
  };
  struct Entry {
    std::string m_Name;
    std::unique_ptr<direct::ServerPool> m_Pool;
    std::unique_ptr<direct::AdmissionQueue> m_Queue;
    /// When a heartbeat of each other entry was last received.
    std::map<std::string, base::Millis> m_HeardAt;
    bool m_Frozen = false;
    /// Increases with each restart; timers and responses of an earlier process
    /// are dropped.
    std::uint64_t m_Process = 0;
    base::Millis m_ReadyAt{};
    base::Millis m_ExcusedUntil{};
  };
  struct Heartbeat {
    std::string m_From;
    direct::ServerLoads m_Loads;
    std::vector<direct::RateLimitStatement> m_Statements;
  };

  void startEntry(std::size_t Index);
  void listServers(Entry &At);
  /// Runs \p Action repeatedly while the present process of the entry runs.
  void repeat(std::size_t Index, base::Millis Interval,
              const std::function<void(Entry &)> &Action);
  void sendHeartbeats(std::size_t Index);
  void receiveHeartbeat(Entry &At, const Heartbeat &Beat);
  void updateTokens(Entry &At);
  void scheduleArrival();
  void requestArrives(Entry &At);
  void processQueue(Entry &At);
  void startAttempt(Entry &At);
  void serverResponds(std::size_t Index, std::size_t Server,
                      std::uint64_t Process, base::Millis SentAt);
  [[nodiscard]] std::optional<std::size_t>
  entryIndex(const std::string &Name) const;
  [[nodiscard]] std::size_t serverIndex(const std::string &Id) const;

  const ServerLimitOptions m_Options;
  fakes::VirtualTime m_Time;
  fakes::FakeNetwork m_Network;
  base::Random m_Random;
  std::vector<Server> m_Servers;
  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::uint64_t m_NextToken = 1;
  Outcomes m_Outcomes;
};

} // namespace corneldeck::bench

#endif

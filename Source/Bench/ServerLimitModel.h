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

/// What the entries do with the notices of a server.
enum class ServerNoticeMode {
  Shared,     ///< As the product does.
  Ignored,    ///< Nothing.
  EachAlone,  ///< Each entry keeps to what it received itself.
  PausesToAll ///< Entries tell each other also the pauses.
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
  ServerNoticeMode m_NoticeMode = ServerNoticeMode::Shared;
  /// How the servers warm up; without a bound if not set.
  direct::WarmUpRule m_WarmUp;
  /// The planted mistake; empty for none.
  std::string m_Plant;
};

/// Entries before the servers of one service, some of which name rate limits,
/// leave, or want no requests for some time.
/// Runs the product's pool, tokens and admission queue on virtual time.
class ServerLimitModel {
public:
  explicit ServerLimitModel(ServerLimitOptions Options);

  void nameLimit(std::size_t Server, double PerSecond);
  void endLimit(std::size_t Server);
  /// Restarts a server under its id, without a limit or notice.
  void restartServer(std::size_t Server);
  /// Lets all servers be cold from now on; the entries learn of it later.
  void coolServers(base::Millis Duration);
  /// Lets all responses of a server say that it leaves.
  void leaveServer(std::size_t Server);
  /// Lets a server refuse the requests beyond \p Places in flight, and name
  /// the time \p Pause with each refusal.
  void refuseBeyond(std::size_t Server, unsigned Places, base::Millis Pause);
  /// Lets a server accept all requests.
  void acceptAll(std::size_t Server);
  /// Gives all entries a list with the former start of each server.
  void listFormerStarts();

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

  /// Returns the requests that reached a server after it had said to their
  /// entry that it leaves or wants none. Those of entries that were frozen a
  /// short time before are left out.
  [[nodiscard]] std::uint64_t unwantedRequests() const { return m_Unwanted; }
  /// Returns the number of entries that may use a server now.
  [[nodiscard]] std::size_t entriesThatUse(std::size_t Server) const;

  /// What became of the callers' requests.
  struct Outcomes {
    std::uint64_t m_Served = 0;
    std::uint64_t m_Refused = 0;
    /// Attempts that a server refused.
    std::uint64_t m_RefusedAttempts = 0;
    /// Attempts at servers that leave.
    std::uint64_t m_AttemptsAtLeaving = 0;

    [[nodiscard]] double servedRatio() const;
  };
  [[nodiscard]] const Outcomes &outcomes() const { return m_Outcomes; }
  void resetOutcomes() { m_Outcomes = {}; }
  /// Returns when requests reached a server, of all entries. Only
  /// recorded while it is cold.
  [[nodiscard]] const std::vector<base::Millis> &
  arrivalTimes(std::size_t Server) const {
    return m_Servers[Server].m_ArrivalTimes;
  }
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
    base::Millis m_ColdUntil{};
    std::vector<base::Millis> m_ArrivalTimes;
    fakes::RateLimitOracle m_Oracle;
    bool m_IsLeaving = false;
    unsigned m_InFlight = 0;
    /// Requests that the server accepts at the same time.
    std::optional<unsigned> m_Places;
    base::Millis m_Pause{};
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
    /// Start of each server that said to this process that it leaves.
    std::map<std::size_t, std::uint64_t> m_LeavingStarts;
    /// Latest end of the pauses that each server named to this process.
    std::map<std::size_t, base::Millis> m_PausedUntil;
  };
  struct Heartbeat {
    std::string m_From;
    direct::ServerLoads m_Loads;
    std::vector<direct::RateLimitStatement> m_Statements;
    std::vector<direct::LeavingStatement> m_Leaving;
    /// Time left of the pauses that the sender knows, by server.
    std::map<std::string, base::Millis> m_Pauses;
  };
  struct Attempt {
    std::size_t m_Entry = 0;
    std::size_t m_Server = 0;
    std::uint64_t m_Process = 0;
    base::Millis m_SentAt{};
    /// Start of the server that the entry knows.
    std::uint64_t m_StartTime = 0;
    bool m_IsAccepted = true;
    /// Servers that refused the request before.
    std::vector<std::string> m_Tried;
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
  void startAttempt(Entry &At, const std::vector<std::string> &Tried = {});
  void serverResponds(const Attempt &Done);
  /// Records what a response says about the further use of its server.
  void recordNotice(Entry &At, const Attempt &Done);
  void recordLimit(Entry &At, const Attempt &Done);
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
  std::uint64_t m_Unwanted = 0;
};

} // namespace corneldeck::bench

#endif

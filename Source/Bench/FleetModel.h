#ifndef CORNELDECK_BENCH_FLEETMODEL_H
#define CORNELDECK_BENCH_FLEETMODEL_H

#include "Admission/LimitShares.h"
#include "Bench/Workload.h"
#include "Fakes/EngineModel.h"
#include "Fakes/VirtualTime.h"
#include "Routing/Dispatcher.h"
#include "Routing/RetryBudget.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How the entries choose a replica.
enum class RoutingPolicy {
  Corneldeck,
  RoundRobin,
  LeastReportedLoad,
  TwoChoices,
  /// The product's rule in one router that sees each engine's true state.
  AllSeeing
};

/// \returns the policy's name in the bench's contract.
std::string policyName(RoutingPolicy Policy);

/// What a replica does that is gone.
enum class GoneKind {
  No,
  Silent, ///< The VM is lost: nothing comes back, reports end.
  Failing ///< The engine is lost: its agent fails each run at once.
};

/// The limit of one customer at the entries.
struct LimitOptions {
  std::uint32_t m_Customer = 0;
  double m_PerSecond = 0;
  /// Each entry lets the whole limit through by itself, as a baseline.
  bool m_Alone = false;
};

/// What one run of a fleet is made of.
struct FleetOptions {
  FleetSpec m_Spec;
  RoutingPolicy m_Policy = RoutingPolicy::Corneldeck;
  std::uint64_t m_Seed = 1;
  /// Retries lost attempts only within the product's budget.
  bool m_RetryBudget = true;
  /// Attempts of one request; more than 1 allows retries.
  std::uint32_t m_MaxAttempts = 1;
  std::optional<LimitOptions> m_Limit = {};
};

/// What became of one request.
struct RequestRecord {
  TrafficItem m_Item;
  std::uint32_t m_Entry = 0;
  std::uint32_t m_Attempts = 0;
  bool m_Running = false;
  /// Replicas at which an attempt failed.
  std::set<std::string> m_FailedAt;
  std::optional<base::Millis> m_FirstTokenAt;
  std::optional<base::Millis> m_DoneAt;
  bool m_Refused = false;
  /// Refused for the customer's limit.
  bool m_OverLimit = false;
  bool m_Closed = false;

  [[nodiscard]] bool inTime() const {
    return m_DoneAt && *m_DoneAt <= m_Item.m_Deadline;
  }
};

/// A fleet of entries and replicas on virtual time.
///
/// Entries run the product's admission and replica choice, or a baseline; the
/// replicas are fakes::EngineModel. Agents report every ReportEvery.
class FleetModel {
public:
  explicit FleetModel(FleetOptions Options);
  FleetModel(const FleetModel &) = delete;
  FleetModel &operator=(const FleetModel &) = delete;

  /// Adds a request that comes at its own time.
  /// \param Entry the entry it comes to; nothing spreads them evenly.
  void add(const TrafficItem &Item, std::optional<std::uint32_t> Entry = {});

  /// Calls \p Refill with the time at once and after each finished request, to
  /// keep \p Count requests in the fleet.
  void closedLoop(std::uint32_t Count,
                  std::function<TrafficItem(base::Millis)> Refill);

  /// Kills a replica at a time. Entries learn of it after a while.
  void killReplica(base::Millis At, std::uint32_t Index, GoneKind Kind);
  void returnReplica(base::Millis At, std::uint32_t Index);

  /// Loses all messages between an entry and the other entries.
  void cutEntry(base::Millis At, std::uint32_t Index);

  /// Makes a replica slower by a factor from a time on.
  void straggle(base::Millis At, std::uint32_t Index, double Factor);

  void runUntil(base::Millis End) { m_Time.runUntil(End); }

  [[nodiscard]] const std::deque<RequestRecord> &records() const {
    return m_Records;
  }
  /// \returns prompt tokens found cached over all prompt tokens.
  [[nodiscard]] double prefixHitRatio() const;

private:
  struct Replica {
    std::string m_Name;
    std::string m_Zone;
    std::unique_ptr<fakes::EngineModel> m_Engine;
    GoneKind m_Gone = GoneKind::No;
    bool m_Reports = true;
    std::optional<base::Millis> m_TickAt;
  };
  struct Entry {
    std::string m_Zone;
    std::unique_ptr<routing::Dispatcher> m_Dispatcher;
    std::unique_ptr<routing::RetryBudget> m_Budget;
    std::unique_ptr<admission::LimitShares> m_Limits;
    bool m_Cut = false;
    std::uint32_t m_NextRoundRobin = 0;
    std::vector<std::uint32_t> m_Reported;
    std::vector<std::uint64_t> m_NextCacheEvent;
    std::vector<bool> m_Reachable;
  };

  void makeReplicas();
  void makeEntries();
  void startReports();
  void reportTo(std::uint32_t EntryIndex, std::uint32_t ReplicaIndex);
  void takeReport(std::uint32_t EntryIndex, std::uint32_t ReplicaIndex);
  void lookAtAll(Entry &At);

  void noticeGone(std::uint32_t ReplicaIndex);
  void breakRuns(std::uint32_t ReplicaIndex);
  void gossip(std::uint32_t EntryIndex);
  bool isWithinLimit(std::size_t Index);

  void arrive(std::size_t Index);
  void offer(std::size_t Index);
  void refuse(std::size_t Index);
  void pump(std::uint32_t EntryIndex);
  void housekeep(std::uint32_t EntryIndex);
  std::optional<std::uint32_t> chooseBaseline(Entry &At);
  void dispatch(std::size_t Index, std::uint32_t ReplicaIndex);
  void submit(std::size_t Index, std::uint32_t Attempt,
              std::uint32_t ReplicaIndex);
  void scheduleTick(std::uint32_t ReplicaIndex);
  void tick(std::uint32_t ReplicaIndex);
  void deliver(std::uint32_t ReplicaIndex, const fakes::EngineOutput &Output);
  void onFirstToken(std::size_t Index, std::uint32_t Attempt);
  void onFinished(std::size_t Index, std::uint32_t Attempt);
  void onBroken(std::size_t Index, std::uint32_t Attempt);
  void onDeadline(std::size_t Index);
  void close(std::size_t Index);
  [[nodiscard]] base::Millis delay(std::uint32_t EntryIndex,
                                   std::uint32_t ReplicaIndex) const;

  FleetOptions m_Options;
  fakes::VirtualTime m_Time;
  base::Random m_Random;
  std::vector<Replica> m_Replicas;
  std::vector<Entry> m_Entries;
  std::deque<RequestRecord> m_Records;
  /// The replica of each request's last attempt.
  std::vector<std::uint32_t> m_Where;
  std::function<TrafficItem(base::Millis)> m_Refill;
};

/// What a fleet completes in a second.
struct Capacity {
  double m_Requests = 0;
  /// Answer tokens.
  double m_Tokens = 0;
};

/// \returns the most that the fleet completes when saturated: the best of
/// closed loops of several sizes without deadlines, under the all-seeing router
/// and under the product's.
Capacity measureCapacity(const FleetSpec &Spec, std::uint64_t Seed);

} // namespace corneldeck::bench

#endif

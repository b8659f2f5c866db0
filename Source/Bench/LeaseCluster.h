#ifndef CORNELDECK_BENCH_LEASECLUSTER_H
#define CORNELDECK_BENCH_LEASECLUSTER_H

#include "Bench/ControlCluster.h"
#include "Lease/OrderGate.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// How a lease cluster is set.
struct LeaseClusterSettings {
  ClusterSettings m_Cluster;
  bool m_PlantCountFromAnswer = false;
  bool m_PlantNoSettle = false;
};

/// Three entries that contend for one lease and give orders to an engine which
/// ignores fencing numbers, through the gate of its agent.
class LeaseCluster {
public:
  explicit LeaseCluster(const LeaseClusterSettings &Settings);

  [[nodiscard]] ControlCluster &cluster() { return m_Cluster; }

  /// Says whether \p Entry contends.
  void setWanted(const std::string &Entry, bool Wanted);

  /// Orders of \p Entry take this long to reach the agent.
  void setOrderDelay(const std::string &Entry, base::Millis Delay);

  /// The engine begins a written order after up to this time.
  void setEngineDelay(base::Millis Most) { m_EngineDelay = Most; }

  /// The next contender whose claim lands stands still until \p Late after,
  /// reads its claim, and stands still again as long.
  void readNextClaimLate(base::Millis Late);

  /// The connection between agent and engine closes.
  void loseEngineConnection();

  /// \returns the entry that holds the lease now, "" if none.
  [[nodiscard]] std::string holder();

  /// Checks that one entry holds the lease and that its orders run.
  void checkEnd();

  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }
  [[nodiscard]] std::size_t ordersOutOfTurn() const { return m_OutOfTurn; }
  [[nodiscard]] std::size_t ordersRun() const { return m_OrdersRun; }
  /// \returns the longest time without a holder since clearVacancy().
  [[nodiscard]] base::Millis longestVacancy() const { return m_Vacancy; }
  void clearVacancy();

private:
  struct Contender {
    /// The process that m_Holder belongs to.
    std::uint64_t m_Incarnation = 0;
    std::shared_ptr<lease::LeaseHolder> m_Holder;
    bool m_Wanted = false;
    base::Millis m_OrderDelay{1};
  };

  void tick();
  void contend(const std::string &Entry);
  void watchHolders();
  void giveOrders();
  void runGate();
  void write(const lease::Order &Given);
  /// \returns whether m_Gate belongs to the running process.
  [[nodiscard]] bool gateRuns() const;
  void begin(const lease::Order &Given, std::uint64_t Connection);
  void violate(const std::string &What);

  const LeaseClusterSettings m_Settings;
  ControlCluster m_Cluster;
  base::Random m_Random;
  std::map<std::string, Contender> m_Contenders;
  /// The agent's process that m_Gate belongs to.
  std::uint64_t m_GateIncarnation = 0;
  std::unique_ptr<lease::OrderGate> m_Gate;
  std::uint64_t m_Connection = 1;
  base::Millis m_EngineDelay = base::Millis(1500);
  std::uint64_t m_NextOrder = 1;
  base::Millis m_NextOrderAt{};
  std::uint64_t m_HighestBegun = 0;
  std::size_t m_OrdersRun = 0;
  std::size_t m_OutOfTurn = 0;
  base::Millis m_LastOrderAt{};
  base::Millis m_HeldAt{};
  base::Millis m_Vacancy{};
  std::vector<std::string> m_Violations;
};

} // namespace corneldeck::bench

#endif

#ifndef CORNELDECK_TESTS_RANKGROUP_SIMULATEDGROUP_H
#define CORNELDECK_TESTS_RANKGROUP_SIMULATEDGROUP_H

#include "Base/Random.h"
#include "RankGroup/GroupPlanner.h"
#include "RankGroup/RankDriver.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace corneldeck::tests {

/// A protocol error that is planted to show that the simulation detects it.
enum class PlantedFault {
  None,
  ReleaseUnarmed,          ///< The planner regards a rank as armed that is not.
  IgnoreHold,              ///< Planners ignore a held step once it is near.
  ReleaseHoldAtOnce,       ///< A new planner releases the held step at once.
  FollowSupersededPlanner, ///< Agents follow any planner, even a superseded
                           ///< one.
  SameVersions ///< Two planners use the same version for different maps.
};

/// Probability of each fault, for each message, order or tick.
struct FaultRates {
  double m_OrderDelayed = 0; ///< No result; executed seconds later.
  double m_ResultLost = 0;   ///< Executed at once, no result.
  double m_MessageLost = 0;  ///< A command or a report is lost.
  double m_PlannerKilled = 0;
  double m_PlannerPaused = 0;
  double m_AgentRestarted = 0;
  double m_RankCrashed = 0;
};

/// Simulates the engines of a rank group, controlled by the real GroupPlanner
/// and RankDriver.
class SimulatedGroup {
public:
  static constexpr base::Millis TickDuration{30};
  static constexpr std::uint32_t Ranks = 3;
  static constexpr std::size_t Experts = 6;
  static constexpr std::size_t SlotsPerRank = 4;

  /// \param CopyTime time in which a rank copies one expert.
  SimulatedGroup(std::uint64_t Seed, FaultRates Rates, PlantedFault Fault,
                 base::Millis CopyTime = base::Millis(100));

  /// Runs \p Ticks ticks. Stops at the first pass in which ranks use different
  /// maps.
  void run(int Ticks);

  [[nodiscard]] bool hasMixedMaps() const { return m_HasMixedMaps; }
  [[nodiscard]] int switches() const { return m_Switches; }
  /// \returns the longest time in ticks for which the group waited at a held
  /// step while a planner was active.
  [[nodiscard]] int longestHeld() const { return m_LongestHeld; }
  /// \returns the number of passes in all epochs.
  [[nodiscard]] int passes() const { return m_Passes; }

private:
  struct Engine {
    std::uint64_t m_MapVersion = 0;
    std::uint64_t m_MapDigest = 0;
    std::uint64_t m_HighestVersion = 0;
    std::uint64_t m_PreparedVersion = 0;
    std::uint64_t m_PreparedDigest = 0;
    int m_CopyingUntil = 0;
    std::uint64_t m_ArmedVersion = 0;
    std::uint64_t m_ArmedStep = 0;
    std::uint64_t m_HeldStep = 0;
    std::vector<std::uint64_t> m_Counts;
    std::vector<std::uint32_t> m_ExpertLists;
    std::vector<std::uint32_t> m_PreparedExpertLists;
  };
  struct DelayedOrder {
    int m_DueTick = 0;
    std::uint32_t m_Rank = 0;
    rankgroup::SwitchOrder m_Order;
  };
  struct Agent {
    std::unique_ptr<rankgroup::RankDriver> m_Driver;
    rankgroup::ExpertCountTracker m_CountTracker;
  };
  struct Planner {
    std::unique_ptr<rankgroup::GroupPlanner> m_Planner;
    int m_PausedUntil = 0;
    std::uint32_t m_Rank = 0;
  };

  rankgroup::OrderResult apply(std::uint32_t Rank,
                               const rankgroup::SwitchOrder &Order);
  void runPass();
  void tickAgent(std::uint32_t Rank);
  void tickPlanner(Planner &Target);
  void startPlanner();
  void crashGroup();
  [[nodiscard]] rankgroup::RankState reportedState(std::uint32_t Rank) const;
  [[nodiscard]] base::Millis now() const {
    return base::Millis(1000) + TickDuration * m_Tick;
  }

  base::Random m_Random;
  const FaultRates m_Rates;
  const PlantedFault m_PlantedFault;
  const base::Millis m_CopyTime;
  base::Timeline m_Events;
  std::vector<Engine> m_Engines;
  std::vector<Agent> m_Agents;
  /// The last one is the active planner; the others were paused and superseded.
  std::vector<Planner> m_Planners;
  std::deque<DelayedOrder> m_DelayedOrders;
  int m_Tick = 0;
  std::uint64_t m_Epoch = 1;
  std::uint64_t m_Step = 0;
  std::uint64_t m_Term = 0;
  int m_FormingUntil = 0;
  int m_HeldSince = -1;
  int m_LongestHeld = 0;
  int m_NoPlannerUntil = 0;
  int m_Switches = 0;
  int m_Passes = 0;
  bool m_HasMixedMaps = false;
};

} // namespace corneldeck::tests

#endif

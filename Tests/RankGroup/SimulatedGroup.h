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

/// A mistake that the run must find.
enum class PlantedFault {
  None,
  ReleaseUnarmed, ///< The planner believes ranks armed that are not.
  ForgetHold,     ///< Planners do not see a held step once it is near.
  GiveUpHold,     ///< A successor releases the held step at once.
  OldPlanner,     ///< Agents follow any planner, also one that was replaced.
  SameVersions    ///< Two planners give different maps the same version.
};

/// How much goes wrong.
struct FaultRates {
  double m_OrderDelayed = 0; ///< No answer, carried out seconds later.
  double m_AnswerLost = 0;   ///< Carried out at once, no answer.
  double m_MessageLost = 0;  ///< Of a command or a report.
  double m_PlannerKilled = 0;
  double m_PlannerPaused = 0;
  double m_AgentRestarted = 0;
  double m_RankCrashed = 0;
};

/// A rank group as the engines play it, driven by the planner and the drivers
/// of the product. Each turn is 30 ms.
class SimulatedGroup {
public:
  static constexpr std::uint32_t Ranks = 3;
  static constexpr std::size_t Experts = 6;
  static constexpr std::size_t Slots = 4;

  SimulatedGroup(std::uint64_t Seed, FaultRates Rates, PlantedFault Fault);

  /// Plays some turns. Stops at the first pass whose ranks differ.
  void run(int Ticks);

  [[nodiscard]] bool hasMixedMaps() const { return m_HasMixedMaps; }
  [[nodiscard]] int switches() const { return m_Switches; }
  /// The longest time in turns that the group stood still on a held step since
  /// the present planner took office.
  [[nodiscard]] int longestHeld() const { return m_LongestHeld; }
  /// Passes over all epochs.
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
    return base::Millis(1000 + m_Tick * 30);
  }

  base::Random m_Random;
  const FaultRates m_Rates;
  const PlantedFault m_PlantedFault;
  base::Timeline m_Events;
  std::vector<Engine> m_Engines;
  std::vector<Agent> m_Agents;
  /// The last is the one in office; others were paused or cut off.
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

#ifndef CORNELDECK_RANKGROUP_RANKDRIVER_H
#define CORNELDECK_RANKGROUP_RANKDRIVER_H

#include "RankGroup/EnginePort.h"
#include "Wire/Gossip.pb.h"

#include <optional>

namespace corneldeck::rankgroup {

/// Settings of RankDriver.
struct DriverSettings {
  /// An order without an answer is given again after this time.
  base::Millis m_OrderTimeout = base::Millis(40);
};

/// Carries out one rank's part: follows the latest planner, gives the engine
/// one order at a time, and says what became of it.
///
/// An order without an answer is repeated until the engine's state shows it or
/// an answer comes; all of them may be given twice without harm.
class RankDriver {
public:
  explicit RankDriver(DriverSettings Settings = {}) : m_Settings(Settings) {}

  /// Takes a planner's command.
  /// \returns whether the planner is the latest one known.
  bool acceptCommand(const wire::RankCommand &Command, base::Millis Now);

  /// Takes the engine's state.
  void updateState(const RankState &State);

  /// \returns the order to give now, if any.
  std::optional<SwitchOrder> nextOrder(base::Millis Now, std::size_t Experts);

  /// Takes the engine's answer to the last order.
  void onOrderResult(const base::Result<OrderResult> &Outcome,
                     base::Millis Now);

  /// Writes what the planner has to know.
  void fillReport(wire::RankReport &Report) const;

  [[nodiscard]] const std::optional<RankState> &engineState() const {
    return m_State;
  }
  [[nodiscard]] std::uint64_t term() const { return m_Term; }
  /// \returns the peer address of the planner that is followed.
  [[nodiscard]] const std::string &planner() const { return m_Planner; }
  /// \returns when the planner was last heard.
  [[nodiscard]] base::Millis lastPlannerContact() const {
    return m_LastPlannerContact;
  }

private:
  [[nodiscard]] bool isCommandDone() const;

  const DriverSettings m_Settings;
  std::optional<RankState> m_State;
  wire::RankCommand m_Command;
  std::uint64_t m_Term = 0;
  std::string m_Planner;
  base::Millis m_LastPlannerContact{};
  bool m_CommandOpen = false;
  bool m_AwaitingResult = false;
  base::Millis m_OrderedAt{};
  /// The command that the last order was for.
  std::uint64_t m_OrderedCommand = 0;
  std::uint64_t m_CompletedCommand = 0;
  std::uint32_t m_CompletedResult = 0;
};

} // namespace corneldeck::rankgroup

#endif

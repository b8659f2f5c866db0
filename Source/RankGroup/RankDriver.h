#ifndef CORNELDECK_RANKGROUP_RANKDRIVER_H
#define CORNELDECK_RANKGROUP_RANKDRIVER_H

#include "RankGroup/EnginePort.h"
#include "Wire/Gossip.pb.h"

#include <optional>

namespace corneldeck::rankgroup {

/// Settings of RankDriver.
struct DriverSettings {
  /// Time after which an order without a result is repeated.
  base::Millis m_OrderTimeout = base::Millis(40);
};

/// Executes the planner's commands on the engine of one rank.
///
/// It follows the planner with the highest term, sends one order at a time to
/// the engine and reports the result. An order without a result is repeated
/// until a result arrives or the engine's state shows that it has taken effect.
/// Orders may safely be repeated.
class RankDriver {
public:
  explicit RankDriver(DriverSettings Settings = {}) : m_Settings(Settings) {}

  /// Accepts a command, unless it comes from a planner with an older term.
  /// Relays may deliver commands of one planner out of order: those that are
  /// older than the current one, or void, have no effect.
  /// \returns whether the planner is accepted.
  bool acceptCommand(const wire::RankCommand &Command, base::Millis Now);

  /// Updates the state of the engine.
  void updateState(const RankState &State);

  /// \returns the order to send to the engine now, if any. A command whose maps
  /// cannot be decoded is reported as rejected.
  std::optional<SwitchOrder> nextOrder(base::Millis Now);

  /// Processes the result of the last order.
  void onOrderResult(const base::Result<OrderResult> &Outcome,
                     base::Millis Now);

  /// Sets the fields of \p Report that describe the rank's state and the result
  /// of the last command.
  void fillReport(wire::RankReport &Report) const;

  [[nodiscard]] const std::optional<RankState> &engineState() const {
    return m_State;
  }
  /// \returns whether the engine still has to prepare the maps of the current
  /// command.
  [[nodiscard]] bool isPreparing() const;
  /// \returns the number of the last command that was executed.
  [[nodiscard]] std::uint64_t completedCommand() const {
    return m_CompletedCommand;
  }
  [[nodiscard]] std::uint64_t term() const { return m_Term; }
  /// \returns the peer address of the current planner.
  [[nodiscard]] const std::string &planner() const { return m_Planner; }
  /// \returns the time of the last command from the current planner.
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
  /// Number of the oldest command of the planner that is not void.
  std::uint64_t m_OldestValidCommand = 0;
  bool m_CommandOpen = false;
  bool m_AwaitingResult = false;
  base::Millis m_OrderedAt{};
  /// Number of the command that caused the last order.
  std::uint64_t m_OrderedCommand = 0;
  std::uint64_t m_CompletedCommand = 0;
  std::uint32_t m_CompletedResult = 0;
};

} // namespace corneldeck::rankgroup

#endif

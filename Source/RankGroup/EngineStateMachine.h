#ifndef CORNELDECK_RANKGROUP_ENGINESTATEMACHINE_H
#define CORNELDECK_RANKGROUP_ENGINESTATEMACHINE_H

#include "RankGroup/RankTypes.h"

namespace corneldeck::rankgroup {

/// State machine of an engine in a rank group: membership, current map and the
/// vote on the next map.
///
/// It is shared by simulated engines, model checks and benchmarks. An order
/// takes effect only if the epoch and map that it names match the state.
/// Fencing numbers are not checked, because there are engines that ignore them.
class EngineStateMachine {
public:
  /// \param Incarnation a value that is unique for each start of the engine.
  explicit EngineStateMachine(std::uint64_t Incarnation);

  [[nodiscard]] const EngineState &state() const { return m_State; }

  /// Executes \p Order, or ignores it if it is not valid in this state.
  void apply(const EngineOrder &Order);

  /// \returns true if the engine has joined and its next step does not have to
  /// wait for the outcome of a vote. Whether the other ranks are ready is not
  /// considered.
  [[nodiscard]] bool canBeginStep() const;

  /// Starts the next step, and switches to the committed map at its step.
  /// \returns the map that this step uses.
  MapId beginStep();

private:
  void arm(const EngineOrder &Order);
  void refuse(const EngineOrder &Order);
  void commit(const EngineOrder &Order);
  void abort(const EngineOrder &Order);
  void join(const EngineOrder &Order);
  void leave();
  void applyPending();
  void clearPending();

  EngineState m_State;
  bool m_WaitAtStep = true;
};

/// Appends all parts of \p Value that determine future behaviour to \p Words.
void encodeEngineState(const EngineState &Value,
                       std::vector<std::uint64_t> &Words);

/// Appends \p Value to \p Words.
void encodeFormation(const Formation &Value, std::vector<std::uint64_t> &Words);

} // namespace corneldeck::rankgroup

#endif

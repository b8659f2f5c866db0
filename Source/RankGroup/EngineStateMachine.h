#ifndef CORNELDECK_RANKGROUP_ENGINESTATEMACHINE_H
#define CORNELDECK_RANKGROUP_ENGINESTATEMACHINE_H

#include "RankGroup/RankTypes.h"

namespace corneldeck::rankgroup {

/// The part of an engine that keeps its place in a rank group.
///
/// Stand-in engines, proofs and bench share it. It checks the names in an
/// order but no fencing number, like the engines that ignore those.
class EngineStateMachine {
public:
  /// \param Incarnation differs for every start of the engine.
  explicit EngineStateMachine(std::uint64_t Incarnation);

  [[nodiscard]] const EngineState &state() const { return m_State; }

  /// Carries out \p Order, or ignores it if it does not fit the state.
  void apply(const EngineOrder &Order);

  /// \returns true if the engine may begin its next step as far as its own
  /// promise goes.
  [[nodiscard]] bool canBeginStep() const;

  /// Begins the next step.
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

/// Appends everything of \p Value that decides future behaviour.
void encodeEngineState(const EngineState &Value,
                       std::vector<std::uint64_t> &Words);

/// Appends \p Value.
void encodeFormation(const Formation &Value, std::vector<std::uint64_t> &Words);

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_RANKGROUP_ENGINEPORT_H
#define CORNELDECK_RANKGROUP_ENGINEPORT_H

#include "RankGroup/LayerMaps.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// State of one rank as its engine reports it.
struct RankState {
  std::string m_Group;
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_Rank = 0;
  /// Number of ranks in the group.
  std::uint32_t m_Size = 0;
  /// Whether all ranks of the group have joined this epoch.
  bool m_Open = false;
  /// Number of the forward pass that the rank started last.
  std::uint64_t m_Step = 0;
  /// Version of the expert maps in use.
  std::uint64_t m_MapVersion = 0;
  /// Version whose experts are all loaded but which is not in use yet; 0 if
  /// there is none.
  std::uint64_t m_PreparedVersion = 0;
  /// Version that the rank uses from m_ArmedStep on; 0 if there is none.
  std::uint64_t m_ArmedVersion = 0;
  std::uint64_t m_ArmedStep = 0;
  /// Step that the group does not start before it is released; 0 if there is
  /// none.
  std::uint64_t m_HeldStep = 0;
  std::uint32_t m_ActiveRequests = 0;
  std::uint32_t m_QueuedRequests = 0;
  /// Time of the rank for a unit of work relative to a rank at normal speed;
  /// above 1 if the rank is slower.
  double m_Slowdown = 1;
};

/// Experts that a rank holds under the maps in use.
struct RankExperts {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_MapVersion = 0;
  /// Experts of this rank for each layer set.
  std::vector<std::vector<std::uint32_t>> m_ExpertsBySet;
};

/// How often the tokens of this rank's requests were routed to each expert
/// since the engine started.
struct ExpertCounts {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Step = 0;
  /// Counts of all experts of the first layer set, then of the next.
  std::vector<std::uint64_t> m_Counts;
};

/// Orders to an engine that together switch its group to new expert maps.
enum class SwitchOrderKind {
  None,
  Prepare, ///< Load the experts that the new maps need.
  Arm,     ///< Use the prepared maps from a step on.
  Hold,    ///< Do not start a step before it is released.
  Release  ///< Allow the group to start a held step.
};

/// \returns the name of \p Kind, such as "prepare".
std::string_view name(SwitchOrderKind Kind);

struct SwitchOrder {
  SwitchOrderKind m_Kind = SwitchOrderKind::None;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Step = 0;
  LayerMaps m_Maps;
};

/// An engine's response to an order.
enum class OrderResult {
  Accepted, ///< Started or completed, now or by an earlier order.
  Rejected  ///< Not possible in the engine's state, or its epoch ended.
};

/// Asynchronous interface to one engine.
///
/// Each function calls its callback exactly once. An order that returns an
/// error may have been executed, or may still be executed seconds later.
struct EnginePort {
  std::function<void(std::function<void(base::Result<RankState>)>)> m_GetState;
  std::function<void(std::function<void(base::Result<RankExperts>)>)>
      m_GetExperts;
  std::function<void(std::function<void(base::Result<ExpertCounts>)>)>
      m_GetCounts;
  std::function<void(const SwitchOrder &,
                     std::function<void(base::Result<OrderResult>)>)>
      m_SendOrder;
};

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_RANKGROUP_ENGINEPORT_H
#define CORNELDECK_RANKGROUP_ENGINEPORT_H

#include "RankGroup/LayerMaps.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// What an engine says of its rank.
struct RankState {
  std::string m_Group;
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_Rank = 0;
  std::uint32_t m_Size = 0;
  /// All ranks of the group are there.
  bool m_Open = false;
  /// The last pass that was begun.
  std::uint64_t m_Step = 0;
  std::uint64_t m_MapVersion = 0;
  /// A map whose experts are all there, not yet in use; 0 for none.
  std::uint64_t m_PreparedVersion = 0;
  /// A map that will be used from a step on; 0 for none.
  std::uint64_t m_ArmedVersion = 0;
  std::uint64_t m_ArmedStep = 0;
  /// The step that the group does not begin before its release; 0 for none.
  std::uint64_t m_HeldStep = 0;
  std::uint32_t m_ActiveRequests = 0;
  std::uint32_t m_QueuedRequests = 0;
  double m_Slowdown = 1;
};

/// What an engine says of its map.
struct RankExperts {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_MapVersion = 0;
  /// Experts of this rank, layer set by layer set.
  std::vector<std::vector<std::uint32_t>> m_ExpertsBySet;
};

/// How often this rank's requests chose each expert since its start.
struct ExpertCounts {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Step = 0;
  /// Layer set by layer set.
  std::vector<std::uint64_t> m_Counts;
};

/// Orders to one rank of a live group.
enum class SwitchOrderKind {
  None,
  Prepare, ///< Copy the experts that a map needs.
  Arm,     ///< Use a prepared map from a step on.
  Hold,    ///< Do not begin a step before its release.
  Release  ///< Let the group begin a held step.
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

/// An engine's answer to an order.
enum class OrderResult {
  Accepted, ///< Begun, done, or done before.
  Rejected  ///< It does not fit the engine's state, or the epoch is over.
};

/// Control of one engine. Each hook calls back once; an order without an
/// answer may have been accepted, or may be carried out seconds later.
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

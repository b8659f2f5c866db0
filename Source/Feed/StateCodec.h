#ifndef CORNELDECK_FEED_STATECODEC_H
#define CORNELDECK_FEED_STATECODEC_H

#include "Base/Error.h"

#include <cstdint>
#include <string>

namespace corneldeck::feed {

/// The serialized state of a feed.
struct StateSnapshot {
  StateSnapshot() = default;
  explicit StateSnapshot(std::string Bytes);

  std::string m_Bytes;
  /// Hash of the bytes, by which nodes identify the state.
  std::uint64_t m_Hash = 0;
};

/// A compressed state, or its compressed difference from another state.
struct StatePayload {
  /// Hash of the state that the receiver must have; 0 if none is needed.
  std::uint64_t m_Base = 0;
  /// Hash of the state that the payload contains.
  std::uint64_t m_Target = 0;
  /// Hash of m_Bytes. Payloads with the same hash are interchangeable, so a
  /// transfer can continue at another node.
  std::uint64_t m_Hash = 0;
  std::string m_Bytes;
};

/// Maximum size of a state.
inline constexpr std::size_t MaxStateBytes = std::size_t{64} << 20U;

/// Compresses \p Target.
/// \param Base a state that the receiver has; null if it has none.
StatePayload encodeState(const StateSnapshot &Target,
                         const StateSnapshot *Base);

/// Restores the state in \p Payload.
/// \param Base the state that the payload is relative to; null if none.
/// \returns the state, or BadMessage if the payload or the result does not
/// match its hash.
base::Result<StateSnapshot> decodeState(const StatePayload &Payload,
                                        const StateSnapshot *Base);

} // namespace corneldeck::feed

#endif

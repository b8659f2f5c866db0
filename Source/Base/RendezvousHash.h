#ifndef CORNELDECK_BASE_RENDEZVOUSHASH_H
#define CORNELDECK_BASE_RENDEZVOUSHASH_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::base {

/// \returns the 64-bit xxHash of \p Text with \p Seed.
std::uint64_t hash64(std::string_view Text, std::uint64_t Seed = 0);

/// Ranks nodes for a key by rendezvous hashing: if a node is removed, only the
/// keys that ranked it first move.
///
/// \param Key the key to assign.
/// \param Nodes the names of the candidates; their order does not affect the
/// ranking.
/// \returns indexes into \p Nodes, highest rank first.
std::vector<std::size_t> rankByRendezvous(std::string_view Key,
                                          std::span<const std::string> Nodes);

} // namespace corneldeck::base

#endif

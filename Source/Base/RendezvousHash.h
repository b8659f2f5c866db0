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

/// Ranks nodes for a key by rendezvous hashing: removing one node moves only
/// the keys that it was first for.
///
/// \param Key the key to place.
/// \param Nodes the candidates' names, in any order.
/// \returns indexes into \p Nodes, best first.
std::vector<std::size_t> rankByRendezvous(std::string_view Key,
                                          std::span<const std::string> Nodes);

} // namespace corneldeck::base

#endif

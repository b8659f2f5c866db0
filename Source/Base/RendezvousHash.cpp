#include "Base/RendezvousHash.h"

#include <algorithm>
#include <numeric>
#include <xxhash.h>

namespace corneldeck::base {

std::uint64_t hash64(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::vector<std::size_t> rankByRendezvous(std::string_view Key,
                                          std::span<const std::string> Nodes) {
  const std::uint64_t KeyHash = hash64(Key);
  std::vector<std::uint64_t> Scores;
  Scores.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Scores.push_back(hash64(Node, KeyHash));

  std::vector<std::size_t> Order(Nodes.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    if (Scores[A] != Scores[B])
      return Scores[A] > Scores[B];
    return Nodes[A] < Nodes[B];
  });
  return Order;
}

} // namespace corneldeck::base

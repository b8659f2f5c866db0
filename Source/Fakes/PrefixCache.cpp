#include "Fakes/PrefixCache.h"

#include <utility>

namespace corneldeck::fakes {

PrefixCache::PrefixCache(std::size_t Capacity, Listener OnChange)
    : m_Capacity(Capacity), m_OnChange(std::move(OnChange)) {}

std::size_t
PrefixCache::cachedRun(std::span<const std::uint64_t> Blocks) const {
  std::size_t Run = 0;
  while (Run < Blocks.size() && m_Places.contains(Blocks[Run]))
    ++Run;
  return Run;
}

void PrefixCache::use(std::span<const std::uint64_t> Blocks) {
  // From the last to the first, so that eviction shortens a prefix at its end.
  for (std::size_t Left = Blocks.size(); Left > 0; --Left)
    useOne(Blocks[Left - 1]);
}

void PrefixCache::useOne(std::uint64_t Block) {
  const auto Place = m_Places.find(Block);
  if (Place != m_Places.end()) {
    m_Order.splice(m_Order.begin(), m_Order, Place->second);
    return;
  }
  if (m_Capacity == 0)
    return;
  if (m_Places.size() >= m_Capacity) {
    const std::uint64_t Oldest = m_Order.back();
    m_Order.pop_back();
    m_Places.erase(Oldest);
    m_OnChange(Oldest, false);
  }
  m_Order.push_front(Block);
  m_Places[Block] = m_Order.begin();
  m_OnChange(Block, true);
}

} // namespace corneldeck::fakes

#ifndef CORNELDECK_FAKES_PREFIXCACHE_H
#define CORNELDECK_FAKES_PREFIXCACHE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>

namespace corneldeck::fakes {

/// The prefix blocks that an engine keeps, least recently used out first.
///
/// A block's hash covers all blocks before it, so a cached prefix is a run of
/// known hashes from the first one on.
class PrefixCache {
public:
  /// Is told of each block that enters (true) or leaves (false).
  using Listener = std::function<void(std::uint64_t Block, bool Added)>;

  /// \param Capacity the most blocks kept.
  PrefixCache(std::size_t Capacity, Listener OnChange);

  /// \returns how many blocks of \p Blocks, from the first on, are cached.
  [[nodiscard]] std::size_t
  cachedRun(std::span<const std::uint64_t> Blocks) const;

  /// Marks \p Blocks as just used and adds those that are missing.
  void use(std::span<const std::uint64_t> Blocks);

  [[nodiscard]] std::size_t size() const { return m_Places.size(); }

private:
  void useOne(std::uint64_t Block);

  std::size_t m_Capacity;
  Listener m_OnChange;
  std::list<std::uint64_t> m_Order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Places;
};

} // namespace corneldeck::fakes

#endif

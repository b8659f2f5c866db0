#ifndef CORNELDECK_ROUTING_PREFIXINDEX_H
#define CORNELDECK_ROUTING_PREFIXINDEX_H

#include "Base/Millis.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::routing {

/// Bounds of an entry's knowledge of the replicas' prefix caches.
struct PrefixIndexSettings {
  /// Blocks known over all replicas; the least recently used goes first.
  std::size_t m_MaxBlocks = 65'536;
  /// A block that no event or request named for this long is forgotten.
  base::Millis m_MaxAge = base::seconds(120);
  /// After lost events, what was known before them lasts only this long.
  base::Millis m_MaxAgeAfterGap = base::seconds(15);
};

/// Which replicas likely hold which prefix blocks.
///
/// Blocks are hashes over all blocks before them. Knowledge comes from cache
/// events, which are late and have gaps, and from own requests, whose prompts
/// a replica caches as it runs them.
class PrefixIndex {
public:
  explicit PrefixIndex(const PrefixIndexSettings &Settings);

  /// Takes consecutive cache events of a replica.
  /// \param FirstSequence the number of the first event; a jump is a gap.
  void onCacheEvents(base::Millis Now, const std::string &Replica,
                     std::uint64_t FirstSequence,
                     std::span<const std::uint64_t> Added,
                     std::span<const std::uint64_t> Evicted);

  /// A request with these blocks was sent to a replica.
  void onRequestSent(base::Millis Now, const std::string &Replica,
                     std::span<const std::uint64_t> Blocks);

  /// Forgets a replica, which has lost its cache or left.
  void removeReplica(const std::string &Replica);

  /// \returns for each replica that likely holds the first block how many
  /// blocks of \p Blocks, from the first on, it likely holds.
  [[nodiscard]] std::map<std::string, std::size_t>
  cachedPrefixLengths(base::Millis Now,
                      std::span<const std::uint64_t> Blocks) const;

  [[nodiscard]] std::size_t size() const { return m_Blocks.size(); }

private:
  /// What is known of one block at one replica.
  struct Holder {
    std::uint32_t m_Replica = 0;
    base::Millis m_SeenAt{};
  };
  struct Block {
    std::vector<Holder> m_Holders;
    std::list<std::uint64_t>::iterator m_RecencyPosition;
  };
  struct ReplicaState {
    std::string m_Name;
    std::uint64_t m_NextSequence = 0;
    bool m_HasSequence = false;
    /// Events were lost at this time.
    base::Millis m_GapAt{};
    bool m_HasGap = false;
  };

  std::uint32_t assignNumber(const std::string &Name);
  void addHolder(base::Millis Now, std::uint32_t Number, std::uint64_t Hash);
  void removeHolder(std::uint32_t Number, std::uint64_t Hash);
  [[nodiscard]] bool isFresh(base::Millis Now, const Holder &Item) const;
  void evictLeastRecent();

  PrefixIndexSettings m_Settings;
  std::unordered_map<std::string, std::uint32_t> m_Numbers;
  std::unordered_map<std::uint32_t, ReplicaState> m_Replicas;
  std::uint32_t m_NextNumber = 0;
  std::unordered_map<std::uint64_t, Block> m_Blocks;
  std::list<std::uint64_t> m_Recency;
};

} // namespace corneldeck::routing

#endif

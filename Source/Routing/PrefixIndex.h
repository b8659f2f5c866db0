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

/// Limits of a PrefixIndex.
struct PrefixIndexSettings {
  /// Number of blocks over all replicas; the least recently used is evicted.
  std::size_t m_MaxBlocks = 65'536;
  /// A block that no event or request has mentioned for this long is ignored.
  base::Millis m_MaxAge = base::seconds(120);
  /// Maximum age of blocks seen before a gap in the events.
  base::Millis m_MaxAgeAfterGap = base::seconds(15);
};

/// Estimates which replicas have which prefix blocks in their caches.
///
/// A block is identified by a hash over itself and all blocks before it. The
/// index is built from cache events, which are delayed and may have gaps, and
/// from the entry's own requests, whose prompts a replica caches when it runs
/// them.
class PrefixIndex {
public:
  explicit PrefixIndex(const PrefixIndexSettings &Settings);

  /// Applies consecutive cache events of a replica.
  /// \param FirstSequence sequence number of the first event; events were lost
  /// if it does not follow the last one.
  void onCacheEvents(base::Millis Now, const std::string &Replica,
                     std::uint64_t FirstSequence,
                     std::span<const std::uint64_t> Added,
                     std::span<const std::uint64_t> Evicted);

  /// Records that a request with these prompt blocks was sent to a replica.
  void onRequestSent(base::Millis Now, const std::string &Replica,
                     std::span<const std::uint64_t> Blocks);

  /// Removes a replica that has lost its cache or is no longer in use.
  void removeReplica(const std::string &Replica);

  /// \returns for each replica the number of leading blocks of \p Blocks that
  /// it likely has cached; replicas without the first block are left out.
  [[nodiscard]] std::map<std::string, std::size_t>
  cachedPrefixLengths(base::Millis Now,
                      std::span<const std::uint64_t> Blocks) const;

  [[nodiscard]] std::size_t size() const { return m_Blocks.size(); }

private:
  /// A replica that likely has a block cached.
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
    /// Time at which the last gap in the events was detected.
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

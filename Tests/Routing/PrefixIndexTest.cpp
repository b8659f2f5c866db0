#include "Routing/PrefixIndex.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using base::Millis;
using routing::PrefixIndex;
using routing::PrefixIndexSettings;

namespace {

using Blocks = std::vector<std::uint64_t>;
using PrefixLengths = std::map<std::string, std::size_t>;

TEST(PrefixIndex, CountsCachedBlocksFromTheFirstBlock) {
  PrefixIndex Index({});
  Index.onCacheEvents(Millis(0), "a", 0, Blocks{1, 2, 3}, Blocks{});
  Index.onCacheEvents(Millis(0), "b", 0, Blocks{1, 3}, Blocks{});
  EXPECT_EQ(Index.cachedPrefixLengths(Millis(1), Blocks{1, 2, 3, 4}),
            (PrefixLengths{{"a", 3}, {"b", 1}}));
}

TEST(PrefixIndex, DropsEvictedBlocksAndRemovedReplicas) {
  PrefixIndex Index({});
  Index.onCacheEvents(Millis(0), "a", 0, Blocks{1, 2}, Blocks{});
  Index.onRequestSent(Millis(0), "b", Blocks{1, 2});
  Index.onCacheEvents(Millis(1), "a", 2, Blocks{}, Blocks{2});
  Index.removeReplica("b");
  EXPECT_EQ(Index.cachedPrefixLengths(Millis(2), Blocks{1, 2}),
            (PrefixLengths{{"a", 1}}));
}

TEST(PrefixIndex, ExpiresOldBlocks) {
  PrefixIndexSettings Settings;
  PrefixIndex Index(Settings);
  Index.onRequestSent(Millis(0), "a", Blocks{1});
  EXPECT_FALSE(Index.cachedPrefixLengths(Settings.m_MaxAge, Blocks{1}).empty());
  EXPECT_TRUE(
      Index.cachedPrefixLengths(Settings.m_MaxAge + Millis(1), Blocks{1})
          .empty());
}

TEST(PrefixIndex, ExpiresBlocksEarlierAfterASequenceGap) {
  PrefixIndexSettings Settings;
  PrefixIndex Index(Settings);
  Index.onCacheEvents(Millis(0), "a", 0, Blocks{1}, Blocks{});
  Index.onCacheEvents(Millis(10), "a", 5, Blocks{9}, Blocks{});
  const Millis Later = Settings.m_MaxAgeAfterGap + Millis(5);
  EXPECT_TRUE(Index.cachedPrefixLengths(Later, Blocks{1}).empty());
  EXPECT_FALSE(Index.cachedPrefixLengths(Later, Blocks{9}).empty());
}

TEST(PrefixIndex, LimitsTheNumberOfBlocks) {
  PrefixIndexSettings Settings;
  Settings.m_MaxBlocks = 4;
  PrefixIndex Index(Settings);
  for (std::uint64_t Block = 0; Block < 100; ++Block)
    Index.onRequestSent(Millis(0), "a", Blocks{Block});
  EXPECT_EQ(Index.size(), 4U);
}

} // namespace

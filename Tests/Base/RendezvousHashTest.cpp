#include "Base/RendezvousHash.h"

#include <gtest/gtest.h>

using namespace corneldeck::base;

TEST(RendezvousHash, RankingIsIndependentOfInputOrder) {
  const std::vector<std::string> Nodes{"a", "b", "c"};
  const std::vector<std::string> Shuffled{"c", "a", "b"};
  const auto First = Nodes[rankByRendezvous("key", Nodes).front()];
  EXPECT_EQ(First, Shuffled[rankByRendezvous("key", Shuffled).front()]);
}

TEST(RendezvousHash, RemovingANodeMovesOnlyItsKeys) {
  const std::vector<std::string> All{"a", "b", "c", "d"};
  const std::vector<std::string> Fewer{"a", "b", "c"};
  int Moved = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    const std::string Key = std::to_string(Index);
    const std::string Before = All[rankByRendezvous(Key, All).front()];
    const std::string After = Fewer[rankByRendezvous(Key, Fewer).front()];
    if (Before != "d") {
      EXPECT_EQ(Before, After);
    } else {
      ++Moved;
    }
  }
  EXPECT_GT(Moved, 150);
  EXPECT_LT(Moved, 350);
}

#include "RankGroup/ExpertMap.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {
namespace {

TEST(ExpertMap, ContiguousMapIsValidAndEven) {
  const ExpertMap Map = ExpertMap::contiguous(32, 256);
  EXPECT_TRUE(Map.validate(8).has_value());
  for (const std::size_t Used : Map.slotsUsed())
    EXPECT_EQ(Used, 8U);
}

TEST(ExpertMap, CountsCopiesToLoad) {
  const ExpertMap Old = ExpertMap::contiguous(4, 16);
  ExpertMap New = Old;
  New.add(0, 3);
  New.remove(5, 1);
  New.add(5, 2);
  EXPECT_EQ(New.copiesToLoad(Old), 2U);
  EXPECT_EQ(New.expertsToLoad(Old, 3), std::vector<ExpertMap::Expert>{0});
  EXPECT_EQ(New.replicas(0), (std::vector<ExpertMap::Rank>{0, 3}));
}

TEST(ExpertMap, RejectsMissingCopiesUnknownRanksAndTooFewSlots) {
  ExpertMap Map = ExpertMap::contiguous(4, 16);
  EXPECT_FALSE(Map.validate(3).has_value());
  Map.remove(7, 1);
  EXPECT_FALSE(Map.validate(8).has_value());
  Map.add(7, 9);
  EXPECT_FALSE(Map.validate(8).has_value());
}

} // namespace
} // namespace corneldeck::rankgroup

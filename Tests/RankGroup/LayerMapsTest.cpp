#include "RankGroup/LayerMaps.h"
#include "RankGroup/PopularityWindow.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {

namespace {

constexpr std::size_t Ranks = 4;
constexpr std::size_t Experts = 12;

PlacementLimits limits() {
  PlacementLimits Limits;
  Limits.m_Slots = 5;
  Limits.m_NewPerRank = 2;
  return Limits;
}

ChoiceSample sample(std::initializer_list<std::pair<std::size_t, float>> Hot) {
  ChoiceSample Made;
  Made.m_Choices.assign(Experts, 10.0F);
  for (const auto &[Which, Choices] : Hot)
    Made.m_Choices[Which] = Choices;
  return Made;
}

} // namespace

TEST(LayerMaps, PackedMapsComeBack) {
  LayerMaps Maps = startMaps(2, Ranks, Experts);
  Maps[1].add(0, 3);
  const auto Back = unpackMaps(packMaps(Maps), Experts);
  ASSERT_TRUE(Back.has_value());
  EXPECT_EQ(*Back, Maps);
}

TEST(LayerMaps, BrokenNumbersAreNoMaps) {
  const std::vector<std::uint32_t> Whole =
      packMaps(startMaps(2, Ranks, Experts));
  for (std::size_t Count = 0; Count < Whole.size(); ++Count)
    EXPECT_FALSE(unpackMaps({Whole.begin(), Whole.begin() + Count}, Experts))
        << Count;
  std::vector<std::uint32_t> Wrong = Whole;
  Wrong[3] = 1'000'000;
  EXPECT_FALSE(unpackMaps(Wrong, Experts));
  Wrong = Whole;
  Wrong[0] = 0xFFFFFFFF;
  EXPECT_FALSE(unpackMaps(Wrong, Experts));
}

TEST(LayerMaps, AHotExpertGetsCopies) {
  const ChoiceSamples Samples = {sample({{0, 300.0F}})};
  const LayerMaps Before = startMaps(1, Ranks, Experts);
  const LayerMaps After = {improvePlacement(Before[0], Samples, limits())};
  EXPECT_GT(After[0].replicas(0).size(), 1U);
  EXPECT_LT(expectedSkew(After, {Samples}),
            0.7 * expectedSkew(Before, {Samples}));
}

TEST(LayerMaps, ExpertsWantedTogetherGoToDifferentRanks) {
  // Experts 0 and 4 stand on one rank and are always chosen together; on
  // average the ranks are even.
  const ChoiceSamples Samples = {
      sample({{0, 90.0F}, {4, 90.0F}}), sample({{1, 90.0F}, {5, 90.0F}}),
      sample({{2, 90.0F}, {6, 90.0F}}), sample({{3, 90.0F}, {7, 90.0F}})};
  const LayerMaps Before = startMaps(1, Ranks, Experts);
  const LayerMaps After = {improvePlacement(Before[0], Samples, limits())};
  EXPECT_LT(expectedSkew(After, {Samples}),
            0.8 * expectedSkew(Before, {Samples}));
}

TEST(LayerMaps, KeepsTheLimitsOfARank) {
  for (std::size_t Hot = 0; Hot < Experts; ++Hot) {
    const ChoiceSamples Samples = {
        sample({{Hot, 500.0F}, {(Hot + 5) % Experts, 200.0F}})};
    const ExpertMap Before = startMaps(1, Ranks, Experts)[0];
    const ExpertMap After = improvePlacement(Before, Samples, limits());
    EXPECT_TRUE(After.check(limits().m_Slots).has_value());
    for (ExpertMap::Rank Where = 0; Where < Ranks; ++Where)
      EXPECT_LE(After.missing(Before, Where).size(), limits().m_NewPerRank);
  }
}

TEST(LayerMaps, EvenLoadMovesNothing) {
  const ChoiceSamples Samples = {sample({})};
  const ExpertMap Before = startMaps(1, Ranks, Experts)[0];
  EXPECT_EQ(improvePlacement(Before, Samples, limits()), Before);
}

TEST(PopularityWindow, AShiftStartsTheWindowAnew) {
  PopularityWindow Window;
  std::vector<std::uint64_t> Counts(Experts, 0);
  Window.take(0, Counts);
  for (int Turn = 0; Turn < 4; ++Turn) {
    Counts[0] += 5000;
    Window.take(0, Counts);
    EXPECT_EQ(Window.turn(1), Turn == 0);
  }
  Counts[7] += 5000;
  Window.take(0, Counts);
  EXPECT_TRUE(Window.turn(1));
  const LayerSamples Samples = Window.samples(1);
  EXPECT_EQ(Samples[0].front().m_Choices[0], 0.0F);
  EXPECT_GT(Samples[0].front().m_Choices[7], 0.0F);
}

TEST(PopularityWindow, ARestartedRankAddsNothingTwice) {
  PopularityWindow Window;
  Window.take(0, std::vector<std::uint64_t>(Experts, 1000));
  Window.take(0, std::vector<std::uint64_t>(Experts, 10));
  EXPECT_FALSE(Window.turn(1));
  EXPECT_FALSE(Window.isSound());
}

} // namespace corneldeck::rankgroup

#include "RankGroup/LayerMaps.h"
#include "Base/Random.h"
#include "RankGroup/PopularityWindow.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {

namespace {

constexpr std::size_t Ranks = 4;
constexpr std::size_t Experts = 12;

PlacementLimits limits() {
  PlacementLimits Limits;
  Limits.m_SlotsPerRank = 5;
  Limits.m_MaxNewPerRank = 2;
  return Limits;
}

ChoiceSample sample(std::initializer_list<std::pair<std::size_t, float>> Hot) {
  ChoiceSample Sample;
  Sample.m_Choices.assign(Experts, 10.0F);
  for (const auto &[ExpertId, Choices] : Hot)
    Sample.m_Choices[ExpertId] = Choices;
  return Sample;
}

} // namespace

TEST(LayerMaps, EncodesAndDecodesMaps) {
  LayerMaps Maps = initialMaps(2, Ranks, Experts);
  Maps[1].add(0, 3);
  const auto Decoded = decodeMaps(encodeMaps(Maps), Experts);
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(*Decoded, Maps);
}

TEST(LayerMaps, RejectsMalformedEncoding) {
  const std::vector<std::uint32_t> Encoded =
      encodeMaps(initialMaps(2, Ranks, Experts));
  for (std::size_t Count = 0; Count < Encoded.size(); ++Count)
    EXPECT_FALSE(
        decodeMaps({Encoded.begin(), Encoded.begin() + Count}, Experts))
        << Count;
  std::vector<std::uint32_t> Corrupted = Encoded;
  Corrupted[3] = 1'000'000;
  EXPECT_FALSE(decodeMaps(Corrupted, Experts));
  Corrupted = Encoded;
  Corrupted[0] = 0xFFFFFFFF;
  EXPECT_FALSE(decodeMaps(Corrupted, Experts));
}

TEST(LayerMaps, CopiesHotExpert) {
  const ChoiceSamples Samples = {sample({{0, 300.0F}})};
  const LayerMaps Before = initialMaps(1, Ranks, Experts);
  const LayerMaps After = improveMaps(Before, {Samples}, limits());
  EXPECT_GT(After[0].replicas(0).size(), 1U);
  EXPECT_LT(expectedSkew(After, {Samples}),
            0.7 * expectedSkew(Before, {Samples}));
}

TEST(LayerMaps, SeparatesExpertsUsedTogether) {
  // Experts 0 and 4 are on one rank and are always used together, although the
  // mean load of the ranks is equal.
  const ChoiceSamples Samples = {
      sample({{0, 90.0F}, {4, 90.0F}}), sample({{1, 90.0F}, {5, 90.0F}}),
      sample({{2, 90.0F}, {6, 90.0F}}), sample({{3, 90.0F}, {7, 90.0F}})};
  const LayerMaps Before = initialMaps(1, Ranks, Experts);
  const LayerMaps After = improveMaps(Before, {Samples}, limits());
  EXPECT_LT(expectedSkew(After, {Samples}),
            0.8 * expectedSkew(Before, {Samples}));
}

TEST(LayerMaps, KeepsLimitsOfEachRank) {
  for (std::size_t Hot = 0; Hot < Experts; ++Hot) {
    const ChoiceSamples Samples = {
        sample({{Hot, 500.0F}, {(Hot + 5) % Experts, 200.0F}})};
    const ExpertMap Before = initialMaps(1, Ranks, Experts)[0];
    const ExpertMap After = improveMaps({Before}, {Samples}, limits())[0];
    EXPECT_TRUE(After.validate(limits().m_SlotsPerRank).has_value());
    for (ExpertMap::Rank RankId = 0; RankId < Ranks; ++RankId)
      EXPECT_LE(After.expertsToLoad(Before, RankId).size(),
                limits().m_MaxNewPerRank);
  }
}

TEST(LayerMaps, ReducesLoadOfSlowRank) {
  const LayerSamples Samples = {{sample({})}};
  const LayerMaps Before = initialMaps(1, Ranks, Experts);
  PlacementLimits Limits = limits();
  Limits.m_Slowdowns = {1, 1, 3, 1};
  const LayerMaps After = improveMaps(Before, Samples, Limits);
  EXPECT_LT(expectedSkew(After, Samples, Limits.m_Slowdowns),
            0.8 * expectedSkew(Before, Samples, Limits.m_Slowdowns));
  EXPECT_DOUBLE_EQ(expectedSkew(Before, Samples, Limits.m_Slowdowns), 3);
  EXPECT_TRUE(After[0].validate(Limits.m_SlotsPerRank).has_value());
}

TEST(LayerMaps, KeepsMapsUnderEvenLoad) {
  const ChoiceSamples Samples = {sample({})};
  const LayerMaps Before = initialMaps(1, Ranks, Experts);
  EXPECT_EQ(improveMaps(Before, {Samples}, limits()), Before);
}

TEST(LayerMaps, SharesCopyLimitBetweenLayerSets) {
  // Popularity shifts in all layer sets at once, and each rank may make one
  // copy.
  LayerSamples Samples;
  for (std::size_t Set = 0; Set < 4; ++Set)
    Samples.push_back({sample({{Set, 300.0F}})});
  PlacementLimits Urgent = limits();
  Urgent.m_MaxNewPerRankInAllSets = 1;
  const LayerMaps Before = initialMaps(4, Ranks, Experts);
  const LayerMaps After = improveMaps(Before, Samples, Urgent);
  for (ExpertMap::Rank RankId = 0; RankId < Ranks; ++RankId) {
    std::size_t New = 0;
    for (std::size_t Set = 0; Set < Before.size(); ++Set)
      New += After[Set].expertsToLoad(Before[Set], RankId).size();
    EXPECT_LE(New, 1U) << RankId;
  }
  for (std::size_t Set = 0; Set < Before.size(); ++Set)
    EXPECT_EQ(After[Set].replicas(Set).size(), 2U) << Set;
}

TEST(PopularityWindow, ResetsWindowAfterShift) {
  constexpr int Intervals = 4;
  PopularityWindow Window;
  std::vector<std::uint64_t> Chosen(Experts, 0);
  Chosen[0] = 20000;
  for (int Interval = 0; Interval < Intervals; ++Interval) {
    Window.addReport(0, Chosen);
    EXPECT_EQ(Window.endInterval(1), Interval == 0);
  }
  Chosen[0] = 0;
  Chosen[7] = 20000;
  Window.addReport(0, Chosen);
  EXPECT_TRUE(Window.endInterval(1));
  const LayerSamples Samples = Window.samples();
  EXPECT_EQ(Samples[0].front().m_Choices[0], 0.0F);
  EXPECT_GT(Samples[0].front().m_Choices[7], 0.0F);
}

TEST(PopularityWindow, KeepsWindowsOfOtherSetsAfterShift) {
  PopularityWindow Window;
  std::vector<std::uint64_t> Chosen(2 * Experts, 2000);
  Window.addReport(0, Chosen);
  EXPECT_TRUE(Window.endInterval(2));
  Window.addReport(0, Chosen);
  EXPECT_FALSE(Window.endInterval(2));
  Chosen[Experts] = 40000;
  Window.addReport(0, Chosen);
  EXPECT_TRUE(Window.endInterval(2));
  const LayerSamples Samples = Window.samples();
  // The mean and three samples; after the reset, the mean and one sample.
  EXPECT_EQ(Samples[0].size(), 4U);
  EXPECT_EQ(Samples[1].size(), 2U);
}

// Guards against maps that are planned on choices from before a shift.
TEST(PopularityWindow, ReplacesIntervalInWhichPopularityShifted) {
  PopularityWindow Window;
  std::vector<std::uint64_t> Chosen(Experts, 2000);
  Window.addReport(0, Chosen);
  Window.endInterval(1);
  std::vector<std::uint64_t> Mixed = Chosen;
  Mixed[0] = 20000;
  Window.addReport(0, Mixed);
  EXPECT_TRUE(Window.endInterval(1));
  std::vector<std::uint64_t> New(Experts, 10);
  New[0] = 40000;
  Window.addReport(0, New);
  EXPECT_FALSE(Window.endInterval(1));
  EXPECT_EQ(Window.means()[0][0].m_Choices[1], 10.0F);
}

TEST(PopularityWindow, DoesNotTakeNoiseForShift) {
  // Twelve ranks, each of which reads four prompts in an interval, each on
  // one of nine topics. This corresponds to 100 ms of traffic.
  constexpr std::uint32_t ManyRanks = 12;
  constexpr std::size_t Topics = 9;
  constexpr int Intervals = 200;
  base::Random Random(7);
  PopularityWindow Window;
  int Shifts = 0;
  for (int Interval = 0; Interval < Intervals; ++Interval) {
    for (std::uint32_t Rank = 0; Rank < ManyRanks; ++Rank) {
      std::vector<std::uint64_t> Chosen(Experts, 700);
      for (int Prompt = 0; Prompt < 4; ++Prompt)
        Chosen[Random.below(Topics)] += 600;
      Window.addReport(Rank, Chosen);
    }
    Shifts += Window.endInterval(1) ? 1 : 0;
  }
  EXPECT_EQ(Shifts, 1) << "the first interval starts a window";
}

TEST(PopularityWindow, KeepsTooFewChoicesForNextInterval) {
  PopularityWindow Window;
  Window.addReport(0, std::vector<std::uint64_t>(Experts, 10));
  EXPECT_FALSE(Window.endInterval(1));
  EXPECT_FALSE(Window.hasData());
}

TEST(ExpertCountTracker, CountsNothingTwiceAfterRestart) {
  ExpertCountTracker Tracker;
  ExpertCounts Counts;
  Counts.m_Counts.assign(Experts, 1000);
  EXPECT_TRUE(Tracker.update(Counts).empty());
  Counts.m_Counts[3] += 5;
  const std::vector<std::uint64_t> Chosen = Tracker.update(Counts);
  ASSERT_EQ(Chosen.size(), Experts);
  EXPECT_EQ(Chosen[3], 5U);
  EXPECT_EQ(Chosen[0], 0U);
  Counts.m_Counts.assign(Experts, 10);
  EXPECT_TRUE(Tracker.update(Counts).empty());
}

} // namespace corneldeck::rankgroup

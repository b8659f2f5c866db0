#ifndef CORNELDECK_RANKGROUP_POPULARITYWINDOW_H
#define CORNELDECK_RANKGROUP_POPULARITYWINDOW_H

#include "RankGroup/LayerMaps.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace corneldeck::rankgroup {

/// Settings of PopularityWindow.
struct WindowSettings {
  /// Turns that are kept.
  std::size_t m_Turns = 8;
  /// A turn differs from the average by more than this share only after a
  /// shift of popularity.
  double m_ShiftDistance = 0.35;
  /// Choices of one layer set below which a turn is too noisy to judge.
  double m_LeastChoices = 2000;
  /// Samples of single ranks that fall together into one pass: every pass reads
  /// only a few prompts.
  double m_SamplesPerPass = 3;
};

/// What is popular now, from the running counts of all ranks.
///
/// Answers a shift of popularity: as soon as one turn's counts differ from the
/// average by more than noise does, the window starts anew from them. Each
/// rank's counts of one turn are a sample of what its few requests want at the
/// same time.
class PopularityWindow {
public:
  explicit PopularityWindow(WindowSettings Settings = {});

  /// Takes a rank's running counts; ones that fell mean a restarted rank.
  void take(std::uint32_t Rank, const std::vector<std::uint64_t> &Counts);

  /// Ends a turn.
  /// \param Sets layer sets, in which the counts are grouped.
  /// \returns whether a shift was seen.
  bool turn(std::size_t Sets);

  /// \returns whether enough was counted to plan by.
  [[nodiscard]] bool isSound() const { return !m_Kept.empty(); }

  /// \returns samples of the kept turns, and their sum as one more sample.
  [[nodiscard]] LayerSamples samples(std::size_t Sets) const;

private:
  using Choices = std::vector<float>;
  using Turn = std::vector<Choices>;

  const WindowSettings m_Settings;
  std::map<std::uint32_t, std::vector<std::uint64_t>> m_Last;
  std::map<std::uint32_t, Choices> m_Newest;
  std::deque<Turn> m_Kept;
};

} // namespace corneldeck::rankgroup

#endif

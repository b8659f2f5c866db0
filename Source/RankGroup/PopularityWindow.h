#ifndef CORNELDECK_RANKGROUP_POPULARITYWINDOW_H
#define CORNELDECK_RANKGROUP_POPULARITYWINDOW_H

#include "RankGroup/LayerMaps.h"

#include <cstdint>
#include <map>
#include <vector>

namespace corneldeck::rankgroup {

/// Settings of PopularityWindow.
struct WindowSettings {
  /// Weight that older counts keep at each turn of the window.
  double m_Keep = 0.75;
  /// Counts of one turn differ from the average by more than this share only
  /// after a shift of popularity.
  double m_ShiftDistance = 0.35;
  /// Choices of one layer set below which a turn is too noisy to judge.
  double m_LeastChoices = 2000;
};

/// What is popular now, from the running counts of all ranks.
///
/// Answers a shift of popularity: as soon as one turn's counts differ from the
/// average by more than noise does, the average starts anew from them.
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
  [[nodiscard]] bool isSound() const { return m_Sound; }
  [[nodiscard]] const LayerPopularity &popularity() const {
    return m_Popularity;
  }

private:
  const WindowSettings m_Settings;
  std::map<std::uint32_t, std::vector<std::uint64_t>> m_Last;
  std::vector<double> m_Newest;
  LayerPopularity m_Popularity;
  bool m_Sound = false;
};

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_RANKGROUP_POPULARITYWINDOW_H
#define CORNELDECK_RANKGROUP_POPULARITYWINDOW_H

#include "RankGroup/EnginePort.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace corneldeck::rankgroup {

/// Turns an engine's running counts into what was chosen since the last time.
class ExpertCountTracker {
public:
  /// \returns the choices of each expert since the counts before, layer set by
  /// layer set; empty if there are none to compare with, as after a restart of
  /// the rank.
  std::vector<std::uint64_t> update(ExpertCounts Counts);

  /// \returns the counts that were taken last.
  [[nodiscard]] const ExpertCounts &last() const { return m_Last; }

private:
  ExpertCounts m_Last;
};

/// Settings of PopularityWindow.
struct WindowSettings {
  /// Turns whose samples of single ranks are kept; older turns only add to the
  /// sum.
  std::size_t m_Intervals = 8;
  /// A turn that differs from those before by more than this share follows a
  /// shift of popularity; 100 ms of unchanged traffic differ by 0.03 to 0.12.
  double m_ShiftThreshold = 0.18;
  /// Choices of one layer set below which a turn is too noisy to judge.
  double m_MinChoicesPerSet = 10000;
  /// Samples of single ranks that fall together into one pass: every pass reads
  /// only a few prompts.
  double m_SamplesPerPass = 3;
};

/// What is popular now, from what the requests of all ranks chose.
///
/// Answers a shift of popularity: as soon as one turn's choices in a layer set
/// differ from those before by more than noise does, the set's window starts
/// anew from them. Each rank's choices of one turn are a sample of what its few
/// requests want at the same time.
class PopularityWindow {
public:
  explicit PopularityWindow(WindowSettings Settings = {});

  /// Takes what a rank's requests chose since its last report, layer set by
  /// layer set. A lost report only makes the sample smaller.
  void addReport(std::uint32_t Rank, const std::vector<std::uint64_t> &Chosen);

  /// Ends a turn.
  /// \param Sets layer sets, in which the choices are grouped.
  /// \returns whether a shift was seen in some set.
  bool endInterval(std::size_t SetCount);

  /// \returns whether enough was counted to plan by.
  [[nodiscard]] bool hasData() const { return !m_Sets.empty(); }

  /// \returns for each layer set the mean choices of a rank's turn.
  [[nodiscard]] LayerSamples means() const;

  /// \returns for each layer set the mean choices and the samples of single
  /// ranks.
  [[nodiscard]] LayerSamples samples() const;

private:
  using Choices = std::vector<float>;

  /// What is known of one layer set since its last shift.
  struct SetWindow {
    /// All choices, and of how many ranks and turns.
    Choices m_Sum;
    std::size_t m_SampleCount = 0;
    /// Samples of the latest turns.
    std::deque<std::vector<Choices>> m_Intervals;
  };

  void addInterval(SetWindow &Target, std::vector<Choices> RankSamples,
                   const Choices &Sum);

  const WindowSettings m_Settings;
  std::map<std::uint32_t, Choices> m_CurrentInterval;
  std::vector<SetWindow> m_Sets;
};

} // namespace corneldeck::rankgroup

#endif

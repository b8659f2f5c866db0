#ifndef CORNELDECK_RANKGROUP_POPULARITYWINDOW_H
#define CORNELDECK_RANKGROUP_POPULARITYWINDOW_H

#include "RankGroup/EnginePort.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace corneldeck::rankgroup {

/// Converts the cumulative counts of an engine into counts since the previous
/// update.
class ExpertCountTracker {
public:
  /// \returns the choices of each expert since the previous counts, grouped by
  /// layer set. Empty on the first call, and if a count decreased or their
  /// number changed, as after a restart of the engine.
  std::vector<std::uint64_t> update(ExpertCounts Counts);

  /// \returns the counts of the last update.
  [[nodiscard]] const ExpertCounts &last() const { return m_Last; }

private:
  ExpertCounts m_Last;
};

/// Settings of PopularityWindow.
struct WindowSettings {
  /// Number of intervals whose samples of single ranks are kept. Older
  /// intervals count only in the sum.
  std::size_t m_Intervals = 8;
  /// Total variation distance between an interval and the window from which the
  /// popularity is assumed to have shifted. Intervals of 100 ms differ by 0.03
  /// to 0.12 under unchanged traffic.
  double m_ShiftThreshold = 0.18;
  /// Minimum number of choices in an interval, as the mean of the layer sets.
  /// Fewer choices are too noisy to compare.
  double m_MinChoicesPerSet = 10000;
  /// Number of rank samples that one pass of the group corresponds to. It is
  /// small because each pass reads only a few prompts.
  double m_SamplesPerPass = 3;
};

/// Estimates the popularity of the experts from the choices of all ranks.
///
/// The window of a layer set is reset as soon as the choices of one interval
/// differ from it by more than noise explains, so that the estimate follows a
/// shift of popularity quickly. That interval mixes old and new choices, so the
/// next one replaces it. The choices of one report in one interval are a sample
/// of which experts a few requests use at the same time.
class PopularityWindow {
public:
  explicit PopularityWindow(WindowSettings Settings = {});

  /// Adds choices since the last report of \p Sender, grouped by layer set: of
  /// one rank, or the sum over several ranks that report together. A lost
  /// report only reduces the size of the sample.
  void addReport(std::uint32_t Sender,
                 const std::vector<std::uint64_t> &Chosen);

  /// Ends an interval and adds its choices to the window. If there are too few,
  /// they are kept for the next interval instead.
  /// \param SetCount the number of layer sets by which the choices are grouped.
  /// \returns whether the popularity in any set has shifted.
  bool endInterval(std::size_t SetCount);

  /// \returns whether there are enough choices for planning.
  [[nodiscard]] bool hasData() const { return !m_Sets.empty(); }

  /// \returns for each layer set the mean choices of a sample.
  [[nodiscard]] LayerSamples means() const;

  /// \returns for each layer set the mean choices and the single samples.
  [[nodiscard]] LayerSamples samples() const;

private:
  using Choices = std::vector<float>;

  /// Choices in one layer set since its last shift.
  struct SetWindow {
    /// Sum of all choices, and the number of samples in it.
    Choices m_Sum;
    std::size_t m_SampleCount = 0;
    /// Whether the window consists of the interval in which the popularity
    /// shifted.
    bool m_IsMixed = false;
    /// Samples of the latest intervals.
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

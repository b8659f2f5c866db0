#include "RankGroup/PopularityWindow.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

using Choices = std::vector<float>;

void addTo(Choices &Target, const Choices &Added) {
  Target.resize(std::max(Target.size(), Added.size()), 0.0F);
  for (std::size_t Index = 0; Index < Added.size(); ++Index)
    Target[Index] += Added[Index];
}

double sum(const Choices &Source) {
  return std::accumulate(Source.begin(), Source.end(), 0.0);
}

/// \returns the total variation distance between the normalized choices, from 0
/// to 1; 1 if they cannot be compared.
double totalVariationDistance(const Choices &A, const Choices &B) {
  const double TotalA = sum(A);
  const double TotalB = sum(B);
  if (TotalA <= 0 || TotalB <= 0 || A.size() != B.size())
    return 1;
  double Difference = 0;
  for (std::size_t Index = 0; Index < A.size(); ++Index)
    Difference += std::abs(A[Index] / TotalA - B[Index] / TotalB);
  return Difference / 2;
}

} // namespace

std::vector<std::uint64_t> ExpertCountTracker::update(ExpertCounts Counts) {
  std::vector<std::uint64_t> Delta;
  const auto &Last = m_Last.m_Counts;
  const auto &Now = Counts.m_Counts;
  const bool Monotonic =
      Last.size() == Now.size() &&
      std::equal(Now.begin(), Now.end(), Last.begin(), std::greater_equal<>());
  if (Monotonic) {
    Delta.resize(Now.size());
    std::transform(Now.begin(), Now.end(), Last.begin(), Delta.begin(),
                   std::minus<>());
  }
  m_Last = std::move(Counts);
  return Delta;
}

PopularityWindow::PopularityWindow(WindowSettings Settings)
    : m_Settings(Settings) {}

void PopularityWindow::addReport(std::uint32_t Sender,
                                 const std::vector<std::uint64_t> &Chosen) {
  addTo(m_CurrentInterval[Sender], {Chosen.begin(), Chosen.end()});
}

bool PopularityWindow::endInterval(std::size_t SetCount) {
  Choices Sum;
  for (const auto &[Rank, Each] : m_CurrentInterval)
    addTo(Sum, Each);
  // Too few choices are kept for the next interval.
  if (SetCount == 0 || Sum.size() % SetCount != 0 ||
      sum(Sum) < m_Settings.m_MinChoicesPerSet * static_cast<double>(SetCount))
    return false;
  m_Sets.resize(SetCount);
  const auto Experts = static_cast<std::ptrdiff_t>(Sum.size() / SetCount);
  bool Shifted = false;
  for (std::size_t Set = 0; Set < SetCount; ++Set) {
    const auto SetPart = [&](const Choices &Source) {
      const auto From =
          Source.begin() + static_cast<std::ptrdiff_t>(Set) * Experts;
      return Choices(From, From + Experts);
    };
    SetWindow &Window = m_Sets[Set];
    const Choices SetSum = SetPart(Sum);
    if (Window.m_IsMixed) {
      Window = {};
    } else if (totalVariationDistance(Window.m_Sum, SetSum) >
               m_Settings.m_ShiftThreshold) {
      Shifted = true;
      const bool IsFirst = Window.m_Sum.empty();
      Window = {};
      Window.m_IsMixed = !IsFirst;
    }
    std::vector<Choices> RankSamples;
    for (const auto &[Rank, Each] : m_CurrentInterval)
      if (Each.size() == Sum.size() && sum(SetPart(Each)) > 0)
        RankSamples.push_back(SetPart(Each));
    addInterval(Window, std::move(RankSamples), SetSum);
  }
  m_CurrentInterval.clear();
  return Shifted;
}

void PopularityWindow::addInterval(SetWindow &Target,
                                   std::vector<Choices> RankSamples,
                                   const Choices &Sum) {
  addTo(Target.m_Sum, Sum);
  Target.m_SampleCount += RankSamples.size();
  Target.m_Intervals.push_back(std::move(RankSamples));
  while (Target.m_Intervals.size() > m_Settings.m_Intervals)
    Target.m_Intervals.pop_front();
}

LayerSamples PopularityWindow::means() const {
  LayerSamples Means;
  for (const SetWindow &Each : m_Sets) {
    ChoiceSample Mean;
    for (const float Chosen : Each.m_Sum)
      Mean.m_Choices.push_back(Chosen / static_cast<float>(Each.m_SampleCount));
    Means.push_back({std::move(Mean)});
  }
  return Means;
}

LayerSamples PopularityWindow::samples() const {
  // The load of a pass is the sum of N independent samples. The expected square
  // of such a sum is N (N - 1) times the square of the mean, plus N times the
  // mean of the squares.
  const double SamplesPerPass = m_Settings.m_SamplesPerPass;
  LayerSamples Samples = means();
  for (std::size_t Set = 0; Set < m_Sets.size(); ++Set) {
    ChoiceSamples &Target = Samples[Set];
    Target.front().m_Weight =
        static_cast<float>(SamplesPerPass * (SamplesPerPass - 1));
    std::size_t Count = 0;
    for (const std::vector<Choices> &Interval : m_Sets[Set].m_Intervals)
      Count += Interval.size();
    const auto Weight =
        static_cast<float>(SamplesPerPass / static_cast<double>(Count));
    for (const std::vector<Choices> &Interval : m_Sets[Set].m_Intervals)
      for (const Choices &Each : Interval)
        Target.push_back({Each, Weight});
  }
  return Samples;
}

} // namespace corneldeck::rankgroup

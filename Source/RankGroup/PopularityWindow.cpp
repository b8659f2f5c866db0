#include "RankGroup/PopularityWindow.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

using Choices = std::vector<float>;

void add(Choices &To, const Choices &Added) {
  To.resize(std::max(To.size(), Added.size()), 0.0F);
  for (std::size_t Index = 0; Index < Added.size(); ++Index)
    To[Index] += Added[Index];
}

double total(const Choices &Of) {
  return std::accumulate(Of.begin(), Of.end(), 0.0);
}

/// \returns half the sum of the differences of two distributions, 0 to 1.
double distance(const Choices &A, const Choices &B) {
  const double TotalA = total(A);
  const double TotalB = total(B);
  if (TotalA <= 0 || TotalB <= 0 || A.size() != B.size())
    return 1;
  double Difference = 0;
  for (std::size_t Index = 0; Index < A.size(); ++Index)
    Difference += std::abs(A[Index] / TotalA - B[Index] / TotalB);
  return Difference / 2;
}

} // namespace

std::vector<std::uint64_t> ChoiceMeter::take(ExpertCounts Counts) {
  std::vector<std::uint64_t> Since;
  const auto &Last = m_Last.m_Counts;
  const auto &Now = Counts.m_Counts;
  const bool Comparable =
      Last.size() == Now.size() &&
      std::equal(Now.begin(), Now.end(), Last.begin(), std::greater_equal<>());
  if (Comparable) {
    Since.resize(Now.size());
    std::transform(Now.begin(), Now.end(), Last.begin(), Since.begin(),
                   std::minus<>());
  }
  m_Last = std::move(Counts);
  return Since;
}

PopularityWindow::PopularityWindow(WindowSettings Settings)
    : m_Settings(Settings) {}

void PopularityWindow::take(std::uint32_t Rank,
                            const std::vector<std::uint64_t> &Chosen) {
  add(m_Newest[Rank], {Chosen.begin(), Chosen.end()});
}

bool PopularityWindow::turn(std::size_t Sets) {
  Choices Sum;
  for (const auto &[Rank, Each] : m_Newest)
    add(Sum, Each);
  // Too few choices wait for the next turn.
  if (Sets == 0 || Sum.size() % Sets != 0 ||
      total(Sum) < m_Settings.m_LeastChoices * static_cast<double>(Sets))
    return false;
  m_Sets.resize(Sets);
  const auto Experts = static_cast<std::ptrdiff_t>(Sum.size() / Sets);
  bool Shifted = false;
  for (std::size_t Set = 0; Set < Sets; ++Set) {
    const auto Part = [&](const Choices &Of) {
      const auto From = Of.begin() + static_cast<std::ptrdiff_t>(Set) * Experts;
      return Choices(From, From + Experts);
    };
    SetWindow &Window = m_Sets[Set];
    const Choices SetSum = Part(Sum);
    if (distance(Window.m_Sum, SetSum) > m_Settings.m_ShiftDistance) {
      Shifted = true;
      Window = {};
    }
    std::vector<Choices> Ended;
    for (const auto &[Rank, Each] : m_Newest)
      if (Each.size() == Sum.size() && total(Part(Each)) > 0)
        Ended.push_back(Part(Each));
    addTurn(Window, std::move(Ended), SetSum);
  }
  m_Newest.clear();
  return Shifted;
}

void PopularityWindow::addTurn(SetWindow &To, std::vector<Choices> Ended,
                               const Choices &Sum) {
  add(To.m_Sum, Sum);
  To.m_Count += Ended.size();
  To.m_Turns.push_back(std::move(Ended));
  while (To.m_Turns.size() > m_Settings.m_Turns)
    To.m_Turns.pop_front();
}

LayerSamples PopularityWindow::means() const {
  LayerSamples Means;
  for (const SetWindow &Each : m_Sets) {
    ChoiceSample Mean;
    for (const float Chosen : Each.m_Sum)
      Mean.m_Choices.push_back(Chosen / static_cast<float>(Each.m_Count));
    Means.push_back({std::move(Mean)});
  }
  return Means;
}

LayerSamples PopularityWindow::samples() const {
  // A pass holds a few samples: the expected square of a sum of N independent
  // ones is N (N - 1) times the mean's square and N times the mean square.
  const double PerPass = m_Settings.m_SamplesPerPass;
  LayerSamples Samples = means();
  for (std::size_t Set = 0; Set < m_Sets.size(); ++Set) {
    ChoiceSamples &To = Samples[Set];
    To.front().m_Weight = static_cast<float>(PerPass * (PerPass - 1));
    std::size_t Count = 0;
    for (const std::vector<Choices> &Turn : m_Sets[Set].m_Turns)
      Count += Turn.size();
    const auto Weight =
        static_cast<float>(PerPass / static_cast<double>(Count));
    for (const std::vector<Choices> &Turn : m_Sets[Set].m_Turns)
      for (const Choices &Each : Turn)
        To.push_back({Each, Weight});
  }
  return Samples;
}

} // namespace corneldeck::rankgroup

#include "RankGroup/PopularityWindow.h"

#include <algorithm>
#include <cmath>
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

Choices sum(const std::vector<Choices> &Parts) {
  Choices Sum;
  for (const Choices &Each : Parts)
    add(Sum, Each);
  return Sum;
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

PopularityWindow::PopularityWindow(WindowSettings Settings)
    : m_Settings(Settings) {}

void PopularityWindow::take(std::uint32_t Rank,
                            const std::vector<std::uint64_t> &Counts) {
  std::vector<std::uint64_t> &Last = m_Last[Rank];
  const bool Comparable = Last.size() == Counts.size();
  Choices Since(Counts.size(), 0.0F);
  for (std::size_t Index = 0; Comparable && Index < Counts.size(); ++Index)
    if (Counts[Index] >= Last[Index])
      Since[Index] = static_cast<float>(Counts[Index] - Last[Index]);
  Last = Counts;
  add(m_Newest[Rank], Since);
}

bool PopularityWindow::turn(std::size_t Sets) {
  Turn Ended;
  for (const auto &[Rank, Each] : m_Newest)
    if (total(Each) > 0)
      Ended.push_back(Each);
  const Choices Sum = sum(Ended);
  // Too few choices wait for the next turn.
  if (Sets == 0 || Sum.size() % Sets != 0 ||
      total(Sum) < m_Settings.m_LeastChoices * static_cast<double>(Sets))
    return false;
  m_Newest.clear();
  Choices Before;
  for (const Turn &Each : m_Kept)
    add(Before, sum(Each));
  const bool Shifted =
      m_Kept.empty() || distance(Before, Sum) > m_Settings.m_ShiftDistance;
  if (Shifted)
    m_Kept.clear();
  m_Kept.push_back(std::move(Ended));
  while (m_Kept.size() > m_Settings.m_Turns)
    m_Kept.pop_front();
  return Shifted;
}

LayerSamples PopularityWindow::samples(std::size_t Sets) const {
  LayerSamples Samples(Sets);
  Choices All;
  std::size_t Count = 0;
  for (const Turn &Each : m_Kept) {
    add(All, sum(Each));
    Count += Each.size();
  }
  const std::size_t Experts = All.size() / Sets;
  const auto AddSample = [&](const Choices &From, double Scale, double Weight) {
    for (std::size_t Set = 0; Set < Sets; ++Set) {
      ChoiceSample &Added = Samples[Set].emplace_back();
      Added.m_Weight = static_cast<float>(Weight);
      Added.m_Choices.reserve(Experts);
      for (std::size_t Which = 0; Which < Experts; ++Which)
        Added.m_Choices.push_back(
            static_cast<float>(From[Set * Experts + Which] * Scale));
    }
  };
  // A pass holds a few samples: the expected square of a sum of N independent
  // ones is N (N - 1) times the mean's square and N times the mean square.
  const double PerPass = m_Settings.m_SamplesPerPass;
  const auto Number = static_cast<double>(Count);
  AddSample(All, 1 / Number, PerPass * (PerPass - 1));
  for (const Turn &Each : m_Kept)
    for (const Choices &Sample : Each)
      AddSample(Sample, 1, PerPass / Number);
  return Samples;
}

} // namespace corneldeck::rankgroup

#include "Direct/RatioHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::direct {

namespace {

/// Returns the position of \p Ratio in bins; 0 is the upper end of the first
/// one.
double position(double Ratio) {
  return Ratio <= 1 ? 0 : std::log(Ratio) / std::log(RatioHistogram::BinFactor);
}

} // namespace

std::size_t RatioHistogram::binOf(double Ratio) {
  return std::min(Bins - 1,
                  static_cast<std::size_t>(std::ceil(position(Ratio))));
}

void RatioHistogram::add(const RatioHistogram &Other) {
  for (std::size_t Bin = 0; Bin < Bins; ++Bin)
    m_Weights[Bin] += Other.m_Weights[Bin];
}

void RatioHistogram::scale(double Factor) {
  for (double &Each : m_Weights)
    Each *= Factor;
}

double RatioHistogram::total() const {
  return std::accumulate(m_Weights.begin(), m_Weights.end(), 0.0);
}

double RatioHistogram::fractionAbove(double Ratio) const {
  const double Total = total();
  if (Total <= 0)
    return 0;
  const double Position = position(Ratio);
  const std::size_t Bin = binOf(Ratio);
  double Above =
      std::accumulate(m_Weights.begin() + static_cast<std::ptrdiff_t>(Bin) + 1,
                      m_Weights.end(), 0.0);
  // Values are taken as evenly distributed over their bin.
  if (Bin > 0)
    Above += m_Weights[Bin] *
             std::clamp(static_cast<double>(Bin) - Position, 0.0, 1.0);
  return Above / Total;
}

std::vector<std::uint32_t> RatioHistogram::encode() const {
  std::vector<std::uint32_t> Counts;
  for (const double Each : m_Weights)
    Counts.push_back(static_cast<std::uint32_t>(std::lround(Each * WireScale)));
  while (!Counts.empty() && Counts.back() == 0)
    Counts.pop_back();
  return Counts;
}

} // namespace corneldeck::direct

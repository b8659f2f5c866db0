#include "Direct/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::direct {

namespace {

/// Returns the duration in milliseconds of a pass with \p InFlight requests on
/// each rank and evenly loaded ranks.
double balancedPassMillis(const EngineProfile &Engine, double InFlight) {
  return std::max(1U, Engine.m_StepsPerPass) *
         (Engine.m_StepMillis + Engine.m_StepMillisPerRequest * InFlight);
}

/// A longer interval, as a multiple of a balanced pass, is a stall and is not
/// counted.
constexpr double MaxRatio = 6;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterSettings Settings)
    : m_Settings(Settings) {}

void ConcurrencyLimiter::recordInterval(const std::string &Service,
                                        const EngineProfile &Engine,
                                        base::Millis Interval,
                                        double InFlight) {
  const double BalancedMillis = balancedPassMillis(
      Engine, std::min<double>(InFlight, std::max(1U, Engine.m_Capacity)));
  if (BalancedMillis <= 0)
    return;
  const double Ratio = static_cast<double>(Interval.count()) / BalancedMillis;
  if (Ratio > MaxRatio)
    return;
  const auto [Found, IsNew] = m_LocalRatios.try_emplace(Service);
  PassTimeRatio &Of = Found->second;
  if (IsNew)
    Of.m_Mean = m_Settings.m_InitialRatio;
  const double Off = Ratio - Of.m_Mean;
  Of.m_Mean += m_Settings.m_SmoothingFactor * Off;
  Of.m_Variance += m_Settings.m_SmoothingFactor * (Off * Off - Of.m_Variance);
}

double ConcurrencyLimiter::limit(const std::string &Service,
                                 const EngineProfile &Engine,
                                 base::Millis TargetInterval) const {
  const double Capacity = std::max(1U, Engine.m_Capacity);
  if (TargetInterval <= base::Millis(0) || Engine.m_StepMillisPerRequest <= 0)
    return Capacity;
  double Mean = 0;
  double Variance = 0;
  double Seen = 0;
  const auto Add = [&](const PassTimeRatios &Of) {
    const auto Found = Of.find(Service);
    if (Found == Of.end())
      return;
    Mean += Found->second.m_Mean;
    Variance += Found->second.m_Variance;
    ++Seen;
  };
  Add(m_LocalRatios);
  for (const auto &[Peer, Of] : m_PeerRatios)
    Add(Of);
  const double ExpectedRatio =
      Seen > 0 ? Mean / Seen +
                     m_Settings.m_MarginDeviations * std::sqrt(Variance / Seen)
               : m_Settings.m_InitialRatio;
  const double Steps = std::max(1U, Engine.m_StepsPerPass);
  const double PerStep = m_Settings.m_TargetFraction *
                         static_cast<double>(TargetInterval.count()) /
                         (Steps * std::max(ExpectedRatio, 1.0));
  const double Requests =
      (PerStep - Engine.m_StepMillis) / Engine.m_StepMillisPerRequest;
  return std::clamp(Requests, m_Settings.m_MinUtilization * Capacity, Capacity);
}

void ConcurrencyLimiter::setPeerRatios(const std::string &Peer,
                                       PassTimeRatios Seen) {
  m_PeerRatios[Peer] = std::move(Seen);
}

void ConcurrencyLimiter::removePeer(const std::string &Peer) {
  m_PeerRatios.erase(Peer);
}

} // namespace corneldeck::direct

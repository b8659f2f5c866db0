#include "Direct/PauseGovernor.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::direct {

namespace {

/// \returns the milliseconds of a pass with \p InFlight requests on each of
/// evenly loaded ranks.
double evenPass(const EngineProfile &Engine, double InFlight) {
  return std::max(1U, Engine.m_StepsPerPass) *
         (Engine.m_StepMillis + Engine.m_StepMillisPerRequest * InFlight);
}

/// A pause beyond this many even passes is a stall, not a slow pass.
constexpr double LongestStretch = 6;

} // namespace

PauseGovernor::PauseGovernor(GovernorSettings Settings)
    : m_Settings(Settings) {}

void PauseGovernor::note(const std::string &Service,
                         const EngineProfile &Engine, base::Millis Pause,
                         double InFlight) {
  const double Even = evenPass(
      Engine, std::min<double>(InFlight, std::max(1U, Engine.m_Capacity)));
  if (Even <= 0)
    return;
  const double Ratio = static_cast<double>(Pause.count()) / Even;
  if (Ratio > LongestStretch)
    return;
  const auto [Found, IsNew] = m_Own.try_emplace(Service);
  Stretch &Of = Found->second;
  if (IsNew)
    Of.m_Mean = m_Settings.m_FirstStretch;
  const double Off = Ratio - Of.m_Mean;
  Of.m_Mean += m_Settings.m_Newest * Off;
  Of.m_Variance += m_Settings.m_Newest * (Off * Off - Of.m_Variance);
}

double PauseGovernor::limit(const std::string &Service,
                            const EngineProfile &Engine,
                            base::Millis Target) const {
  const double Capacity = std::max(1U, Engine.m_Capacity);
  if (Target <= base::Millis(0) || Engine.m_StepMillisPerRequest <= 0)
    return Capacity;
  double Mean = 0;
  double Variance = 0;
  double Seen = 0;
  const auto Add = [&](const Stretches &Of) {
    const auto Found = Of.find(Service);
    if (Found == Of.end())
      return;
    Mean += Found->second.m_Mean;
    Variance += Found->second.m_Variance;
    ++Seen;
  };
  Add(m_Own);
  for (const auto &[Peer, Of] : m_Peers)
    Add(Of);
  const double Stretched =
      Seen > 0
          ? Mean / Seen + m_Settings.m_Deviations * std::sqrt(Variance / Seen)
          : m_Settings.m_FirstStretch;
  const double Steps = std::max(1U, Engine.m_StepsPerPass);
  const double PerStep = m_Settings.m_TargetShare *
                         static_cast<double>(Target.count()) /
                         (Steps * std::max(Stretched, 1.0));
  const double Requests =
      (PerStep - Engine.m_StepMillis) / Engine.m_StepMillisPerRequest;
  return std::clamp(Requests, m_Settings.m_LeastFill * Capacity, Capacity);
}

void PauseGovernor::setPeer(const std::string &Peer, Stretches Seen) {
  m_Peers[Peer] = std::move(Seen);
}

void PauseGovernor::forgetPeer(const std::string &Peer) { m_Peers.erase(Peer); }

} // namespace corneldeck::direct

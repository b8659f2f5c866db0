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

void ConcurrencyLimiter::recordInterval(const RankGroup &Group,
                                        const EngineProfile &Engine,
                                        base::Millis Interval, double InFlight,
                                        base::Millis Now) {
  const double BalancedMillis = balancedPassMillis(
      Engine, std::min<double>(InFlight, std::max(1U, Engine.m_Capacity)));
  if (BalancedMillis <= 0)
    return;
  const double Ratio = static_cast<double>(Interval.count()) / BalancedMillis;
  if (Ratio > MaxRatio)
    return;
  const auto [Found, IsNew] = m_LocalRatios.try_emplace(Group);
  PassTimeRatio &Estimate = Found->second;
  if (IsNew) {
    // Until its groups were known, the service was measured as a whole.
    const auto Whole = m_LocalRatios.find({Group.m_Service});
    if (Whole != Found && Whole != m_LocalRatios.end())
      Estimate = Whole->second;
    else
      Estimate.m_Mean = m_Settings.m_InitialRatio;
  }
  m_UpdatedAt[Group] = Now;
  const double Deviation = Ratio - Estimate.m_Mean;
  Estimate.m_Mean += m_Settings.m_SmoothingFactor * Deviation;
  Estimate.m_Variance += m_Settings.m_SmoothingFactor *
                         (Deviation * Deviation - Estimate.m_Variance);
}

void ConcurrencyLimiter::Sum::add(const PassTimeRatio &Estimate) {
  m_Mean += Estimate.m_Entries * Estimate.m_Mean;
  m_Variance += Estimate.m_Entries * Estimate.m_Variance;
  m_Count += Estimate.m_Entries;
}

ConcurrencyLimiter::Sum
ConcurrencyLimiter::sumOf(const RankGroup &Group) const {
  Sum OfGroup;
  Sum OfService;
  const auto AddAll = [&](const PassTimeRatios &Ratios, bool IsLocal) {
    for (auto Each = Ratios.lower_bound({Group.m_Service});
         Each != Ratios.end() && Each->first.m_Service == Group.m_Service;
         ++Each) {
      OfService.add(Each->second);
      const std::string &Name = Each->first.m_Name;
      const bool IsOfWholeService = Name.empty() || Group.m_Name.empty();
      if (Name == Group.m_Name || (!IsLocal && IsOfWholeService))
        OfGroup.add(Each->second);
    }
  };
  AddAll(m_LocalRatios, true);
  for (const auto &[Peer, Ratios] : m_PeerRatios)
    AddAll(Ratios, false);
  return OfGroup.m_Count > 0 ? OfGroup : OfService;
}

double ConcurrencyLimiter::limit(const RankGroup &Group,
                                 const EngineProfile &Engine,
                                 base::Millis TargetInterval) const {
  const double Capacity = std::max(1U, Engine.m_Capacity);
  if (TargetInterval <= base::Millis(0) || Engine.m_StepMillisPerRequest <= 0)
    return Capacity;
  const Sum Known = sumOf(Group);
  const double ExpectedRatio =
      Known.m_Count > 0 ? Known.m_Mean / Known.m_Count +
                              m_Settings.m_MarginDeviations *
                                  std::sqrt(Known.m_Variance / Known.m_Count)
                        : m_Settings.m_InitialRatio;
  const double Steps = std::max(1U, Engine.m_StepsPerPass);
  const double PerStep = m_Settings.m_TargetFraction *
                         static_cast<double>(TargetInterval.count()) /
                         (Steps * std::max(ExpectedRatio, 1.0));
  const double Requests =
      (PerStep - Engine.m_StepMillis) / Engine.m_StepMillisPerRequest;
  return std::clamp(Requests, m_Settings.m_MinUtilization * Capacity, Capacity);
}

double ConcurrencyLimiter::passMillis(const RankGroup &Group,
                                      const EngineProfile &Engine,
                                      double InFlight) const {
  const Sum Known = sumOf(Group);
  const double Ratio = Known.m_Count > 0 ? Known.m_Mean / Known.m_Count
                                         : m_Settings.m_InitialRatio;
  return Ratio * balancedPassMillis(Engine, InFlight);
}

void ConcurrencyLimiter::discardUnused(base::Millis Now) {
  std::map<std::string, base::Millis, std::less<>> LastOfService;
  for (const auto &[Group, UpdatedAt] : m_UpdatedAt)
    LastOfService[Group.m_Service] =
        std::max(LastOfService[Group.m_Service], UpdatedAt);
  std::erase_if(m_UpdatedAt, [&](const auto &Each) {
    const bool IsUnused = Now - Each.second > m_Settings.m_EstimateLifetime &&
                          Now - LastOfService[Each.first.m_Service] <=
                              m_Settings.m_EstimateLifetime;
    if (IsUnused)
      m_LocalRatios.erase(Each.first);
    return IsUnused;
  });
}

void ConcurrencyLimiter::setPeerRatios(const std::string &Peer,
                                       PassTimeRatios Ratios) {
  m_PeerRatios[Peer] = std::move(Ratios);
}

void ConcurrencyLimiter::removePeer(const std::string &Peer) {
  m_PeerRatios.erase(Peer);
}

void ConcurrencyLimiter::keepOnlyPeer(const std::string &Peer) {
  std::erase_if(m_PeerRatios,
                [&Peer](const auto &Each) { return Each.first != Peer; });
}

} // namespace corneldeck::direct

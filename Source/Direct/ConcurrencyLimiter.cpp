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
/// Number of steps in which limits are compared; a step is a quarter of a
/// request for an engine of 10 requests.
constexpr int LimitSteps = 20;

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterSettings Settings)
    : m_Settings(Settings) {}

double ConcurrencyLimiter::recordInterval(const RankGroup &Group,
                                          const EngineProfile &Engine,
                                          base::Millis Interval,
                                          double InFlight, base::Millis Now) {
  const double BalancedMillis = balancedPassMillis(
      Engine, std::min<double>(InFlight, std::max(1U, Engine.m_Capacity)));
  if (BalancedMillis <= 0)
    return 0;
  const double Ratio = static_cast<double>(Interval.count()) / BalancedMillis;
  if (Ratio > MaxRatio)
    return 0;
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
  if (m_Settings.m_Estimate == PassTimeEstimate::Distribution)
    Estimate.m_Recent.add(Ratio);
  const double Deviation = Ratio - Estimate.m_Mean;
  Estimate.m_Mean += m_Settings.m_SmoothingFactor * Deviation;
  Estimate.m_Variance += m_Settings.m_SmoothingFactor *
                         (Deviation * Deviation - Estimate.m_Variance);
  return Ratio;
}

void ConcurrencyLimiter::recordStream(const RankGroup &Group,
                                      double LargestRatio) {
  if (const auto Found = m_LocalRatios.find(Group);
      m_Settings.m_Estimate == PassTimeEstimate::Distribution &&
      Found != m_LocalRatios.end() && LargestRatio > 0)
    Found->second.m_Streams.add(LargestRatio);
}

void ConcurrencyLimiter::Sum::add(const PassTimeRatio &Estimate) {
  m_Mean += Estimate.m_Entries * Estimate.m_Mean;
  m_Variance += Estimate.m_Entries * Estimate.m_Variance;
  m_Count += Estimate.m_Entries;
  m_Recent.add(Estimate.m_Recent);
  m_Streams.add(Estimate.m_Streams);
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
  return usesDistribution(Known) ? bestLimit(Known, Engine, TargetInterval)
                                 : smoothedLimit(Known, Engine, TargetInterval);
}

bool ConcurrencyLimiter::usesDistribution(const Sum &Known) const {
  return m_Settings.m_Estimate == PassTimeEstimate::Distribution &&
         Known.m_Recent.total() >= m_Settings.m_MinIntervals;
}

double ConcurrencyLimiter::bestLimit(const Sum &Known,
                                     const EngineProfile &Engine,
                                     base::Millis TargetInterval) const {
  const double Capacity = std::max(1U, Engine.m_Capacity);
  const double Target =
      m_Settings.m_TargetFraction * static_cast<double>(TargetInterval.count());
  const double Step = (1 - m_Settings.m_MinUtilization) * Capacity / LimitSteps;
  double Best = Capacity;
  double MostInTime = 0;
  for (int Index = 0; Index <= LimitSteps; ++Index) {
    const double Limit = Capacity - Index * Step;
    const double Longest = Target / balancedPassMillis(Engine, Limit);
    double Late = Known.m_Recent.fractionAbove(Longest);
    if (Known.m_Streams.total() >= m_Settings.m_MinStreams)
      Late = std::max(Late, Known.m_Streams.fractionAbove(Longest));
    const double InTime =
        std::pow(Limit, m_Settings.m_LimitExponent) * (1 - Late);
    if (InTime <= MostInTime)
      continue;
    MostInTime = InTime;
    Best = Limit;
  }
  return Best;
}

double ConcurrencyLimiter::smoothedLimit(const Sum &Known,
                                         const EngineProfile &Engine,
                                         base::Millis TargetInterval) const {
  const double Capacity = std::max(1U, Engine.m_Capacity);
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
  // Not the recent mean: groups would be overloaded in turn, each just before
  // its experts shift.
  const double Ratio = Known.m_Count > 0 ? Known.m_Mean / Known.m_Count
                                         : m_Settings.m_InitialRatio;
  return Ratio * balancedPassMillis(Engine, InFlight);
}

void ConcurrencyLimiter::advance(base::Millis Now) {
  const auto Elapsed = static_cast<double>((Now - m_DecayedAt).count());
  const auto Remaining = [Elapsed](base::Millis Time) {
    return std::exp(-Elapsed / static_cast<double>(Time.count()));
  };
  m_DecayedAt = Now;
  for (auto &[Group, Each] : m_LocalRatios) {
    Each.m_Recent.scale(Remaining(m_Settings.m_IntervalTime));
    Each.m_Streams.scale(Remaining(m_Settings.m_StreamTime));
  }
  discardUnused(Now);
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

#include "Fakes/RateLimitOracle.h"

#include <algorithm>
#include <limits>

namespace corneldeck::fakes {

namespace {

constexpr base::Millis Unending(std::numeric_limits<std::int64_t>::max());
constexpr double MillisPerSecond = 1000;

} // namespace

void RateLimitOracle::limitNamed(base::Millis Now, double PerSecond) {
  Period Added{Now, Unending, PerSecond, Now};
  if (!m_Periods.empty() && m_Periods.back().m_End == Unending) {
    m_Periods.back().m_End = Now;
    Added.m_FirstNamedAt = m_Periods.back().m_FirstNamedAt;
  }
  m_Periods.push_back(Added);
}

void RateLimitOracle::limitEnded(base::Millis Now) {
  if (!m_Periods.empty())
    m_Periods.back().m_End = std::min(m_Periods.back().m_End, Now);
  m_InformedAt.clear();
}

void RateLimitOracle::requestArrived(base::Millis Now,
                                     const std::string &Entry) {
  m_Arrivals.push_back({Now, Entry});
}

void RateLimitOracle::limitForwarded(base::Millis Now,
                                     const std::string &Entry) {
  m_InformedAt.try_emplace(Entry, Now);
}

double RateLimitOracle::allowedRequests(base::Millis Begin, base::Millis End,
                                        base::Millis LoweringTime) const {
  const auto Requests = [](const Period &In, base::Millis From,
                           base::Millis To) {
    return In.m_PerSecond *
           static_cast<double>(std::max((To - From).count(), std::int64_t{0})) /
           MillisPerSecond;
  };
  double Sum = 0;
  for (std::size_t Index = 0; Index < m_Periods.size(); ++Index) {
    const Period &Each = m_Periods[Index];
    const base::Millis From = std::max(Begin, Each.m_Begin);
    const base::Millis To = std::min(End, Each.m_End);
    Sum += Requests(Each, From, To);
    const bool IsLowered = Index > 0 &&
                           m_Periods[Index - 1].m_End == Each.m_Begin &&
                           m_Periods[Index - 1].m_PerSecond > Each.m_PerSecond;
    if (!IsLowered)
      continue;
    const base::Millis LoweredAt = std::min(To, Each.m_Begin + LoweringTime);
    Sum += Requests(m_Periods[Index - 1], From, LoweredAt) -
           Requests(Each, From, LoweredAt);
  }
  return Sum;
}

bool RateLimitOracle::isLimited(base::Millis Begin, base::Millis End,
                                base::Millis SettlingTime) const {
  return std::any_of(
      m_Periods.begin(), m_Periods.end(), [&](const Period &Each) {
        // Periods without a break have the same m_FirstNamedAt.
        const bool ContainsEnd = Each.m_Begin <= End && End <= Each.m_End;
        return ContainsEnd && Each.m_FirstNamedAt + SettlingTime <= Begin;
      });
}

bool RateLimitOracle::isCounted(const Arrival &Each,
                                const RateLimitBound &Bound) const {
  if (!Bound.m_InformedEntriesOnly)
    return true;
  const auto Informed = m_InformedAt.find(Each.m_Entry);
  return Informed != m_InformedAt.end() &&
         Informed->second + Bound.m_NoticePeriod <= Each.m_At;
}

RateLimitOracle::WorstWindow
RateLimitOracle::worstWindow(const RateLimitBound &Bound) const {
  WorstWindow Worst;
  std::vector<base::Millis> Counted;
  for (const Arrival &Each : m_Arrivals)
    if (isCounted(Each, Bound))
      Counted.push_back(Each.m_At);
  std::sort(Counted.begin(), Counted.end());
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Counted.size(); ++Last) {
    const base::Millis End = Counted[Last];
    const base::Millis Begin = End - Bound.m_Window;
    while (Counted[First] < Begin)
      ++First;
    if (!isLimited(Begin, End, Bound.m_SettlingTime))
      continue;
    const WorstWindow Window{
        End, static_cast<double>(Last - First + 1),
        Bound.m_Factor * allowedRequests(Begin, End, Bound.m_LoweringTime) +
            Bound.m_Extra};
    if (Window.ratio() > Worst.ratio())
      Worst = Window;
  }
  return Worst;
}

double RateLimitOracle::usedRatio(base::Millis Begin, base::Millis End) const {
  const auto Count = std::count_if(
      m_Arrivals.begin(), m_Arrivals.end(), [&](const Arrival &Each) {
        return Begin <= Each.m_At && Each.m_At < End;
      });
  const double Allowed = allowedRequests(Begin, End, base::Millis(0));
  return Allowed > 0 ? static_cast<double>(Count) / Allowed : 0;
}

} // namespace corneldeck::fakes

#include "Feed/SourceSelector.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace corneldeck::feed {

using base::Millis;

SourceSelector::SourceSelector(SourceSelectorSettings Settings,
                               std::string Zone, std::uint64_t Seed)
    : m_Settings(Settings), m_Zone(std::move(Zone)), m_Rng(Seed) {}

void SourceSelector::announced(Millis Now, const FeedSource &Source,
                               LogPosition Position) {
  State &Entry = m_Sources[Source.m_Node];
  if (Entry.m_Source.m_Address != Source.m_Address)
    Entry = {};
  Entry.m_Source = Source;
  Entry.m_Position = Position;
  Entry.m_HeardAt = Now;
  if (Position <= m_Newest)
    return;
  const bool IsCurrent = m_Own && *m_Own >= m_Newest;
  m_Newest = Position;
  // A node that is already behind does not wait again for each newer state.
  if (!IsCurrent)
    return;
  const Millis Spread = std::min(
      m_Settings.m_MaxSpread,
      m_Settings.m_SpreadPerNode * static_cast<std::int64_t>(m_Sources.size()));
  m_StartAt = Now + Millis(static_cast<std::int64_t>(m_Rng.below(
                        static_cast<std::uint64_t>(Spread.count()) + 1)));
}

void SourceSelector::removeSource(const std::string &Node) {
  m_Sources.erase(Node);
}

bool SourceSelector::isAhead(Millis Now, const State &Each) const {
  return (!m_Own || Each.m_Position > *m_Own) &&
         Now - Each.m_HeardAt <= m_Settings.m_MaxAge;
}

std::optional<LogPosition> SourceSelector::bestPosition(Millis Now) const {
  std::optional<LogPosition> Best;
  for (const auto &[Node, Each] : m_Sources)
    if (isAhead(Now, Each) && (Each.m_Failures == 0 || Each.m_NotBefore <= Now))
      Best = std::max(Best.value_or(LogPosition()), Each.m_Position);
  return Best;
}

std::optional<FeedSource> SourceSelector::startTransfer(Millis Now) {
  if (m_Active || Now < m_StartAt)
    return std::nullopt;
  const std::optional<LogPosition> Newest = bestPosition(Now);
  std::vector<const State *> Near;
  std::vector<const State *> Far;
  for (const auto &[Node, Each] : m_Sources)
    if (isAhead(Now, Each) && Each.m_Position == Newest &&
        Each.m_NotBefore <= Now)
      (Each.m_Source.m_Zone == m_Zone ? Near : Far).push_back(&Each);
  const std::vector<const State *> &Best = Near.empty() ? Far : Near;
  if (Best.empty())
    return std::nullopt;
  const FeedSource &Chosen = Best[m_Rng.below(Best.size())]->m_Source;
  m_Active = Chosen.m_Node;
  return Chosen;
}

void SourceSelector::transferEnded(Millis Now, TransferEnd End) {
  const auto Found = m_Sources.find(m_Active.value_or(std::string()));
  m_Active.reset();
  if (Found == m_Sources.end())
    return;
  State &Source = Found->second;
  switch (End) {
  case TransferEnd::Complete:
    Source.m_Failures = 0;
    // The response had what the source has now.
    Source.m_NotBefore = Now + m_Settings.m_MinBusyTime;
    return;
  case TransferEnd::Busy: {
    const Millis Range = m_Settings.m_MaxBusyTime - m_Settings.m_MinBusyTime;
    Source.m_NotBefore = Now + m_Settings.m_MinBusyTime +
                         Millis(static_cast<std::int64_t>(m_Rng.below(
                             static_cast<std::uint64_t>(Range.count()) + 1)));
    return;
  }
  case TransferEnd::Failed: {
    constexpr unsigned MaxDoublings = 8;
    const Millis Backoff =
        m_Settings.m_FailureBackoff *
        (std::int64_t{1} << std::min(Source.m_Failures, MaxDoublings));
    ++Source.m_Failures;
    Source.m_NotBefore =
        Now + std::min(Backoff, m_Settings.m_MaxFailureBackoff);
    return;
  }
  }
}

std::optional<Millis> SourceSelector::nextDue(Millis Now) const {
  if (m_Active)
    return std::nullopt;
  const std::optional<LogPosition> Newest = bestPosition(Now);
  std::optional<Millis> Due;
  for (const auto &[Node, Each] : m_Sources) {
    if (!isAhead(Now, Each) || (Newest && Each.m_Position != *Newest))
      continue;
    const Millis At = std::max({Now, m_StartAt, Each.m_NotBefore});
    Due = Due ? std::min(*Due, At) : At;
  }
  return Due;
}

} // namespace corneldeck::feed

#include "Routing/ReplicaChooser.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneldeck::routing {
namespace {

/// How far an answer longer than most lies above the mean.
constexpr double LongDeviations = 2;
/// A block that more than this part of the replicas holds needs no home.
constexpr std::size_t CommonDivisor = 4;
/// Keeps the backoff's doubling in range.
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

ReplicaChooser::ReplicaChooser(const ChooserSettings &Settings,
                               std::string Zone, std::uint64_t Seed)
    : m_Settings(Settings), m_Zone(std::move(Zone)), m_Random(Seed),
      m_Prefixes(Settings.m_Prefix) {}

void ReplicaChooser::setReplicas(std::span<const ReplicaInfo> Replicas) {
  std::map<std::string, Replica> Kept;
  for (const ReplicaInfo &Info : Replicas) {
    auto Known = m_Replicas.extract(Info.m_Name);
    if (Known.empty()) {
      Kept.emplace(Info.m_Name,
                   Replica{Info.m_Zone, true, ReplicaLoad(m_Settings.m_Load)});
      continue;
    }
    Known.mapped().m_Zone = Info.m_Zone;
    Kept.insert(std::move(Known));
  }
  for (const auto &[Name, Gone] : m_Replicas)
    m_Prefixes.removeReplica(Name);
  m_Replicas = std::move(Kept);
}

void ReplicaChooser::onReport(base::Millis Now, const std::string &Name,
                              const ReplicaReport &Report) {
  const auto Found = m_Replicas.find(Name);
  if (Found != m_Replicas.end())
    Found->second.m_Load.onReport(Now, Report);
}

void ReplicaChooser::onCacheEvents(base::Millis Now, const std::string &Name,
                                   std::uint64_t FirstSequence,
                                   std::span<const std::uint64_t> Added,
                                   std::span<const std::uint64_t> Evicted) {
  if (m_Replicas.contains(Name))
    m_Prefixes.onCacheEvents(Now, Name, FirstSequence, Added, Evicted);
}

void ReplicaChooser::setReachable(const std::string &Name, bool Reachable) {
  const auto Found = m_Replicas.find(Name);
  if (Found == m_Replicas.end())
    return;
  Found->second.m_Reachable = Reachable;
  if (!Reachable)
    m_Prefixes.removeReplica(Name);
}

bool ReplicaChooser::isOpen(base::Millis Now, const Replica &Of) {
  const ReplicaReport &Last = Of.m_Load.lastReport();
  return Of.m_Reachable && !Last.m_Draining && !Last.m_OutOfService &&
         Now >= Of.m_OpenAgainAt;
}

std::uint32_t ReplicaChooser::outputTokens(const ChoiceQuery &Query) const {
  return Query.m_OutputTokens > 0
             ? Query.m_OutputTokens
             : static_cast<std::uint32_t>(m_MeanOutputTokens);
}

ServiceLoad ReplicaChooser::serviceLoad(base::Millis Now) const {
  double Reported = 0;
  double Own = 0;
  double Open = 0;
  for (const auto &[Name, Of] : m_Replicas) {
    if (!isOpen(Now, Of))
      continue;
    Open += 1;
    Reported += Of.m_Load.estimatedSequences();
    Own += static_cast<double>(Of.m_Load.ownAttempts());
  }
  return {m_MeanOutputTokens, std::max(Reported / std::max(Own, 1.0), 1.0),
          Own / std::max(Open, 1.0)};
}

ReplicaChooser::Candidate
ReplicaChooser::weigh(base::Millis Now, const std::string &Name,
                      const Replica &Of, const AttemptSize &Size,
                      const ServiceLoad &Service) const {
  Candidate Item;
  Item.m_Name = Name;
  Item.m_Size = Size;
  Item.m_Prediction = Of.m_Load.predict(Now, Size, Service);
  const auto Others =
      static_cast<double>(Item.m_Prediction.m_CostToOthers.count());
  Item.m_Cost = static_cast<double>(Item.m_Prediction.m_Completion.count()) +
                m_Settings.m_CostToOthersWeight * Others;
  if (Of.m_Zone != m_Zone)
    Item.m_Cost += static_cast<double>(m_Settings.m_CrossZoneCost.count());
  const base::Millis Age = Now - Of.m_Load.reportedAt();
  if (Of.m_Load.hasReport() && Age > m_Settings.m_MaxReportAge)
    Item.m_Cost += static_cast<double>(m_Settings.m_MaxReportAge.count());
  return Item;
}

std::vector<ReplicaChooser::Candidate>
ReplicaChooser::candidates(base::Millis Now, const ChoiceQuery &Query) const {
  std::map<std::string, std::size_t> Found;
  if (Query.m_CachedPrefixLengths == nullptr)
    Found = m_Prefixes.cachedPrefixLengths(Now, Query.m_PrefixBlocks);
  const auto &Runs =
      Query.m_CachedPrefixLengths ? *Query.m_CachedPrefixLengths : Found;
  const std::string Home = homeOf(Now, Query.m_PrefixBlocks, Runs);
  const auto HomeCost =
      static_cast<double>(m_Settings.m_NonPreferredCost.count());
  const ServiceLoad Service = serviceLoad(Now);
  std::vector<Candidate> All;
  for (const auto &[Name, Of] : m_Replicas) {
    if (!isOpen(Now, Of) || Query.m_Excluded.contains(Name))
      continue;
    const auto Run = Runs.find(Name);
    const std::size_t Blocks = Run == Runs.end() ? 0 : Run->second;
    const AttemptSize Size{
        Query.m_PromptTokens,
        static_cast<std::uint32_t>(Blocks * m_Settings.m_BlockTokens),
        outputTokens(Query)};
    All.push_back(weigh(Now, Name, Of, Size, Service));
    if (!Home.empty() && Name != Home)
      All.back().m_Cost += HomeCost;
  }
  return All;
}

const ReplicaChooser::Candidate &
ReplicaChooser::draw(const std::vector<Candidate> &From) {
  double Best = From.front().m_Cost;
  for (const Candidate &Each : From)
    Best = std::min(Best, Each.m_Cost);
  const double Limit =
      Best * (1 + m_Settings.m_TieRelativeMargin) +
      static_cast<double>(m_Settings.m_TieAbsoluteMargin.count());
  std::vector<const Candidate *> Close;
  for (const Candidate &Each : From)
    if (Each.m_Cost <= Limit)
      Close.push_back(&Each);
  return *Close[m_Random.below(Close.size())];
}

/// \returns the replica that all entries prefer for a prompt, by rendezvous
/// hashing of its first block that few replicas hold; empty if there is none.
std::string
ReplicaChooser::homeOf(base::Millis Now, std::span<const std::uint64_t> Blocks,
                       const std::map<std::string, std::size_t> &Runs) const {
  std::vector<std::size_t> Lengths;
  Lengths.reserve(Runs.size());
  for (const auto &[Name, Run] : Runs)
    Lengths.push_back(Run);
  std::sort(Lengths.rbegin(), Lengths.rend());
  const std::size_t Few = m_Replicas.size() / CommonDivisor;
  const std::size_t Common = Lengths.size() > Few ? Lengths[Few] : 0;
  if (Common >= Blocks.size())
    return {};
  std::string Best;
  std::uint64_t Highest = 0;
  for (const auto &[Name, Of] : m_Replicas) {
    const std::uint64_t Rank = base::hash64(Name, Blocks[Common]);
    if (!isOpen(Now, Of) || Rank < Highest)
      continue;
    Highest = Rank;
    Best = Name;
  }
  return Best;
}

bool ReplicaChooser::anyHasCapacity(base::Millis Now) const {
  const ServiceLoad Service = serviceLoad(Now);
  return std::any_of(
      m_Replicas.begin(), m_Replicas.end(), [&](const auto &Item) {
        const Replica &Of = Item.second;
        return isOpen(Now, Of) &&
               Of.m_Load.predictWait(Service) <= m_Settings.m_MaxReplicaWait;
      });
}

bool ReplicaChooser::hasRoom(const Candidate &Of) const {
  return Of.m_Prediction.m_Wait <= m_Settings.m_MaxReplicaWait;
}

Choice ReplicaChooser::choose(base::Millis Now, const ChoiceQuery &Query,
                              WaitPolicy Until) {
  std::vector<Candidate> All = candidates(Now, Query);
  if (All.empty())
    return {};
  if (Until == WaitPolicy::AnyReplica)
    std::erase_if(All,
                  [this](const Candidate &Each) { return !hasRoom(Each); });
  if (All.empty())
    return {ChoiceKind::Busy, {}, {}, {}};
  const Candidate &Drawn = draw(All);
  if (Until == WaitPolicy::BestReplica && !hasRoom(Drawn))
    return {ChoiceKind::Busy, {}, {}, {}};
  return {ChoiceKind::Chosen, Drawn.m_Name, Drawn.m_Size, Drawn.m_Prediction};
}

void ReplicaChooser::onAttemptSent(
    base::Millis Now, const std::string &Attempt, const Choice &Where,
    std::span<const std::uint64_t> PrefixBlocks) {
  const auto Found = m_Replicas.find(Where.m_Replica);
  if (Found == m_Replicas.end())
    return;
  Found->second.m_Load.onAttemptSent(Now, Attempt, Where.m_Size);
  m_Attempts[Attempt] = Where.m_Replica;
  m_Prefixes.onRequestSent(Now, Where.m_Replica, PrefixBlocks);
}

void ReplicaChooser::onFirstToken(const std::string &Attempt) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  const auto Replica = m_Replicas.find(Found->second);
  if (Replica != m_Replicas.end())
    Replica->second.m_Load.onFirstToken(Attempt);
}

void ReplicaChooser::onAttemptEnded(base::Millis Now,
                                    const std::string &Attempt,
                                    std::uint32_t OutputTokens) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  const auto Replica = m_Replicas.find(Found->second);
  if (Replica != m_Replicas.end())
    Replica->second.m_Load.onAttemptEnded(Now, Attempt);
  m_Attempts.erase(Found);
  if (OutputTokens == 0)
    return;
  if (Replica != m_Replicas.end())
    Replica->second.m_Failures = 0;
  const double Off = OutputTokens - m_MeanOutputTokens;
  m_MeanOutputTokens += m_Settings.m_OutputAverageWeight * Off;
  m_OutputVariance +=
      m_Settings.m_OutputAverageWeight * (Off * Off - m_OutputVariance);
}

void ReplicaChooser::onAttemptFailed(base::Millis Now,
                                     const std::string &Attempt) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  const auto Item = m_Replicas.find(Found->second);
  onAttemptEnded(Now, Attempt, 0);
  if (Item == m_Replicas.end())
    return;
  Replica &Of = Item->second;
  ++Of.m_Failures;
  if (Of.m_Failures < m_Settings.m_FailureThreshold)
    return;
  const std::uint32_t Doublings =
      std::min(Of.m_Failures - m_Settings.m_FailureThreshold, MaxDoublings);
  const base::Millis Backoff =
      m_Settings.m_InitialBackoff * (std::int64_t{1} << Doublings);
  Of.m_OpenAgainAt = Now + std::min(Backoff, m_Settings.m_MaxBackoff);
}

base::Millis ReplicaChooser::predictRunTime(base::Millis Now,
                                            const ChoiceQuery &Query) const {
  ChoiceQuery Long = Query;
  if (Query.m_OutputTokens == 0)
    Long.m_OutputTokens = static_cast<std::uint32_t>(
        m_MeanOutputTokens + LongDeviations * std::sqrt(m_OutputVariance));
  base::Millis Best{};
  bool Any = false;
  for (const Candidate &Each : candidates(Now, Long)) {
    const base::Millis Span =
        Each.m_Prediction.m_Completion - Each.m_Prediction.m_Wait;
    Best = Any ? std::min(Best, Span) : Span;
    Any = true;
  }
  return Best;
}

} // namespace corneldeck::routing

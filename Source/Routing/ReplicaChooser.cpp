#include "Routing/ReplicaChooser.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneldeck::routing {
namespace {

/// Standard deviations above the mean at which an answer counts as long.
constexpr double LongAnswerDeviations = 2;
/// A block held by more than 1/CommonBlockDivisor of the replicas needs no
/// preferred replica.
constexpr std::size_t CommonBlockDivisor = 4;
/// Prevents overflow of the backoff.
constexpr std::uint32_t MaxBackoffDoublings = 16;

} // namespace

ReplicaChooser::ReplicaChooser(const ChooserSettings &Settings,
                               std::string Zone, std::uint64_t Seed)
    : m_Settings(Settings), m_Zone(std::move(Zone)), m_Random(Seed),
      m_Prefixes(Settings.m_Prefix) {}

void ReplicaChooser::setReplicas(std::span<const ReplicaInfo> Replicas) {
  std::map<std::string, ReplicaState> Kept;
  for (const ReplicaInfo &Info : Replicas) {
    auto Known = m_Replicas.extract(Info.m_Name);
    if (Known.empty()) {
      Kept.emplace(Info.m_Name, ReplicaState{Info.m_Zone, true,
                                             ReplicaLoad(m_Settings.m_Load)});
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

bool ReplicaChooser::isEligible(base::Millis Now, const ReplicaState &State) {
  const ReplicaReport &Last = State.m_Load.lastReport();
  return State.m_Reachable && !Last.m_Draining && !Last.m_OutOfService &&
         Now >= State.m_BackoffUntil;
}

std::uint32_t ReplicaChooser::outputTokens(const ChoiceQuery &Query) const {
  return Query.m_OutputTokens > 0
             ? Query.m_OutputTokens
             : static_cast<std::uint32_t>(m_MeanOutputTokens);
}

ServiceLoad ReplicaChooser::serviceLoad(base::Millis Now) const {
  double Reported = 0;
  double OwnAttempts = 0;
  double Eligible = 0;
  for (const auto &[Name, State] : m_Replicas) {
    if (!isEligible(Now, State))
      continue;
    Eligible += 1;
    Reported += State.m_Load.estimatedSequences();
    OwnAttempts += static_cast<double>(State.m_Load.ownAttempts());
  }
  return {m_MeanOutputTokens,
          std::max(Reported / std::max(OwnAttempts, 1.0), 1.0),
          OwnAttempts / std::max(Eligible, 1.0)};
}

ReplicaChooser::Candidate
ReplicaChooser::evaluate(base::Millis Now, const std::string &Name,
                         const ReplicaState &State, const AttemptSize &Size,
                         const ServiceLoad &Service) const {
  Candidate Item;
  Item.m_Name = Name;
  Item.m_Size = Size;
  Item.m_Prediction = State.m_Load.predict(Now, Size, Service);
  const auto Others =
      static_cast<double>(Item.m_Prediction.m_CostToOthers.count());
  Item.m_Cost = static_cast<double>(Item.m_Prediction.m_Completion.count()) +
                m_Settings.m_CostToOthersWeight * Others;
  if (State.m_Zone != m_Zone)
    Item.m_Cost += static_cast<double>(m_Settings.m_CrossZoneCost.count());
  const base::Millis Age = Now - State.m_Load.reportedAt();
  if (State.m_Load.hasReport() && Age > m_Settings.m_MaxReportAge)
    Item.m_Cost += static_cast<double>(m_Settings.m_MaxReportAge.count());
  return Item;
}

std::vector<ReplicaChooser::Candidate>
ReplicaChooser::candidates(base::Millis Now, const ChoiceQuery &Query) const {
  std::map<std::string, std::size_t> Found;
  if (Query.m_CachedPrefixLengths == nullptr)
    Found = m_Prefixes.cachedPrefixLengths(Now, Query.m_PrefixBlocks);
  const auto &PrefixLengths =
      Query.m_CachedPrefixLengths ? *Query.m_CachedPrefixLengths : Found;
  const std::string Preferred =
      preferredReplica(Now, Query.m_PrefixBlocks, PrefixLengths);
  const auto NonPreferredCost =
      static_cast<double>(m_Settings.m_NonPreferredCost.count());
  const ServiceLoad Service = serviceLoad(Now);
  std::vector<Candidate> All;
  for (const auto &[Name, State] : m_Replicas) {
    if (!isEligible(Now, State) || Query.m_Excluded.contains(Name))
      continue;
    const auto Length = PrefixLengths.find(Name);
    const std::size_t Blocks =
        Length == PrefixLengths.end() ? 0 : Length->second;
    const AttemptSize Size{
        Query.m_PromptTokens,
        static_cast<std::uint32_t>(Blocks * m_Settings.m_BlockTokens),
        outputTokens(Query)};
    All.push_back(evaluate(Now, Name, State, Size, Service));
    if (!Preferred.empty() && Name != Preferred)
      All.back().m_Cost += NonPreferredCost;
  }
  return All;
}

const ReplicaChooser::Candidate &
ReplicaChooser::drawNearBest(const std::vector<Candidate> &From) {
  double Best = From.front().m_Cost;
  for (const Candidate &Each : From)
    Best = std::min(Best, Each.m_Cost);
  const double Limit =
      Best * (1 + m_Settings.m_TieRelativeMargin) +
      static_cast<double>(m_Settings.m_TieAbsoluteMargin.count());
  std::vector<const Candidate *> NearBest;
  for (const Candidate &Each : From)
    if (Each.m_Cost <= Limit)
      NearBest.push_back(&Each);
  return *NearBest[m_Random.below(NearBest.size())];
}

/// \returns the replica that all entries prefer for a prompt, by rendezvous
/// hashing of the first block that few replicas hold; empty if there is no such
/// block.
std::string ReplicaChooser::preferredReplica(
    base::Millis Now, std::span<const std::uint64_t> Blocks,
    const std::map<std::string, std::size_t> &PrefixLengths) const {
  std::vector<std::size_t> Lengths;
  Lengths.reserve(PrefixLengths.size());
  for (const auto &[Name, Length] : PrefixLengths)
    Lengths.push_back(Length);
  std::sort(Lengths.rbegin(), Lengths.rend());
  const std::size_t MaxHolders = m_Replicas.size() / CommonBlockDivisor;
  const std::size_t FirstRare =
      Lengths.size() > MaxHolders ? Lengths[MaxHolders] : 0;
  if (FirstRare >= Blocks.size())
    return {};
  std::string Best;
  std::uint64_t HighestHash = 0;
  for (const auto &[Name, State] : m_Replicas) {
    const std::uint64_t Hash = base::hash64(Name, Blocks[FirstRare]);
    if (!isEligible(Now, State) || Hash < HighestHash)
      continue;
    HighestHash = Hash;
    Best = Name;
  }
  return Best;
}

bool ReplicaChooser::anyHasCapacity(base::Millis Now) const {
  const ServiceLoad Service = serviceLoad(Now);
  return std::any_of(
      m_Replicas.begin(), m_Replicas.end(), [&](const auto &Item) {
        const ReplicaState &State = Item.second;
        return isEligible(Now, State) &&
               State.m_Load.predictWait(Service) <= m_Settings.m_MaxReplicaWait;
      });
}

bool ReplicaChooser::hasCapacity(const Candidate &Item) const {
  return Item.m_Prediction.m_Wait <= m_Settings.m_MaxReplicaWait;
}

Choice ReplicaChooser::choose(base::Millis Now, const ChoiceQuery &Query,
                              WaitPolicy Policy) {
  std::vector<Candidate> All = candidates(Now, Query);
  if (All.empty())
    return {};
  if (Policy == WaitPolicy::AnyReplica)
    std::erase_if(All,
                  [this](const Candidate &Each) { return !hasCapacity(Each); });
  if (All.empty())
    return {ChoiceKind::Busy, {}, {}, {}};
  const Candidate &Selected = drawNearBest(All);
  if (Policy == WaitPolicy::BestReplica && !hasCapacity(Selected))
    return {ChoiceKind::Busy, {}, {}, {}};
  return {ChoiceKind::Chosen, Selected.m_Name, Selected.m_Size,
          Selected.m_Prediction};
}

void ReplicaChooser::onAttemptSent(
    base::Millis Now, const std::string &Attempt, const Choice &Chosen,
    std::span<const std::uint64_t> PrefixBlocks) {
  const auto Found = m_Replicas.find(Chosen.m_Replica);
  if (Found == m_Replicas.end())
    return;
  Found->second.m_Load.onAttemptSent(Now, Attempt, Chosen.m_Size);
  m_Attempts[Attempt] = Chosen.m_Replica;
  m_Prefixes.onRequestSent(Now, Chosen.m_Replica, PrefixBlocks);
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
    Replica->second.m_ConsecutiveFailures = 0;
  const double Deviation = OutputTokens - m_MeanOutputTokens;
  m_MeanOutputTokens += m_Settings.m_OutputAverageWeight * Deviation;
  m_OutputTokensVariance += m_Settings.m_OutputAverageWeight *
                            (Deviation * Deviation - m_OutputTokensVariance);
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
  ReplicaState &State = Item->second;
  ++State.m_ConsecutiveFailures;
  if (State.m_ConsecutiveFailures < m_Settings.m_FailureThreshold)
    return;
  const std::uint32_t DoublingCount =
      std::min(State.m_ConsecutiveFailures - m_Settings.m_FailureThreshold,
               MaxBackoffDoublings);
  const base::Millis Backoff =
      m_Settings.m_InitialBackoff * (std::int64_t{1} << DoublingCount);
  State.m_BackoffUntil = Now + std::min(Backoff, m_Settings.m_MaxBackoff);
}

base::Millis ReplicaChooser::predictRunTime(base::Millis Now,
                                            const ChoiceQuery &Query) const {
  ChoiceQuery LongQuery = Query;
  if (Query.m_OutputTokens == 0)
    LongQuery.m_OutputTokens = static_cast<std::uint32_t>(
        m_MeanOutputTokens +
        LongAnswerDeviations * std::sqrt(m_OutputTokensVariance));
  base::Millis Best{};
  bool Any = false;
  for (const Candidate &Each : candidates(Now, LongQuery)) {
    const base::Millis Span =
        Each.m_Prediction.m_Completion - Each.m_Prediction.m_Wait;
    Best = Any ? std::min(Best, Span) : Span;
    Any = true;
  }
  return Best;
}

} // namespace corneldeck::routing

#include "Bench/FleetModel.h"

#include <algorithm>
#include <utility>

namespace corneldeck::bench {
namespace {

constexpr base::Millis ReportEvery(100);
constexpr base::Millis HousekeepEvery(50);
/// How long an agent takes to say that a run failed.
constexpr base::Millis FailDelay(1);
/// How long the entries take to find a silent connection, and agents to find
/// that their engine is lost.
constexpr base::Millis NoticeAfter(1'500);
constexpr base::Millis ReconnectAfter(500);
constexpr base::Millis GossipEvery(200);
const std::string LimitedService = "model";
/// The all-seeing router doesn't see what is still on the wire.
constexpr base::Millis TrueReportLag(2);

std::string attemptId(std::size_t Index, std::uint32_t Attempt) {
  return std::to_string(Index) + '.' + std::to_string(Attempt);
}

std::pair<std::size_t, std::uint32_t> parseAttempt(const std::string &Id) {
  const std::size_t Dot = Id.find('.');
  return {std::stoul(Id.substr(0, Dot)),
          static_cast<std::uint32_t>(std::stoul(Id.substr(Dot + 1)))};
}

bool usesChooser(RoutingPolicy Policy) {
  return Policy == RoutingPolicy::Corneldeck ||
         Policy == RoutingPolicy::AllSeeing;
}

} // namespace

std::string policyName(RoutingPolicy Policy) {
  switch (Policy) {
  case RoutingPolicy::Corneldeck:
    return "corneldeck";
  case RoutingPolicy::RoundRobin:
    return "round-robin";
  case RoutingPolicy::LeastReportedLoad:
    return "least-reported-load";
  case RoutingPolicy::TwoChoices:
    return "two-choices";
  case RoutingPolicy::AllSeeing:
    return "all-seeing";
  }
  return {};
}

FleetModel::FleetModel(FleetOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
  makeReplicas();
  makeEntries();
  startReports();
}

void FleetModel::makeReplicas() {
  const FleetSpec &Spec = m_Options.m_Spec;
  fakes::EngineSettings Settings = Spec.m_Engine;
  if (m_Options.m_Policy == RoutingPolicy::AllSeeing) {
    Settings.m_CacheEventDelay = base::Millis(0);
    Settings.m_CacheEventLoss = 0;
  }
  for (std::uint32_t Index = 0; Index < Spec.m_Replicas; ++Index) {
    Replica New;
    New.m_Name = "replica-" + std::to_string(Index);
    New.m_Zone = Spec.m_Zones[Index % Spec.m_Zones.size()];
    New.m_Engine = std::make_unique<fakes::EngineModel>(
        Settings, m_Options.m_Seed * 1'000 + Index);
    m_Replicas.push_back(std::move(New));
  }
}

void FleetModel::makeEntries() {
  const FleetSpec &Spec = m_Options.m_Spec;
  const bool One = m_Options.m_Policy == RoutingPolicy::AllSeeing;
  std::vector<routing::ReplicaInfo> Infos;
  for (const Replica &Each : m_Replicas)
    Infos.push_back({Each.m_Name, Each.m_Zone});
  routing::DispatcherSettings Settings;
  Settings.m_Chooser.m_BlockTokens = Spec.m_Engine.m_BlockTokens;
  if (One) {
    Settings.m_Chooser.m_Load.m_OwnAttemptsWeight = 0;
    Settings.m_Chooser.m_Load.m_ReportLag = TrueReportLag;
    Settings.m_Admission.m_MaxQueued *= Spec.m_Entries;
    Settings.m_LookaheadCount *= 3;
  }
  for (std::uint32_t Index = 0; Index < (One ? 1 : Spec.m_Entries); ++Index) {
    Entry New;
    New.m_Zone = Spec.m_Zones[Index % Spec.m_Zones.size()];
    New.m_Dispatcher = std::make_unique<routing::Dispatcher>(
        Settings, New.m_Zone, m_Options.m_Seed * 100 + Index);
    New.m_Dispatcher->chooser().setReplicas(Infos);
    New.m_Budget =
        std::make_unique<routing::RetryBudget>(routing::RetryBudgetSettings{});
    New.m_Limits =
        std::make_unique<admission::LimitShares>(admission::LimitSettings{});
    if (m_Options.m_Limit) {
      const LimitOptions &Limit = *m_Options.m_Limit;
      New.m_Limits->setLimit(
          base::Millis(0), {LimitedService, std::to_string(Limit.m_Customer)},
          Limit.m_PerSecond, Limit.m_Alone ? 1 : Spec.m_Entries);
    }
    New.m_NextRoundRobin =
        static_cast<std::uint32_t>(m_Random.below(m_Replicas.size()));
    New.m_Reported.assign(m_Replicas.size(), 0);
    New.m_NextCacheEvent.assign(m_Replicas.size(), 0);
    New.m_Reachable.assign(m_Replicas.size(), true);
    m_Entries.push_back(std::move(New));
  }
}

void FleetModel::startReports() {
  for (std::uint32_t At = 0; At < m_Entries.size(); ++At) {
    const base::Millis First = base::Millis(7) * At;
    m_Time.after(First, [this, At] { housekeep(At); });
    if (m_Options.m_Limit && !m_Options.m_Limit->m_Alone)
      m_Time.after(First, [this, At] { gossip(At); });
    for (std::uint32_t Of = 0; Of < m_Replicas.size(); ++Of) {
      const auto Phase = static_cast<std::int64_t>(
          m_Random.below(static_cast<std::uint64_t>(ReportEvery.count())));
      m_Time.after(base::Millis(Phase), [this, At, Of] { reportTo(At, Of); });
    }
  }
}

void FleetModel::reportTo(std::uint32_t EntryIndex,
                          std::uint32_t ReplicaIndex) {
  if (m_Replicas[ReplicaIndex].m_Reports)
    takeReport(EntryIndex, ReplicaIndex);
  m_Time.after(ReportEvery, [this, EntryIndex, ReplicaIndex] {
    reportTo(EntryIndex, ReplicaIndex);
  });
}

void FleetModel::takeReport(std::uint32_t EntryIndex,
                            std::uint32_t ReplicaIndex) {
  Entry &At = m_Entries[EntryIndex];
  const Replica &Of = m_Replicas[ReplicaIndex];
  const base::Millis Now = m_Time.now();
  const bool SeesAll = m_Options.m_Policy == RoutingPolicy::AllSeeing;
  const fakes::EngineLoad Load =
      SeesAll ? Of.m_Engine->trueLoad() : Of.m_Engine->loadReport(Now);
  At.m_Reported[ReplicaIndex] = Load.m_Running + Load.m_Queued;
  if (!usesChooser(m_Options.m_Policy))
    return;
  routing::ReplicaReport Report;
  Report.m_Running = Load.m_Running;
  Report.m_Queued = Load.m_Queued;
  Report.m_Capacity = Load.m_Capacity;
  Report.m_PendingTokens = Load.m_TokensAhead;
  Report.m_StepMicros = Load.m_StepMicros;
  At.m_Dispatcher->chooser().onReport(Now, Of.m_Name, Report);
  for (;;) {
    std::uint64_t &Next = At.m_NextCacheEvent[ReplicaIndex];
    const fakes::EngineCacheEvents Events = Of.m_Engine->cacheEvents(Now, Next);
    const std::size_t Count = Events.m_Added.size() + Events.m_Evicted.size();
    if (Count == 0)
      break;
    At.m_Dispatcher->chooser().onCacheEvents(Now, Of.m_Name,
                                             Events.m_FirstSequence,
                                             Events.m_Added, Events.m_Evicted);
    Next = Events.m_FirstSequence + Count;
  }
  if (!SeesAll)
    pump(EntryIndex);
}

void FleetModel::lookAtAll(Entry &At) {
  const auto Index = static_cast<std::uint32_t>(&At - m_Entries.data());
  for (std::uint32_t Of = 0; Of < m_Replicas.size(); ++Of)
    if (m_Replicas[Of].m_Reports)
      takeReport(Index, Of);
}

void FleetModel::add(const TrafficItem &Item,
                     std::optional<std::uint32_t> EntryIndex) {
  const std::size_t Index = m_Records.size();
  RequestRecord New;
  New.m_Item = Item;
  const auto Count = static_cast<std::uint32_t>(m_Entries.size());
  New.m_Entry = EntryIndex ? *EntryIndex % Count
                           : static_cast<std::uint32_t>(m_Random.below(Count));
  m_Records.push_back(std::move(New));
  m_Where.push_back(0);
  const base::Millis Wait =
      Item.m_At - m_Time.now() + m_Options.m_Spec.m_ClientDelay;
  m_Time.after(Wait, [this, Index] { arrive(Index); });
}

void FleetModel::closedLoop(std::uint32_t Count,
                            std::function<TrafficItem(base::Millis)> Refill) {
  m_Refill = std::move(Refill);
  for (std::uint32_t Number = 0; Number < Count; ++Number)
    add(m_Refill(m_Time.now()));
}

void FleetModel::arrive(std::size_t Index) {
  RequestRecord &Of = m_Records[Index];
  Entry &At = m_Entries[Of.m_Entry];
  const base::Millis Left = Of.m_Item.m_Deadline - m_Time.now();
  m_Time.after(Left, [this, Index] { onDeadline(Index); });
  if (!isWithinLimit(Index)) {
    Of.m_OverLimit = true;
    refuse(Index);
    return;
  }
  At.m_Budget->onFirstAttempt();
  offer(Index);
}

bool FleetModel::isWithinLimit(std::size_t Index) {
  const RequestRecord &Of = m_Records[Index];
  if (!m_Options.m_Limit)
    return true;
  const admission::LimitKey Key{LimitedService,
                                std::to_string(Of.m_Item.m_Customer)};
  return m_Entries[Of.m_Entry]
      .m_Limits->admit(m_Time.now(), Key, 1)
      .has_value();
}

void FleetModel::gossip(std::uint32_t From) {
  for (std::uint32_t To = 0; To < m_Entries.size(); ++To) {
    if (To == From)
      continue;
    const admission::LimitGossip Message =
        m_Entries[From].m_Limits->makeGossip(m_Time.now(), std::to_string(To));
    if (m_Entries[From].m_Cut || m_Entries[To].m_Cut)
      continue;
    m_Time.after(m_Options.m_Spec.m_ZoneDelay, [this, From, To, Message] {
      m_Entries[To].m_Limits->onGossip(m_Time.now(), std::to_string(From),
                                       Message);
    });
  }
  m_Time.after(GossipEvery, [this, From] { gossip(From); });
}

void FleetModel::offer(std::size_t Index) {
  RequestRecord &Of = m_Records[Index];
  Entry &At = m_Entries[Of.m_Entry];
  if (!usesChooser(m_Options.m_Policy)) {
    const std::optional<std::uint32_t> Where = chooseBaseline(At);
    if (Where)
      dispatch(Index, *Where);
    else
      refuse(Index);
    return;
  }
  routing::DispatchRequest New;
  New.m_Id = attemptId(Index, Of.m_Attempts + 1);
  New.m_Customer = std::to_string(Of.m_Item.m_Customer);
  New.m_Class = Of.m_Item.m_Class;
  New.m_Deadline = Of.m_Item.m_Deadline;
  New.m_PromptTokens = Of.m_Item.m_PromptTokens;
  New.m_PrefixBlocks = Of.m_Item.m_Blocks;
  New.m_Excluded = Of.m_FailedAt;
  const admission::EnqueueResult Outcome =
      At.m_Dispatcher->enqueue(m_Time.now(), std::move(New));
  for (const admission::Refusal &Each : Outcome.m_Displaced)
    refuse(parseAttempt(Each.m_Request).first);
  if (Outcome.m_Refusal)
    refuse(Index);
  else
    pump(Of.m_Entry);
}

void FleetModel::refuse(std::size_t Index) {
  m_Records[Index].m_Refused = true;
  close(Index);
}

std::optional<std::uint32_t> FleetModel::chooseBaseline(Entry &At) {
  std::vector<std::uint32_t> Open;
  for (std::uint32_t Index = 0; Index < m_Replicas.size(); ++Index)
    if (At.m_Reachable[Index])
      Open.push_back(Index);
  if (Open.empty())
    return std::nullopt;
  if (m_Options.m_Policy == RoutingPolicy::RoundRobin)
    return Open[At.m_NextRoundRobin++ % Open.size()];
  if (m_Options.m_Policy == RoutingPolicy::TwoChoices) {
    const std::uint32_t First = Open[m_Random.below(Open.size())];
    const std::uint32_t Second = Open[m_Random.below(Open.size())];
    return At.m_Reported[First] <= At.m_Reported[Second] ? First : Second;
  }
  std::uint32_t Least = At.m_Reported[Open.front()];
  for (const std::uint32_t Index : Open)
    Least = std::min(Least, At.m_Reported[Index]);
  std::erase_if(
      Open, [&](std::uint32_t Index) { return At.m_Reported[Index] > Least; });
  return Open[m_Random.below(Open.size())];
}

void FleetModel::pump(std::uint32_t EntryIndex) {
  if (!usesChooser(m_Options.m_Policy))
    return;
  Entry &At = m_Entries[EntryIndex];
  if (m_Options.m_Policy == RoutingPolicy::AllSeeing &&
      At.m_Dispatcher->queued() > 0)
    lookAtAll(At);
  for (const routing::Dispatch &Each :
       At.m_Dispatcher->dispatchReady(m_Time.now())) {
    const auto Found = std::find_if(
        m_Replicas.begin(), m_Replicas.end(), [&](const Replica &Item) {
          return Item.m_Name == Each.m_Choice.m_Replica;
        });
    dispatch(parseAttempt(Each.m_Request).first,
             static_cast<std::uint32_t>(Found - m_Replicas.begin()));
  }
}

void FleetModel::housekeep(std::uint32_t EntryIndex) {
  if (usesChooser(m_Options.m_Policy)) {
    Entry &At = m_Entries[EntryIndex];
    for (const admission::Refusal &Each : At.m_Dispatcher->expire(m_Time.now()))
      refuse(parseAttempt(Each.m_Request).first);
    pump(EntryIndex);
  }
  m_Time.after(HousekeepEvery, [this, EntryIndex] { housekeep(EntryIndex); });
}

void FleetModel::dispatch(std::size_t Index, std::uint32_t ReplicaIndex) {
  RequestRecord &Of = m_Records[Index];
  const std::uint32_t Attempt = ++Of.m_Attempts;
  m_Where[Index] = ReplicaIndex;
  Of.m_Running = true;
  m_Time.after(delay(Of.m_Entry, ReplicaIndex),
               [this, Index, Attempt, ReplicaIndex] {
                 submit(Index, Attempt, ReplicaIndex);
               });
}

void FleetModel::submit(std::size_t Index, std::uint32_t Attempt,
                        std::uint32_t ReplicaIndex) {
  const RequestRecord &Of = m_Records[Index];
  Replica &To = m_Replicas[ReplicaIndex];
  if (To.m_Gone == GoneKind::Silent)
    return;
  if (To.m_Gone == GoneKind::Failing) {
    m_Time.after(delay(Of.m_Entry, ReplicaIndex) + FailDelay,
                 [this, Index, Attempt] { onBroken(Index, Attempt); });
    return;
  }
  if (Of.m_Closed)
    return;
  fakes::EngineRequest Request;
  Request.m_Id = attemptId(Index, Attempt);
  Request.m_PromptTokens = Of.m_Item.m_PromptTokens;
  Request.m_PrefixBlocks = Of.m_Item.m_Blocks;
  Request.m_OutputTokens = Of.m_Item.m_OutputTokens;
  if (usesChooser(m_Options.m_Policy))
    Request.m_Priority = Of.m_Item.m_Class;
  To.m_Engine->submit(m_Time.now(), std::move(Request));
  scheduleTick(ReplicaIndex);
}

void FleetModel::scheduleTick(std::uint32_t ReplicaIndex) {
  Replica &Of = m_Replicas[ReplicaIndex];
  const std::optional<base::Millis> Next = Of.m_Engine->nextStep();
  if (!Next || Of.m_TickAt)
    return;
  Of.m_TickAt = Next;
  const base::Millis Wait = std::max(*Next - m_Time.now(), base::Millis(0));
  m_Time.after(Wait, [this, ReplicaIndex] { tick(ReplicaIndex); });
}

void FleetModel::tick(std::uint32_t ReplicaIndex) {
  Replica &Of = m_Replicas[ReplicaIndex];
  Of.m_TickAt.reset();
  for (const fakes::EngineOutput &Output : Of.m_Engine->advance(m_Time.now()))
    deliver(ReplicaIndex, Output);
  scheduleTick(ReplicaIndex);
}

void FleetModel::deliver(std::uint32_t ReplicaIndex,
                         const fakes::EngineOutput &Output) {
  if (Output.m_Token > 0 && !Output.m_Finished)
    return;
  const auto [Index, Attempt] = parseAttempt(Output.m_Id);
  const base::Millis Way = delay(m_Records[Index].m_Entry, ReplicaIndex);
  if (Output.m_Token == 0)
    m_Time.after(Way, [this, Index = Index, Attempt = Attempt] {
      onFirstToken(Index, Attempt);
    });
  if (Output.m_Finished)
    m_Time.after(Way, [this, Index = Index, Attempt = Attempt] {
      onFinished(Index, Attempt);
    });
}

void FleetModel::onFirstToken(std::size_t Index, std::uint32_t Attempt) {
  RequestRecord &Of = m_Records[Index];
  m_Entries[Of.m_Entry].m_Dispatcher->chooser().onFirstToken(
      attemptId(Index, Attempt));
  if (!Of.m_FirstTokenAt && Attempt == Of.m_Attempts)
    Of.m_FirstTokenAt = m_Time.now() + m_Options.m_Spec.m_ClientDelay;
}

void FleetModel::onFinished(std::size_t Index, std::uint32_t Attempt) {
  RequestRecord &Of = m_Records[Index];
  if (Of.m_Closed || Attempt != Of.m_Attempts)
    return;
  Of.m_DoneAt = m_Time.now() + m_Options.m_Spec.m_ClientDelay;
  m_Entries[Of.m_Entry].m_Dispatcher->chooser().onAttemptEnded(
      m_Time.now(), attemptId(Index, Attempt), Of.m_Item.m_OutputTokens);
  close(Index);
  pump(Of.m_Entry);
}

void FleetModel::close(std::size_t Index) {
  if (std::exchange(m_Records[Index].m_Closed, true))
    return;
  if (m_Refill)
    add(m_Refill(m_Time.now()));
}

void FleetModel::onBroken(std::size_t Index, std::uint32_t Attempt) {
  RequestRecord &Of = m_Records[Index];
  if (Of.m_Closed || Attempt != Of.m_Attempts || !Of.m_Running)
    return;
  Entry &At = m_Entries[Of.m_Entry];
  Of.m_Running = false;
  Of.m_FailedAt.insert(m_Replicas[m_Where[Index]].m_Name);
  At.m_Dispatcher->chooser().onAttemptFailed(m_Time.now(),
                                             attemptId(Index, Attempt));
  // What the caller saw of a broken attempt isn't part of an answer.
  Of.m_FirstTokenAt.reset();
  const bool Allowed =
      Of.m_Attempts < m_Options.m_MaxAttempts &&
      (!m_Options.m_RetryBudget || At.m_Budget->tryConsumeRetry());
  if (Allowed)
    offer(Index);
  else
    refuse(Index);
}

void FleetModel::onDeadline(std::size_t Index) {
  RequestRecord &Of = m_Records[Index];
  if (Of.m_Closed)
    return;
  close(Index);
  Entry &At = m_Entries[Of.m_Entry];
  At.m_Dispatcher->cancel(m_Time.now(), attemptId(Index, Of.m_Attempts + 1));
  if (Of.m_Attempts == 0)
    return;
  const std::string Id = attemptId(Index, Of.m_Attempts);
  At.m_Dispatcher->chooser().onAttemptEnded(m_Time.now(), Id, 0);
  const std::uint32_t ReplicaIndex = m_Where[Index];
  m_Time.after(delay(Of.m_Entry, ReplicaIndex), [this, ReplicaIndex, Id] {
    Replica &From = m_Replicas[ReplicaIndex];
    From.m_Engine->cancel(m_Time.now(), Id);
    scheduleTick(ReplicaIndex);
  });
  pump(Of.m_Entry);
}

void FleetModel::killReplica(base::Millis At, std::uint32_t ReplicaIndex,
                             GoneKind Kind) {
  m_Time.after(At - m_Time.now(), [this, ReplicaIndex, Kind] {
    Replica &Of = m_Replicas[ReplicaIndex];
    Of.m_Gone = Kind;
    Of.m_Reports = Kind == GoneKind::Failing;
    Of.m_Engine->restart(m_Time.now());
    if (Kind == GoneKind::Failing)
      breakRuns(ReplicaIndex);
    m_Time.after(NoticeAfter,
                 [this, ReplicaIndex] { noticeGone(ReplicaIndex); });
  });
}

void FleetModel::noticeGone(std::uint32_t ReplicaIndex) {
  Replica &Of = m_Replicas[ReplicaIndex];
  Of.m_Reports = false;
  for (Entry &Each : m_Entries) {
    Each.m_Reachable[ReplicaIndex] = false;
    Each.m_Dispatcher->chooser().setReachable(Of.m_Name, false);
  }
  breakRuns(ReplicaIndex);
}

void FleetModel::breakRuns(std::uint32_t ReplicaIndex) {
  for (std::size_t Index = 0; Index < m_Records.size(); ++Index) {
    const RequestRecord &Run = m_Records[Index];
    if (Run.m_Closed || !Run.m_Running || m_Where[Index] != ReplicaIndex)
      continue;
    m_Time.after(FailDelay, [this, Index, Attempt = Run.m_Attempts] {
      onBroken(Index, Attempt);
    });
  }
}

void FleetModel::returnReplica(base::Millis At, std::uint32_t ReplicaIndex) {
  m_Time.after(At - m_Time.now(), [this, ReplicaIndex] {
    m_Replicas[ReplicaIndex].m_Gone = GoneKind::No;
  });
  m_Time.after(At + ReconnectAfter - m_Time.now(), [this, ReplicaIndex] {
    Replica &Of = m_Replicas[ReplicaIndex];
    Of.m_Reports = true;
    for (Entry &Each : m_Entries) {
      Each.m_Reachable[ReplicaIndex] = true;
      Each.m_Dispatcher->chooser().setReachable(Of.m_Name, true);
    }
  });
}

void FleetModel::cutEntry(base::Millis At, std::uint32_t EntryIndex) {
  m_Time.after(At - m_Time.now(),
               [this, EntryIndex] { m_Entries[EntryIndex].m_Cut = true; });
}

void FleetModel::straggle(base::Millis At, std::uint32_t ReplicaIndex,
                          double Factor) {
  m_Time.after(At - m_Time.now(), [this, ReplicaIndex, Factor] {
    m_Replicas[ReplicaIndex].m_Engine->setStraggler(Factor);
  });
}

double FleetModel::prefixHitRatio() const {
  std::uint64_t Hit = 0;
  std::uint64_t Seen = 0;
  for (const Replica &Each : m_Replicas) {
    Hit += Each.m_Engine->prefixTokensHit();
    Seen += Each.m_Engine->promptTokensSeen();
  }
  return Seen == 0 ? 0 : static_cast<double>(Hit) / static_cast<double>(Seen);
}

base::Millis FleetModel::delay(std::uint32_t EntryIndex,
                               std::uint32_t ReplicaIndex) const {
  const bool SameZone =
      m_Entries[EntryIndex].m_Zone == m_Replicas[ReplicaIndex].m_Zone;
  return SameZone ? base::Millis(0) : m_Options.m_Spec.m_ZoneDelay;
}

} // namespace corneldeck::bench

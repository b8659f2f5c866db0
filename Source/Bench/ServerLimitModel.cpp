#include "Bench/ServerLimitModel.h"

#include <algorithm>

namespace corneldeck::bench {

namespace {

using base::Millis;

const std::string Service = "service";
constexpr Millis HeartbeatInterval(200);
constexpr Millis GrantInterval(20);
constexpr Millis QueueInterval(25);
constexpr Millis SilenceTimeout(1000);
/// Time from a server's restart to the new list of servers at the entries.
constexpr Millis ListDelay(500);
/// Time in which a restarted entry accepts no requests.
constexpr Millis StartDelay(500);
constexpr Millis TargetLatency(300);
constexpr Millis RequestTimeout(4000);
/// Time after a restart or a freeze in which an entry's requests are not
/// counted.
constexpr Millis ExcusePeriod = base::seconds(3);
constexpr Millis RefusalTime(5);
constexpr double MillisPerSecond = 1000;

} // namespace

ServerLimitModel::ServerLimitModel(ServerLimitOptions Options)
    : m_Options(std::move(Options)), m_Network(m_Time, m_Options.m_Seed),
      m_Random(m_Options.m_Seed + 1) {
  m_Time.runUntil(base::seconds(100));
  for (std::size_t Index = 0; Index < m_Options.m_Servers; ++Index) {
    m_Servers.emplace_back();
    // The seed decides which entries grant the tokens.
    m_Servers.back().m_Id =
        "s" + std::to_string(m_Options.m_Seed) + "-" + std::to_string(Index);
  }
  while (m_Entries.size() < m_Options.m_Entries)
    addEntry();
  for (const auto &Each : m_Entries) {
    Each->m_ReadyAt = now();
    Each->m_ExcusedUntil = now();
  }
  scheduleArrival();
}

void ServerLimitModel::nameLimit(std::size_t Server, double PerSecond) {
  m_Servers[Server].m_Limit = PerSecond;
  m_Servers[Server].m_Oracle.limitNamed(now(), PerSecond);
}

void ServerLimitModel::endLimit(std::size_t Server) {
  m_Servers[Server].m_Limit.reset();
  m_Servers[Server].m_Oracle.limitEnded(now());
}

void ServerLimitModel::restartServer(std::size_t Server) {
  endLimit(Server);
  acceptAll(Server);
  m_Servers[Server].m_IsLeaving = false;
  ++m_Servers[Server].m_StartTime;
  m_Time.after(ListDelay, [this] {
    for (const auto &Each : m_Entries)
      listServers(*Each);
  });
}

void ServerLimitModel::coolServers(Millis Duration) {
  for (Server &Each : m_Servers)
    Each.m_ColdUntil = now() + Duration;
  m_Time.after(ListDelay, [this] {
    for (const auto &Each : m_Entries)
      listServers(*Each);
  });
}

void ServerLimitModel::leaveServer(std::size_t Server) {
  m_Servers[Server].m_IsLeaving = true;
}

void ServerLimitModel::refuseBeyond(std::size_t Server, unsigned Places,
                                    Millis Pause) {
  m_Servers[Server].m_Places = Places;
  m_Servers[Server].m_Pause = Pause;
}

void ServerLimitModel::acceptAll(std::size_t Server) {
  m_Servers[Server].m_Places.reset();
}

void ServerLimitModel::listFormerStarts() {
  for (Server &Each : m_Servers)
    --Each.m_StartTime;
  for (const auto &Each : m_Entries)
    listServers(*Each);
  for (Server &Each : m_Servers)
    ++Each.m_StartTime;
}

std::size_t ServerLimitModel::entriesThatUse(std::size_t Server) const {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), [&](const auto &Each) {
        return Each->m_Pool->availability(m_Servers[Server].m_Id, now()) !=
               direct::ServerAvailability::Unavailable;
      }));
}

void ServerLimitModel::cutEntry(std::size_t Entry, bool Cut) {
  for (std::size_t Other = 0; Other < m_Entries.size(); ++Other)
    if (Other != Entry)
      cutPath(Entry, Other, Cut);
}

void ServerLimitModel::cutPath(std::size_t A, std::size_t B, bool Cut) {
  m_Network.setCut(m_Entries[A]->m_Name, m_Entries[B]->m_Name, Cut);
}

void ServerLimitModel::freezeEntry(std::size_t Entry) {
  m_Entries[Entry]->m_Frozen = true;
  m_Network.freeze(m_Entries[Entry]->m_Name);
}

void ServerLimitModel::thawEntry(std::size_t Entry) {
  m_Entries[Entry]->m_Frozen = false;
  m_Entries[Entry]->m_ExcusedUntil = now() + ExcusePeriod;
  m_Network.thaw(m_Entries[Entry]->m_Name);
}

void ServerLimitModel::restartEntry(std::size_t Entry) { startEntry(Entry); }

void ServerLimitModel::addEntry() {
  m_Entries.push_back(std::make_unique<Entry>());
  m_Entries.back()->m_Name = "e" + std::to_string(m_Entries.size());
  startEntry(m_Entries.size() - 1);
}

void ServerLimitModel::changePaths(
    const std::function<void(fakes::FakeNetwork::Path &)> &Change) {
  for (const auto &From : m_Entries)
    for (const auto &To : m_Entries)
      if (From != To)
        Change(m_Network.path(From->m_Name, To->m_Name));
}

std::size_t ServerLimitModel::granter(std::size_t Server) const {
  return entryIndex(m_Entries.front()->m_Pool->rateTokens().granter(
                        m_Servers[Server].m_Id))
      .value_or(0);
}

void ServerLimitModel::runFor(Millis Duration) {
  m_Time.runUntil(now() + Duration);
}

double ServerLimitModel::Outcomes::servedRatio() const {
  const std::uint64_t All = m_Served + m_Refused;
  return All == 0 ? 1
                  : static_cast<double>(m_Served) / static_cast<double>(All);
}

void ServerLimitModel::startEntry(std::size_t Index) {
  constexpr unsigned NumberBits = 10;
  Entry &Started = *m_Entries[Index];
  ++Started.m_Process;
  Started.m_Queue = std::make_unique<direct::AdmissionQueue>();
  Started.m_HeardAt.clear();
  Started.m_LeavingStarts.clear();
  Started.m_PausedUntil.clear();
  Started.m_ReadyAt = now() + StartDelay;
  Started.m_ExcusedUntil = now() + ExcusePeriod;
  direct::ServerPoolSettings Settings;
  if (m_Options.m_Mode == ServerLimitMode::FixedParts)
    Settings.m_RateTokens.m_MinPerSecond /=
        static_cast<double>(m_Options.m_Entries);
  Started.m_Pool = std::make_unique<direct::ServerPool>(
      "zone", Settings,
      static_cast<std::uint64_t>(now().count()) << NumberBits);
  Started.m_Pool->warmUp().setRules({{Service, m_Options.m_WarmUp}}, now());
  listServers(Started);
  Started.m_Pool->rateTokens().onSend(
      [this, &Started](const std::string &To,
                       const direct::RateTokenMessage &Message) {
        const auto Receiver = entryIndex(To);
        if (!Receiver)
          return;
        const std::string From = Started.m_Name;
        m_Network.send(From, To, [this, From, Receiver, Message] {
          m_Entries[*Receiver]->m_Pool->rateTokens().receive(From, Message,
                                                             now());
        });
      });
  Started.m_Pool->rateTokens().onReceived(
      [this, Index, Process = Started.m_Process] {
        m_Time.after(Millis(0), [this, Index, Process] {
          if (m_Entries[Index]->m_Process == Process)
            processQueue(*m_Entries[Index]);
        });
      });
  updateTokens(Started);
  repeat(Index, HeartbeatInterval, [this, Index](Entry &At) {
    updateTokens(At);
    sendHeartbeats(Index);
  });
  repeat(Index, GrantInterval, [this](Entry &At) {
    if (At.m_Pool->rateTokens().hasWaiting())
      At.m_Pool->rateTokens().update(now());
  });
  repeat(Index, QueueInterval, [this](Entry &At) { processQueue(At); });
}

void ServerLimitModel::listServers(Entry &At) {
  std::vector<direct::BackendServer> List;
  for (const Server &Each : m_Servers) {
    direct::BackendServer Listed;
    Listed.m_Id = Each.m_Id;
    Listed.m_Service = Service;
    Listed.m_Address = Each.m_Id;
    Listed.m_Zone = "zone";
    Listed.m_Capacity = m_Options.m_ServerCapacity;
    Listed.m_StartTime = Each.m_StartTime;
    Listed.m_NamesWarmUp = true;
    Listed.m_WarmUpRemaining = std::max(Millis(0), Each.m_ColdUntil - now());
    List.push_back(Listed);
  }
  At.m_Pool->replaceServers(List, now());
}

void ServerLimitModel::repeat(std::size_t Index, Millis Interval,
                              const std::function<void(Entry &)> &Action) {
  const std::uint64_t Process = m_Entries[Index]->m_Process;
  // Entries do not run in step.
  const Millis First(static_cast<std::int64_t>(
      m_Random.below(static_cast<std::uint64_t>(Interval.count()))));
  const auto Run = std::make_shared<std::function<void()>>();
  *Run = [this, Index, Process, Interval, Action,
          Weak = std::weak_ptr<std::function<void()>>(Run)] {
    Entry &At = *m_Entries[Index];
    if (At.m_Process != Process)
      return;
    if (!At.m_Frozen)
      Action(At);
    if (const auto Next = Weak.lock())
      m_Time.after(Interval, [Next] { (*Next)(); });
  };
  m_Time.after(First, [Run] { (*Run)(); });
}

void ServerLimitModel::sendHeartbeats(std::size_t Index) {
  const Entry &From = *m_Entries[Index];
  if (now() < From.m_ReadyAt)
    return;
  const direct::RateTokens &Tokens = From.m_Pool->rateTokens();
  Heartbeat Beat{From.m_Name, From.m_Pool->localLoads(), {}, {}, {}};
  const bool SharesPauses =
      m_Options.m_NoticeMode == ServerNoticeMode::PausesToAll;
  if (m_Options.m_NoticeMode == ServerNoticeMode::Shared || SharesPauses)
    Beat.m_Leaving = From.m_Pool->notices().statements();
  for (const auto &[Server, Until] : From.m_PausedUntil)
    if (SharesPauses && Until > now())
      Beat.m_Pauses[m_Servers[Server].m_Id] = Until - now();
  if (m_Options.m_Mode == ServerLimitMode::Shared)
    Beat.m_Statements = From.m_Pool->rateLimits().statements(
        now(), [&Tokens](const std::string &Server) {
          return Tokens.isGranter(Server);
        });
  const auto Shared = std::make_shared<const Heartbeat>(std::move(Beat));
  for (const auto &To : m_Entries)
    if (To->m_Name != From.m_Name)
      m_Network.send(From.m_Name, To->m_Name, [this, To = To.get(), Shared] {
        receiveHeartbeat(*To, *Shared);
      });
}

void ServerLimitModel::receiveHeartbeat(Entry &At, const Heartbeat &Beat) {
  At.m_HeardAt[Beat.m_From] = now();
  At.m_Pool->setPeerLoads(Beat.m_From, Beat.m_Loads, now());
  for (const direct::LeavingStatement &Each : Beat.m_Leaving)
    At.m_Pool->notices().applyStatement(Each, Beat.m_From, now());
  for (const auto &[Server, Remaining] : Beat.m_Pauses) {
    direct::ServerNotice Notice;
    Notice.m_Pause = {direct::PauseField::Kind::Named, Remaining, {}};
    At.m_Pool->notices().recordResponse(Server, 0, Notice, now(), now());
  }
  if (m_Options.m_Plant == "forget-limits" && At.m_Process > 1)
    return;
  for (const direct::RateLimitStatement &Each : Beat.m_Statements)
    if (Each.m_PerSecond || m_Options.m_Plant != "endless-limits")
      At.m_Pool->rateLimits().applyStatement(Each, Beat.m_From, now());
}

void ServerLimitModel::updateTokens(Entry &At) {
  std::vector<std::string> Live;
  const bool IsAlone = m_Options.m_Mode == ServerLimitMode::EachAlone ||
                       m_Options.m_Mode == ServerLimitMode::FixedParts ||
                       m_Options.m_Plant == "undivided-limits";
  if (now() >= At.m_ReadyAt)
    Live.push_back(At.m_Name);
  for (const auto &[Name, HeardAt] : At.m_HeardAt)
    if (!IsAlone && now() - HeardAt <= SilenceTimeout)
      Live.push_back(Name);
  At.m_Pool->warmUp().update(now());
  At.m_Pool->rateTokens().setEntries(At.m_Name, Live, now());
  At.m_Pool->rateTokens().update(now());
}

void ServerLimitModel::scheduleArrival() {
  const double Wait =
      m_Random.exponential(MillisPerSecond / m_Options.m_RequestsPerSecond);
  m_Time.after(Millis(static_cast<std::int64_t>(Wait + m_Random.uniform())),
               [this] {
                 Entry &At = *m_Entries[m_Random.below(m_Entries.size())];
                 if (!At.m_Frozen && now() >= At.m_ReadyAt)
                   requestArrives(At);
                 scheduleArrival();
               });
}

void ServerLimitModel::requestArrives(Entry &At) {
  using Decision = direct::AdmissionQueue::Decision;
  if (At.m_Pool->usage(Service, now()).isUnwanted()) {
    ++m_Outcomes.m_Refused;
    return;
  }
  const Decision Result = At.m_Queue->admit(
      Service, {m_NextToken++, 0, TargetLatency, now() + RequestTimeout},
      At.m_Pool->usage(Service, now()), now());
  if (Result == Decision::Admit) {
    startAttempt(At);
    return;
  }
  At.m_Pool->requestToken(Service, now(), m_Random);
  if (Result == Decision::Refuse)
    ++m_Outcomes.m_Refused;
}

void ServerLimitModel::processQueue(Entry &At) {
  const auto Left =
      At.m_Queue->dequeue(Service, At.m_Pool->usage(Service, now()), now());
  for (std::size_t Count = Left.m_Admitted.size(); Count > 0; --Count)
    startAttempt(At);
  m_Outcomes.m_Refused += Left.m_TimedOut.size();
  if (At.m_Queue->waitingCount(Service) > 0)
    At.m_Pool->requestToken(Service, now(), m_Random);
}

void ServerLimitModel::startAttempt(Entry &At,
                                    const std::vector<std::string> &Tried) {
  const direct::BackendServer *Chosen =
      At.m_Pool->chooseServer(Service, Tried, now(), m_Random);
  if (!Chosen) {
    ++m_Outcomes.m_Refused;
    return;
  }
  Attempt Sent;
  Sent.m_Entry = *entryIndex(At.m_Name);
  Sent.m_Server = serverIndex(Chosen->m_Id);
  Sent.m_Process = At.m_Process;
  Sent.m_SentAt = now();
  Sent.m_StartTime = At.m_Pool->notices().startTime(Chosen->m_Id);
  Sent.m_Tried = Tried;
  Sent.m_Tried.push_back(Chosen->m_Id);
  At.m_Pool->attemptStarted(Chosen->m_Id, 0, now());
  Server &To = m_Servers[Sent.m_Server];
  ++To.m_Arrivals;
  if (To.m_ColdUntil > now())
    To.m_ArrivalTimes.push_back(now());
  const auto Left = At.m_LeavingStarts.find(Sent.m_Server);
  const auto Paused = At.m_PausedUntil.find(Sent.m_Server);
  const bool IsUnwanted =
      (Left != At.m_LeavingStarts.end() && Left->second == To.m_StartTime) ||
      (Paused != At.m_PausedUntil.end() && Paused->second > now());
  if (now() >= At.m_ExcusedUntil) {
    To.m_Oracle.requestArrived(now(), At.m_Name);
    m_Unwanted += IsUnwanted ? 1 : 0;
  }
  m_Outcomes.m_AttemptsAtLeaving += To.m_IsLeaving ? 1 : 0;
  Sent.m_IsAccepted = !To.m_Places || To.m_InFlight < *To.m_Places;
  ++To.m_InFlight;
  m_Time.after(Sent.m_IsAccepted ? m_Options.m_ServiceTime : RefusalTime,
               [this, Sent] { serverResponds(Sent); });
}

void ServerLimitModel::serverResponds(const Attempt &Done) {
  Entry &At = *m_Entries[Done.m_Entry];
  Server &From = m_Servers[Done.m_Server];
  --From.m_InFlight;
  if (At.m_Process != Done.m_Process)
    return;
  At.m_Pool->attemptEnded(From.m_Id, 0);
  recordNotice(At, Done);
  At.m_Pool->recordOutcome(From.m_Id,
                           Done.m_IsAccepted ? direct::ServerOutcome::Served
                                             : direct::ServerOutcome::Refused,
                           now() - Done.m_SentAt, now());
  if (Done.m_IsAccepted) {
    ++m_Outcomes.m_Served;
    At.m_Queue->recordCompletion(Service, now());
    recordLimit(At, Done);
  } else {
    ++m_Outcomes.m_RefusedAttempts;
    constexpr std::size_t MaxAttempts = 3;
    if (Done.m_Tried.size() < MaxAttempts)
      startAttempt(At, Done.m_Tried);
    else
      ++m_Outcomes.m_Refused;
  }
  processQueue(At);
}

void ServerLimitModel::recordNotice(Entry &At, const Attempt &Done) {
  const Server &From = m_Servers[Done.m_Server];
  direct::ServerNotice Notice;
  Notice.m_IsAccepted = Done.m_IsAccepted;
  Notice.m_IsLeaving = From.m_IsLeaving;
  if (!Done.m_IsAccepted)
    Notice.m_Pause = {direct::PauseField::Kind::Named, From.m_Pause, {}};
  if (Notice.m_IsLeaving)
    At.m_LeavingStarts[Done.m_Server] = From.m_StartTime;
  if (!Done.m_IsAccepted) {
    Millis &Until = At.m_PausedUntil[Done.m_Server];
    Until = std::max(Until, now() + From.m_Pause);
  }
  if (m_Options.m_NoticeMode == ServerNoticeMode::Ignored)
    return;
  if (m_Options.m_Plant == "ignore-leaving")
    Notice.m_IsLeaving = false;
  if (m_Options.m_Plant == "short-pauses")
    Notice.m_Pause.m_Duration = Notice.m_Pause.m_Duration / 2;
  if (m_Options.m_Plant == "endless-pauses")
    Notice.m_Pause.m_Duration = Notice.m_Pause.m_Duration * 100;
  At.m_Pool->notices().recordResponse(From.m_Id, Done.m_StartTime, Notice,
                                      Done.m_SentAt, now());
}

void ServerLimitModel::recordLimit(Entry &At, const Attempt &Done) {
  using Kind = direct::RateLimitField::Kind;
  Server &From = m_Servers[Done.m_Server];
  direct::RateLimitField Field;
  if (From.m_Limit) {
    From.m_Oracle.limitForwarded(now(), At.m_Name);
    Field.m_Kind = Kind::Named;
    Field.m_PerSecond = *From.m_Limit;
    if (m_Options.m_Mode == ServerLimitMode::FixedParts)
      Field.m_PerSecond /= static_cast<double>(m_Entries.size());
  }
  const bool IsForgotten =
      m_Options.m_Plant == "forget-limits" && At.m_Process > 1;
  const bool IsIgnored =
      m_Options.m_Mode == ServerLimitMode::Ignored || IsForgotten;
  const bool IsEndless =
      m_Options.m_Plant == "endless-limits" && Field.m_Kind == Kind::Absent;
  if (!IsIgnored && !IsEndless)
    At.m_Pool->rateLimits().recordResponse(From.m_Id, Field, true,
                                           Done.m_SentAt, now());
}

std::optional<std::size_t>
ServerLimitModel::entryIndex(const std::string &Name) const {
  const auto Found =
      std::find_if(m_Entries.begin(), m_Entries.end(),
                   [&Name](const auto &Each) { return Each->m_Name == Name; });
  if (Found == m_Entries.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - m_Entries.begin());
}

std::size_t ServerLimitModel::serverIndex(const std::string &Id) const {
  return static_cast<std::size_t>(
      std::find_if(m_Servers.begin(), m_Servers.end(),
                   [&Id](const Server &Each) { return Each.m_Id == Id; }) -
      m_Servers.begin());
}

} // namespace corneldeck::bench

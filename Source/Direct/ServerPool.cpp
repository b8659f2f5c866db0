#include "Direct/ServerPool.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::direct {

namespace {

bool contains(const std::vector<std::string> &Ids, const std::string &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

/// Maximum random amount added to a score, so that entries with the same
/// information do not all choose the same server.
constexpr double MaxTieBreak = 0.02;
/// Utilization that is subtracted from the score of a server with a rate limit,
/// so that its tokens are used, unless it is slower than the others.
constexpr double TokenPreference = 0.25;
/// A request changes the load of a server when it is sent and when it ends; the
/// reports do not show either for some time.
constexpr double ChangesPerRequest = 2;
/// Utilization that is added to the score of a server that is warming up.
constexpr double WarmUpPenalty = 0.5;

} // namespace

ServerPool::ServerPool(std::string Zone, ServerPoolSettings Settings,
                       std::uint64_t FirstTokenNumber)
    : m_Zone(std::move(Zone)), m_Settings(Settings),
      m_Groups(Settings.m_Groups), m_Notices(Settings.m_Notices),
      m_WarmUp(Settings.m_WarmUp),
      m_RateTokens(m_RateLimits, Settings.m_RateTokens, FirstTokenNumber) {
  m_RateTokens.useWarmUp(m_WarmUp);
}

void ServerPool::replaceServers(const std::vector<BackendServer> &Servers,
                                base::Millis Now, std::uint64_t WallTime) {
  std::map<std::string, ServerState, std::less<>> Next;
  for (const BackendServer &Each : Servers) {
    ServerState &Added = Next[Each.m_Id];
    if (const auto Old = m_States.find(Each.m_Id);
        Old != m_States.end() &&
        Old->second.m_Server.m_Address == Each.m_Address &&
        Old->second.m_Server.m_StartTime == Each.m_StartTime)
      Added = Old->second;
    Added.m_Server = Each;
    Added.m_AddressHash = RankGroups::addressHash(Each.m_Address);
    if (Each.m_WarmUpRemaining > base::Millis(0))
      Added.m_Health.m_WarmUpUntil = Now + Each.m_WarmUpRemaining;
  }
  m_States = std::move(Next);
  m_ByService.clear();
  std::map<std::string, std::uint64_t> StartTimes;
  std::map<std::string, ServerRateLimits::Instance> Instances;
  std::map<std::string, WarmUpLimits::Listed> Listed;
  for (auto &[Id, Each] : m_States) {
    m_ByService[Each.m_Server.m_Service].push_back(&Each);
    StartTimes[Id] = Each.m_Server.m_StartTime;
    Instances[Id] = {Each.m_Server.m_Address, Each.m_Server.m_StartTime};
    const BackendServer &Server = Each.m_Server;
    Listed[Id] = {Server.m_Service,   Server.m_Zone, Server.m_Address,
                  Server.m_StartTime, std::nullopt,  Server.m_WarmUpRecord};
    if (Server.m_NamesWarmUp)
      Listed[Id].m_Remaining = Server.m_WarmUpRemaining;
  }
  m_Notices.replaceServers(std::move(StartTimes), Now);
  m_RateLimits.replaceServers(std::move(Instances), Now);
  m_WarmUp.replaceServers(Listed, Now, WallTime);
}

const std::vector<ServerPool::ServerState *> &
ServerPool::serversOf(std::string_view Service) const {
  static const std::vector<ServerState *> None;
  const auto Found = m_ByService.find(Service);
  return Found == m_ByService.end() ? None : Found->second;
}

ServerAvailability ServerPool::availability(const std::string &Id,
                                            base::Millis Now) const {
  const auto Found = m_States.find(Id);
  return Found == m_States.end() ? ServerAvailability::Unavailable
                                 : availability(Found->second, Now);
}

ServerAvailability ServerPool::availability(const ServerState &Candidate,
                                            base::Millis Now) const {
  const std::string &Id = Candidate.m_Server.m_Id;
  if (Candidate.m_Server.m_Draining || !m_Notices.permits(Id, Now) ||
      m_EvacuatedZones.contains(Candidate.m_Server.m_Zone))
    return ServerAvailability::Unavailable;
  const bool HasToken = m_RateTokens.permits(Id, Now);
  if (Candidate.m_Health.m_BackoffUntil > Now)
    return HasToken ? ServerAvailability::InBackoff
                    : ServerAvailability::Unavailable;
  return HasToken ? ServerAvailability::Available : ServerAvailability::NoToken;
}

bool ServerPool::isStopping(const std::string &Id) const {
  const auto Found = m_States.find(Id);
  return (Found != m_States.end() && Found->second.m_Server.m_Draining) ||
         m_Notices.isLeaving(Id);
}

const BackendServer *
ServerPool::chooseServer(std::string_view Service,
                         const std::vector<std::string> &Excluded,
                         base::Millis Now, base::Random &Rng) {
  dropExpiredLoads(Now);
  const double MeanLatency = meanLatency(Service, Now);
  std::vector<Candidate> Permitted;
  Candidate BestLimited;
  const ServerState *FirstAvailable = nullptr;
  for (const ServerState *Each : serversOf(Service)) {
    if (contains(Excluded, Each->m_Server.m_Id))
      continue;
    const ServerAvailability Availability = availability(*Each, Now);
    if (Availability == ServerAvailability::Unavailable)
      continue;
    if (Availability == ServerAvailability::InBackoff) {
      if (!FirstAvailable || Each->m_Health.m_BackoffUntil <
                                 FirstAvailable->m_Health.m_BackoffUntil)
        FirstAvailable = Each;
      continue;
    }
    Candidate Rated = rate(*Each, MeanLatency, Now);
    Rated.m_Score += MaxTieBreak * Rng.uniform();
    if (Availability == ServerAvailability::Available)
      Permitted.push_back(Rated);
    else if (!BestLimited.m_Server || Rated.m_Score < BestLimited.m_Score)
      BestLimited = Rated;
  }
  const bool IsLimitedBetter =
      std::all_of(Permitted.begin(), Permitted.end(),
                  [&BestLimited](const Candidate &Each) {
                    return BestLimited.m_Score < Each.m_Score;
                  });
  if (BestLimited.m_Server && IsLimitedBetter)
    m_RateTokens.request(BestLimited.m_Server->m_Server.m_Id, Now);
  if (Permitted.empty())
    return FirstAvailable ? &FirstAvailable->m_Server : nullptr;
  double Unreported = unreportedRequests(Service, Now);
  if (m_Groups.isDivided(Service))
    Unreported = keepBestGroup(Service, Permitted, Unreported, Rng);
  const ServerState &Best =
      *std::min_element(Permitted.begin(), Permitted.end(),
                        [](const Candidate &A, const Candidate &B) {
                          return A.m_Score < B.m_Score;
                        })
           ->m_Server;
  // No other entry can use this entry's token.
  if (m_RateTokens.limit(Best.m_Server.m_Id))
    return &Best.m_Server;
  std::vector<LoadOption> Options;
  Options.reserve(Permitted.size());
  for (const Candidate &Each : Permitted)
    Options.push_back({Each.m_Score, Each.m_ScorePerRequest});
  const std::size_t Drawn = drawByLevel(Options, Unreported, Rng).m_Index;
  return &Permitted[Drawn].m_Server->m_Server;
}

void ServerPool::recordArrival(const std::string &Service, base::Millis Now) {
  ArrivalCount &Arrivals = m_Arrivals[Service];
  const auto Age = static_cast<double>((Now - Arrivals.m_UpdatedAt).count());
  Arrivals.m_Count =
      1 + Arrivals.m_Count *
              std::exp(-Age / static_cast<double>(
                                  m_Settings.m_ArrivalTimeConstant.count()));
  Arrivals.m_UpdatedAt = Now;
}

double ServerPool::unreportedRequests(std::string_view Service,
                                      base::Millis Now) const {
  const auto Found = m_Arrivals.find(Service);
  if (Found == m_Arrivals.end() || m_Peers.empty())
    return m_Settings.m_MinUnreported;
  const ArrivalCount &Arrivals = Found->second;
  const auto TimeConstant =
      static_cast<double>(m_Settings.m_ArrivalTimeConstant.count());
  const auto Age = static_cast<double>((Now - Arrivals.m_UpdatedAt).count());
  const double PerMillisecond =
      Arrivals.m_Count * std::exp(-Age / TimeConstant) / TimeConstant;
  const auto ReportAges =
      static_cast<double>(Now.count() * m_PeerEntries - m_ReportTimes);
  return std::max(m_Settings.m_MinUnreported,
                  ChangesPerRequest * PerMillisecond * ReportAges);
}

void ServerPool::requestToken(std::string_view Service, base::Millis Now,
                              base::Random &Rng) {
  std::vector<const std::string *> Candidates;
  for (const ServerState *Each : serversOf(Service))
    if (availability(*Each, Now) == ServerAvailability::NoToken)
      Candidates.push_back(&Each->m_Server.m_Id);
  if (Candidates.empty())
    return;
  // Starts at a random server, so that the entries do not all ask for tokens of
  // the same one.
  const std::size_t First = Rng.below(Candidates.size());
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    if (m_RateTokens.request(*Candidates[(First + Index) % Candidates.size()],
                             Now))
      return;
}

ServerPool::Candidate ServerPool::rate(const ServerState &Rated,
                                       double MeanLatency,
                                       base::Millis Now) const {
  const BackendServer &Server = Rated.m_Server;
  const Health &State = Rated.m_Health;
  const ServerLoad Load = load(Server.m_Id);
  double PerRequest = 1.0 / std::max(1U, Server.m_Capacity);
  const double Latency = latency(State, Now);
  if (MeanLatency > 0 && Latency > 0)
    PerRequest *=
        std::clamp(Latency / MeanLatency, m_Settings.m_MinLatencyRatio,
                   m_Settings.m_MaxLatencyRatio);
  const double Score =
      PerRequest * (Load.m_Requests +
                    Load.m_PromptTokens / m_Settings.m_TokensPerRequest + 1);
  double Penalty = failureRate(State, Now) * m_Settings.m_FailurePenalty;
  if (State.m_WarmUpUntil > Now)
    Penalty += WarmUpPenalty;
  if (Server.m_Zone != m_Zone)
    Penalty += m_Settings.m_OtherZonePenalty;
  if (m_RateTokens.limit(Server.m_Id))
    Penalty -= TokenPreference;
  return {&Rated, Score + Penalty, PerRequest, Penalty};
}

void ServerPool::attemptStarted(const std::string &Id, double PromptTokens,
                                base::Millis Now) {
  m_RateTokens.use(Id, Now);
  m_Notices.recordAttempt(Id, Now);
  if (const auto Found = m_States.find(Id); Found != m_States.end())
    recordArrival(Found->second.m_Server.m_Service, Now);
  ServerLoad &Load = m_LocalLoads[Id];
  ++Load.m_Requests;
  Load.m_PromptTokens += PromptTokens;
}

void ServerPool::promptProcessed(const std::string &Id, double PromptTokens) {
  if (const auto Found = m_LocalLoads.find(Id); Found != m_LocalLoads.end())
    Found->second.m_PromptTokens =
        std::max(0.0, Found->second.m_PromptTokens - PromptTokens);
}

void ServerPool::attemptEnded(const std::string &Id, double PromptTokens) {
  const auto Found = m_LocalLoads.find(Id);
  if (Found == m_LocalLoads.end())
    return;
  promptProcessed(Id, PromptTokens);
  if (--Found->second.m_Requests == 0)
    m_LocalLoads.erase(Found);
}

void ServerPool::recordOutcome(const std::string &Id, ServerOutcome Outcome,
                               base::Millis Latency, base::Millis Now) {
  const auto Found = m_States.find(Id);
  // A request that was not sent because of an evacuation says nothing about its
  // server.
  if (Found == m_States.end() ||
      m_EvacuatedZones.contains(Found->second.m_Server.m_Zone))
    return;
  // The pause already keeps requests away.
  if (Outcome == ServerOutcome::Refused &&
      m_Notices.pauseRemaining(Id, Now) > base::Millis(0))
    return;
  Health &State = Found->second.m_Health;
  const bool Succeeded = Outcome == ServerOutcome::Served;
  // A refusal means that the server is overloaded, not that it is failing.
  const double Smoothing = Outcome == ServerOutcome::Refused
                               ? m_Settings.m_FailureSmoothing / 2
                               : m_Settings.m_FailureSmoothing;
  const double Rate = failureRate(State, Now);
  State.m_FailureRate = Rate + Smoothing * ((Succeeded ? 0.0 : 1.0) - Rate);
  State.m_FailureRateTime = Now;
  if (Succeeded && Latency > base::Millis(0)) {
    const auto Measured = static_cast<double>(Latency.count());
    const double Before = latency(State, Now);
    State.m_Latency = Before <= 0 ? Measured
                                  : Before + m_Settings.m_LatencySmoothing *
                                                 (Measured - Before);
    State.m_LatencyTime = Now;
  }
  if (Outcome == ServerOutcome::Unreachable ||
      Outcome == ServerOutcome::Silent) {
    State.m_Backoff =
        std::clamp(State.m_Backoff * 2, m_Settings.m_InitialBackoff,
                   m_Settings.m_MaxBackoff);
    State.m_BackoffUntil = Now + State.m_Backoff;
  } else if (Succeeded) {
    State.m_Backoff = base::Millis(0);
  }
}

void ServerPool::setPeerLoads(const std::string &Peer, ServerLoads Loads,
                              base::Millis ReportedAt, unsigned Entries) {
  if (m_Peers.empty())
    m_NextExpiry = ReportedAt + m_Settings.m_LoadLifetime;
  PeerReport &Report = m_Peers[Peer];
  countReport(Report, -1);
  subtractPeerLoads(Report.m_Loads);
  addPeerLoads(Loads);
  Report = {std::move(Loads), ReportedAt, Entries};
  countReport(Report, 1);
}

void ServerPool::countReport(const PeerReport &Report, int Sign) {
  m_PeerEntries += Sign * static_cast<std::int64_t>(Report.m_Entries);
  m_ReportTimes += Sign * static_cast<std::int64_t>(Report.m_Entries) *
                   Report.m_ReportedAt.count();
}

void ServerPool::removePeer(const std::string &Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  subtractPeerLoads(Found->second.m_Loads);
  countReport(Found->second, -1);
  m_Peers.erase(Found);
}

void ServerPool::keepOnlyPeer(const std::string &Peer) {
  std::erase_if(m_Peers, [&](const auto &Each) {
    if (Each.first == Peer)
      return false;
    subtractPeerLoads(Each.second.m_Loads);
    countReport(Each.second, -1);
    return true;
  });
}

void ServerPool::addPeerLoads(const ServerLoads &Loads) {
  for (const auto &[Id, Load] : Loads) {
    ServerLoad &Sum = m_PeerLoads[Id];
    Sum.m_Requests += Load.m_Requests;
    Sum.m_PromptTokens += Load.m_PromptTokens;
  }
}

void ServerPool::subtractPeerLoads(const ServerLoads &Loads) {
  for (const auto &[Id, Load] : Loads) {
    const auto Found = m_PeerLoads.find(Id);
    if (Found == m_PeerLoads.end())
      continue;
    ServerLoad &Sum = Found->second;
    Sum.m_Requests -= Load.m_Requests;
    Sum.m_PromptTokens -= Load.m_PromptTokens;
    if (Sum == ServerLoad())
      m_PeerLoads.erase(Found);
  }
}

void ServerPool::dropExpiredLoads(base::Millis Now) {
  if (Now <= m_NextExpiry)
    return;
  base::Millis Oldest = Now;
  std::erase_if(m_Peers, [&](const auto &Each) {
    const PeerReport &Report = Each.second;
    if (Now - Report.m_ReportedAt > m_Settings.m_LoadLifetime) {
      subtractPeerLoads(Report.m_Loads);
      countReport(Report, -1);
      return true;
    }
    Oldest = std::min(Oldest, Report.m_ReportedAt);
    return false;
  });
  m_NextExpiry = Oldest + m_Settings.m_LoadLifetime;
}

ServerPool::ServiceUsage ServerPool::usage(std::string_view Service,
                                           base::Millis Now,
                                           const std::string *Group) {
  dropExpiredLoads(Now);
  ServiceUsage Usage;
  for (const ServerState *Each : serversOf(Service)) {
    if (Group && groupOf(*Each) != *Group)
      continue;
    const BackendServer &Server = Each->m_Server;
    const std::string &Id = Server.m_Id;
    if (m_EvacuatedZones.contains(Server.m_Zone)) {
      if (!Server.m_Draining)
        ++Usage.m_EvacuatedServers;
      continue;
    }
    const unsigned InFlight = load(Id).m_Requests;
    const ServerAvailability Availability = availability(*Each, Now);
    const bool IsOnTrial = m_Notices.isOnTrial(Id);
    // The other entries may still use a server that is in a pause here.
    if (!IsOnTrial)
      Usage.m_InFlight += InFlight;
    switch (Availability) {
    case ServerAvailability::Unavailable:
      if (!Server.m_Draining && (IsOnTrial || m_Notices.isLeaving(Id)))
        addNotice(Usage, Id, Now);
      continue;
    case ServerAvailability::InBackoff:
      ++Usage.m_ServersInBackoff;
      continue;
    case ServerAvailability::Available:
    case ServerAvailability::NoToken:
      break;
    }
    const auto Limit = m_RateTokens.limit(Id);
    if (!Limit) {
      ++Usage.m_Servers;
      Usage.m_Capacity += IsOnTrial ? 1 : Server.m_Capacity;
      continue;
    }
    ++Usage.m_LimitedServers;
    Usage.m_ColdServers += m_WarmUp.limit(Id) ? 1 : 0;
    Usage.m_LimitPerSecond += *Limit;
    const bool HasPlace = InFlight < Server.m_Capacity;
    Usage.m_LimitedCapacity +=
        InFlight +
        (HasPlace && Availability == ServerAvailability::Available ? 1 : 0);
  }
  return Usage;
}

void ServerPool::addNotice(ServiceUsage &Usage, const std::string &Id,
                           base::Millis Now) const {
  ++Usage.m_ServersWithNotice;
  const base::Millis Remaining = m_Notices.isLeaving(Id)
                                     ? base::Millis(0)
                                     : m_Notices.pauseRemaining(Id, Now);
  const bool IsFirst = Usage.m_PauseRemaining == base::Millis(0) ||
                       Remaining < Usage.m_PauseRemaining;
  if (Remaining > base::Millis(0) && IsFirst)
    Usage.m_PauseRemaining = Remaining;
}

double ServerPool::failureRate(const Health &State, base::Millis Now) const {
  const auto Age = static_cast<double>((Now - State.m_FailureRateTime).count());
  const auto HalfLife =
      static_cast<double>(m_Settings.m_FailureHalfLife.count());
  return State.m_FailureRate * std::exp2(-std::max(0.0, Age) / HalfLife);
}

double ServerPool::latency(const Health &State, base::Millis Now) const {
  return Now - State.m_LatencyTime <= m_Settings.m_LatencyLifetime
             ? State.m_Latency
             : 0;
}

ServerLoad ServerPool::load(const std::string &Id) const {
  ServerLoad Sum;
  if (const auto Local = m_LocalLoads.find(Id); Local != m_LocalLoads.end())
    Sum = Local->second;
  if (const auto Others = m_PeerLoads.find(Id); Others != m_PeerLoads.end()) {
    Sum.m_Requests += Others->second.m_Requests;
    Sum.m_PromptTokens += Others->second.m_PromptTokens;
  }
  return Sum;
}

double ServerPool::meanLatency(std::string_view Service,
                               base::Millis Now) const {
  double Sum = 0;
  unsigned Servers = 0;
  for (const ServerState *Each : serversOf(Service)) {
    const double Latency = latency(Each->m_Health, Now);
    if (Latency <= 0)
      continue;
    Sum += Latency;
    ++Servers;
  }
  return Servers == 0 ? 0 : Sum / Servers;
}

} // namespace corneldeck::direct

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
/// Utilization that is added to the score of a server that is warming up.
constexpr double WarmUpPenalty = 0.5;

} // namespace

ServerPool::ServerPool(std::string Zone, ServerPoolSettings Settings,
                       std::uint64_t FirstTokenNumber)
    : m_Zone(std::move(Zone)), m_Settings(Settings),
      m_RateTokens(m_RateLimits, Settings.m_RateTokens, FirstTokenNumber) {}

void ServerPool::replaceServers(const std::vector<BackendServer> &Servers,
                                base::Millis Now) {
  std::map<std::string, ServerState, std::less<>> Next;
  for (const BackendServer &Each : Servers) {
    ServerState &Added = Next[Each.m_Id];
    if (const auto Old = m_States.find(Each.m_Id);
        Old != m_States.end() &&
        Old->second.m_Server.m_Address == Each.m_Address)
      Added = Old->second;
    Added.m_Server = Each;
    if (Each.m_WarmUpRemaining > base::Millis(0))
      Added.m_Health.m_WarmUpUntil = Now + Each.m_WarmUpRemaining;
  }
  m_States = std::move(Next);
  std::map<std::string, ServerRateLimits::Instance> Instances;
  for (const BackendServer &Each : Servers)
    Instances[Each.m_Id] = {Each.m_Address, Each.m_StartTime};
  m_RateLimits.replaceServers(Instances, Now);
}

const BackendServer *
ServerPool::chooseServer(std::string_view Service,
                         const std::vector<std::string> &Excluded,
                         base::Millis Now, base::Random &Rng) {
  const double MeanLatency = meanLatency(Service);
  const ServerState *Best = nullptr;
  const ServerState *FirstAvailable = nullptr;
  const ServerState *BestLimited = nullptr;
  double BestScore = 0;
  double BestLimitedScore = 0;
  for (const auto &[Id, Candidate] : m_States) {
    const BackendServer &Server = Candidate.m_Server;
    if (Server.m_Service != Service || Server.m_Draining ||
        contains(Excluded, Id))
      continue;
    const bool IsPermitted = m_RateTokens.permits(Id);
    if (Candidate.m_Health.m_BackoffUntil > Now) {
      if (IsPermitted &&
          (!FirstAvailable || Candidate.m_Health.m_BackoffUntil <
                                  FirstAvailable->m_Health.m_BackoffUntil))
        FirstAvailable = &Candidate;
      continue;
    }
    const double Score =
        score(Candidate, MeanLatency, Now) + MaxTieBreak * Rng.uniform();
    const ServerState *&Lowest = IsPermitted ? Best : BestLimited;
    double &LowestScore = IsPermitted ? BestScore : BestLimitedScore;
    if (!Lowest || Score < LowestScore) {
      Lowest = &Candidate;
      LowestScore = Score;
    }
  }
  if (BestLimited && (!Best || BestLimitedScore < BestScore))
    m_RateTokens.request(BestLimited->m_Server.m_Id, Now);
  if (!Best)
    Best = FirstAvailable;
  return Best ? &Best->m_Server : nullptr;
}

void ServerPool::requestToken(std::string_view Service, base::Millis Now,
                              base::Random &Rng) {
  std::vector<const std::string *> Candidates;
  for (const auto &[Id, Each] : m_States)
    if (Each.m_Server.m_Service == Service && !Each.m_Server.m_Draining &&
        Each.m_Health.m_BackoffUntil <= Now && !m_RateTokens.permits(Id))
      Candidates.push_back(&Id);
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

double ServerPool::score(const ServerState &Candidate, double MeanLatency,
                         base::Millis Now) const {
  const BackendServer &Server = Candidate.m_Server;
  const Health &State = Candidate.m_Health;
  const ServerLoad Load = load(Server.m_Id, Now);
  const double Capacity = std::max(1U, Server.m_Capacity);
  double Score = (Load.m_Requests +
                  Load.m_PromptTokens / m_Settings.m_TokensPerRequest + 1) /
                 Capacity;
  if (MeanLatency > 0 && State.m_Latency > 0)
    Score *=
        std::clamp(State.m_Latency / MeanLatency, m_Settings.m_MinLatencyRatio,
                   m_Settings.m_MaxLatencyRatio);
  Score += failureRate(State, Now) * m_Settings.m_FailurePenalty;
  if (State.m_WarmUpUntil > Now)
    Score += WarmUpPenalty;
  if (Server.m_Zone != m_Zone)
    Score += m_Settings.m_OtherZonePenalty;
  if (m_RateLimits.limit(Server.m_Id))
    Score -= TokenPreference;
  return Score;
}

void ServerPool::attemptStarted(const std::string &Id, double PromptTokens,
                                base::Millis Now) {
  m_RateTokens.use(Id, Now);
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
  if (Found == m_States.end())
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
    State.m_Latency = State.m_Latency <= 0
                          ? Measured
                          : State.m_Latency + m_Settings.m_LatencySmoothing *
                                                  (Measured - State.m_Latency);
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
                              base::Millis Now) {
  PeerReport &Report = m_Peers[Peer];
  Report.m_Loads = std::move(Loads);
  Report.m_ReceivedAt = Now;
}

void ServerPool::removePeer(const std::string &Peer) { m_Peers.erase(Peer); }

ServerPool::ServiceUsage ServerPool::usage(std::string_view Service,
                                           base::Millis Now) const {
  ServiceUsage Usage;
  for (const auto &[Id, Each] : m_States) {
    const BackendServer &Server = Each.m_Server;
    if (Server.m_Service != Service)
      continue;
    const unsigned InFlight = load(Id, Now).m_Requests;
    Usage.m_InFlight += InFlight;
    if (Server.m_Draining || Each.m_Health.m_BackoffUntil > Now)
      continue;
    const auto Limit = m_RateLimits.limit(Id);
    if (!Limit) {
      ++Usage.m_Servers;
      Usage.m_Capacity += Server.m_Capacity;
      continue;
    }
    ++Usage.m_LimitedServers;
    Usage.m_LimitPerSecond += *Limit;
    const bool HasPlace = InFlight < Server.m_Capacity;
    Usage.m_LimitedCapacity +=
        InFlight + (HasPlace && m_RateTokens.permits(Id) ? 1 : 0);
  }
  return Usage;
}

double ServerPool::failureRate(const Health &State, base::Millis Now) const {
  const auto Age = static_cast<double>((Now - State.m_FailureRateTime).count());
  const auto HalfLife =
      static_cast<double>(m_Settings.m_FailureHalfLife.count());
  return State.m_FailureRate * std::exp2(-std::max(0.0, Age) / HalfLife);
}

ServerLoad ServerPool::load(const std::string &Id, base::Millis Now) const {
  ServerLoad Sum;
  const auto Add = [&Sum, &Id](const ServerLoads &Loads) {
    const auto Found = Loads.find(Id);
    if (Found == Loads.end())
      return;
    Sum.m_Requests += Found->second.m_Requests;
    Sum.m_PromptTokens += Found->second.m_PromptTokens;
  };
  Add(m_LocalLoads);
  for (const auto &[Name, Report] : m_Peers)
    if (Now - Report.m_ReceivedAt <= m_Settings.m_LoadLifetime)
      Add(Report.m_Loads);
  return Sum;
}

double ServerPool::meanLatency(std::string_view Service) const {
  double Sum = 0;
  unsigned Servers = 0;
  for (const auto &[Id, Each] : m_States) {
    if (Each.m_Server.m_Service != Service || Each.m_Health.m_Latency <= 0)
      continue;
    Sum += Each.m_Health.m_Latency;
    ++Servers;
  }
  return Servers == 0 ? 0 : Sum / Servers;
}

} // namespace corneldeck::direct

#include "Admission/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;
/// Demand below this is left out of messages.
constexpr double MinDemand = 1e-3;
/// Maximum number of unacknowledged messages kept per peer.
constexpr std::size_t MaxUnacknowledged = 64;

double toSeconds(base::Millis Span) {
  return static_cast<double>(Span.count()) / MillisPerSecond;
}

} // namespace

LimitShares::LimitShares(const LimitSettings &Settings,
                         std::uint64_t FirstSequence)
    : m_Settings(Settings),
      m_NextSequence(std::max<std::uint64_t>(FirstSequence, 1)) {}

void LimitShares::setLimit(base::Millis Now, const LimitKey &Key,
                           double PerSecond, std::uint32_t Entries) {
  const bool IsNew = !m_Limits.contains(Key);
  Limit &Shared = m_Limits[Key];
  if (!IsNew)
    refillTokens(Now, Shared);
  Shared.m_PerSecond = PerSecond;
  Shared.m_Entries = std::max(Entries, 1U);
  if (!IsNew)
    return;
  Shared.m_RefilledAt = Now;
  Shared.m_DecayedAt = Now;
  Shared.m_BucketTokens = burst(Shared, baseShare(Shared));
}

void LimitShares::removeLimit(const LimitKey &Key) { m_Limits.erase(Key); }

double LimitShares::baseShare(const Limit &Shared) {
  return Shared.m_PerSecond / Shared.m_Entries;
}

/// \returns the part of this entry's base share that a peer may be using: its
/// largest unexpired grant.
double LimitShares::activeGrant(base::Millis Now, const PeerUse &Use) {
  double Max = 0;
  for (const Grant &Each : Use.m_GrantsGiven)
    if (Now < Each.m_Until)
      Max = std::max(Max, Each.m_PerSecond);
  return Max;
}

/// \returns a lower bound of the share between the two times, from the grants
/// to peers at the start and the grants from peers at the end.
double LimitShares::minShare(base::Millis From, base::Millis To,
                             const Limit &Shared) {
  double Share = baseShare(Shared);
  for (const auto &[PeerName, Use] : Shared.m_Peers) {
    Share -= activeGrant(From, Use);
    if (To < Use.m_Received.m_Until)
      Share += Use.m_Received.m_PerSecond;
  }
  return std::max(Share, 0.0);
}

double LimitShares::share(base::Millis Now, const LimitKey &Key) const {
  const auto Found = m_Limits.find(Key);
  return Found == m_Limits.end() ? 0 : minShare(Now, Now, Found->second);
}

double LimitShares::burst(const Limit &Shared, double Share) const {
  // Even with a very small share, enough tokens must accumulate for a request.
  const double MinBurst = std::min(1.0, Shared.m_PerSecond);
  return std::max(Share * toSeconds(m_Settings.m_BurstWindow), MinBurst);
}

void LimitShares::refillTokens(base::Millis Now, Limit &Shared) const {
  if (Now <= Shared.m_RefilledAt)
    return;
  const double Share = minShare(Shared.m_RefilledAt, Now, Shared);
  const double Max = burst(Shared, Share);
  const double Added = Share * toSeconds(Now - Shared.m_RefilledAt);
  Shared.m_BucketTokens = std::min(Shared.m_BucketTokens + Added, Max);
  Shared.m_RefilledAt = Now;
}

void LimitShares::decayDemand(base::Millis Now, Limit &Shared) const {
  if (Now <= Shared.m_DecayedAt)
    return;
  const double Span = toSeconds(Now - Shared.m_DecayedAt);
  const double DecayFactor =
      std::exp(-Span / toSeconds(m_Settings.m_DemandWindow));
  Shared.m_Demand *= DecayFactor;
  Shared.m_Admitted *= DecayFactor;
  Shared.m_DecayedAt = Now;
}

base::Result<void> LimitShares::admit(base::Millis Now, const LimitKey &Key,
                                      double Work) {
  const auto Found = m_Limits.find(Key);
  if (Found == m_Limits.end())
    return {};
  Limit &Shared = Found->second;
  decayDemand(Now, Shared);
  refillTokens(Now, Shared);
  const double Rate = Work / toSeconds(m_Settings.m_DemandWindow);
  Shared.m_Demand += Rate;
  // A request larger than the burst needs a full bucket and makes it negative.
  const double Needed =
      std::min(Work, burst(Shared, minShare(Now, Now, Shared)));
  if (Shared.m_BucketTokens >= Needed) {
    Shared.m_BucketTokens -= Work;
    Shared.m_Admitted += Rate;
    return {};
  }
  return base::failure(
      base::ResultCode::LimitExceeded,
      "The customer's limit is used up; retry after the given time.",
      waitForTokens(Now, Shared, Needed - Shared.m_BucketTokens));
}

base::Millis LimitShares::waitForTokens(base::Millis Now, const Limit &Shared,
                                        double Missing) const {
  const auto Span = [Missing](double Share) {
    return std::ceil(Missing / std::max(Share, MinDemand) * MillisPerSecond);
  };
  // The base share is available again once the grants to peers have expired.
  const double WaitAtBaseShare =
      Span(baseShare(Shared)) +
      static_cast<double>(m_Settings.m_GrantLifetime.count());
  const double Wait =
      std::min(Span(minShare(Now, Now, Shared)), WaitAtBaseShare);
  const auto MaxWait = static_cast<double>(m_Settings.m_MaxRetryAfter.count());
  const auto Count = static_cast<std::int64_t>(std::min(Wait, MaxWait));
  return std::max(base::Millis(Count), m_Settings.m_MinRetryAfter);
}

bool LimitShares::isFresh(base::Millis Now, const PeerUse &Use) const {
  return Use.m_HasMessage &&
         Now - Use.m_LastMessageAt < m_Settings.m_PeerTimeout;
}

/// \returns the grant to a peer that makes shares follow demand. If the demand
/// exceeds the total base share of the entries with recent messages, the target
/// of each is a part of that total in proportion to its demand; otherwise it is
/// its demand plus an equal part of the rest.
double LimitShares::targetGrant(base::Millis Now, const Limit &Shared,
                                const PeerUse &To) const {
  const double Base = baseShare(Shared);
  double Demand = Shared.m_Demand;
  double TotalBase = Base;
  for (const auto &[PeerName, Use] : Shared.m_Peers) {
    if (!isFresh(Now, Use))
      continue;
    Demand += Use.m_Demand;
    TotalBase += Base;
  }
  const double Spare = std::max(TotalBase - Demand, 0.0) * Base / TotalBase;
  const auto Target = [&](double Own) {
    return Demand > TotalBase ? TotalBase * Own / Demand : Own + Spare;
  };
  const double Surplus = std::max(Base - Target(Shared.m_Demand), 0.0);
  double Needed = 0;
  for (const auto &[PeerName, Use] : Shared.m_Peers)
    if (isFresh(Now, Use))
      Needed += std::max(Target(Use.m_Demand) - Base, 0.0);
  if (Surplus <= 0 || Needed <= 0)
    return 0;
  return Surplus * std::max(Target(To.m_Demand) - Base, 0.0) / Needed;
}

/// Grants to a peer a part of this entry's base share that is not yet granted.
/// \returns the granted work per second.
double LimitShares::grant(base::Millis Now, Limit &Shared,
                          const std::string &PeerName) const {
  PeerUse &To = Shared.m_Peers[PeerName];
  std::erase_if(To.m_GrantsGiven,
                [Now](const Grant &Each) { return Each.m_Until <= Now; });
  if (!isFresh(Now, To))
    return 0;
  double Available = baseShare(Shared);
  for (const auto &[Other, Use] : Shared.m_Peers)
    if (Other != PeerName)
      Available -= activeGrant(Now, Use);
  const double Granted =
      std::min(targetGrant(Now, Shared, To), std::max(Available, 0.0));
  if (Granted <= 0)
    return 0;
  To.m_GrantsGiven.push_back({Granted, Now + m_Settings.m_GrantLifetime});
  return Granted;
}

LimitGossip LimitShares::makeGossip(base::Millis Now,
                                    const std::string &PeerName) {
  Peer &To = m_Peers[PeerName];
  const std::uint64_t Sequence = m_NextSequence++;
  To.m_SentAt[Sequence] = Now;
  if (To.m_SentAt.size() > MaxUnacknowledged)
    To.m_SentAt.erase(To.m_SentAt.begin());
  LimitGossip Message{Sequence, To.m_LastSequence, {}};
  for (auto &[Key, Shared] : m_Limits) {
    refillTokens(Now, Shared);
    decayDemand(Now, Shared);
    const LimitUse Use{Key, Shared.m_Demand, Shared.m_Admitted,
                       grant(Now, Shared, PeerName)};
    if (Use.m_Demand >= MinDemand || Use.m_Granted > 0)
      Message.m_Uses.push_back(Use);
  }
  return Message;
}

void LimitShares::onGossip(base::Millis Now, const std::string &PeerName,
                           const LimitGossip &Message) {
  Peer &From = m_Peers[PeerName];
  if (Message.m_Sequence <= From.m_LastSequence)
    return;
  From.m_LastSequence = Message.m_Sequence;
  base::Millis Until;
  const auto Acknowledged = From.m_SentAt.find(Message.m_AcknowledgedSequence);
  if (Acknowledged != From.m_SentAt.end()) {
    Until = Acknowledged->second + m_Settings.m_GrantLifetime -
            m_Settings.m_GrantSafetyMargin;
    From.m_SentAt.erase(From.m_SentAt.begin(), Acknowledged);
  }
  for (auto &[Key, Shared] : m_Limits) {
    refillTokens(Now, Shared);
    PeerUse &Use = Shared.m_Peers[PeerName];
    Use.m_Demand = 0;
    Use.m_HasMessage = true;
    Use.m_LastMessageAt = Now;
    Use.m_Received = {};
  }
  for (const LimitUse &Each : Message.m_Uses) {
    const auto Found = m_Limits.find(Each.m_Key);
    if (Found == m_Limits.end())
      continue;
    PeerUse &Use = Found->second.m_Peers[PeerName];
    Use.m_Demand = std::max(Each.m_Demand, 0.0);
    Use.m_Received = {std::max(Each.m_Granted, 0.0), Until};
  }
}

void LimitShares::removePeer(base::Millis Now, const std::string &Peer) {
  m_Peers.erase(Peer);
  for (auto &[Key, Shared] : m_Limits) {
    refillTokens(Now, Shared);
    const auto Found = Shared.m_Peers.find(Peer);
    if (Found == Shared.m_Peers.end())
      continue;
    Found->second.m_HasMessage = false;
    Found->second.m_Received = {};
    if (activeGrant(Now, Found->second) <= 0)
      Shared.m_Peers.erase(Found);
  }
}

} // namespace corneldeck::admission

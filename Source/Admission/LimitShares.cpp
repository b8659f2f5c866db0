#include "Admission/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;
/// Demand below this is not worth a place in a message.
constexpr double LeastDemand = 1e-3;
/// Messages whose answer can still be waited for.
constexpr std::size_t MaxUnanswered = 64;

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
  Limit &Of = m_Limits[Key];
  if (!IsNew)
    fill(Now, Of);
  Of.m_PerSecond = PerSecond;
  Of.m_Entries = std::max(Entries, 1U);
  if (!IsNew)
    return;
  Of.m_FilledAt = Now;
  Of.m_FadedAt = Now;
  Of.m_Tokens = burst(Of, baseShare(Of));
}

void LimitShares::removeLimit(const LimitKey &Key) { m_Limits.erase(Key); }

double LimitShares::baseShare(const Limit &Of) {
  return Of.m_PerSecond / Of.m_Entries;
}

/// \returns the part of the own base share that a peer may be using.
double LimitShares::given(base::Millis Now, const PeerUse &Of) {
  double Most = 0;
  for (const Grant &Each : Of.m_Given)
    if (Now < Each.m_Until)
      Most = std::max(Most, Each.m_PerSecond);
  return Most;
}

/// \returns a share that was never exceeded between the two times: grants to
/// peers as at the start, grants from peers as at the end.
double LimitShares::leastShare(base::Millis From, base::Millis To,
                               const Limit &Of) {
  double Share = baseShare(Of);
  for (const auto &[Name, Use] : Of.m_Peers) {
    Share -= given(From, Use);
    if (To < Use.m_Received.m_Until)
      Share += Use.m_Received.m_PerSecond;
  }
  return std::max(Share, 0.0);
}

double LimitShares::share(base::Millis Now, const LimitKey &Key) const {
  const auto Found = m_Limits.find(Key);
  return Found == m_Limits.end() ? 0 : leastShare(Now, Now, Found->second);
}

double LimitShares::burst(const Limit &Of, double Share) const {
  // A share of next to nothing must still add up to one request at some time.
  const double LeastBurst = std::min(1.0, Of.m_PerSecond);
  return std::max(Share * toSeconds(m_Settings.m_BurstWindow), LeastBurst);
}

void LimitShares::fill(base::Millis Now, Limit &Of) const {
  if (Now <= Of.m_FilledAt)
    return;
  const double Share = leastShare(Of.m_FilledAt, Now, Of);
  const double Most = burst(Of, Share);
  const double Added = Share * toSeconds(Now - Of.m_FilledAt);
  Of.m_Tokens = std::min(Of.m_Tokens + Added, Most);
  Of.m_FilledAt = Now;
}

void LimitShares::fade(base::Millis Now, Limit &Of) const {
  if (Now <= Of.m_FadedAt)
    return;
  const double Span = toSeconds(Now - Of.m_FadedAt);
  const double Kept = std::exp(-Span / toSeconds(m_Settings.m_DemandWindow));
  Of.m_Demand *= Kept;
  Of.m_Admitted *= Kept;
  Of.m_FadedAt = Now;
}

base::Result<void> LimitShares::admit(base::Millis Now, const LimitKey &Key,
                                      double Work) {
  const auto Found = m_Limits.find(Key);
  if (Found == m_Limits.end())
    return {};
  Limit &Of = Found->second;
  fade(Now, Of);
  fill(Now, Of);
  const double Rate = Work / toSeconds(m_Settings.m_DemandWindow);
  Of.m_Demand += Rate;
  // A request larger than the burst waits for a full bucket and leaves a debt.
  const double Needed = std::min(Work, burst(Of, leastShare(Now, Now, Of)));
  if (Of.m_Tokens >= Needed) {
    Of.m_Tokens -= Work;
    Of.m_Admitted += Rate;
    return {};
  }
  return base::failure(
      base::ResultCode::LimitExceeded,
      "The customer's limit is used up; ask again after the time given.",
      waitFor(Now, Of, Needed - Of.m_Tokens));
}

base::Millis LimitShares::waitFor(base::Millis Now, const Limit &Of,
                                  double Missing) const {
  const auto Span = [Missing](double Share) {
    return std::ceil(Missing / std::max(Share, LeastDemand) * MillisPerSecond);
  };
  // Grants to peers end by themselves, so the base share comes back.
  const double AtBase = Span(baseShare(Of)) +
                        static_cast<double>(m_Settings.m_GrantLifetime.count());
  const double Wait = std::min(Span(leastShare(Now, Now, Of)), AtBase);
  const auto Longest = static_cast<double>(m_Settings.m_MaxRetryAfter.count());
  const auto Count = static_cast<std::int64_t>(std::min(Wait, Longest));
  return std::max(base::Millis(Count), m_Settings.m_MinRetryAfter);
}

bool LimitShares::isFresh(base::Millis Now, const PeerUse &Of) const {
  return Of.m_Heard && Now - Of.m_HeardAt < m_Settings.m_PeerTimeout;
}

/// \returns what to grant to a peer so that shares follow demand. Each fresh
/// entry's target is its part of their common base, by demand; below the limit
/// it is its demand and an even part of the rest.
double LimitShares::wantedGrant(base::Millis Now, const Limit &Of,
                                const PeerUse &To) const {
  const double Base = baseShare(Of);
  double Demand = Of.m_Demand;
  double Common = Base;
  for (const auto &[Name, Use] : Of.m_Peers) {
    if (!isFresh(Now, Use))
      continue;
    Demand += Use.m_Demand;
    Common += Base;
  }
  const double Spare = std::max(Common - Demand, 0.0) * Base / Common;
  const auto Target = [&](double Own) {
    return Demand > Common ? Common * Own / Demand : Own + Spare;
  };
  const double Surplus = std::max(Base - Target(Of.m_Demand), 0.0);
  double Needed = 0;
  for (const auto &[Name, Use] : Of.m_Peers)
    if (isFresh(Now, Use))
      Needed += std::max(Target(Use.m_Demand) - Base, 0.0);
  if (Surplus <= 0 || Needed <= 0)
    return 0;
  return Surplus * std::max(Target(To.m_Demand) - Base, 0.0) / Needed;
}

/// Grants a part of the own base share to a peer, as far as it isn't granted.
double LimitShares::grant(base::Millis Now, Limit &Of,
                          const std::string &Name) const {
  PeerUse &To = Of.m_Peers[Name];
  std::erase_if(To.m_Given,
                [Now](const Grant &Each) { return Each.m_Until <= Now; });
  if (!isFresh(Now, To))
    return 0;
  double Room = baseShare(Of);
  for (const auto &[Other, Use] : Of.m_Peers)
    if (Other != Name)
      Room -= given(Now, Use);
  const double Granted =
      std::min(wantedGrant(Now, Of, To), std::max(Room, 0.0));
  if (Granted <= 0)
    return 0;
  To.m_Given.push_back({Granted, Now + m_Settings.m_GrantLifetime});
  return Granted;
}

LimitGossip LimitShares::makeGossip(base::Millis Now, const std::string &Name) {
  Peer &To = m_Peers[Name];
  const std::uint64_t Sequence = m_NextSequence++;
  To.m_SentAt[Sequence] = Now;
  if (To.m_SentAt.size() > MaxUnanswered)
    To.m_SentAt.erase(To.m_SentAt.begin());
  LimitGossip Message{Sequence, To.m_Heard, {}};
  for (auto &[Key, Of] : m_Limits) {
    fill(Now, Of);
    fade(Now, Of);
    const LimitUse Use{Key, Of.m_Demand, Of.m_Admitted, grant(Now, Of, Name)};
    if (Use.m_Demand >= LeastDemand || Use.m_Granted > 0)
      Message.m_Uses.push_back(Use);
  }
  return Message;
}

void LimitShares::onGossip(base::Millis Now, const std::string &Name,
                           const LimitGossip &Message) {
  Peer &From = m_Peers[Name];
  if (Message.m_Sequence <= From.m_Heard)
    return;
  From.m_Heard = Message.m_Sequence;
  base::Millis Until;
  const auto Answered = From.m_SentAt.find(Message.m_AcknowledgedSequence);
  if (Answered != From.m_SentAt.end()) {
    Until = Answered->second + m_Settings.m_GrantLifetime -
            m_Settings.m_GrantSafetyMargin;
    From.m_SentAt.erase(From.m_SentAt.begin(), Answered);
  }
  for (auto &[Key, Of] : m_Limits) {
    fill(Now, Of);
    PeerUse &Use = Of.m_Peers[Name];
    Use.m_Demand = 0;
    Use.m_Heard = true;
    Use.m_HeardAt = Now;
    Use.m_Received = {};
  }
  for (const LimitUse &Each : Message.m_Uses) {
    const auto Found = m_Limits.find(Each.m_Key);
    if (Found == m_Limits.end())
      continue;
    PeerUse &Use = Found->second.m_Peers[Name];
    Use.m_Demand = std::max(Each.m_Demand, 0.0);
    Use.m_Received = {std::max(Each.m_Granted, 0.0), Until};
  }
}

void LimitShares::removePeer(base::Millis Now, const std::string &Peer) {
  m_Peers.erase(Peer);
  for (auto &[Key, Of] : m_Limits) {
    fill(Now, Of);
    const auto Found = Of.m_Peers.find(Peer);
    if (Found == Of.m_Peers.end())
      continue;
    Found->second.m_Heard = false;
    Found->second.m_Received = {};
    if (given(Now, Found->second) <= 0)
      Of.m_Peers.erase(Found);
  }
}

} // namespace corneldeck::admission

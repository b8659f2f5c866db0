#include "Direct/RateTokens.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

/// Time after a change of the live entries in which an entry does not begin to
/// grant tokens of cold servers, and does not grant a larger part: the other
/// granter learns of the change later, by the timeout after which a silent
/// entry is lost.
constexpr base::Millis SettlingTime = base::seconds(1);
/// An entry that has not run for this long may have been replaced as a granter.
constexpr base::Millis FreezeTime = base::seconds(1);
/// Age of a statement that changes nothing at its receiver.
constexpr base::Millis OutdatedAge = base::Millis(0x7fffffff);

} // namespace

std::optional<double> RateTokens::coldLimit(const std::string &Server) const {
  return m_WarmUp ? m_WarmUp->limit(Server) : std::nullopt;
}

std::optional<double> RateTokens::limit(const std::string &Server) const {
  const auto Named = m_Limits.limit(Server);
  const auto Cold = coldLimit(Server);
  return Named && Cold ? std::min(*Named, *Cold) : Named ? Named : Cold;
}

std::optional<RateLimitStatement>
RateTokens::statement(const std::string &Server, base::Millis Now) const {
  auto Named = m_Limits.statement(Server, Now);
  if (Named || !coldLimit(Server))
    return Named;
  return RateLimitStatement{Server, m_WarmUp->startTime(Server), std::nullopt,
                            OutdatedAge};
}

void RateTokens::setEntries(const std::string &Self,
                            std::vector<std::string> Live, base::Millis Now) {
  m_Self = Self;
  std::sort(Live.begin(), Live.end());
  if (Live != m_Live) {
    m_GranterCache.clear();
    m_LiveChangedAt = Now;
  }
  m_Live = std::move(Live);
  if (m_Live.size() >= m_MaxEntries ||
      Now - m_MaxEntriesAt > m_Settings.m_EntryCountRetention) {
    m_MaxEntries = std::max<std::size_t>(1, m_Live.size());
    m_MaxEntriesAt = Now;
  }
  updateRates(Now);
}

const std::string &RateTokens::granter(const std::string &Server) const {
  const auto [Found, IsNew] = m_GranterCache.try_emplace(Server);
  if (IsNew && !m_Live.empty())
    Found->second = m_Live[base::rankByRendezvous(Server, m_Live).front()];
  return Found->second;
}

bool RateTokens::isGranter(const std::string &Server) const {
  return !m_Live.empty() && granter(Server) == m_Self;
}

bool RateTokens::permits(const std::string &Server, base::Millis Now) const {
  if (!permits(Server))
    return false;
  const auto Found = m_Servers.find(Server);
  return !coldLimit(Server) || Found->second.m_Token->m_Expiry > Now;
}

bool RateTokens::permits(const std::string &Server) const {
  if (!limit(Server))
    return true;
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() && Found->second.m_Token;
}

void RateTokens::use(const std::string &Server, base::Millis Now) {
  if (!limit(Server))
    return;
  ServerTokens &Of = m_Servers[Server];
  if (Of.m_Token)
    ++m_Counts.m_Used;
  if (Of.m_Token && coldLimit(Server)) {
    RateTokenMessage Message;
    Message.m_Kind = RateTokenMessage::Kind::Used;
    Message.m_Limit.m_Server = Server;
    Message.m_Number = Of.m_Token->m_Number;
    send(granter(Server), Message, Now);
  }
  Of.m_Token.reset();
  const bool IsFrequent =
      Of.m_UsedAt && Now - *Of.m_UsedAt <= m_Settings.m_HoldTime;
  Of.m_UsedAt = Now;
  if (IsFrequent)
    request(Server, Now);
}

bool RateTokens::request(const std::string &Server, base::Millis Now) {
  const auto Limit = statement(Server, Now);
  if (!Limit)
    return false;
  ServerTokens &Of = m_Servers[Server];
  const bool IsEarly =
      Of.m_RequestedAt && Now < *Of.m_RequestedAt + Of.m_RequestInterval;
  if (Of.m_Token || IsEarly || granter(Server).empty())
    return false;
  Of.m_RequestInterval =
      Of.m_RequestedAt
          ? std::min(Of.m_RequestInterval * 2, m_Settings.m_MaxRequestInterval)
          : m_Settings.m_RequestLifetime;
  Of.m_RequestedAt = Now;
  ++m_Counts.m_Requested;
  send(granter(Server), {RateTokenMessage::Kind::Request, *Limit, 0, Now}, Now);
  return true;
}

void RateTokens::receive(const std::string &From,
                         const RateTokenMessage &Message, base::Millis Now) {
  checkFreeze(Now);
  const std::string &Server = Message.m_Limit.m_Server;
  switch (Message.m_Kind) {
  case RateTokenMessage::Kind::Request:
    if (From != m_Self)
      m_Limits.applyStatement(Message.m_Limit, From, Now);
    if (!m_Granter.isAssigned(Server))
      updateRates(Now);
    m_Granter.request(Server, From, Message.m_RequestedAt, Now);
    grantAvailable(Now);
    return;
  case RateTokenMessage::Kind::Grant:
    receiveGrant(From, Message, Now);
    return;
  case RateTokenMessage::Kind::Return:
    m_Granter.returned(Server, Message.m_Number, Now);
    grantAvailable(Now);
    return;
  case RateTokenMessage::Kind::Used:
    m_Granter.used(Server, Message.m_Number, Now);
    grantAvailable(Now);
    return;
  }
}

void RateTokens::receiveGrant(const std::string &From,
                              const RateTokenMessage &Message,
                              base::Millis Now) {
  const std::string &Server = Message.m_Limit.m_Server;
  const auto Limit = statement(Server, Now);
  if (!Limit || Limit->m_StartTime != Message.m_Limit.m_StartTime ||
      From != granter(Server))
    return;
  ServerTokens &Of = m_Servers[Server];
  if (Of.m_Granter == From && Message.m_Number <= Of.m_LastNumber)
    return;
  Of.m_Granter = From;
  Of.m_LastNumber = Message.m_Number;
  // The granter counts a late token as used, so it must not be used later.
  const bool IsLate = Now - Message.m_RequestedAt >
                      m_Settings.m_RequestLifetime + m_Settings.m_TransitTime;
  if (IsLate)
    return;
  Of.m_RequestedAt.reset();
  if (Of.m_Token) {
    returnToken(Server, Message.m_Number, Now);
    return;
  }
  Of.m_Token = Token{Message.m_Number, Now + m_Settings.m_HoldTime};
  if (m_OnReceived)
    m_OnReceived();
}

void RateTokens::returnToken(const std::string &Server, std::uint64_t Number,
                             base::Millis Now) {
  ++m_Counts.m_Returned;
  RateTokenMessage Message;
  Message.m_Kind = RateTokenMessage::Kind::Return;
  Message.m_Limit.m_Server = Server;
  Message.m_Number = Number;
  send(granter(Server), Message, Now);
}

void RateTokens::update(base::Millis Now) {
  checkFreeze(Now);
  m_UpdatedAt = Now;
  m_Limits.dropExpired(Now);
  std::erase_if(m_Servers,
                [this](const auto &Each) { return !limit(Each.first); });
  updateRates(Now);
  for (auto &[Server, Of] : m_Servers) {
    if (!Of.m_Token || Of.m_Token->m_Expiry > Now)
      continue;
    const std::uint64_t Number = Of.m_Token->m_Number;
    Of.m_Token.reset();
    returnToken(Server, Number, Now);
  }
  grantAvailable(Now);
}

void RateTokens::checkFreeze(base::Millis Now) {
  if (!m_UpdatedAt || Now - *m_UpdatedAt <= FreezeTime)
    return;
  m_UpdatedAt = Now;
  m_LiveChangedAt = Now;
  m_Granter.discardBounded();
  updateRates(Now);
}

void RateTokens::updateColdPart(base::Millis Now) {
  const double Part =
      static_cast<double>(m_Live.size()) / static_cast<double>(m_MaxEntries);
  if (Part < m_ColdPart || Now - m_LiveChangedAt >= SettlingTime)
    m_ColdPart = Part;
}

void RateTokens::addColdRates(std::map<std::string, TokenRate> &Rates,
                              base::Millis Now) const {
  for (const auto &[Server, PerSecond] : m_WarmUp->coldServers()) {
    if (!isGranter(Server))
      continue;
    TokenRate &Added = Rates[Server];
    const double Cold = m_ColdPart * m_WarmUp->tokensPerSecond(PerSecond);
    const bool IsLower = m_Limits.limit(Server) && Added.m_PerSecond < Cold;
    Added.m_PerSecond = IsLower ? Added.m_PerSecond : Cold;
    Added.m_MaxTokens =
        std::max(1.0, m_ColdPart * m_WarmUp->maxTokens(PerSecond));
    Added.m_StartsAt = std::max(Now, m_LiveChangedAt + SettlingTime);
  }
}

void RateTokens::updateRates(base::Millis Now) {
  updateColdPart(Now);
  const double LivePart =
      static_cast<double>(m_Live.size()) / static_cast<double>(m_MaxEntries);
  std::map<std::string, TokenRate> Rates;
  for (const std::string &Server : m_Limits.limitedServers())
    if (isGranter(Server))
      Rates[Server].m_PerSecond =
          LivePart * std::max(m_Limits.limit(Server).value_or(0),
                              m_Settings.m_MinPerSecond);
  if (m_WarmUp)
    addColdRates(Rates, Now);
  m_Granter.setRates(Rates, Now);
}

void RateTokens::grantAvailable(base::Millis Now) {
  for (const RateTokenGranter::Grant &Each : m_Granter.grantAvailable(Now)) {
    const auto Limit = statement(Each.m_Server, Now);
    if (!Limit)
      continue;
    ++m_Counts.m_Granted;
    send(Each.m_Entry,
         {RateTokenMessage::Kind::Grant, *Limit, Each.m_Number,
          Each.m_RequestedAt},
         Now);
  }
}

void RateTokens::send(const std::string &Entry, const RateTokenMessage &Message,
                      base::Millis Now) {
  if (Entry == m_Self)
    receive(m_Self, Message, Now);
  else if (m_Send && !Entry.empty())
    m_Send(Entry, Message);
}

} // namespace corneldeck::direct

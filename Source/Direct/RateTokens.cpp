#include "Direct/RateTokens.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::direct {

void RateTokens::setEntries(const std::string &Self,
                            std::vector<std::string> Live, base::Millis Now) {
  m_Self = Self;
  std::sort(Live.begin(), Live.end());
  if (Live != m_Live)
    m_GranterCache.clear();
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

bool RateTokens::permits(const std::string &Server) const {
  if (!m_Limits.limit(Server))
    return true;
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() && Found->second.m_Token;
}

void RateTokens::use(const std::string &Server, base::Millis Now) {
  if (!m_Limits.limit(Server))
    return;
  ServerTokens &Of = m_Servers[Server];
  if (Of.m_Token)
    ++m_Counts.m_Used;
  Of.m_Token.reset();
  const bool IsFrequent =
      Of.m_UsedAt && Now - *Of.m_UsedAt <= m_Settings.m_HoldTime;
  Of.m_UsedAt = Now;
  if (IsFrequent)
    request(Server, Now);
}

bool RateTokens::request(const std::string &Server, base::Millis Now) {
  const auto Limit = m_Limits.statement(Server, Now);
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
  }
}

void RateTokens::receiveGrant(const std::string &From,
                              const RateTokenMessage &Message,
                              base::Millis Now) {
  const std::string &Server = Message.m_Limit.m_Server;
  const auto Limit = m_Limits.statement(Server, Now);
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
  m_Limits.dropExpired(Now);
  std::erase_if(m_Servers, [this](const auto &Each) {
    return !m_Limits.limit(Each.first);
  });
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

void RateTokens::updateRates(base::Millis Now) {
  const double LivePart =
      static_cast<double>(m_Live.size()) / static_cast<double>(m_MaxEntries);
  std::map<std::string, double> Rates;
  for (const std::string &Server : m_Limits.limitedServers())
    if (isGranter(Server))
      Rates[Server] = LivePart * std::max(m_Limits.limit(Server).value_or(0),
                                          m_Settings.m_MinPerSecond);
  m_Granter.setRates(Rates, Now);
}

void RateTokens::grantAvailable(base::Millis Now) {
  for (const RateTokenGranter::Grant &Each : m_Granter.grantAvailable(Now)) {
    const auto Limit = m_Limits.statement(Each.m_Server, Now);
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

#include "Gateway/RateLimitExchange.h"

#include "Base/Format.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <limits>

namespace corneldeck::gateway {

namespace {

/// Interval at which tokens are granted while entries wait for them; short
/// compared to the wait of a queued request.
constexpr std::chrono::milliseconds GrantInterval{20};

wire::ServerRate encode(const direct::RateLimitStatement &Statement) {
  wire::ServerRate Rate;
  Rate.set_server(Statement.m_Server);
  Rate.set_start_time(Statement.m_StartTime);
  Rate.set_per_second(Statement.m_PerSecond.value_or(0));
  Rate.set_ended(!Statement.m_PerSecond);
  Rate.set_age_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Statement.m_Age.count(), 0, std::numeric_limits<std::int32_t>::max())));
  return Rate;
}

direct::RateLimitStatement decode(const wire::ServerRate &Rate) {
  direct::RateLimitStatement Statement;
  Statement.m_Server = Rate.server();
  Statement.m_StartTime = Rate.start_time();
  Statement.m_Age = base::Millis(Rate.age_ms());
  if (!Rate.ended())
    Statement.m_PerSecond = Rate.per_second();
  return Statement;
}

bool isValid(const wire::ServerRate &Rate) {
  return std::isfinite(Rate.per_second()) && Rate.per_second() >= 0;
}

} // namespace

RateLimitExchange::RateLimitExchange(boost::asio::io_context &Context,
                                     direct::ServerPool &Pool,
                                     fleet::FleetNode &Fleet,
                                     base::Timeline &Events,
                                     metrics::Registry &Metrics,
                                     std::function<void()> OnToken)
    : m_Context(Context), m_Pool(Pool), m_Fleet(Fleet), m_Events(Events),
      m_OnToken(std::move(OnToken)), m_Timer(Context),
      m_LimitedServers(
          Metrics.gauge("corneldeck_rate_limited_servers",
                        "Backend servers that name a rate limit.")),
      m_Requested(Metrics.counter("corneldeck_rate_tokens_requested_total",
                                  "Requests of this entry for tokens of "
                                  "servers with a rate limit.")),
      m_Granted(Metrics.counter("corneldeck_rate_tokens_granted_total",
                                "Tokens that this entry granted.")),
      m_Used(Metrics.counter("corneldeck_rate_tokens_used_total",
                             "Attempts at servers with a rate limit.")),
      m_Returned(Metrics.counter("corneldeck_rate_tokens_returned_total",
                                 "Tokens that this entry returned unused.")) {
  m_Pool.rateLimits().onChange(
      [this](const direct::ServerRateLimits::Change &Change) {
        recordChange(Change);
      });
  m_Pool.rateTokens().onSend([this](const std::string &Entry,
                                    const direct::RateTokenMessage &Message) {
    send(Entry, Message);
  });
  // A token may arrive while an attempt is started, so it is used later.
  m_Pool.rateTokens().onReceived(
      [this] { boost::asio::post(m_Context, m_OnToken); });
}

void RateLimitExchange::update() {
  std::vector<std::string> Live;
  for (const wire::NodeNews &Each : m_Fleet.liveEntries())
    if (Each.ready() && !Each.leaving())
      Live.push_back(Each.node());
  const wire::NodeNews Self = m_Fleet.self();
  if (Self.ready() && !Self.leaving())
    Live.push_back(Self.node());
  const base::Millis Now = m_Clock.now();
  m_Pool.rateTokens().setEntries(Self.node(), std::move(Live), Now);
  m_Pool.rateTokens().update(Now);
  armTimer();
  updateMetrics();
}

void RateLimitExchange::fillHeartbeat(wire::FleetBeat &Beat) const {
  for (const direct::RateLimitStatement &Each : m_Pool.rateLimits().statements(
           m_Clock.now(), [this](const std::string &Server) {
             return m_Pool.rateTokens().isGranter(Server);
           }))
    *Beat.add_rates() = encode(Each);
}

void RateLimitExchange::handleHeartbeat(const wire::FleetBeat &Beat) {
  for (const wire::ServerRate &Each : Beat.rates())
    if (isValid(Each))
      m_Pool.rateLimits().applyStatement(decode(Each), Beat.sender().node(),
                                         m_Clock.now());
}

void RateLimitExchange::handleToken(const wire::RateToken &Message) {
  using Kind = direct::RateTokenMessage::Kind;
  if (!isValid(Message.rate()))
    return;
  direct::RateTokenMessage Decoded;
  switch (Message.kind()) {
  case wire::RateToken::REQUEST:
    Decoded.m_Kind = Kind::Request;
    break;
  case wire::RateToken::GRANT:
    Decoded.m_Kind = Kind::Grant;
    break;
  case wire::RateToken::RETURN:
    Decoded.m_Kind = Kind::Return;
    break;
  case wire::RateToken::USED:
    Decoded.m_Kind = Kind::Used;
    break;
  default:
    return;
  }
  Decoded.m_Limit = decode(Message.rate());
  Decoded.m_Number = Message.number();
  Decoded.m_RequestedAt = base::Millis(Message.requested_at_ms());
  m_Pool.rateTokens().receive(Message.entry(), Decoded, m_Clock.now());
  armTimer();
}

void RateLimitExchange::send(const std::string &Entry,
                             const direct::RateTokenMessage &Message) {
  using Kind = direct::RateTokenMessage::Kind;
  wire::Datagram Datagram;
  wire::RateToken &Token = *Datagram.mutable_rate_token();
  switch (Message.m_Kind) {
  case Kind::Request:
    Token.set_kind(wire::RateToken::REQUEST);
    break;
  case Kind::Grant:
    Token.set_kind(wire::RateToken::GRANT);
    break;
  case Kind::Return:
    Token.set_kind(wire::RateToken::RETURN);
    break;
  case Kind::Used:
    Token.set_kind(wire::RateToken::USED);
    break;
  }
  Token.set_entry(m_Fleet.self().node());
  *Token.mutable_rate() = encode(Message.m_Limit);
  Token.set_number(Message.m_Number);
  Token.set_requested_at_ms(Message.m_RequestedAt.count());
  m_Fleet.sendTo(Entry, Datagram);
}

void RateLimitExchange::recordChange(
    const direct::ServerRateLimits::Change &Change) {
  m_Events.record(base::EventId::ServerRateLimit,
                  {{"server", Change.m_Server},
                   {"change", std::string(name(Change.m_Type))},
                   {"per_second", base::formatDecimal(Change.m_PerSecond)},
                   {"from", Change.m_From},
                   {"age_ms", std::to_string(Change.m_Age.count())},
                   {"granter", m_Pool.rateTokens().granter(Change.m_Server)},
                   {"text", Change.m_Text}});
}

void RateLimitExchange::armTimer() {
  if (m_TimerArmed || !m_Pool.rateTokens().hasWaiting())
    return;
  m_TimerArmed = true;
  m_Timer.expires_after(GrantInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (Code)
      return;
    m_TimerArmed = false;
    m_Pool.rateTokens().update(m_Clock.now());
    armTimer();
  });
}

void RateLimitExchange::updateMetrics() {
  const direct::RateTokens::Counts &Counts = m_Pool.rateTokens().counts();
  m_Requested.add(Counts.m_Requested - m_Reported.m_Requested);
  m_Granted.add(Counts.m_Granted - m_Reported.m_Granted);
  m_Used.add(Counts.m_Used - m_Reported.m_Used);
  m_Returned.add(Counts.m_Returned - m_Reported.m_Returned);
  m_Reported = Counts;
  m_LimitedServers.set(
      static_cast<double>(m_Pool.rateLimits().limitedServers().size()));
}

} // namespace corneldeck::gateway

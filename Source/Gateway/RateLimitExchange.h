#ifndef CORNELDECK_GATEWAY_RATELIMITEXCHANGE_H
#define CORNELDECK_GATEWAY_RATELIMITEXCHANGE_H

#include "Base/Timeline.h"
#include "Direct/ServerPool.h"
#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace corneldeck::gateway {

/// Exchanges the rate limits of backend servers, and the tokens for them, with
/// the other entries. Logs each change of a limit.
class RateLimitExchange {
public:
  /// \param OnToken called after a token has been received.
  RateLimitExchange(boost::asio::io_context &Context, direct::ServerPool &Pool,
                    fleet::FleetNode &Fleet, base::Timeline &Events,
                    metrics::Registry &Metrics, std::function<void()> OnToken);

  /// Updates the live entries, the limits and the tokens. Called several times
  /// a second.
  void update();

  void fillHeartbeat(wire::FleetBeat &Beat) const;
  void handleHeartbeat(const wire::FleetBeat &Beat);
  void handleToken(const wire::RateToken &Message);

private:
  void send(const std::string &Entry, const direct::RateTokenMessage &Message);
  void recordChange(const direct::ServerRateLimits::Change &Change);
  /// Grants tokens at a short interval while entries wait for them.
  void armTimer();
  void updateMetrics();

  boost::asio::io_context &m_Context;
  direct::ServerPool &m_Pool;
  fleet::FleetNode &m_Fleet;
  base::Timeline &m_Events;
  const std::function<void()> m_OnToken;
  const base::Clock m_Clock = base::steadyClock();
  boost::asio::steady_timer m_Timer;
  bool m_TimerArmed = false;
  direct::RateTokens::Counts m_Reported;
  metrics::Gauge &m_LimitedServers;
  metrics::Counter &m_Requested;
  metrics::Counter &m_Granted;
  metrics::Counter &m_Used;
  metrics::Counter &m_Returned;
};

} // namespace corneldeck::gateway

#endif

#include "Gateway/WarmUpReport.h"

#include "Base/Format.h"

namespace corneldeck::gateway {

namespace {

/// Maximum number of lines between two updates, so that the start of a whole
/// fleet of servers leaves room for other lines.
constexpr std::size_t MaxLines = 64;

} // namespace

WarmUpReport::WarmUpReport(direct::ServerPool &Pool, base::Timeline &Events,
                           metrics::Registry &Metrics)
    : m_Pool(Pool), m_Events(Events),
      m_ColdServers(Metrics.gauge("corneldeck_cold_servers",
                                  "Backend servers that are cold and whose "
                                  "service bounds their requests.")),
      m_Unlogged(Metrics.counter(
          "corneldeck_cold_server_changes_unlogged_total",
          "Servers that became cold or warm without a line in the log, since "
          "there were too many at a time.")) {
  m_Pool.warmUp().onChange([this](const direct::WarmUpLimits::Change &Change) {
    recordChange(Change);
  });
}

void WarmUpReport::update() {
  m_Lines = 0;
  m_Pool.warmUp().update(m_Clock.now());
  m_ColdServers.set(static_cast<double>(m_Pool.warmUp().coldServers().size()));
}

void WarmUpReport::recordChange(const direct::WarmUpLimits::Change &Change) {
  if (++m_Lines > MaxLines) {
    m_Unlogged.add();
    return;
  }
  m_Events.record(Change.m_IsCold ? base::EventId::ServerCold
                                  : base::EventId::ServerWarm,
                  {{"server", Change.m_Server},
                   {"service", Change.m_Service},
                   {"zone", Change.m_Zone},
                   {"cause", Change.m_IsCold ? std::string(name(Change.m_Cause))
                                             : std::string()},
                   {"remaining_ms", std::to_string(Change.m_Remaining.count())},
                   {"per_second", base::formatDecimal(Change.m_PerSecond)},
                   {"granter", m_Pool.rateTokens().granter(Change.m_Server)}});
}

} // namespace corneldeck::gateway

#include "Gateway/ServerNoticeExchange.h"

namespace corneldeck::gateway {

ServerNoticeExchange::ServerNoticeExchange(direct::ServerPool &Pool,
                                           base::Timeline &Events,
                                           metrics::Registry &Metrics)
    : m_Pool(Pool), m_Events(Events),
      m_LeavingServers(
          Metrics.gauge("corneldeck_leaving_servers",
                        "Listed backend servers that said that they leave.")),
      m_PausedServers(
          Metrics.gauge("corneldeck_paused_servers",
                        "Backend servers that want no requests of this entry "
                        "for some time.")),
      m_Notices(Metrics.counter("corneldeck_server_notices_total",
                                "Changes of what backend servers say about "
                                "their further use.")) {
  m_Pool.notices().onChange(
      [this](const direct::ServerNotices::Change &Change) {
        recordChange(Change);
      });
}

void ServerNoticeExchange::update() {
  m_LeavingServers.set(static_cast<double>(m_Pool.notices().leavingCount()));
  m_PausedServers.set(
      static_cast<double>(m_Pool.notices().pausedCount(m_Clock.now())));
}

void ServerNoticeExchange::fillHeartbeat(wire::FleetBeat &Beat) const {
  for (const direct::LeavingStatement &Each : m_Pool.notices().statements()) {
    wire::ServerLeaving &Statement = *Beat.add_leaving();
    Statement.set_server(Each.m_Server);
    Statement.set_start_time(Each.m_StartTime);
  }
}

void ServerNoticeExchange::handleHeartbeat(const wire::FleetBeat &Beat) {
  for (const wire::ServerLeaving &Each : Beat.leaving())
    m_Pool.notices().applyStatement({Each.server(), Each.start_time()},
                                    Beat.sender().node(), m_Clock.now());
}

void ServerNoticeExchange::recordChange(
    const direct::ServerNotices::Change &Change) {
  m_Notices.add();
  m_Events.record(base::EventId::ServerNoticed,
                  {{"server", Change.m_Server},
                   {"change", std::string(name(Change.m_Type))},
                   {"start_time", std::to_string(Change.m_StartTime)},
                   {"remaining_ms", std::to_string(Change.m_Remaining.count())},
                   {"from", Change.m_From},
                   {"text", Change.m_Text}});
}

} // namespace corneldeck::gateway

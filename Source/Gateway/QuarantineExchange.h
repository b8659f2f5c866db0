#ifndef CORNELDECK_GATEWAY_QUARANTINEEXCHANGE_H
#define CORNELDECK_GATEWAY_QUARANTINEEXCHANGE_H

#include "Base/Random.h"
#include "Base/Timeline.h"
#include "Direct/PromptQuarantine.h"
#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace corneldeck::gateway {

/// Exchanges ends of backend servers and quarantined parts of prompts with the
/// other entries. Logs and counts each change.
class QuarantineExchange {
public:
  /// \param OnQuarantined called after a part has been quarantined.
  QuarantineExchange(
      boost::asio::io_context &Context, direct::PromptQuarantine &Quarantine,
      fleet::FleetNode &Fleet, base::Timeline &Events,
      metrics::Registry &Metrics, base::Random &Rng,
      std::function<void(const std::string &Service, std::uint64_t Part)>
          OnQuarantined);

  void fillHeartbeat(wire::FleetBeat &Beat) const;
  /// Applies the statements of a heartbeat, a summary or news.
  /// \param From the name of the sender.
  template <typename Message>
  void handle(const Message &Received, const std::string &From) {
    for (const wire::ServerEnd &Each : Received.ends())
      applyEnd(Each);
    for (const wire::PartQuarantine &Each : Received.parts())
      applyPart(Each, From);
  }

  /// Returns the quarantined parts as text, a line each.
  [[nodiscard]] std::string describe() const;

private:
  void applyEnd(const wire::ServerEnd &Statement);
  void applyPart(const wire::PartQuarantine &Statement,
                 const std::string &From);
  void recordChange(const direct::PromptQuarantine::Change &Change);
  /// Sends what is new to all entries, once for all changes of one handler.
  void sendNews();

  boost::asio::io_context &m_Context;
  direct::PromptQuarantine &m_Quarantine;
  fleet::FleetNode &m_Fleet;
  base::Timeline &m_Events;
  base::Random &m_Rng;
  const std::function<void(const std::string &, std::uint64_t)> m_OnQuarantined;
  const base::Clock m_Clock = base::steadyClock();
  bool m_HasNews = false;
  metrics::Gauge &m_Parts;
  metrics::Counter &m_Quarantines;
  metrics::Counter &m_Trials;
  /// Expires with this object, for actions that are posted.
  const std::shared_ptr<const bool> m_Lifetime =
      std::make_shared<const bool>(true);
};

} // namespace corneldeck::gateway

#endif

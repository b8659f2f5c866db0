#ifndef CORNELDECK_STANDIN_VMLISTROLE_H
#define CORNELDECK_STANDIN_VMLISTROLE_H

#include "Base/Clock.h"
#include "Standin/Role.h"

#include <deque>

namespace corneldeck::standin {

/// Stands in for the platform's lagging list of VMs.
///
/// GET /vms gives {"vms":[{"name","zone","address","state"}]} as it was a
/// while ago; state is "live" or "leaving". POST /vms replaces the list.
/// Fault: lag_ms.
class VmListRole {
public:
  explicit VmListRole(boost::asio::io_context &Context);

  base::Result<std::string> listen(const std::string &Address) {
    return m_Role.listen(Address);
  }

private:
  struct Version {
    base::Millis m_At{};
    nlohmann::json m_Vms;
  };

  void handle(const ExchangePtr &Exchange);
  void replace(const ExchangePtr &Exchange);
  void list(const ExchangePtr &Exchange);

  const base::Clock m_Clock = base::steadyClock();
  base::Millis m_Lag{};
  std::deque<Version> m_Versions;
  Role m_Role;
};

} // namespace corneldeck::standin

#endif

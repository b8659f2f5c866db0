#ifndef CORNELDECK_ENTRY_SERVICESTATE_H
#define CORNELDECK_ENTRY_SERVICESTATE_H

#include "Catalogue/Entry.h"
#include "Routing/Dispatcher.h"
#include "Routing/RetryBudget.h"
#include "Wire/Link.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace corneldeck::entry {

/// The state of one service at an entry: the request queue, the replica
/// selection and the retry budget.
class ServiceState {
public:
  /// \param Zone the entry's availability zone.
  /// \param Seed the seed of the replica selection; must differ between
  /// entries.
  ServiceState(std::string Zone, std::uint64_t Seed);

  /// Applies a changed catalogue entry.
  void setEntry(const std::shared_ptr<const catalogue::Entry> &Entry);

  /// Applies an agent's load report, if the agent serves this service.
  void onLoad(base::Millis Now, const std::string &Agent,
              const wire::Load &Load);

  /// \returns whether \p Agent serves this service.
  [[nodiscard]] bool has(const std::string &Agent) const;

  /// \returns the names of the service's backend servers.
  [[nodiscard]] const std::vector<std::string> &servers() const {
    return m_Servers;
  }

  [[nodiscard]] routing::Dispatcher &dispatcher() { return m_Dispatcher; }
  [[nodiscard]] routing::ReplicaChooser &chooser() {
    return m_Dispatcher.chooser();
  }
  [[nodiscard]] routing::RetryBudget &budget() { return m_Budget; }

private:
  std::vector<std::string> m_Servers;
  routing::Dispatcher m_Dispatcher;
  routing::RetryBudget m_Budget;
};

} // namespace corneldeck::entry

#endif

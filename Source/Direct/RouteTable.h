#ifndef CORNELDECK_DIRECT_ROUTETABLE_H
#define CORNELDECK_DIRECT_ROUTETABLE_H

#include "Base/Error.h"
#include "Base/Random.h"
#include "Direct/Configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneldeck::direct {

/// Looks up routes and customers in one version of the configuration.
/// Immutable: requests in flight keep the version that they started with.
class RouteTable {
public:
  explicit RouteTable(Configuration Published);

  /// Returns the route of the host with the longest matching path prefix, or
  /// null.
  /// \param Host the host without a port, case-insensitive.
  /// \param Path the path without the query.
  [[nodiscard]] const Route *findRoute(std::string_view Host,
                                       std::string_view Path) const;

  /// Returns the customer that owns \p Key, or null.
  [[nodiscard]] const Customer *findCustomer(std::string_view Key) const;

  /// Picks one of the route's services at random by weight.
  /// \returns its name, or an empty string if no service has a weight.
  static std::string_view pickService(const Route &From, base::Random &Rng);

  /// Returns the highest target for the time between two events among the
  /// streaming routes to \p Service; zero if there are none.
  [[nodiscard]] base::Millis
  targetEventInterval(const std::string &Service) const;

  /// Returns whether a request to the route \p To may run with its key. A key
  /// that no customer holds permits nothing, also if no key is required:
  /// otherwise a version without customers would permit the keys that it
  /// removes.
  /// \param Key the key that the request names; empty if it names none.
  [[nodiscard]] bool permitsKey(const Route &To, std::string_view Key) const;

  [[nodiscard]] const Configuration &configuration() const {
    return m_Configuration;
  }

private:
  const Configuration m_Configuration;
  /// Keyed by Route::m_LookupKey.
  std::unordered_map<std::string_view, const Route *> m_ByPrefix;
  std::unordered_map<std::string, const Customer *> m_ByKey;
  std::unordered_map<std::string, base::Millis> m_TargetEventIntervals;
};

} // namespace corneldeck::direct

#endif

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

/// Answers, for one version of the configuration, where a request goes and on
/// whose behalf. Immutable, so requests in flight keep the version that they
/// began with.
class RouteTable {
public:
  explicit RouteTable(Configuration Published);

  /// \param Host the host without a port; its case does not matter.
  /// \param Path the path without its query.
  /// \returns the route with the longest prefix of \p Path, or null.
  [[nodiscard]] const Route *findRoute(std::string_view Host,
                                       std::string_view Path) const;

  /// \returns the customer that holds \p Key, or null.
  [[nodiscard]] const Customer *findCustomer(std::string_view Key) const;

  /// Draws one of the route's services by weight.
  /// \returns its name, empty if the route has none.
  static std::string_view pickService(const Route &Of, base::Random &Rng);

  /// \returns whether requests need a customer's key unless their route is
  /// public.
  [[nodiscard]] bool requiresKey() const {
    return !m_Configuration.m_Customers.empty();
  }

  [[nodiscard]] const Configuration &configuration() const {
    return m_Configuration;
  }

private:
  const Configuration m_Configuration;
  /// By host in lower case, a blank and the prefix.
  std::unordered_map<std::string, const Route *> m_ByPrefix;
  std::unordered_map<std::string, const Customer *> m_ByKey;
};

} // namespace corneldeck::direct

#endif

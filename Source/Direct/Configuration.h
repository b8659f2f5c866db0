#ifndef CORNELDECK_DIRECT_CONFIGURATION_H
#define CORNELDECK_DIRECT_CONFIGURATION_H

#include "Base/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// What may be done with a request after it may have run once.
enum class RetryPolicy {
  AtMostOnce, ///< Never sent again unless a backend server said "not run".
  Idempotent, ///< May run more than once.
  Resumable   ///< A stream that may go on elsewhere after its last event.
};

/// \returns the name of \p Policy, such as "at-most-once".
std::string_view name(RetryPolicy Policy);

/// A part of a route's traffic.
struct ServiceShare {
  std::string m_Service;
  unsigned m_Weight = 1;
};

/// Where requests of one host and path prefix go, and within which bounds.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RetryPolicy m_RetryPolicy = RetryPolicy::AtMostOnce;
  bool m_Stream = false;
  /// The longest time that a caller is kept waiting for the whole answer.
  base::Millis m_Timeout{};
  /// The time within which the first byte of an answer is on time.
  base::Millis m_TargetLatency{};
  /// The longest pause between two events that is on time; zero if not said.
  base::Millis m_TargetEventInterval{};
  /// 0 is served first.
  int m_Priority = 0;
  /// Backend servers that one request may be sent to.
  unsigned m_MaxAttempts = 1;
  /// Served without a customer's key.
  bool m_Public = false;
  std::vector<ServiceShare> m_Services;
};

/// How an engine turns load into time.
struct EngineProfile {
  /// Requests that run at once.
  unsigned m_Capacity = 1;
  double m_StepMillis = 0;
  double m_StepMillisPerRequest = 0;
  double m_PromptTokensPerSecond = 0;
  /// Steps of one pass.
  unsigned m_StepsPerPass = 1;
  /// Tokens that the engine's memory holds.
  double m_KvCacheTokens = 0;
  unsigned m_LayerSets = 0;
  unsigned m_Experts = 0;
  /// Experts that one rank holds of a layer set.
  unsigned m_SlotsPerSet = 0;
  /// Experts of a layer set that one order may bring to a rank.
  unsigned m_MaxNewExperts = 0;
  double m_ExpertMegabytes = 0;
  double m_CopyMegabitsPerSecond = 0;
  /// How long a rank group takes to form once all ranks are there.
  base::Millis m_FormationTime{};
};

/// A service and what its backend servers have in common.
struct Service {
  std::string m_Name;
  std::string m_HealthPath;
  /// Connections that one backend server takes from all callers together.
  unsigned m_MaxConnections = 0;
  std::optional<EngineProfile> m_Engine;
};

struct Customer {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  /// Goes before the route's priority.
  std::optional<int> m_Priority;
};

/// The bounds that callers have to keep.
struct CallerLimits {
  std::uint32_t m_MaxHeadBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 4194304;
  base::Millis m_HeadTimeout = base::seconds(3);
  base::Millis m_IdleTimeout = base::seconds(15);
};

/// One version of all that operators publish.
struct Configuration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<Service> m_Services;
  std::vector<Customer> m_Customers;
  CallerLimits m_Limits;

  /// \returns the service named \p Name, or null.
  [[nodiscard]] const Service *findService(std::string_view Name) const;
};

} // namespace corneldeck::direct

#endif

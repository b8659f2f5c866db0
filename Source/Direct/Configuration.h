#ifndef CORNELDECK_DIRECT_CONFIGURATION_H
#define CORNELDECK_DIRECT_CONFIGURATION_H

#include "Base/Millis.h"
#include "Direct/WarmUpLimits.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// Whether a request may be sent again after a backend server may have run it.
enum class RetryPolicy {
  AtMostOnce, ///< Retried only if no backend server can have run it.
  Idempotent, ///< May run more than once.
  Resumable   ///< A stream that can be resumed after its last event.
};

/// Returns the name of \p Policy, such as "at-most-once".
std::string_view name(RetryPolicy Policy);

/// The share of a route's traffic that goes to one service.
struct ServiceShare {
  std::string m_Service;
  /// In proportion to the other services of the route.
  double m_Weight = 1;
};

/// Services and limits of the requests for one host and path prefix.
struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  RetryPolicy m_RetryPolicy = RetryPolicy::AtMostOnce;
  bool m_Stream = false;
  /// Time limit for the complete response.
  base::Millis m_Timeout{};
  /// Target for the time to the first byte of a response.
  base::Millis m_TargetLatency{};
  /// Target for the time between two events of a stream; zero if not set.
  base::Millis m_TargetEventInterval{};
  /// 0 is the most urgent.
  int m_Priority = 0;
  /// Maximum number of backend servers that one request is sent to.
  unsigned m_MaxAttempts = 1;
  /// Whether requests are accepted without a customer's key.
  bool m_Public = false;
  std::vector<ServiceShare> m_Services;
  /// The result of routeLookupKey() for the host and the path prefix.
  std::string m_LookupKey;
  /// Why the route cannot be used; empty if it can. Its requests are refused:
  /// neither a shorter path prefix nor an older version applies to them.
  std::string m_Error;
};

/// Returns the key by which RouteTable finds a route: the host in lower case, a
/// space and the path prefix.
std::string routeLookupKey(std::string_view Host, std::string_view Prefix);

/// Capacity and performance model of an inference engine.
struct EngineProfile {
  /// Maximum number of requests that run at the same time.
  unsigned m_Capacity = 1;
  double m_StepMillis = 0;
  double m_StepMillisPerRequest = 0;
  double m_PromptTokensPerSecond = 0;
  /// Number of steps in one pass.
  unsigned m_StepsPerPass = 1;
  /// Capacity of the engine's KV cache in tokens.
  double m_KvCacheTokens = 0;
  unsigned m_LayerSets = 0;
  unsigned m_Experts = 0;
  /// Number of experts of one layer set that a rank holds.
  unsigned m_SlotsPerSet = 0;
  /// Maximum number of experts of one layer set that a single order adds to a
  /// rank.
  unsigned m_MaxNewExperts = 0;
  double m_ExpertMegabytes = 0;
  double m_CopyMegabitsPerSecond = 0;
  /// Time that a rank group takes to form once all of its ranks are present.
  base::Millis m_FormationTime{};

  /// \returns the time that a rank needs to copy one expert; zero if unknown.
  [[nodiscard]] base::Millis copyTime() const {
    constexpr double BitsPerByte = 8;
    constexpr double MillisPerSecond = 1000;
    constexpr double MaxMillis = 1e12;
    if (m_CopyMegabitsPerSecond <= 0)
      return base::Millis(0);
    return base::Millis(static_cast<std::int64_t>(
        std::min(MaxMillis, MillisPerSecond * BitsPerByte * m_ExpertMegabytes /
                                m_CopyMegabitsPerSecond)));
  }
};

/// A service and the properties that all of its backend servers share.
struct Service {
  std::string m_Name;
  std::string m_HealthPath;
  /// Maximum number of connections to one backend server, over all clients.
  unsigned m_MaxConnections = 0;
  std::optional<EngineProfile> m_Engine;
  WarmUpRule m_WarmUp;
};

struct Customer {
  std::string m_Name;
  std::vector<std::string> m_Keys;
  /// Overrides the route's priority.
  std::optional<int> m_Priority;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::uint32_t m_MaxHeadBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 4194304;
  base::Millis m_HeadTimeout = base::seconds(3);
  base::Millis m_IdleTimeout = base::seconds(15);
};

/// One version of the configuration that operators publish.
struct Configuration {
  std::uint64_t m_Version = 0;
  /// Versions share the routes that have not changed.
  std::vector<std::shared_ptr<const Route>> m_Routes;
  std::vector<Service> m_Services;
  /// Whether requests need a customer's key unless their route is public, also
  /// if there is no customer.
  bool m_RequiresKey = true;
  std::vector<Customer> m_Customers;
  CallerLimits m_Limits;
  /// Parts beside the routes that could not be decoded and are not in effect.
  std::vector<std::string> m_Errors;

  /// Returns the service named \p Name, or null if there is none.
  [[nodiscard]] const Service *findService(std::string_view Name) const;

  /// Returns how the servers of the services warm up, by service.
  [[nodiscard]] std::map<std::string, WarmUpRule> warmUpRules() const;

  /// Returns why parts of the configuration are not in effect; empty if all of
  /// it is.
  [[nodiscard]] std::vector<std::string> unreadableParts() const;
};

} // namespace corneldeck::direct

#endif

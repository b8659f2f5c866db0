#ifndef CORNELDECK_CATALOGUE_ENTRY_H
#define CORNELDECK_CATALOGUE_ENTRY_H

#include "Base/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::catalogue {

/// The kind of backend server of an entry.
enum class Kind {
  Model,  ///< Inference engines that stream tokens.
  Service ///< HTTP services that are addressed by path.
};

/// The service class of an entry's requests, highest priority first.
enum class ServiceClass { Interactive, Standard, Batch };

std::string_view name(Kind Value);
std::string_view name(ServiceClass Value);
std::optional<Kind> kindFromName(std::string_view Name);
std::optional<ServiceClass> serviceClassFromName(std::string_view Name);

/// Limits of a customer, over all entry VMs together, and its weight.
struct CustomerLimit {
  std::string m_Name;
  double m_RequestsPerS = 0;
  /// Prompt and output tokens per second; 0 for no limit.
  double m_TokensPerS = 0;
  /// Weight in the fair queue, relative to the other customers of its class.
  double m_Share = 1;

  bool operator==(const CustomerLimit &) const = default;
};

/// The rank group and rank of a backend server.
struct RankAssignment {
  std::string m_Group;
  std::uint32_t m_Rank = 0;

  bool operator==(const RankAssignment &) const = default;
};

/// A backend server and the agent that serves it.
struct BackendServer {
  std::string m_Name;
  /// Address at which the agent accepts request links, as "IP:PORT".
  std::string m_LinkAddress;
  /// Address at which the agent accepts control messages, as "IP:PORT".
  std::string m_ControlAddress;
  /// Availability zone.
  std::string m_Zone;
  /// Highest number of concurrent requests.
  std::uint32_t m_Capacity = 1;
  /// Whether the backend server itself refuses orders with an outdated fencing
  /// number.
  bool m_EnforcesFencing = false;
  std::optional<RankAssignment> m_RankAssignment;

  bool operator==(const BackendServer &) const = default;
};

/// The weights of load skew and of the cost of moves in rebalancing; only their
/// ratio matters.
struct RebalanceWeights {
  double m_Skew = 1;
  double m_Cost = 1;

  bool operator==(const RebalanceWeights &) const = default;
};

/// Default and longest deadline of a request.
struct Deadlines {
  base::Millis m_Default = base::seconds(30);
  base::Millis m_Max = base::minutes(5);

  bool operator==(const Deadlines &) const = default;
};

/// The bidding window of an entry.
struct BiddingWindow {
  /// Whether the window is open. The owner publishes a change when it opens or
  /// closes.
  bool m_Open = false;
  /// Whether rebalancing is allowed while the window is open.
  bool m_Rebalancing = true;

  bool operator==(const BiddingWindow &) const = default;
};

/// A validated catalogue entry.
struct Entry {
  std::string m_Name;
  std::string m_Owner;
  Kind m_Kind = Kind::Model;
  ServiceClass m_Class = ServiceClass::Standard;
  std::vector<CustomerLimit> m_Customers;
  std::vector<BackendServer> m_BackendServers;
  RebalanceWeights m_Weights;
  Deadlines m_Deadlines;
  /// Whether requests are idempotent if their path has no prefix in
  /// m_IdempotencyExceptions.
  bool m_IdempotentByDefault = false;
  /// Path prefixes for which the default is reversed.
  std::vector<std::string> m_IdempotencyExceptions;
  BiddingWindow m_BiddingWindow;

  /// \returns whether a request to \p Path may be executed more than once.
  [[nodiscard]] bool isIdempotent(std::string_view Path) const;

  /// \returns whether rebalancing may start now.
  [[nodiscard]] bool allowsRebalancing() const;

  /// \returns the limits of \p Customer, or null if it has none.
  [[nodiscard]] const CustomerLimit *
  customerLimit(std::string_view Customer) const;

  bool operator==(const Entry &) const = default;
};

} // namespace corneldeck::catalogue

#endif

#ifndef CORNELDECK_CATALOGUE_ENTRY_H
#define CORNELDECK_CATALOGUE_ENTRY_H

#include "Base/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::catalogue {

/// What stands behind an entry.
enum class Kind {
  Model,  ///< Inference engines that stream tokens.
  Service ///< HTTP services that are addressed by path.
};

/// The class of an entry's requests, best first.
enum class ServiceClass { Interactive, Standard, Batch };

std::string_view name(Kind Value);
std::string_view name(ServiceClass Value);
std::optional<Kind> kindFromName(std::string_view Name);
std::optional<ServiceClass> serviceClassFromName(std::string_view Name);

/// A customer's limits over all entry VMs, and its fair share.
struct CustomerLimit {
  std::string m_Name;
  double m_RequestsPerS = 0;
  /// Prompt and output tokens a second; 0 for no limit.
  double m_TokensPerS = 0;
  /// Weight in the fair queue against the other customers of its class.
  double m_Share = 1;

  bool operator==(const CustomerLimit &) const = default;
};

/// Place of a backend server in a rank group.
struct RankAssignment {
  std::string m_Group;
  std::uint32_t m_Rank = 0;

  bool operator==(const RankAssignment &) const = default;
};

/// A backend server and the agent in its slot.
struct BackendServer {
  std::string m_Name;
  /// Where the agent takes requests, as "IP:PORT".
  std::string m_LinkAddress;
  /// Where the agent takes control messages, as "IP:PORT".
  std::string m_ControlAddress;
  /// Availability zone.
  std::string m_Zone;
  /// Requests that it may run at once.
  std::uint32_t m_Capacity = 1;
  /// Set if the backend server refuses orders with an old fencing number.
  bool m_EnforcesFencing = false;
  std::optional<RankAssignment> m_RankAssignment;

  bool operator==(const BackendServer &) const = default;
};

/// What the owner wants of rebalancing; only the ratio counts.
struct RebalanceWeights {
  double m_Skew = 1;
  double m_Cost = 1;

  bool operator==(const RebalanceWeights &) const = default;
};

/// The time that a request may take.
struct Deadlines {
  base::Millis m_Default = base::seconds(30);
  base::Millis m_Max = base::minutes(5);

  bool operator==(const Deadlines &) const = default;
};

/// Rebalancing during a bidding window.
struct BiddingWindow {
  /// The owner publishes the window's opening and close.
  bool m_Open = false;
  bool m_Rebalancing = true;

  bool operator==(const BiddingWindow &) const = default;
};

/// One checked catalogue entry.
struct Entry {
  std::string m_Name;
  std::string m_Owner;
  Kind m_Kind = Kind::Model;
  ServiceClass m_Class = ServiceClass::Standard;
  std::vector<CustomerLimit> m_Customers;
  std::vector<BackendServer> m_BackendServers;
  RebalanceWeights m_Weights;
  Deadlines m_Deadlines;
  /// Whether requests are idempotent where no path below says otherwise.
  bool m_IdempotentByDefault = false;
  /// Prefixes of paths for which the default is reversed.
  std::vector<std::string> m_IdempotencyExceptions;
  BiddingWindow m_BiddingWindow;

  /// \returns whether a request to \p Path may run more than once.
  [[nodiscard]] bool isIdempotent(std::string_view Path) const;

  /// \returns whether a rebalance may begin now.
  [[nodiscard]] bool allowsRebalancing() const;

  /// \returns the limits of \p Customer, or null if it has none.
  [[nodiscard]] const CustomerLimit *
  customerLimit(std::string_view Customer) const;

  bool operator==(const Entry &) const = default;
};

} // namespace corneldeck::catalogue

#endif

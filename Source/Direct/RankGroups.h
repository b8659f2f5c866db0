#ifndef CORNELDECK_DIRECT_RANKGROUPS_H
#define CORNELDECK_DIRECT_RANKGROUPS_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace corneldeck::direct {

/// A rank group of a service.
struct RankGroup {
  std::string m_Service;
  /// Empty for all servers of a service that is not divided into known groups,
  /// or for the servers whose group is unknown.
  std::string m_Name = {};

  bool operator<(const RankGroup &Other) const {
    return std::tie(m_Service, m_Name) <
           std::tie(Other.m_Service, Other.m_Name);
  }
};

/// Settings of RankGroups.
struct RankGroupSettings {
  /// A server whose last report is older has no known group. Covers two
  /// heartbeats of an agent, as GroupAvailabilitySettings::m_ReportLifetime
  /// does.
  base::Millis m_ReportLifetime = base::Millis(2500);
};

/// Stores which backend server belongs to which rank group, from the reports of
/// the agents and the summaries of relays.
///
/// All ranks of a group run each pass together, so what a request costs depends
/// on the group and not only on the server. Servers are identified by the
/// hashes of their addresses: an agent knows the address of its engine but not
/// the id under which the server is listed.
class RankGroups {
public:
  explicit RankGroups(RankGroupSettings Settings = {}) : m_Settings(Settings) {}

  /// Returns the hash by which reports name the server at \p Address.
  static std::uint32_t addressHash(std::string_view Address);

  /// Records that the servers with the hashes \p Servers belong to a group.
  void update(std::string_view Service, const std::string &Group,
              const std::vector<std::uint32_t> &Servers, base::Millis Now);

  /// Discards the reports that have reached their lifetime.
  void discardExpired(base::Millis Now);

  /// Returns whether two or more groups of \p Service are known. Otherwise all
  /// of its servers count as one group.
  [[nodiscard]] bool isDivided(std::string_view Service) const;

  /// Returns the group of a server. Empty if the service is not divided or the
  /// group is unknown, as it is beside an agent that does not report the
  /// address; the servers without a known group form a group of their own.
  /// \param Server the hash of its address.
  [[nodiscard]] const std::string &groupOf(std::string_view Service,
                                           std::uint32_t Server) const;

  /// Number of known servers by group.
  using GroupSizes = std::map<std::string, unsigned, std::less<>>;
  /// Returns the sizes of the known groups by service.
  [[nodiscard]] std::map<std::string, GroupSizes, std::less<>> sizes() const;

private:
  struct Member {
    std::string m_Group;
    base::Millis m_ReportedAt{};
  };
  struct ServiceGroups {
    std::unordered_map<std::uint32_t, Member> m_Members;
    GroupSizes m_Sizes;
  };

  static void removeFromGroup(ServiceGroups &Groups, const std::string &Group);

  const RankGroupSettings m_Settings;
  std::map<std::string, ServiceGroups, std::less<>> m_Services;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_MEMBERSHIP_RELAYS_H
#define CORNELDECK_MEMBERSHIP_RELAYS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// A live entry that may relay between the entries of its zone and others.
struct RelayCandidate {
  std::string m_Node;
  std::string m_Zone;
  bool m_Ready = false;
  /// Bandwidth of its VM's link in kbit/s; 0 if unknown.
  std::uint32_t m_LinkKbps = 0;
};

/// Chooses the relays of each availability zone: ready entries first, then
/// those with the widest links, which carry most of the traffic, then by name.
/// All nodes that know the same entries choose the same relays.
///
/// \param PerZone the number of relays of a zone; all entries of the zone if
/// there are fewer.
/// \returns the names of the relays by zone, best first.
std::map<std::string, std::vector<std::string>>
chooseRelays(std::vector<RelayCandidate> Candidates, std::size_t PerZone);

} // namespace corneldeck::membership

#endif

#ifndef CORNELDECK_DIRECT_EVACUATEDZONES_H
#define CORNELDECK_DIRECT_EVACUATEDZONES_H

#include "Base/Millis.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::direct {

/// The evacuations that operators have ordered.
struct EvacuationRecords {
  std::set<std::string> m_Zones;
  /// Why records have no effect.
  std::vector<std::string> m_Errors;

  bool operator==(const EvacuationRecords &) const = default;
};

/// The availability zones to whose backend servers nothing may be sent.
class EvacuatedZones {
public:
  /// The begin or the end of one evacuation.
  struct Change {
    std::string m_Zone;
    /// Whether the evacuation came into force; otherwise it ended.
    bool m_IsInForce = false;
    /// Time for which it was in force; zero at the begin.
    base::Millis m_Duration{};

    bool operator==(const Change &) const = default;
  };

  /// Replaces the evacuated zones.
  /// \returns the evacuations that have ended, then those that have begun.
  std::vector<Change> replace(const std::set<std::string> &Zones,
                              base::Millis Now);

  [[nodiscard]] bool contains(std::string_view Zone) const {
    return !m_Since.empty() && m_Since.contains(Zone);
  }
  [[nodiscard]] std::size_t size() const { return m_Since.size(); }

private:
  /// When each evacuation came into force.
  std::map<std::string, base::Millis, std::less<>> m_Since;
};

} // namespace corneldeck::direct

#endif

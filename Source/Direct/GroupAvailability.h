#ifndef CORNELDECK_DIRECT_GROUPAVAILABILITY_H
#define CORNELDECK_DIRECT_GROUPAVAILABILITY_H

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneldeck::direct {

/// Settings of GroupAvailability.
struct GroupAvailabilitySettings {
  /// Older reports are ignored. Covers two heartbeats of an agent.
  base::Millis m_ReportLifetime = base::Millis(2500);
  /// Time that engines wait for a lost rank before their group re-forms.
  base::Millis m_RankWait = base::Millis(1500);
};

/// Tracks which services have an open rank group, from the reports of the
/// agents.
///
/// After the loss of a rank the whole group does no work until it has
/// re-formed. Requests are then refused at once with a retry-after time,
/// instead of being tried at one rank after the other.
class GroupAvailability {
public:
  explicit GroupAvailability(GroupAvailabilitySettings Settings = {})
      : m_Settings(Settings) {}

  /// State of a rank group, as reported by the agent of one of its ranks.
  struct Report {
    std::string m_Service;
    std::string m_Group;
    std::uint64_t m_Epoch = 0;
    bool m_Open = false;
    /// Number of agents that report this.
    unsigned m_Agents = 1;
  };

  /// Records the latest report of \p Agent.
  /// \returns whether its service became available or unavailable.
  bool update(const std::string &Agent, Report Latest, base::Millis Now);

  /// Returns how long all groups of \p Service have been known to be closed, or
  /// nothing if one may be open.
  [[nodiscard]] std::optional<base::Millis>
  outageDuration(const std::string &Service, base::Millis Now) const;

  /// Returns whether \p Group of \p Service is known to be closed.
  [[nodiscard]] bool isGroupClosed(const std::string &Service,
                                   const std::string &Group,
                                   base::Millis Now) const;

  /// Returns the expected remaining time of an outage; zero if the service is
  /// available, or unavailable for longer than expected.
  /// \param FormationTime how long a complete group takes to form.
  [[nodiscard]] base::Millis expectedRecoveryTime(const std::string &Service,
                                                  base::Millis FormationTime,
                                                  base::Millis Now) const;

private:
  struct TimedReport {
    Report m_Report;
    base::Millis m_ReceivedAt{};
  };

  /// Number of agents of a group that report the latest epoch.
  struct ReportCounts {
    std::uint64_t m_Epoch = 0;
    int m_Open = 0;
    int m_Closed = 0;

    void add(const Report &Latest);
    [[nodiscard]] bool isClosed() const { return m_Closed > m_Open; }
  };

  [[nodiscard]] bool isCurrent(const TimedReport &Each, base::Millis Now) const;
  /// Returns whether in each group, in its latest epoch, most reports say
  /// closed.
  [[nodiscard]] bool isUnavailable(const std::string &Service,
                                   base::Millis Now) const;

  const GroupAvailabilitySettings m_Settings;
  /// The latest report of each agent.
  std::map<std::string, TimedReport> m_Reports;
  /// Start of the current outage by service.
  std::map<std::string, base::Millis> m_OutageStart;
};

} // namespace corneldeck::direct

#endif

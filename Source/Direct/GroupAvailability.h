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
  /// Report that are older say nothing of their group: two beats of an agent.
  base::Millis m_ReportLifetime = base::Millis(2500);
  /// Engines wait this long for a lost rank before their group forms anew.
  base::Millis m_RankWait = base::Millis(1500);
};

/// Which services' rank groups are open, as the agents beside their engines
/// say.
///
/// Answers the loss of a rank: the whole group does no work until it has formed
/// anew, so requests are told at once when to come back instead of being tried
/// at one rank after the other.
class GroupAvailability {
public:
  explicit GroupAvailability(GroupAvailabilitySettings Settings = {})
      : m_Settings(Settings) {}

  /// What an agent says of its rank's group.
  struct Report {
    std::string m_Service;
    std::string m_Group;
    std::uint64_t m_Epoch = 0;
    bool m_Open = false;
  };

  /// Takes what the agent of a rank says.
  /// \returns whether its service's work became possible or impossible.
  bool update(const std::string &Agent, Report Latest, base::Millis Now);

  /// \returns for how long all groups of \p Service are known to be closed;
  /// nothing if one may be open.
  [[nodiscard]] std::optional<base::Millis>
  outageDuration(const std::string &Service, base::Millis Now) const;

  /// \param FormationTime how long a complete group takes to form.
  /// \returns how much longer the service is expected to be out; zero if it is
  /// not out, or out for longer than expected.
  [[nodiscard]] base::Millis expectedRecoveryTime(const std::string &Service,
                                                  base::Millis FormationTime,
                                                  base::Millis Now) const;

private:
  struct TimedReport {
    Report m_Report;
    base::Millis m_ReceivedAt{};
  };

  [[nodiscard]] bool isUnavailable(const std::string &Service,
                                   base::Millis Now) const;

  const GroupAvailabilitySettings m_Settings;
  /// The latest report of each agent.
  std::map<std::string, TimedReport> m_Reports;
  std::map<std::string, base::Millis> m_OutageStart;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_RANKGROUP_REPORTCOLLECTOR_H
#define CORNELDECK_RANKGROUP_REPORTCOLLECTOR_H

#include "Base/Millis.h"
#include "Wire/Gossip.pb.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace corneldeck::rankgroup {

/// Settings of ReportCollector.
struct CollectorSettings {
  /// Maximum time for which an urgent report waits for others.
  base::Millis m_UrgentDelay = base::Millis(5);
  /// Maximum time for which a report waits for the others of its round.
  base::Millis m_RoundTimeout = base::Millis(50);
};

/// Combines the reports of an agent and of those behind it into few messages.
///
/// Only the latest report of each rank is kept, and the choices of experts are
/// summed up, so the size of a message does not depend on how many ranks
/// contributed to the choices. A message is due as soon as all ranks have
/// reported, or when its oldest report has waited long enough.
class ReportCollector {
public:
  explicit ReportCollector(CollectorSettings Settings = {})
      : m_Settings(Settings) {}

  /// Starts to collect the replies to a request for reports.
  /// \param Reporters the number of ranks that reply here, including this
  /// agent's.
  void beginRound(std::uint64_t Round, std::size_t Reporters);

  /// Adds the report of this agent, or a message from an agent behind it.
  void add(const wire::GroupReport &Report, base::Millis Now);

  /// \returns the message to send now, if one is due.
  std::optional<wire::GroupReport> takeDue(base::Millis Now);

  /// \returns when the next message is due; empty if there is nothing to send.
  [[nodiscard]] std::optional<base::Millis> dueAt() const { return m_DueAt; }

private:
  const CollectorSettings m_Settings;
  std::map<std::uint32_t, wire::RankReport> m_Reports;
  std::vector<std::uint64_t> m_Chosen;
  bool m_Urgent = false;
  std::uint64_t m_Round = 0;
  std::size_t m_Reporters = 1;
  /// Ranks whose reply to the current round has arrived.
  std::set<std::uint32_t> m_Replied;
  std::optional<base::Millis> m_DueAt;
};

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_FLEET_FLEETSUMMARY_H
#define CORNELDECK_FLEET_FLEETSUMMARY_H

#include "Base/Millis.h"
#include "Fleet/ClassSums.h"
#include "Wire/Gossip.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneldeck::fleet {

/// \returns the hash by which summaries name a backend server.
std::uint32_t serverHash(std::string_view Id);

/// \returns the hash by which summaries name a node in its present incarnation
/// and, for an agent, rank group.
std::uint32_t nodeHash(const wire::NodeNews &News);

/// Sums up the heartbeats of many nodes, and summaries of other heartbeats.
///
/// Each heartbeat must be added once only, by itself or as part of a summary.
class SummarySum {
public:
  /// Adds the heartbeat of an entry.
  /// \param Age the time since it was received.
  void addEntry(const wire::FleetBeat &Beat, base::Millis Age);
  /// Adds the report of an agent.
  void addAgent(const wire::GroupNews &Report);
  /// Adds the summary of another relay.
  /// \param Age the time since it was received.
  void addSummary(const wire::FleetSummary &Summary, base::Millis Age);

  /// Writes the sums to \p Target. Of the positions in the feeds, those of the
  /// entries with the newest content or the latest contact with the log are
  /// written.
  void write(wire::FleetSummary &Target) const;

private:
  struct Work {
    std::uint32_t m_Requests = 0;
    std::uint32_t m_PromptTokens = 0;
  };

  void addEnd(const wire::ServerEnd &End, base::Millis Age);
  void addPart(const wire::PartQuarantine &Part, base::Millis Age);
  void addTally(const wire::GroupTally &Tally);
  void writePositions(wire::FleetSummary &Target) const;

  std::uint32_t m_Entries = 0;
  double m_Ages = 0;
  std::map<std::uint32_t, Work> m_Work;
  std::vector<wire::ForwardedNotices> m_Notices;
  std::vector<wire::NodePositions> m_Positions;
  std::map<std::pair<std::string, std::string>, wire::GroupTally> m_Tallies;
  std::map<std::pair<std::string, std::string>, wire::StretchSum> m_Stretches;
  ClassSums m_Classes;
  std::map<std::pair<std::string, std::uint64_t>, wire::ServerEnd> m_Ends;
  std::map<std::pair<std::string, std::uint64_t>, wire::PartQuarantine> m_Parts;
};

} // namespace corneldeck::fleet

#endif

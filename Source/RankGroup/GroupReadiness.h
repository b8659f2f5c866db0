#ifndef CORNELDECK_RANKGROUP_GROUPREADINESS_H
#define CORNELDECK_RANKGROUP_GROUPREADINESS_H

#include "Base/Millis.h"
#include "RankGroup/RankTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// Determines whether a rank group may receive requests.
///
/// A group can only run with all of its ranks. It is taken out of routing as
/// soon as a rank times out, leaves or is in another epoch, and returns once
/// all ranks have joined the same epoch.
class GroupReadiness {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// A rank whose last announcement is older counts as lost.
    base::Millis m_PeerTimeout{750};
  };

  explicit GroupReadiness(Config Settings);

  /// Processes the announcement of another rank.
  void onStatus(base::Millis Now, RankIndex From, const Status &Received);

  /// Evaluates the state of the group.
  /// \param OwnEngine the state of this rank's engine.
  /// \returns a timeline entry if the group left or returned to routing.
  std::optional<TimelineEntry> update(base::Millis Now,
                                      const EngineState &OwnEngine);

  /// \returns true if the group may receive requests.
  [[nodiscard]] bool isRoutable() const { return m_Routable; }

  /// \returns why the group may not receive requests; empty if it may.
  [[nodiscard]] const std::string &reason() const { return m_Reason; }

private:
  struct PeerStatus {
    Epoch m_Epoch;
    bool m_Joined = false;
    std::optional<base::Millis> m_ReceivedAt;
  };

  [[nodiscard]] std::string unreadyReason(base::Millis Now,
                                          const EngineState &OwnEngine) const;

  Config m_Config;
  std::vector<PeerStatus> m_Ranks;
  bool m_Routable = false;
  std::string m_Reason = "the rank has not joined";
};

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_RANKGROUP_GROUPREADINESS_H
#define CORNELDECK_RANKGROUP_GROUPREADINESS_H

#include "Base/Millis.h"
#include "RankGroup/RankTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// Decides whether a rank group may take requests.
///
/// A group runs only with all its ranks, so it is out of routing as soon as
/// one is silent, has left or is in another epoch, and back once all have
/// joined the same one.
class GroupReadiness {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// A rank unheard of for so long counts as lost.
    base::Millis m_PeerTimeout{750};
  };

  explicit GroupReadiness(Config Settings);

  /// Takes another rank's announcement.
  void onStatus(base::Millis Now, RankIndex From, const Status &Received);

  /// Judges the group.
  /// \param Own the state of this rank's engine.
  /// \returns a note if the group went out of routing or came back.
  std::optional<TimelineEntry> update(base::Millis Now,
                                      const EngineState &OwnEngine);

  /// \returns true if the group may take requests.
  [[nodiscard]] bool isRoutable() const { return m_Routable; }

  /// \returns why it may not; empty if it may.
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
  std::string m_Reason = "not joined yet";
};

} // namespace corneldeck::rankgroup

#endif

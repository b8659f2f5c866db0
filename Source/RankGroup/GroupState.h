#ifndef CORNELDECK_RANKGROUP_GROUPSTATE_H
#define CORNELDECK_RANKGROUP_GROUPSTATE_H

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
class GroupState {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// A rank unheard of for so long counts as lost.
    base::Millis m_SilentAfter{750};
  };

  explicit GroupState(Config Settings);

  /// Takes another rank's announcement.
  void onStatus(base::Millis Now, RankIndex From, const Status &Heard);

  /// Judges the group.
  /// \param Own the state of this rank's engine.
  /// \returns a note if the group went out of routing or came back.
  std::optional<Note> judge(base::Millis Now, const EngineState &Own);

  /// \returns true if the group may take requests.
  [[nodiscard]] bool inRouting() const { return m_In; }

  /// \returns why it may not; empty if it may.
  [[nodiscard]] const std::string &reason() const { return m_Reason; }

private:
  struct Heard {
    Epoch m_Epoch;
    bool m_Joined = false;
    std::optional<base::Millis> m_At;
  };

  [[nodiscard]] std::string fault(base::Millis Now,
                                  const EngineState &Own) const;

  Config m_Config;
  std::vector<Heard> m_Ranks;
  bool m_In = false;
  std::string m_Reason = "not joined yet";
};

} // namespace corneldeck::rankgroup

#endif

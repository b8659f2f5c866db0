#ifndef CORNELDECK_RANKGROUP_GROUPFORMATION_H
#define CORNELDECK_RANKGROUP_GROUPFORMATION_H

#include "Base/Millis.h"
#include "RankGroup/EngineStateMachine.h"

#include <optional>
#include <vector>

namespace corneldeck::rankgroup {

/// Joins the engines of all ranks on one map after any of them was lost.
///
/// Every rank announces its engine. Once all have announced the same view of
/// all, each joins the epoch that follows from it: its number, its map and its
/// first step are the same everywhere. An engine that was replaced, or left,
/// ends the epoch for all others.
class GroupFormation {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// Time between two announcements.
    base::Millis m_AnnounceInterval{250};
  };

  explicit GroupFormation(Config Settings);

  /// Takes the newest state of this rank's engine.
  void onEngineState(const EngineState &Engine, Actions &Out);

  /// Takes another rank's announcement.
  void onStatus(RankIndex From, const Status &Received, Actions &Out);

  /// Takes the end of a load that this object asked for.
  void onLoaded(MapId Id, bool Loaded, Actions &Out);

  /// Announces again and repeats what was not done yet.
  void onTick(base::Millis Now, Actions &Out);

  /// \returns this rank's announcement.
  [[nodiscard]] Status status() const;

  /// \returns the newest announcement of each rank; none if unheard of.
  [[nodiscard]] const std::vector<std::optional<Status>> &peers() const {
    return m_Peers;
  }

  /// Appends everything that decides the future behaviour, but for times.
  void encode(std::vector<std::uint64_t> &Words) const;

private:
  void tryFormGroup(Actions &Out);
  void computeCandidate(Actions &Out);
  [[nodiscard]] const Status *joinedPeer() const;
  [[nodiscard]] bool allAgree() const;
  [[nodiscard]] bool endsEpoch(RankIndex From, const Status &Received) const;
  void startLoading(const Formation &Target, Actions &Out);
  void announce(Actions &Out) const;
  void sendStatus(RankIndex To, Actions &Out) const;
  [[nodiscard]] MapBody findMapBody(MapId Id) const;

  Config m_Config;
  std::optional<EngineState> m_Engine;
  std::vector<std::optional<Status>> m_Peers;
  /// What this rank would join, and has told the others.
  std::optional<Formation> m_Candidate;
  /// What it is loading experts for.
  std::optional<Formation> m_Target;
  bool m_TargetLoaded = false;
  base::Millis m_LastAnnounced{-1'000'000};
};

} // namespace corneldeck::rankgroup

#endif

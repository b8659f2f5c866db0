#ifndef CORNELDECK_RANKGROUP_GROUPFORMATION_H
#define CORNELDECK_RANKGROUP_GROUPFORMATION_H

#include "Base/Millis.h"
#include "RankGroup/EngineStateMachine.h"

#include <optional>
#include <vector>

namespace corneldeck::rankgroup {

/// Forms a new epoch of the group, with all engines on the same map, after an
/// engine was lost.
///
/// Every rank announces the state of its engine and computes the next epoch
/// from the announcements of all ranks. Once all ranks have computed the same
/// epoch (number, map and first step), each engine joins it. An engine that is
/// replaced or leaves ends the epoch for all other ranks.
class GroupFormation {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// Time between two periodic announcements.
    base::Millis m_AnnounceInterval{250};
  };

  explicit GroupFormation(Config Settings);

  /// Processes the newest state of this rank's engine.
  void onEngineState(const EngineState &Engine, Actions &Out);

  /// Processes the announcement of another rank.
  void onStatus(RankIndex From, const Status &Received, Actions &Out);

  /// Processes the completion of a load that this object requested.
  /// \param Loaded false if the load failed.
  void onLoaded(MapId Id, bool Loaded, Actions &Out);

  /// Repeats the announcement, and orders that have not taken effect yet.
  void onTick(base::Millis Now, Actions &Out);

  /// \returns this rank's announcement.
  [[nodiscard]] Status status() const;

  /// \returns the newest announcement of each rank; empty for a rank that has
  /// not announced itself.
  [[nodiscard]] const std::vector<std::optional<Status>> &peers() const {
    return m_Peers;
  }

  /// Appends all state that determines future behaviour, except for times.
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
  /// Epoch that this rank has computed and announced.
  std::optional<Formation> m_Candidate;
  /// Epoch that this rank joins once the experts of its map are loaded.
  std::optional<Formation> m_Target;
  bool m_TargetLoaded = false;
  base::Millis m_LastAnnounced{-1'000'000};
};

} // namespace corneldeck::rankgroup

#endif

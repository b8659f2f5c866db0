#ifndef CORNELDECK_RANKGROUP_SWITCHPARTICIPANT_H
#define CORNELDECK_RANKGROUP_SWITCHPARTICIPANT_H

#include "RankGroup/GroupFormation.h"

#include <optional>
#include <vector>

namespace corneldeck::rankgroup {

/// Mechanisms of the switch that proofs turn off one by one.
struct SwitchRules {
  /// A restarted agent takes over the vote that its engine keeps.
  bool m_RememberVote = true;
  /// A vote counts only in the epoch and from the incarnation it names.
  bool m_CheckIncarnation = true;
  /// A rank that does not know the outcome asks for it.
  bool m_QueryOutcome = true;
  /// An engine that voted yes waits at the switch step.
  bool m_HoldAtStep = true;
};

/// One rank's part in replacing the expert map of its group.
///
/// A proposal names the first step of the new map. Each rank loads its
/// experts and says so; once all have, each arms its engine, which then will
/// not run that step before the outcome is known, and votes yes. The map is
/// committed if and only if all voted yes. A rank that is not armed may refuse,
/// which aborts for all. The engine keeps the vote, so a restarted agent can't
/// contradict it, and nobody else has to survive for the outcome to be known.
///
/// The owner carries out the actions, calls onEngineState() with the engine's
/// state after each order and at least once between two ticks.
class SwitchParticipant {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// A rank that has not voted refuses this many steps before the switch.
    Step m_GuardSteps = 12;
    /// Time before a rank that voted yes asks again for the outcome.
    base::Millis m_QueryInterval{20};
    /// Time before a rank that is ready asks again who else is.
    base::Millis m_ReadyInterval{100};
    /// Time between two announcements of the engine's state.
    base::Millis m_AnnounceInterval{250};
    SwitchRules m_Rules = {};
  };

  explicit SwitchParticipant(Config Settings);

  /// Takes the newest state of this rank's engine.
  void onEngineState(const EngineState &Engine, Actions &Out);

  /// Takes a message of another rank.
  void onMessage(const Message &Received, Actions &Out);

  /// Takes the end of a load.
  /// \param Loaded false if it failed for good; the proposal is then refused.
  void onLoaded(MapId Id, bool Loaded, Actions &Out);

  /// Repeats what was not answered yet.
  /// \param Now the time, in milliseconds.
  void onTick(base::Millis Now, Actions &Out);

  /// Proposes a map to all ranks. The epoch and the replaced map are filled in.
  /// \returns false if the group is not running or has a proposal open.
  bool propose(Proposal NewProposal, Actions &Out);

  /// \returns the engine's state as last heard, none before that.
  [[nodiscard]] const std::optional<EngineState> &engineState() const {
    return m_Engine;
  }

  /// \returns the proposal that is open at this rank, if there is one.
  [[nodiscard]] const Proposal *openProposal() const {
    return m_OpenProposal ? &m_OpenProposal->m_Proposal : nullptr;
  }

  /// \returns what the other ranks announced.
  [[nodiscard]] const GroupFormation &formation() const { return m_Formation; }

  /// Appends everything that decides the future behaviour, but for times.
  void encode(std::vector<std::uint64_t> &Words) const;

private:
  struct OpenProposal {
    Proposal m_Proposal;
    std::vector<VoteValue> m_Votes;
  };

  void onProposal(RankIndex From, const Proposal &Received, Actions &Out);
  void onVote(RankIndex From, const Vote &Received, Actions &Out);
  void onQuery(RankIndex From, const Query &Received, Actions &Out);

  [[nodiscard]] bool inEpoch(const Epoch &Other) const;
  [[nodiscard]] bool mustRefuse(const Proposal &Received) const;
  void deferOrRefuse(const Proposal &Received, Actions &Out);
  void startProposal(const Proposal &Accepted, Actions &Out);
  void resumePendingVote(Actions &Out);
  void updateFromEngine(Actions &Out);
  void advance(Actions &Out);
  void closeProposal(base::EventId Event, const char *Reason, Actions &Out);
  void queryOutcome(Actions &Out) const;
  void startDeferred(Actions &Out);
  void refuse(MapId Id, Actions &Out);
  void arm(Actions &Out);
  void orderEngine(OrderKind Kind, MapId Id, Actions &Out);
  void issueOrder(const EngineOrder &Order, Actions &Out);
  void setOwnVote(VoteValue Value, Actions &Out);
  void broadcastVote(MapId Id, VoteValue Value, Actions &Out) const;
  void sendVote(RankIndex To, MapId Id, VoteValue Value, Actions &Out) const;
  [[nodiscard]] bool allAtLeast(VoteValue Value) const;
  [[nodiscard]] bool anyRefused() const;
  [[nodiscard]] VoteValue ownVote() const;

  Config m_Config;
  GroupFormation m_Formation;
  std::optional<EngineState> m_Engine;
  std::optional<OpenProposal> m_OpenProposal;
  /// A newer proposal that waits for the open one to end.
  std::optional<Proposal> m_Deferred;
  /// Refused, but the engine has not taken note of it yet.
  std::optional<MapId> m_PendingRefusal;
  /// The last order, until the engine's next state is known.
  std::optional<EngineOrder> m_UnconfirmedOrder;
  std::uint64_t m_HighestFencingNumber = 0;
  base::Millis m_LastQuery{-1'000'000};
};

} // namespace corneldeck::rankgroup

#endif

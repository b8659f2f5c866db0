#ifndef CORNELDECK_RANKGROUP_SWITCHPARTICIPANT_H
#define CORNELDECK_RANKGROUP_SWITCHPARTICIPANT_H

#include "RankGroup/GroupFormation.h"

#include <optional>
#include <vector>

namespace corneldeck::rankgroup {

/// Safety mechanisms of the switch. Model checks disable them one by one to
/// show that each of them is necessary.
struct SwitchRules {
  /// A restarted agent resumes the vote that is stored in its engine.
  bool m_RememberVote = true;
  /// A vote counts only in the epoch and for the engine incarnation that it
  /// names.
  bool m_CheckIncarnation = true;
  /// A rank that does not know the outcome queries the others.
  bool m_QueryOutcome = true;
  /// An engine that has voted yes waits at the switch step for the outcome.
  bool m_HoldAtStep = true;
};

/// One rank's part in the atomic commit of a new expert map by its group.
///
/// A proposal names the first step of the new map. Each rank loads the experts
/// that it needs and votes Loaded. Once all ranks have done so, each arms its
/// engine, which then does not run that step before the outcome is known, and
/// votes Yes. The map is committed if and only if all ranks vote Yes. A rank
/// whose engine is not armed may refuse, which aborts the proposal for all
/// ranks. The vote is stored in the engine, so a restarted agent cannot
/// contradict it, and the outcome does not depend on a coordinator that has to
/// survive.
///
/// The owner executes the actions, and calls onEngineState() with the engine's
/// state after each order and at least once between two ticks.
class SwitchParticipant {
public:
  struct Config {
    RankIndex m_Rank = 0;
    RankIndex m_Ranks = 1;
    /// A rank that has not voted refuses the proposal from this many steps
    /// before the switch on.
    Step m_GuardSteps = 12;
    /// Time after which a rank that voted Yes repeats its query for the
    /// outcome.
    base::Millis m_QueryInterval{20};
    /// Time after which a rank that voted Loaded repeats its query for the
    /// votes of the others.
    base::Millis m_ReadyInterval{100};
    /// Time between two periodic announcements of the engine's state.
    base::Millis m_AnnounceInterval{250};
    SwitchRules m_Rules = {};
  };

  explicit SwitchParticipant(Config Settings);

  /// Processes the newest state of this rank's engine.
  void onEngineState(const EngineState &Engine, Actions &Out);

  /// Processes a message from another rank.
  void onMessage(const Message &Received, Actions &Out);

  /// Processes the completion of a load.
  /// \param Loaded false if the load failed permanently. The proposal is then
  /// refused.
  void onLoaded(MapId Id, bool Loaded, Actions &Out);

  /// Repeats orders that have not taken effect and queries that were not
  /// answered.
  void onTick(base::Millis Now, Actions &Out);

  /// Proposes a map to all ranks. Sets the epoch, the replaced map and the
  /// digest of the proposal.
  /// \returns false if the group is not running, another proposal is open, the
  /// switch step is too close or the fencing number is too old.
  bool propose(Proposal NewProposal, Actions &Out);

  /// \returns the newest state of the engine; empty before the first one.
  [[nodiscard]] const std::optional<EngineState> &engineState() const {
    return m_Engine;
  }

  /// \returns the proposal whose outcome this rank does not know yet; null if
  /// there is none.
  [[nodiscard]] const Proposal *openProposal() const {
    return m_OpenProposal ? &m_OpenProposal->m_Proposal : nullptr;
  }

  /// \returns the formation of the group, with the announcements of all ranks.
  [[nodiscard]] const GroupFormation &formation() const { return m_Formation; }

  /// Appends all state that determines future behaviour, except for times.
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
  /// Handles a proposal that arrives while another one is open: the older of
  /// the two is refused if this rank has not voted for it.
  void deferOrRefuse(const Proposal &Received, Actions &Out);
  void startProposal(const Proposal &Accepted, Actions &Out);
  /// Restores the open proposal and the vote from the state of the engine.
  void resumePendingVote(Actions &Out);
  /// Sends a refusal that the engine has confirmed, and closes the open
  /// proposal if the engine knows its outcome.
  void updateFromEngine(Actions &Out);
  /// Issues the next order for the open proposal according to the votes.
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
  /// Newer proposal that starts when the open one has ended.
  std::optional<Proposal> m_Deferred;
  /// Proposal to refuse, until the engine confirms the refusal.
  std::optional<MapId> m_PendingRefusal;
  /// Last order, until the next state of the engine arrives.
  std::optional<EngineOrder> m_UnconfirmedOrder;
  std::uint64_t m_HighestFencingNumber = 0;
  base::Millis m_LastQuery{-1'000'000};
};

} // namespace corneldeck::rankgroup

#endif

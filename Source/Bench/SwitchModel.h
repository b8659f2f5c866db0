#ifndef CORNELDECK_BENCH_SWITCHMODEL_H
#define CORNELDECK_BENCH_SWITCHMODEL_H

#include "RankGroup/EngineStateMachine.h"
#include "RankGroup/SwitchParticipant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// What can happen next in a modelled rank group.
enum class SwitchEventKind {
  Deliver,     ///< A message arrives.
  Statuses,    ///< All announcements to a rank arrive.
  Order,       ///< An engine carries out its agent's next order.
  StaleOrder,  ///< An engine carries out an order of a dead agent.
  Load,        ///< A load ends.
  Step,        ///< An engine begins its next step.
  Attach,      ///< An agent reads a state that is new to it.
  Ask,         ///< An agent's short timer ends.
  Announce,    ///< An agent's long timer ends.
  Propose,     ///< An agent proposes a map.
  Duplicate,   ///< Fault: a message arrives and will arrive again.
  Drop,        ///< Fault: a message is lost.
  FailLoad,    ///< Fault: a load fails.
  CrashAgent,  ///< Fault: an agent is replaced; its orders may still arrive.
  CrashEngine, ///< Fault: an engine restarts empty.
  CrashVm      ///< Fault: both at once.
};

struct SwitchEvent {
  SwitchEventKind m_Kind = SwitchEventKind::Step;
  rankgroup::RankIndex m_Rank = 0;
  std::size_t m_Index = 0;
};

/// A whole rank group whose every event is chosen from outside.
///
/// Messages, orders and loads wait until they are chosen, so any delay, pause
/// and reordering is a sequence of choices. Copies are independent.
class SwitchModel {
public:
  struct Options {
    rankgroup::RankIndex m_Ranks = 3;
    rankgroup::SwitchRules m_Rules = {};
    /// Steps from the proposal to the switch.
    rankgroup::Step m_Ahead = 2;
    rankgroup::Step m_GuardSteps = 1;
    /// Ranks that propose, each its own map.
    std::vector<rankgroup::RankIndex> m_Proposers = {0};
    /// A yes of an earlier incarnation of the last rank is still on its way.
    bool m_LateVote = false;
    /// Readiness votes, which promise nothing, arrive at once.
    bool m_EagerHints = false;
    /// Experts are there as soon as they are asked for.
    bool m_EagerLoads = false;
    /// A rank's waiting announcements arrive together, in order.
    bool m_BatchStatus = false;
  };

  explicit SwitchModel(const Options &Wanted);

  /// \returns all events without a fault that may come next, but for timers.
  [[nodiscard]] std::vector<SwitchEvent> enabled() const;

  /// Carries out \p Event.
  void apply(const SwitchEvent &Event);

  /// Lets everything waiting happen until the group rests or \p Rounds pass.
  void settle(int Rounds);

  /// \returns true if no step used two maps.
  [[nodiscard]] bool oneMapPerStep() const { return m_Mixed.empty(); }

  /// \returns what was seen in the step that used two maps.
  [[nodiscard]] const std::string &mixed() const { return m_Mixed; }

  /// \returns why the group is not running on one map with nothing open;
  /// empty if it is.
  [[nodiscard]] std::string unsettled() const;

  /// \returns a hash of everything that decides what can follow.
  [[nodiscard]] std::uint64_t fingerprint() const;

  [[nodiscard]] bool canStep(rankgroup::RankIndex Rank) const;
  [[nodiscard]] rankgroup::Step nextStep(rankgroup::RankIndex Rank) const;
  [[nodiscard]] rankgroup::MapId map(rankgroup::RankIndex Rank) const;
  [[nodiscard]] std::size_t messages() const { return m_Network.size(); }
  [[nodiscard]] std::size_t orders(rankgroup::RankIndex Rank) const;
  [[nodiscard]] std::size_t staleOrders(rankgroup::RankIndex Rank) const;
  [[nodiscard]] std::size_t loads(rankgroup::RankIndex Rank) const;
  [[nodiscard]] bool attached(rankgroup::RankIndex Rank) const;
  /// \returns true if the agent has a proposal open.
  [[nodiscard]] bool open(rankgroup::RankIndex Rank) const;
  [[nodiscard]] rankgroup::RankIndex ranks() const { return m_Options.m_Ranks; }

private:
  struct Rank {
    rankgroup::SwitchParticipant m_Agent;
    rankgroup::EngineStateMachine m_Engine;
    std::vector<rankgroup::EngineOrder> m_Orders;
    std::vector<rankgroup::EngineOrder> m_StaleOrders;
    std::vector<rankgroup::MapId> m_Loads;
    /// The last epoch that this rank's engine can't return to.
    std::uint64_t m_DeadEpoch = 0;
  };

  struct StepUse {
    std::uint64_t m_View = 0;
    rankgroup::Step m_Step = 0;
    rankgroup::MapId m_Map;
  };

  [[nodiscard]] rankgroup::SwitchParticipant
  newAgent(rankgroup::RankIndex Index) const;
  void joinAll();
  void addLateVote();
  void prune();
  [[nodiscard]] bool isDead(const rankgroup::OutgoingMessage &Sent) const;
  void take(rankgroup::RankIndex Index, rankgroup::Actions &Out);
  void deliver(std::size_t Index, bool Keep);
  void arrive(const rankgroup::OutgoingMessage &Sent);
  void deliverStatuses(rankgroup::RankIndex To);
  void order(rankgroup::RankIndex Index);
  void load(const SwitchEvent &Event, bool Loaded);
  void step(rankgroup::RankIndex Index);
  void timer(rankgroup::RankIndex Index, base::Millis Passed);
  void propose(rankgroup::RankIndex Index);
  void crashAgent(rankgroup::RankIndex Index);
  void crashEngine(rankgroup::RankIndex Index);

  Options m_Options;
  std::vector<Rank> m_Group;
  std::vector<rankgroup::OutgoingMessage> m_Network;
  base::Millis m_Now{};
  std::uint64_t m_NextIncarnation = 100;
  /// The map first used in each of the newest steps.
  std::vector<StepUse> m_Used;
  std::string m_Mixed;
};

} // namespace corneldeck::bench

#endif

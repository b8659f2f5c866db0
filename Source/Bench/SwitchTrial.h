#ifndef CORNELDECK_BENCH_SWITCHTRIAL_H
#define CORNELDECK_BENCH_SWITCHTRIAL_H

#include "Fakes/FakeNetwork.h"
#include "RankGroup/EngineStateMachine.h"
#include "RankGroup/SwitchParticipant.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneldeck::bench {

/// What goes wrong during a trial of the map switch.
enum class SwitchFault {
  None,
  MessageLate,    ///< Every message takes up to 60 ms more.
  MessageLost,    ///< One message in ten is lost.
  MessageTwice,   ///< Half of the messages arrive twice.
  AgentPause,     ///< One agent stops for 400 ms.
  EngineStall,    ///< One engine stops for 400 ms.
  RankStall,      ///< Both stop for 400 ms.
  AgentDeath,     ///< One agent is replaced; its orders still arrive.
  EngineDeath,    ///< One engine restarts empty.
  VmDeath,        ///< Both are replaced.
  ProposerDeath,  ///< The proposing agent is replaced.
  TwoProposers,   ///< Another agent proposes with a higher fencing number.
  LeaseLapsed,    ///< The proposer is paused, replaced, and goes on later.
  FencingIgnored, ///< A replaced agent's orders arrive 200 ms late.
  StoreSlow,      ///< One rank's load takes a minute.
  LogOut,         ///< The log is out; no new proposal is made.
  Cut,            ///< One rank hears nobody for 400 ms.
  LateVote        ///< A slow rank's yes of an earlier incarnation arrives.
};

/// Fault names as variants of the bench, in the order of SwitchFault.
constexpr std::array<std::string_view, 18> SwitchFaultNames = {
    "corneldeck",   "message-late",    "message-lost",   "message-twice",
    "agent-pause",  "engine-stall",    "rank-stall",     "agent-death",
    "engine-death", "vm-death",        "proposer-death", "two-proposers",
    "lease-lapsed", "fencing-ignored", "store-slow",     "log-out",
    "cut",          "late-vote"};

/// One switch of one rank group on a virtual clock, with one fault.
class SwitchTrial {
public:
  struct Options {
    rankgroup::RankIndex m_Ranks = 4;
    SwitchFault m_Fault = SwitchFault::None;
    /// When the fault begins, counted from the proposal.
    base::Millis m_FaultAt{};
    std::uint64_t m_Seed = 1;
    /// How long each rank loads experts.
    base::Millis m_LoadTime{200};
    rankgroup::SwitchRules m_Rules = {};
  };

  struct Outcome {
    /// Time for which an engine waited for the outcome, in steps, rounded up.
    std::int64_t m_HeldSteps = 0;
    std::int64_t m_MixedSteps = 0;
    /// From the proposal to all ranks running on one map with nothing open.
    base::Millis m_Settle{};
    bool m_Settled = false;
    bool m_NewMap = false;
    std::string m_Seen;
  };

  explicit SwitchTrial(const Options &Wanted);

  /// Runs the trial to its end.
  Outcome run();

private:
  struct Rank {
    std::string m_Name;
    rankgroup::SwitchParticipant m_Agent;
    rankgroup::EngineStateMachine m_Engine;
    std::uint64_t m_AgentStart = 0;
    base::Millis m_BusyUntil{};
    base::Millis m_AgentPausedUntil{};
    base::Millis m_EngineStalledUntil{};
  };

  [[nodiscard]] rankgroup::SwitchParticipant
  newAgent(rankgroup::RankIndex Index) const;
  void joinAll();
  void everyMilli();
  void stepEngine(rankgroup::RankIndex Index);
  void tickAgent(rankgroup::RankIndex Index);
  [[nodiscard]] bool othersDone(const Rank &Member) const;
  void propose(rankgroup::RankIndex Index, std::uint64_t FencingNumber);
  void inject();
  void injectDeath(rankgroup::RankIndex Index, bool Agent, bool Engine);
  void injectLapsedLease();
  void injectLateVote();
  void setPaths();
  void pause(rankgroup::RankIndex Index, base::Millis Span);
  void take(rankgroup::RankIndex Index, rankgroup::Actions &Out);
  void give(rankgroup::RankIndex Index, const rankgroup::EngineOrder &Order);
  void startLoad(rankgroup::RankIndex Index, rankgroup::MapId Which);
  void record(rankgroup::RankIndex Index, rankgroup::Step Begun,
              rankgroup::MapId Used);
  [[nodiscard]] bool settled() const;
  [[nodiscard]] bool paused(const Rank &Member) const;
  [[nodiscard]] rankgroup::RankIndex victim() const;

  Options m_Options;
  fakes::VirtualTime m_Time;
  fakes::FakeNetwork m_Network;
  std::deque<Rank> m_Group;
  std::map<std::pair<std::uint64_t, rankgroup::Step>, rankgroup::MapId> m_Used;
  std::uint64_t m_NextIncarnation = 100;
  std::int64_t m_HeldMillis = 0;
  base::Millis m_OrderDelay{1};
  Outcome m_Outcome;
};

} // namespace corneldeck::bench

#endif

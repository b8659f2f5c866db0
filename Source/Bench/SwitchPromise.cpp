#include "Bench/RapidCheckRun.h"
#include "Bench/Scenarios.h"
#include "Bench/SwitchExplorer.h"
#include "Bench/SwitchTrial.h"

#include "Base/Random.h"

#include <array>
#include <atomic>
#include <future>
#include <optional>
#include <rapidcheck.h>
#include <sstream>

namespace corneldeck::bench {

using rankgroup::RankIndex;
using rankgroup::SwitchRules;

namespace {

const std::vector<std::string> Plants = {"forget-vote", "late-vote",
                                         "lose-abort", "no-hold"};

/// Explorations that run at the same time.
constexpr std::size_t ExplorationLanes = 3;

SwitchRules rulesWithout(const std::string &Plant) {
  SwitchRules Rules;
  Rules.m_RememberVote = Plant != "forget-vote";
  Rules.m_CheckIncarnation = Plant != "late-vote";
  Rules.m_QueryOutcome = Plant != "lose-abort";
  Rules.m_HoldAtStep = Plant != "no-hold";
  return Rules;
}

/// One complete exploration of three ranks.
struct Exploration {
  std::string m_Fault;
  std::string m_Orders;
  SwitchModel::Options m_Model;
  SwitchExplorer::Limits m_Limits;
};

Exploration faultExploration(SwitchEventKind Kind) {
  Exploration Wanted;
  Wanted.m_Fault = name(Kind);
  Wanted.m_Orders = "anywhere";
  Wanted.m_Model.m_EagerHints = true;
  Wanted.m_Model.m_BatchStatus = true;
  Wanted.m_Limits.m_Faults = 1;
  Wanted.m_Limits.m_Kinds = {Kind};
  return Wanted;
}

std::vector<Exploration> explorations() {
  std::vector<Exploration> All;
  Exploration Free;
  Free.m_Fault = "none";
  Free.m_Orders = "all messages in any order";
  Free.m_Limits.m_Faults = 0;
  All.push_back(Free);
  // Hints promise nothing, so the larger explorations deliver them at once.
  Exploration Timers = Free;
  Timers.m_Orders = "one early timer";
  Timers.m_Model.m_EagerHints = true;
  Timers.m_Model.m_EagerLoads = true;
  Timers.m_Limits.m_EarlyTimers = 1;
  All.push_back(Timers);
  Exploration Late = faultExploration(SwitchEventKind::FailLoad);
  Late.m_Fault = "late-vote and fail-load";
  Late.m_Model.m_LateVote = true;
  All.push_back(Late);
  for (const SwitchEventKind Kind :
       {SwitchEventKind::Duplicate, SwitchEventKind::Drop,
        SwitchEventKind::CrashAgent, SwitchEventKind::CrashEngine,
        SwitchEventKind::CrashVm})
    All.push_back(faultExploration(Kind));
  return All;
}

MatrixRow explore(Exploration Wanted, const std::string &Plant) {
  Wanted.m_Model.m_Rules = rulesWithout(Plant);
  Wanted.m_Model.m_Ahead = 1;
  Wanted.m_Limits.m_LastStep = 2;
  SwitchModel Start(Wanted.m_Model);
  for (const RankIndex Proposer : Wanted.m_Model.m_Proposers)
    Start.apply({SwitchEventKind::Propose, Proposer, 0});
  SwitchExplorer Explorer(Wanted.m_Limits);
  const std::string Seen = Explorer.explore(Start);
  MatrixRow Row;
  Row.m_Fault = Wanted.m_Fault;
  Row.m_Step = Wanted.m_Orders;
  Row.m_Kept = Seen.empty() && Explorer.complete();
  std::ostringstream Text;
  Text << Explorer.states() << " states, " << Explorer.settled()
       << " settled from";
  if (!Explorer.complete())
    Text << ", stopped at the limit of states";
  if (!Seen.empty())
    Text << "; " << Seen;
  Row.m_Seen = Text.str();
  return Row;
}

std::vector<MatrixRow> exploreAll(const std::string &Plant) {
  const std::vector<Exploration> All = explorations();
  std::vector<std::optional<MatrixRow>> Found(All.size());
  std::atomic<bool> Broken = false;
  std::vector<std::future<void>> Running;
  for (std::size_t Lane = 0; Lane < ExplorationLanes; ++Lane)
    Running.push_back(std::async(std::launch::async, [&, Lane] {
      for (std::size_t At = Lane; At < All.size(); At += ExplorationLanes) {
        // A planted mistake need be found only once.
        if (Broken && !Plant.empty())
          return;
        Found[At] = explore(All[At], Plant);
        if (!Found[At]->m_Kept)
          Broken = true;
      }
    }));
  for (const std::future<void> &Lane : Running)
    Lane.wait();
  std::vector<MatrixRow> Rows;
  for (std::optional<MatrixRow> &Row : Found)
    if (Row)
      Rows.push_back(std::move(*Row));
  return Rows;
}

/// Moments of a switch at which a fault begins, after the proposal.
struct Moment {
  const char *m_Name;
  std::int64_t m_Millis;
};

constexpr std::array<Moment, 9> Moments = {{{"proposed", 0},
                                            {"loading", 100},
                                            {"loaded", 200},
                                            {"voting", 202},
                                            {"voted", 204},
                                            {"committing", 206},
                                            {"before the switch step", 400},
                                            {"at the switch step", 538},
                                            {"after the switch step", 560}}};

std::vector<MatrixRow> matrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (std::size_t Fault = 0; Fault < SwitchFaultNames.size(); ++Fault)
    for (const Moment &At : Moments) {
      SwitchTrial::Options Wanted;
      Wanted.m_Fault = static_cast<SwitchFault>(Fault);
      Wanted.m_FaultAt = base::Millis(At.m_Millis);
      Wanted.m_Rules = rulesWithout(Plant);
      const SwitchTrial::Outcome Outcome = SwitchTrial(Wanted).run();
      MatrixRow Row;
      Row.m_Fault = std::string(SwitchFaultNames[Fault]);
      Row.m_Step = At.m_Name;
      Row.m_Kept = Outcome.m_MixedSteps == 0 && Outcome.m_Settled;
      Row.m_Seen = Row.m_Kept ? (Outcome.m_NewMap ? "new map" : "old map")
                              : Outcome.m_Seen;
      Rows.push_back(Row);
    }
  return Rows;
}

/// A fault of a random schedule.
struct PlannedFault {
  SwitchEventKind m_Kind = SwitchEventKind::Drop;
  RankIndex m_Rank = 0;
  /// The number of events before it.
  int m_After = 0;
};

/// One random schedule: choices come from the seed, faults from the plan.
struct Schedule {
  RankIndex m_Ranks = 4;
  std::uint64_t m_Seed = 0;
  bool m_TwoProposers = false;
  std::vector<PlannedFault> m_Faults;
};

std::ostream &operator<<(std::ostream &Out, const Schedule &Value) {
  Out << Value.m_Ranks << " ranks, choices from seed " << Value.m_Seed;
  if (Value.m_TwoProposers)
    Out << ", two proposers";
  for (const PlannedFault &Fault : Value.m_Faults)
    Out << ", " << name(Fault.m_Kind) << " at rank " << Fault.m_Rank
        << " after event " << Fault.m_After;
  return Out;
}

/// Draws from the whole range; RapidCheck's own draw grows with the test's
/// size.
template <typename T> rc::Gen<T> anyBelow(T Bound) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(0, Bound));
}

rc::Gen<PlannedFault> anyFault(RankIndex Ranks, int Events) {
  return rc::gen::build<PlannedFault>(
      rc::gen::set(&PlannedFault::m_Kind,
                   rc::gen::element(
                       SwitchEventKind::Duplicate, SwitchEventKind::Drop,
                       SwitchEventKind::FailLoad, SwitchEventKind::CrashAgent,
                       SwitchEventKind::CrashEngine, SwitchEventKind::CrashVm,
                       SwitchEventKind::Ask, SwitchEventKind::Propose)),
      rc::gen::set(&PlannedFault::m_Rank, anyBelow<RankIndex>(Ranks)),
      rc::gen::set(&PlannedFault::m_After, anyBelow(Events)));
}

/// Picks and applies one event. \returns false if nothing can happen.
bool applyRandomEvent(SwitchModel &Group, base::Random &Choice) {
  const std::vector<SwitchEvent> Next = Group.enabled();
  if (Next.empty())
    return false;
  Group.apply(Next[Choice.below(Next.size())]);
  return true;
}

void applyFault(SwitchModel &Group, const PlannedFault &Fault,
                base::Random &Choice) {
  SwitchEvent Event{Fault.m_Kind, Fault.m_Rank, 0};
  const bool OnMessage = Fault.m_Kind == SwitchEventKind::Duplicate ||
                         Fault.m_Kind == SwitchEventKind::Drop;
  if (OnMessage && Group.messages() == 0)
    return;
  if (OnMessage)
    Event.m_Index = Choice.below(Group.messages());
  if (Fault.m_Kind == SwitchEventKind::FailLoad &&
      Group.loads(Fault.m_Rank) == 0)
    return;
  if (Fault.m_Kind == SwitchEventKind::Ask && !Group.attached(Fault.m_Rank))
    return;
  Group.apply(Event);
}

/// \returns what was wrong; empty if the promise was kept.
std::string play(const Schedule &Wanted, const SwitchRules &Rules, int Events) {
  SwitchModel::Options Options;
  Options.m_Ranks = Wanted.m_Ranks;
  Options.m_Rules = Rules;
  Options.m_Ahead = 3;
  // Large groups would spend the whole schedule on hints and announcements.
  Options.m_EagerHints = Wanted.m_Ranks > 8;
  Options.m_BatchStatus = Wanted.m_Ranks > 8;
  Options.m_LateVote = Wanted.m_Seed % 4 == 0;
  if (Wanted.m_TwoProposers)
    Options.m_Proposers = {0, 1};
  SwitchModel Group(Options);
  base::Random Choice(Wanted.m_Seed);
  for (const RankIndex Proposer : Options.m_Proposers)
    Group.apply({SwitchEventKind::Propose, Proposer, 0});
  for (int Event = 0; Event < Events && Group.oneMapPerStep(); ++Event) {
    for (const PlannedFault &Fault : Wanted.m_Faults)
      if (Fault.m_After == Event)
        applyFault(Group, Fault, Choice);
    if (!applyRandomEvent(Group, Choice))
      break;
  }
  if (Group.oneMapPerStep())
    Group.settle(20);
  return Group.oneMapPerStep() ? Group.unsettled() : Group.mixed();
}

/// \returns about how many events a switch without a fault takes.
int eventsFor(RankIndex Ranks) {
  const int Count = static_cast<int>(Ranks);
  return 8 * Count + 3 * Count * Count / 2;
}

rc::Gen<Schedule> anySchedule() {
  // Large groups cost most, so they are drawn less often.
  const auto Sizes =
      rc::gen::weightedElement<RankIndex>({{16, 4}, {3, 8}, {1, 32}});
  return rc::gen::mapcat(Sizes, [](RankIndex Ranks) {
    const int Events = eventsFor(Ranks);
    return rc::gen::build<Schedule>(
        rc::gen::set(&Schedule::m_Ranks, rc::gen::just(Ranks)),
        rc::gen::set(&Schedule::m_Seed, rc::gen::arbitrary<std::uint64_t>()),
        rc::gen::set(&Schedule::m_TwoProposers),
        rc::gen::set(
            &Schedule::m_Faults,
            rc::gen::resize(6, rc::gen::container<std::vector<PlannedFault>>(
                                   anyFault(Ranks, Events)))));
  });
}

FuzzReport fuzz(std::uint64_t Schedules, std::uint64_t Seed,
                const std::string &Plant) {
  const SwitchRules Rules = rulesWithout(Plant);
  return runRapidCheck(Schedules, Seed, [&Rules] {
    const Schedule Wanted = *anySchedule();
    const std::string Seen = play(Wanted, Rules, 3 * eventsFor(Wanted.m_Ranks));
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise mapSwitchPromise() { return {"map-switch", Plants, matrix, fuzz}; }

Promise mapSwitchExplorationPromise() {
  return {"map-switch-explore", Plants, exploreAll, nullptr};
}

} // namespace corneldeck::bench

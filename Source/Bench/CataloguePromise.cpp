#include "Bench/ControlFaults.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Bench/Schedule.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::seconds;

namespace {

constexpr Millis SnapshotInterval = seconds(8);
constexpr Millis Retention = seconds(40);
constexpr Millis FaultSpan = seconds(5);
constexpr Millis Settled = seconds(2);
constexpr Millis EndSpan = seconds(25);

ClusterSettings planted(ClusterSettings Settings, const std::string &Plant) {
  Settings.m_Plants.m_LoadOldSnapshots = Plant == "snapshot-undoes-later";
  Settings.m_Plants.m_SkipGap = Plant == "skip-gap";
  Settings.m_PlantBlindRepeat = Plant == "blind-repeat";
  Settings.m_PlantNoBarrier = Plant == "no-barrier";
  return Settings;
}

/// One step of the script that every row runs through.
struct ScriptStep {
  std::string m_Name;
  std::function<void(ControlCluster &)> m_Do;
};

void startWhileLogOut(ControlCluster &Cluster) {
  Cluster.log().setOut(true);
  Cluster.run(seconds(1));
  Cluster.restart("entry2");
}

std::vector<ScriptStep> script() {
  return {
      {"publish",
       [](ControlCluster &Cluster) { Cluster.publish("entry0", "a"); }},
      {"update",
       [](ControlCluster &Cluster) { Cluster.publish("entry0", "a"); }},
      {"batch",
       [](ControlCluster &Cluster) {
         Cluster.publishBatch("entry0", "b", "c");
       }},
      {"delete",
       [](ControlCluster &Cluster) {
         Cluster.publish("entry0", "c", "owner", true);
       }},
      {"snapshot",
       [](ControlCluster &Cluster) { Cluster.run(SnapshotInterval); }},
      {"update-after-snapshot",
       [](ControlCluster &Cluster) { Cluster.publish("entry0", "a"); }},
      {"expiry", [](ControlCluster &Cluster) { Cluster.run(Retention); }},
      {"start", [](ControlCluster &Cluster) { Cluster.restart("entry2"); }},
      {"start-while-log-out", startWhileLogOut},
      {"log-back",
       [](ControlCluster &Cluster) { Cluster.log().setOut(false); }},
  };
}

/// When a fault begins, counted from its step.
struct Moment {
  std::string m_Name;
  Millis m_Before{};
  Millis m_After{};
};

const std::vector<Moment> &moments() {
  static const std::vector<Moment> Known = {
      {"before", Millis(20), Millis(0)},
      {"in-flight", Millis(0), Millis(1)},
      {"landed", Millis(0), Millis(2)},
      {"read", Millis(0), Millis(6)},
  };
  return Known;
}

/// Which faults a row orders, at which step and moment, and how often.
struct RowPlan {
  std::vector<const ControlFault *> m_Faults;
  std::size_t m_Step = 0;
  Moment m_When;
  int m_Times = 1;
};

void beginFaults(ControlCluster &Cluster, const RowPlan &Plan) {
  for (const ControlFault *Fault : Plan.m_Faults)
    Fault->m_Begin(Cluster);
}

void endFaults(ControlCluster &Cluster, const RowPlan &Plan) {
  for (const ControlFault *Fault : Plan.m_Faults)
    Fault->m_End(Cluster);
}

void runFaultyStep(ControlCluster &Cluster, const ScriptStep &Step,
                   const RowPlan &Plan) {
  if (Plan.m_When.m_Before > Millis(0)) {
    beginFaults(Cluster, Plan);
    Cluster.run(Plan.m_When.m_Before);
    Step.m_Do(Cluster);
  } else {
    Step.m_Do(Cluster);
    Cluster.run(Plan.m_When.m_After);
    beginFaults(Cluster, Plan);
  }
  for (int Time = 1; Time < Plan.m_Times; ++Time) {
    Cluster.run(FaultSpan);
    endFaults(Cluster, Plan);
    Cluster.run(Settled);
    beginFaults(Cluster, Plan);
  }
  Cluster.run(FaultSpan);
  endFaults(Cluster, Plan);
}

/// Runs the script with the faults of \p Plan into \p Row.
void runRow(const RowPlan &Plan, const std::string &Plant, MatrixRow &Row) {
  ClusterSettings Settings;
  Settings.m_SnapshotInterval = SnapshotInterval;
  ControlCluster Cluster(planted(Settings, Plant));
  Cluster.log().setRetention(Retention);
  Cluster.run(Settled);
  const std::vector<ScriptStep> Steps = script();
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    if (Index == Plan.m_Step)
      runFaultyStep(Cluster, Steps[Index], Plan);
    else
      Steps[Index].m_Do(Cluster);
    Cluster.run(Settled);
  }
  healAll(Cluster);
  Cluster.run(EndSpan);
  Cluster.checkEnd();
  Row.m_Kept = Cluster.violations().empty();
  if (!Row.m_Kept)
    Row.m_Seen = Cluster.violations().front();
  else if (Cluster.lostWithLog())
    Row.m_Seen = "refused: no node and no record has the catalogue any more";
}

MatrixRow rowOf(const RowPlan &Plan, const std::string &Plant) {
  MatrixRow Row;
  for (const ControlFault *Fault : Plan.m_Faults)
    Row.m_Fault += (Row.m_Fault.empty() ? "" : "+") + Fault->m_Name;
  if (Plan.m_Times > 1)
    Row.m_Fault += " twice";
  Row.m_Step = script()[Plan.m_Step].m_Name + "/" + Plan.m_When.m_Name;
  runRow(Plan, Plant, Row);
  return Row;
}

std::vector<RowPlan> plans() {
  std::vector<RowPlan> Plans;
  const std::vector<ControlFault> &Faults = controlFaults();
  const std::size_t Steps = script().size();
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    for (const ControlFault &Fault : Faults) {
      for (const Moment &When : moments())
        Plans.push_back({{&Fault}, Step, When, 1});
      Plans.push_back({{&Fault}, Step, moments().front(), 2});
    }
    for (std::size_t A = 0; A < Faults.size(); ++A)
      for (std::size_t B = A + 1; B < Faults.size(); ++B)
        Plans.push_back({{&Faults[A], &Faults[B]},
                         Step,
                         moments()[(A + B + Step) % moments().size()],
                         1});
  }
  return Plans;
}

std::vector<MatrixRow> matrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (const RowPlan &Plan : plans()) {
    Rows.push_back(rowOf(Plan, Plant));
    // One broken row shows that the planted mistake is caught.
    if (!Plant.empty() && !Rows.back().m_Kept)
      break;
  }
  return Rows;
}

/// Kinds of steps in a random schedule.
enum class Act {
  Publish,
  PublishBatch,
  Delete,
  AskAgain,
  OtherOwner,
  Restart,
  Kill,
  Start,
  Pause,
  Resume,
  LogOut,
  LogBack,
  LogSlow,
  LoseAnswer,
  LandLate,
  LoseAppend,
  Isolate,
  Heal,
  RestartAll,
  Expire,
  ReadAloneAndReplace,
  Count
};

void actOnCatalogue(ControlCluster &Cluster, Act What, const std::string &Node,
                    std::vector<std::string> &Asked) {
  const std::string Entry = Asked.size() % 2 ? "a" : "b";
  if (What == Act::Publish)
    Asked.push_back(Cluster.publish(Node, Entry));
  else if (What == Act::PublishBatch)
    Asked.push_back(Cluster.publishBatch(Node, "a", "b"));
  else if (What == Act::Delete)
    Asked.push_back(Cluster.publish(Node, Entry, "owner", true));
  else if (What == Act::OtherOwner)
    Asked.push_back(Cluster.publish(Node, Entry, "stranger"));
  else if (What == Act::AskAgain && !Asked.empty())
    Cluster.publishAgain(Node, Asked.back());
}

void actOnProcess(ControlCluster &Cluster, Act What, const std::string &Node) {
  if (What == Act::Restart)
    Cluster.restart(Node);
  else if (What == Act::Kill)
    Cluster.kill(Node);
  else if (What == Act::Start && !Cluster.core(Node))
    Cluster.start(Node);
  else if (What == Act::Pause)
    Cluster.pause(Node);
  else if (What == Act::Resume)
    Cluster.resume(Node);
  else if (What == Act::RestartAll)
    for (const std::string &Name : Cluster.nodes())
      Cluster.restart(Name);
}

void actOnPlatform(ControlCluster &Cluster, Act What, const std::string &Node) {
  fakes::FakeLog &Log = Cluster.log();
  if (What == Act::LogOut)
    Log.setOut(true);
  else if (What == Act::LogBack)
    Log.setOut(false);
  else if (What == Act::LogSlow)
    Log.setDelay(Millis(300));
  else if (What == Act::LoseAnswer)
    Log.orderFault(Node, fakes::AppendFault::LoseAnswer);
  else if (What == Act::LandLate)
    Log.orderFault(Node, fakes::AppendFault::LandLate);
  else if (What == Act::LoseAppend)
    Log.orderFault(Node, fakes::AppendFault::LoseRequest);
  else if (What == Act::Isolate)
    Cluster.isolate(Node, true);
  else if (What == Act::Heal)
    healAll(Cluster);
}

/// One node alone reads a change, the log goes out and the node is replaced.
void readAloneAndReplace(ControlCluster &Cluster, const std::string &Node,
                         std::vector<std::string> &Asked) {
  for (const std::string &Other : Cluster.nodes())
    Cluster.log().setCut(Other, Other != Node);
  Asked.push_back(Cluster.publish(Node, "a"));
  Cluster.run(Millis(20));
  Cluster.log().setOut(true);
  Cluster.restart(Node);
}

/// Expires what a snapshot in the log covers, as a log with short retention
/// may.
void expireCovered(ControlCluster &Cluster) {
  const auto &History = Cluster.log().history();
  for (auto Item = History.rbegin(); Item != History.rend(); ++Item) {
    if (!Item->m_Record.has_snapshot())
      continue;
    Cluster.log().expireUpTo(Item->m_Record.snapshot().covers_offset());
    return;
  }
}

std::vector<std::string> runSchedule(const Schedule &Steps,
                                     const std::string &Plant) {
  ClusterSettings Settings;
  Settings.m_Tick = Millis(100);
  Settings.m_SnapshotInterval = seconds(3);
  ControlCluster Cluster(planted(Settings, Plant));
  Cluster.run(Millis(600));
  std::vector<std::string> Asked;
  Asked.push_back(Cluster.publish("entry0", "a"));
  Cluster.run(Millis(100));
  for (const ScheduleStep &Step : Steps) {
    const std::string &Node =
        Cluster.nodes()[Step.m_Node % Cluster.nodes().size()];
    const Act What = static_cast<Act>(Step.m_Act);
    actOnCatalogue(Cluster, What, Node, Asked);
    actOnProcess(Cluster, What, Node);
    actOnPlatform(Cluster, What, Node);
    if (What == Act::Expire)
      expireCovered(Cluster);
    if (What == Act::ReadAloneAndReplace)
      readAloneAndReplace(Cluster, Node, Asked);
    Cluster.run(Millis(Step.m_Wait));
  }
  healAll(Cluster);
  Cluster.run(seconds(15));
  Cluster.checkEnd();
  return Cluster.violations();
}

FuzzReport fuzz(std::uint64_t Schedules, std::uint64_t Seed,
                const std::string &Plant) {
  constexpr int MaxSteps = 24;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const Schedule Steps = *anySchedule(static_cast<int>(Act::Count), 4,
                                        {0, 1, 2, 5, 20, 300, 900, 3000});
    const std::vector<std::string> Violations = runSchedule(Steps, Plant);
    if (!Violations.empty())
      RC_FAIL(Violations.front());
  });
}

} // namespace

Promise cataloguePromise() {
  return {"catalogue",
          {"snapshot-undoes-later", "skip-gap", "blind-repeat", "no-barrier"},
          matrix,
          fuzz};
}

} // namespace corneldeck::bench

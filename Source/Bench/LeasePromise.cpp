#include "Bench/ControlFaults.h"
#include "Bench/LeaseCluster.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Bench/Schedule.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::seconds;

namespace {

constexpr Millis FaultSpan = seconds(12);
constexpr Millis Settled = seconds(9);
constexpr Millis EndSpan = seconds(30);
constexpr Millis LateRead = seconds(6);
constexpr Millis LateOrders = seconds(10);

/// Rates of two clocks that differ by a fifth.
constexpr double FastClock = 1.1;
constexpr double SlowClock = 0.9;

LeaseClusterSettings planted(const std::string &Plant) {
  LeaseClusterSettings Settings;
  Settings.m_PlantCountFromAnswer = Plant == "lease-from-answer";
  Settings.m_PlantNoSettle = Plant == "no-settle";
  return Settings;
}

/// A fault of the lease cluster, and its end.
struct LeaseFault {
  std::string m_Name;
  std::function<void(LeaseCluster &)> m_Begin;
  std::function<void(LeaseCluster &)> m_End;
};

LeaseFault lift(const ControlFault &Fault) {
  return {Fault.m_Name,
          [&Fault](LeaseCluster &Leases) { Fault.m_Begin(Leases.cluster()); },
          [&Fault](LeaseCluster &Leases) { Fault.m_End(Leases.cluster()); }};
}

void nothing(LeaseCluster &) {}

std::vector<LeaseFault> makeFaults() {
  std::vector<LeaseFault> Faults;
  for (const ControlFault &Fault : controlFaults())
    Faults.push_back(lift(Fault));
  Faults.push_back(
      {"orders-late",
       [](LeaseCluster &Leases) { Leases.setOrderDelay("entry0", LateOrders); },
       [](LeaseCluster &Leases) {
         Leases.setOrderDelay("entry0", Millis(1));
       }});
  Faults.push_back({"engine-connection-lost",
                    [](LeaseCluster &Leases) { Leases.loseEngineConnection(); },
                    nothing});
  Faults.push_back(
      {"holder-stops-wanting",
       [](LeaseCluster &Leases) { Leases.setWanted("entry0", false); },
       [](LeaseCluster &Leases) { Leases.setWanted("entry0", true); }});
  Faults.push_back(
      {"holder-reads-claim-late",
       [](LeaseCluster &Leases) { Leases.readNextClaimLate(LateRead); },
       nothing});
  const auto RestartAgent = [](LeaseCluster &Leases) {
    Leases.cluster().restart("agent0");
  };
  Faults.push_back({"agent-restarted-at-once", RestartAgent, RestartAgent});
  return Faults;
}

const std::vector<LeaseFault> &leaseFaults() {
  static const std::vector<LeaseFault> Faults = makeFaults();
  return Faults;
}

/// One step of the script that every row runs through.
struct ScriptStep {
  std::string m_Name;
  std::function<void(LeaseCluster &)> m_Do;
};

std::vector<ScriptStep> script() {
  return {
      {"acquire",
       [](LeaseCluster &Leases) { Leases.setWanted("entry0", true); }},
      {"contend",
       [](LeaseCluster &Leases) {
         Leases.setWanted("entry1", true);
         Leases.setWanted("entry2", true);
       }},
      {"renew", [](LeaseCluster &Leases) { Leases.cluster().run(seconds(4)); }},
      {"take-over",
       [](LeaseCluster &Leases) { Leases.cluster().pause("entry0"); }},
      {"holder-wakes",
       [](LeaseCluster &Leases) { Leases.cluster().resume("entry0"); }},
      {"order-after-gate-restart",
       [](LeaseCluster &Leases) { Leases.cluster().restart("agent0"); }},
  };
}

/// Which faults a row orders, at which step, and how long after it.
struct RowPlan {
  std::vector<const LeaseFault *> m_Faults;
  std::size_t m_Step = 0;
  Millis m_After{};
  int m_Times = 1;
};

void strike(LeaseCluster &Leases, const RowPlan &Plan) {
  for (int Time = 0; Time < Plan.m_Times; ++Time) {
    for (const LeaseFault *Fault : Plan.m_Faults)
      Fault->m_Begin(Leases);
    Leases.cluster().run(FaultSpan);
    for (const LeaseFault *Fault : Plan.m_Faults)
      Fault->m_End(Leases);
    Leases.cluster().run(seconds(1));
  }
}

MatrixRow rowOf(const RowPlan &Plan, const std::string &Plant) {
  MatrixRow Row;
  for (const LeaseFault *Fault : Plan.m_Faults)
    Row.m_Fault += (Row.m_Fault.empty() ? "" : "+") + Fault->m_Name;
  if (Plan.m_Times > 1)
    Row.m_Fault += " twice";
  const std::vector<ScriptStep> Steps = script();
  Row.m_Step = Steps[Plan.m_Step].m_Name + "+" +
               std::to_string(Plan.m_After.count()) + "ms";
  LeaseCluster Leases(planted(Plant));
  Leases.cluster().setClockRate("entry0", SlowClock);
  Leases.cluster().setClockRate("entry1", FastClock);
  Leases.cluster().run(seconds(1));
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    Steps[Index].m_Do(Leases);
    if (Index == Plan.m_Step) {
      Leases.cluster().run(Plan.m_After);
      strike(Leases, Plan);
    }
    Leases.cluster().run(Settled);
  }
  healAll(Leases.cluster());
  Leases.cluster().run(EndSpan);
  Leases.checkEnd();
  Row.m_Kept = Leases.violations().empty();
  if (!Row.m_Kept)
    Row.m_Seen = Leases.violations().front();
  return Row;
}

std::vector<RowPlan> plans() {
  std::vector<RowPlan> Plans;
  const std::vector<LeaseFault> &Faults = leaseFaults();
  for (std::size_t Step = 0; Step < script().size(); ++Step) {
    for (const LeaseFault &Fault : Faults) {
      for (const int After : {0, 1, 3, 60, 420, 1900})
        Plans.push_back({{&Fault}, Step, Millis(After), 1});
      Plans.push_back({{&Fault}, Step, Millis(0), 2});
    }
    for (std::size_t A = 0; A < Faults.size(); ++A)
      for (std::size_t B = A + 1; B < Faults.size(); ++B)
        if ((A + B + Step) % 3 == 0)
          Plans.push_back({{&Faults[A], &Faults[B]}, Step, Millis(60), 1});
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
  Pause,
  Resume,
  Kill,
  Start,
  Restart,
  RestartGate,
  LogOut,
  LogBack,
  LogSlow,
  LoseAnswer,
  LoseAppend,
  LandLate,
  Isolate,
  Heal,
  OrdersLate,
  OrdersInTime,
  LoseEngineConnection,
  StopWanting,
  Want,
  FastClock,
  SlowClock,
  ReadClaimLate,
  Count
};

void actOnProcess(LeaseCluster &Leases, Act What, const std::string &Node) {
  ControlCluster &Cluster = Leases.cluster();
  if (What == Act::Pause)
    Cluster.pause(Node);
  else if (What == Act::Resume)
    Cluster.resume(Node);
  else if (What == Act::Kill)
    Cluster.kill(Node);
  else if (What == Act::Start && !Cluster.core(Node))
    Cluster.start(Node);
  else if (What == Act::Restart)
    Cluster.restart(Node);
  else if (What == Act::RestartGate)
    Cluster.restart("agent0");
  else if (What == Act::FastClock)
    Cluster.setClockRate(Node, FastClock);
  else if (What == Act::SlowClock)
    Cluster.setClockRate(Node, SlowClock);
}

void actOnPlatform(LeaseCluster &Leases, Act What, const std::string &Node) {
  fakes::FakeLog &Log = Leases.cluster().log();
  if (What == Act::LogOut)
    Log.setOut(true);
  else if (What == Act::LogBack)
    Log.setOut(false);
  else if (What == Act::LogSlow)
    Log.setDelay(Millis(900));
  else if (What == Act::LoseAnswer)
    Log.orderFault(Node, fakes::AppendFault::LoseAnswer);
  else if (What == Act::LoseAppend)
    Log.orderFault(Node, fakes::AppendFault::LoseRequest);
  else if (What == Act::LandLate)
    Log.orderFault(Node, fakes::AppendFault::LandLate);
  else if (What == Act::Isolate)
    Leases.cluster().isolate(Node, true);
  else if (What == Act::Heal)
    healAll(Leases.cluster());
  else if (What == Act::LoseEngineConnection)
    Leases.loseEngineConnection();
}

void actOnContender(LeaseCluster &Leases, Act What, const std::string &Entry) {
  if (What == Act::OrdersLate)
    Leases.setOrderDelay(Entry, LateOrders);
  else if (What == Act::OrdersInTime)
    Leases.setOrderDelay(Entry, Millis(1));
  else if (What == Act::StopWanting)
    Leases.setWanted(Entry, false);
  else if (What == Act::ReadClaimLate)
    Leases.readNextClaimLate(LateRead);
  else if (What == Act::Want)
    Leases.setWanted(Entry, true);
}

std::vector<std::string> runSchedule(const Schedule &Steps,
                                     const std::string &Plant) {
  LeaseClusterSettings Settings = planted(Plant);
  Settings.m_Cluster.m_Tick = Millis(100);
  LeaseCluster Leases(Settings);
  ControlCluster &Cluster = Leases.cluster();
  for (const std::string &Entry : Cluster.entries())
    Leases.setWanted(Entry, true);
  Cluster.run(seconds(1));
  for (const ScheduleStep &Step : Steps) {
    const Act What = static_cast<Act>(Step.m_Act);
    actOnProcess(Leases, What, Cluster.nodes()[Step.m_Node]);
    actOnPlatform(Leases, What, Cluster.nodes()[Step.m_Node]);
    actOnContender(Leases, What, Cluster.entries()[Step.m_Node % 3]);
    Cluster.run(Millis(Step.m_Wait));
  }
  healAll(Cluster);
  for (const std::string &Entry : Cluster.entries()) {
    Leases.setWanted(Entry, true);
    Leases.setOrderDelay(Entry, Millis(1));
  }
  Cluster.run(seconds(20));
  Leases.checkEnd();
  return Leases.violations();
}

FuzzReport fuzz(std::uint64_t Schedules, std::uint64_t Seed,
                const std::string &Plant) {
  constexpr int MaxSteps = 20;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const Schedule Steps = *anySchedule(static_cast<int>(Act::Count), 4,
                                        {0, 1, 3, 100, 900, 3000, 7000});
    const std::vector<std::string> Violations = runSchedule(Steps, Plant);
    if (!Violations.empty())
      RC_FAIL(Violations.front());
  });
}

} // namespace

Promise leasesPromise() {
  return {"leases", {"lease-from-answer", "no-settle"}, matrix, fuzz};
}

} // namespace corneldeck::bench

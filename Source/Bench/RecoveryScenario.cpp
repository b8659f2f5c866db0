#include "Bench/ControlCluster.h"
#include "Bench/Scenarios.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::seconds;

namespace {

constexpr std::size_t Entries = 9;
constexpr std::size_t Agents = 15;
constexpr Millis Outage = seconds(20);
constexpr Millis Step(10);
constexpr Millis Longest = seconds(60);
constexpr Millis SlowLog = Millis(800);
constexpr double UpBoundMs = 2000;
constexpr double SlowBoundMs = 16000;
constexpr double PeersBoundMs = 16000;

enum class LogState { Up, Slow, Out };

const char *name(LogState State) {
  switch (State) {
  case LogState::Up:
    return "up";
  case LogState::Slow:
    return "slow";
  case LogState::Out:
    return "out";
  }
  return "up";
}

/// Which nodes are replaced.
struct Extent {
  std::string m_Name;
  std::size_t m_Survivors = 0;
};

bool allReady(ControlCluster &Cluster) {
  return std::all_of(
      Cluster.nodes().begin(), Cluster.nodes().end(),
      [&](const std::string &Node) { return Cluster.core(Node)->ready(); });
}

struct Outcome {
  double m_ServingAgainMs = 0;
  bool m_Served = false;
  std::size_t m_OlderServed = 0;
  std::size_t m_Violations = 0;
};

Outcome runWith(const Extent &Replaced, LogState Log, std::uint64_t Seed) {
  ClusterSettings Settings;
  Settings.m_Entries = Entries;
  Settings.m_Agents = Agents;
  Settings.m_Seed = Seed;
  ControlCluster Cluster(Settings);
  Cluster.run(seconds(3));
  for (int Change = 0; Change < 5; ++Change) {
    Cluster.publish("entry0", "a");
    Cluster.run(seconds(2));
  }
  Cluster.log().setOut(Log == LogState::Out);
  if (Log == LogState::Slow)
    Cluster.log().setDelay(SlowLog);
  Cluster.run(seconds(5));
  const Millis At = Cluster.time().now();
  const std::vector<std::string> Nodes = Cluster.nodes();
  for (std::size_t Index = 0; Index + Replaced.m_Survivors < Nodes.size();
       ++Index)
    Cluster.restart(Nodes[Index]);
  bool LogBack = false;
  while (!allReady(Cluster) && Cluster.time().now() < At + Longest) {
    Cluster.run(Step);
    if (Log == LogState::Out && Cluster.time().now() >= At + Outage &&
        !std::exchange(LogBack, true))
      Cluster.log().setOut(false);
  }
  Outcome Result;
  Result.m_Served = allReady(Cluster);
  Result.m_ServingAgainMs =
      static_cast<double>((Cluster.time().now() - At).count());
  Cluster.log().setOut(false);
  Cluster.log().setDelay(Millis(1));
  Cluster.run(seconds(25));
  Cluster.checkEnd();
  Result.m_OlderServed = Cluster.reverts();
  Result.m_Violations = Cluster.violations().size();
  return Result;
}

/// \returns the bound on the time to serve again.
double boundOf(const Extent &Replaced, LogState Log) {
  if (Log == LogState::Up)
    return UpBoundMs;
  if (Log == LogState::Slow)
    return SlowBoundMs;
  // When nobody has the catalogue, serving waits for the log.
  const double Wait =
      Replaced.m_Survivors == 0 ? static_cast<double>(Outage.count()) : 0;
  return Wait + PeersBoundMs;
}

void report(const Extent &Replaced, LogState Log, const Outcome &Result,
            ScenarioReport &Report) {
  const std::string Words = Replaced.m_Name + ", log " + name(Log);
  Report.m_Measurements.push_back({Replaced.m_Name,
                                   "serving_again_ms",
                                   Result.m_ServingAgainMs,
                                   "ms",
                                   {{"log", name(Log)}}});
  Report.m_Measurements.push_back({Replaced.m_Name,
                                   "older_state_served",
                                   static_cast<double>(Result.m_OlderServed),
                                   "count",
                                   {{"log", name(Log)}}});
  const double Bound = boundOf(Replaced, Log);
  Report.m_Bounds.push_back(
      {Words + ": serving_again_ms < " + std::to_string(int(Bound)),
       Result.m_ServingAgainMs,
       Result.m_Served && Result.m_ServingAgainMs < Bound});
  Report.m_Bounds.push_back(
      {Words + ": older_state_served = 0",
       static_cast<double>(Result.m_OlderServed),
       Result.m_OlderServed == 0 && Result.m_Violations == 0});
}

ScenarioReport run(const ScenarioOptions &Options) {
  const std::vector<Extent> Extents = {
      {"one", Entries + Agents - 1}, {"all-but-one", 1}, {"all", 0}};
  ScenarioReport Report;
  for (const Extent &Replaced : Extents)
    for (const LogState Log : {LogState::Up, LogState::Slow, LogState::Out})
      report(Replaced, Log, runWith(Replaced, Log, Options.m_Seed), Report);
  return Report;
}

} // namespace

Scenario recoveryScenario() {
  return {"recovery", "time back to serving after nodes were replaced", run};
}

} // namespace corneldeck::bench

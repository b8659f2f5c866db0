#include "Bench/ControlCluster.h"
#include "Bench/ControlFaults.h"
#include "Bench/Scenarios.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::seconds;

namespace {

constexpr std::size_t Entries = 9;
constexpr std::size_t Agents = 15;
constexpr int Changes = 12;
constexpr Millis ChangeEvery = seconds(4);
constexpr Millis FaultSpan = seconds(8);
constexpr Millis Retention = seconds(45);
constexpr Millis EndSpan = seconds(25);
constexpr double NoFaultBoundMs = 2000;
constexpr double FaultBoundMs = 16000;
/// Faults after which a change that was told as published may never have
/// been appended, so that it has no time in force.
constexpr const char *LogOutage = "log-out";

/// What one run gave.
struct Times {
  std::vector<double> m_InForceMs;
  std::size_t m_Reverts = 0;
  std::size_t m_Missing = 0;
  std::size_t m_Violations = 0;
};

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Last * Part)];
}

ClusterSettings settings(std::uint64_t Seed) {
  ClusterSettings Settings;
  Settings.m_Entries = Entries;
  Settings.m_Agents = Agents;
  Settings.m_Seed = Seed;
  Settings.m_SnapshotInterval = seconds(15);
  return Settings;
}

/// A fault that lasted longer than the bound.
struct LongFault {
  Millis m_Begin{};
  Millis m_End{};
};

/// Adds for each accepted change how long it took, from its append, to be in
/// force at every node.
///
/// A change that was appended while a fault lasted longer than the bound, so
/// that its node served nobody, counts from the end of the fault.
void collect(ControlCluster &Cluster, const std::vector<LongFault> &Long,
             Times &Result) {
  const auto &History = Cluster.log().history();
  for (std::size_t Index = 0; Index < History.size(); ++Index) {
    const wire::LogRecord &Record = History[Index].m_Record;
    const auto Answer = Cluster.answers().find(Record.append_id());
    if (Answer == Cluster.answers().end() ||
        Answer->second.m_Code != base::ResultCode::Ok)
      continue;
    Millis From = History[Index].m_At;
    for (const LongFault &Span : Long)
      if (From >= Span.m_Begin && From < Span.m_End)
        From = Span.m_End;
    Millis Last = From;
    for (const std::string &Node : Cluster.nodes()) {
      const auto Since = Cluster.inForceSince(Node, Index + 1);
      if (!Since)
        ++Result.m_Missing;
      else
        Last = std::max(Last, *Since);
    }
    Result.m_InForceMs.push_back(static_cast<double>((Last - From).count()));
  }
}

/// Runs changes while \p Fault comes and goes before every third one.
Times runWith(const ControlFault *Fault, std::uint64_t Seed) {
  ControlCluster Cluster(settings(Seed));
  Cluster.log().setRetention(Retention);
  Cluster.run(seconds(3));
  std::vector<LongFault> Long;
  for (int Change = 0; Change < Changes; ++Change) {
    const bool Faulty = Fault && Change % 3 == 1;
    const Millis Begin = Cluster.time().now();
    if (Faulty) {
      Fault->m_Begin(Cluster);
      Cluster.run(Millis(20));
    }
    const std::string Publisher = "entry" + std::to_string(Change % 9);
    Cluster.publish(Faulty ? "entry0" : Publisher, "a");
    Cluster.run(Faulty ? FaultSpan : ChangeEvery);
    if (Faulty)
      Fault->m_End(Cluster);
    const Millis End = Cluster.time().now();
    if (Faulty && static_cast<double>((End - Begin).count()) > FaultBoundMs)
      Long.push_back({Begin, End});
  }
  healAll(Cluster);
  Cluster.run(EndSpan);
  Cluster.checkEnd();
  Times Result;
  collect(Cluster, Long, Result);
  Result.m_Reverts = Cluster.reverts();
  Result.m_Violations = Cluster.violations().size();
  return Result;
}

void report(const std::string &Variant, const Times &Result, double Bound,
            ScenarioReport &Report) {
  const double Max = percentile(Result.m_InForceMs, 1);
  Report.m_Measurements.push_back(
      {Variant, "in_force_p50_ms", percentile(Result.m_InForceMs, 0.5), "ms"});
  Report.m_Measurements.push_back({Variant, "in_force_max_ms", Max, "ms"});
  Report.m_Measurements.push_back(
      {Variant, "reverts", static_cast<double>(Result.m_Reverts), "count"});
  Report.m_Measurements.push_back(
      {Variant, "changes", static_cast<double>(Result.m_InForceMs.size()),
       "count"});
  Report.m_Bounds.push_back({Variant + " reverts = 0",
                             static_cast<double>(Result.m_Reverts),
                             Result.m_Reverts == 0});
  const std::size_t Wrong = Result.m_Missing + Result.m_Violations;
  Report.m_Bounds.push_back(
      {Variant + " every accepted change in force everywhere, answers true",
       static_cast<double>(Wrong), Wrong == 0 && !Result.m_InForceMs.empty()});
  if (Variant == LogOutage)
    return;
  Report.m_Bounds.push_back(
      {Variant + " in_force_max_ms < " + std::to_string(int(Bound)), Max,
       Max < Bound});
}

ScenarioReport run(const ScenarioOptions &Options) {
  ScenarioReport Report;
  report("corneldeck", runWith(nullptr, Options.m_Seed), NoFaultBoundMs,
         Report);
  for (const ControlFault &Fault : controlFaults())
    report(Fault.m_Name, runWith(&Fault, Options.m_Seed), FaultBoundMs, Report);
  return Report;
}

} // namespace

Scenario catalogueScenario() {
  return {"catalogue",
          "time until a change is in force at 9 entries and 15 agents", run};
}

} // namespace corneldeck::bench

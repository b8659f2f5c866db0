#include "Bench/FleetModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace corneldeck::bench {
namespace {

constexpr double Load = 0.85;
constexpr base::Millis GoneAt = base::seconds(20);
constexpr base::Millis BackAt = base::seconds(45);
constexpr base::Millis End = base::seconds(75);
/// Longer than any deadline, so that every request is decided.
constexpr base::Millis Drain = base::seconds(15);
constexpr std::uint32_t MaxAttempts = 4;
/// Goodput is full in a second whose requests were answered in time, but for
/// this part of them.
constexpr double FullShare = 0.99;

/// Amplification is that of the worst span of this length.
constexpr std::size_t WindowSeconds = 10;

constexpr double MostAmplification = 1.1;
constexpr base::Millis MostRecovery = base::seconds(5);

struct RetriesResult {
  double m_Amplification = 0;
  base::Millis m_Recovery{};
  double m_OutageGoodput = 0;
};

/// \returns for each second of arrivals the part answered in time.
std::vector<double> inTimeBySecond(const FleetModel &Fleet) {
  const auto Seconds = static_cast<std::size_t>(End.count() / 1'000);
  std::vector<double> Kept(Seconds, 0);
  std::vector<double> All(Seconds, 0);
  for (const RequestRecord &Each : Fleet.records()) {
    const auto Second =
        static_cast<std::size_t>(Each.m_Item.m_At.count() / 1'000);
    All[Second] += 1;
    Kept[Second] += Each.inTime() ? 1 : 0;
  }
  for (std::size_t Second = 0; Second < Seconds; ++Second)
    Kept[Second] = All[Second] > 0 ? Kept[Second] / All[Second] : 1;
  return Kept;
}

/// \returns the time from the replicas' return to the end of the last second
/// whose goodput was not full.
base::Millis recovery(const std::vector<double> &InTime) {
  const auto Back = static_cast<std::size_t>(BackAt.count() / 1'000);
  std::size_t Full = Back;
  for (std::size_t Second = Back; Second < InTime.size(); ++Second)
    if (InTime[Second] < FullShare)
      Full = Second + 1;
  return base::seconds(static_cast<std::int64_t>(Full - Back));
}

/// \returns the attempts of the requests that came in the worst window, for
/// each of them that was sent at all.
double worstAmplification(const FleetModel &Fleet) {
  const auto Seconds = static_cast<std::size_t>(End.count() / 1'000);
  std::vector<double> Requests(Seconds, 0);
  std::vector<double> Attempts(Seconds, 0);
  for (const RequestRecord &Each : Fleet.records()) {
    if (Each.m_Attempts == 0)
      continue;
    const auto Second =
        static_cast<std::size_t>(Each.m_Item.m_At.count() / 1'000);
    Requests[Second] += 1;
    Attempts[Second] += Each.m_Attempts;
  }
  double Worst = 0;
  for (std::size_t From = 0; From + WindowSeconds <= Seconds; ++From) {
    const auto Sum = [From](const std::vector<double> &Of) {
      const auto Begin = Of.begin() + static_cast<std::ptrdiff_t>(From);
      return std::accumulate(Begin, Begin + WindowSeconds, 0.0);
    };
    Worst = std::max(Worst, Sum(Attempts) / Sum(Requests));
  }
  return Worst;
}

RetriesResult runOnce(const ScenarioOptions &Options, double PerSecond,
                      bool Budget) {
  FleetOptions Fleet;
  Fleet.m_Spec = fleetSpec(Options.m_Fleet);
  Fleet.m_Seed = Options.m_Seed;
  Fleet.m_RetryBudget = Budget;
  Fleet.m_MaxAttempts = MaxAttempts;
  FleetModel Model(Fleet);
  Workload Traffic(Fleet.m_Spec, Options.m_Seed);
  for (const TrafficItem &Item : Traffic.arrivals(PerSecond, End))
    Model.add(Item);
  for (std::uint32_t Index = 0; Index < Fleet.m_Spec.m_Replicas; Index += 3) {
    // Half of them go silent, the others fail each run at once.
    Model.killReplica(GoneAt, Index,
                      Index % 2 == 0 ? GoneKind::Silent : GoneKind::Failing);
    Model.returnReplica(BackAt, Index);
  }
  Model.runUntil(End + Drain);
  const std::vector<double> InTime = inTimeBySecond(Model);
  const auto First = InTime.begin() + GoneAt.count() / 1'000;
  const auto Last = InTime.begin() + BackAt.count() / 1'000;
  RetriesResult Result;
  Result.m_Amplification = worstAmplification(Model);
  Result.m_Recovery = recovery(InTime);
  Result.m_OutageGoodput =
      std::accumulate(First, Last, 0.0) / static_cast<double>(Last - First);
  return Result;
}

void addRows(ScenarioReport &To, const std::string &Variant,
             const RetriesResult &Of) {
  To.m_Measurements.push_back(
      {Variant, "amplification_ratio", Of.m_Amplification, "ratio"});
  To.m_Measurements.push_back({Variant, "recovery_ms",
                               static_cast<double>(Of.m_Recovery.count()),
                               "ms"});
  To.m_Measurements.push_back(
      {Variant, "outage_in_time_ratio", Of.m_OutageGoodput, "ratio"});
}

ScenarioReport runRetries(const ScenarioOptions &Options) {
  const Capacity Full =
      measureCapacity(fleetSpec(Options.m_Fleet), Options.m_Seed);
  const double PerSecond = Load * Full.m_Requests;
  const RetriesResult Own = runOnce(Options, PerSecond, true);
  const RetriesResult Without = runOnce(Options, PerSecond, false);
  ScenarioReport Report;
  addRows(Report, "corneldeck", Own);
  addRows(Report, "no-budget", Without);
  Report.m_Bounds.push_back({"corneldeck amplification_ratio <= 1.1",
                             Own.m_Amplification,
                             Own.m_Amplification <= MostAmplification});
  Report.m_Bounds.push_back({"corneldeck recovery_ms <= 5000",
                             static_cast<double>(Own.m_Recovery.count()),
                             Own.m_Recovery <= MostRecovery});
  return Report;
}

} // namespace

Scenario retriesScenario() {
  return {"retries", "a third of the replicas goes and comes back", runRetries};
}

} // namespace corneldeck::bench

#include "Bench/FleetModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <limits>

namespace corneldeck::bench {
namespace {

constexpr base::Millis WarmUp = base::seconds(15);
constexpr base::Millis MeasureFor = base::seconds(40);
/// Longer than any deadline, so that every request is decided.
constexpr base::Millis Drain = base::seconds(15);
constexpr base::Millis NoDeadline = base::minutes(60);
/// Requests kept in the fleet to measure its capacity, per place in a batch.
constexpr double SaturationFactor = 1.25;
constexpr double NormalLoad = 0.85;
constexpr double Overload = 1.3;

constexpr double LeastInTime = 0.99;
constexpr double MostTtftRatio = 0.7;
constexpr double MostTtftMillis = 1'200;
constexpr double LeastGoodput = 0.95;
constexpr double LeastHitShare = 0.9;

const std::vector<RoutingPolicy> Policies = {
    RoutingPolicy::RoundRobin, RoutingPolicy::LeastReportedLoad,
    RoutingPolicy::TwoChoices, RoutingPolicy::AllSeeing,
    RoutingPolicy::Corneldeck};

/// What one policy reached.
struct PolicyResult {
  double m_InTime = 0;
  double m_TtftP95 = 0;
  double m_Goodput = 0;
  double m_Hits = 0;
};

/// Requests and their times in the measured part of a run.
struct RunResult {
  double m_InTime = 0;
  double m_GoodputPerSecond = 0;
  double m_TtftP95 = 0;
  double m_Hits = 0;
};

FleetOptions optionsFor(const FleetSpec &Spec, RoutingPolicy Policy,
                        std::uint64_t Seed) {
  FleetOptions Options;
  Options.m_Spec = Spec;
  Options.m_Policy = Policy;
  Options.m_Seed = Seed;
  return Options;
}

RunResult runAt(const FleetSpec &Spec, RoutingPolicy Policy, std::uint64_t Seed,
                double PerSecond) {
  FleetModel Fleet(optionsFor(Spec, Policy, Seed));
  Workload Traffic(Spec, Seed);
  for (const TrafficItem &Item :
       Traffic.arrivals(PerSecond, WarmUp + MeasureFor))
    Fleet.add(Item);
  Fleet.runUntil(WarmUp + MeasureFor + Drain);
  std::vector<double> Ttft;
  double InTime = 0;
  for (const RequestRecord &Each : Fleet.records()) {
    if (Each.m_Item.m_At < WarmUp)
      continue;
    InTime += Each.inTime() ? 1 : 0;
    // A request without a first token counts as slower than any with one.
    Ttft.push_back(Each.m_FirstTokenAt
                       ? static_cast<double>(
                             (*Each.m_FirstTokenAt - Each.m_Item.m_At).count())
                       : std::numeric_limits<double>::max());
  }
  std::sort(Ttft.begin(), Ttft.end());
  RunResult Result;
  Result.m_InTime = InTime / static_cast<double>(Ttft.size());
  Result.m_GoodputPerSecond =
      InTime * 1'000 / static_cast<double>(MeasureFor.count());
  Result.m_TtftP95 = Ttft[Ttft.size() * 95 / 100];
  Result.m_Hits = Fleet.prefixHitRatio();
  return Result;
}

PolicyResult measure(const FleetSpec &Spec, RoutingPolicy Policy,
                     std::uint64_t Seed, double Capacity) {
  const RunResult Normal = runAt(Spec, Policy, Seed, NormalLoad * Capacity);
  const RunResult Over = runAt(Spec, Policy, Seed, Overload * Capacity);
  return {Normal.m_InTime, Normal.m_TtftP95, Over.m_GoodputPerSecond / Capacity,
          Normal.m_Hits};
}

void addRows(ScenarioReport &To, const std::string &Variant,
             const PolicyResult &Of) {
  To.m_Measurements.push_back(
      {Variant, "load_85_in_time_ratio", Of.m_InTime, "ratio"});
  To.m_Measurements.push_back({Variant, "ttft_p95_ms", Of.m_TtftP95, "ms"});
  To.m_Measurements.push_back(
      {Variant, "load_130_goodput_ratio", Of.m_Goodput, "ratio"});
  To.m_Measurements.push_back(
      {Variant, "prefix_hit_ratio", Of.m_Hits, "ratio"});
}

void addBounds(ScenarioReport &To, const PolicyResult &Own, double BestTtft,
               double AllSeeingHits) {
  To.m_Bounds.push_back({"corneldeck load_85_in_time_ratio >= 0.99",
                         Own.m_InTime, Own.m_InTime >= LeastInTime});
  To.m_Bounds.push_back({"corneldeck ttft_p95_ms < 1200", Own.m_TtftP95,
                         Own.m_TtftP95 < MostTtftMillis});
  const double TtftRatio = Own.m_TtftP95 / BestTtft;
  To.m_Bounds.push_back({"corneldeck ttft_p95_ms / best baseline's <= 0.7",
                         TtftRatio, TtftRatio <= MostTtftRatio});
  To.m_Bounds.push_back({"corneldeck load_130_goodput_ratio >= 0.95",
                         Own.m_Goodput, Own.m_Goodput >= LeastGoodput});
  const double HitShare = Own.m_Hits / AllSeeingHits;
  To.m_Bounds.push_back({"corneldeck prefix_hit_ratio / all-seeing's >= 0.9",
                         HitShare, HitShare >= LeastHitShare});
}

bool isBaseline(RoutingPolicy Policy) {
  return Policy != RoutingPolicy::Corneldeck &&
         Policy != RoutingPolicy::AllSeeing;
}

ScenarioReport runRouting(const ScenarioOptions &Options) {
  const FleetSpec Spec = fleetSpec(Options.m_Fleet);
  const double Capacity = measureCapacity(Spec, Options.m_Seed);
  ScenarioReport Report;
  Report.m_Measurements.push_back(
      {"all-seeing", "capacity_per_s", Capacity, "requests/s"});
  double BestTtft = std::numeric_limits<double>::max();
  double AllSeeingHits = 0;
  PolicyResult Own;
  for (const RoutingPolicy Policy : Policies) {
    const PolicyResult Result = measure(Spec, Policy, Options.m_Seed, Capacity);
    addRows(Report, policyName(Policy), Result);
    if (isBaseline(Policy))
      BestTtft = std::min(BestTtft, Result.m_TtftP95);
    else if (Policy == RoutingPolicy::AllSeeing)
      AllSeeingHits = Result.m_Hits;
    else
      Own = Result;
  }
  addBounds(Report, Own, BestTtft, AllSeeingHits);
  return Report;
}

} // namespace

double measureCapacity(const FleetSpec &Spec, std::uint64_t Seed) {
  FleetOptions Options = optionsFor(Spec, RoutingPolicy::AllSeeing, Seed);
  Options.m_Admission = false;
  FleetModel Fleet(Options);
  Workload Traffic(Spec, Seed);
  const double Places =
      static_cast<double>(Spec.m_Replicas) * Spec.m_Engine.m_MaxBatch;
  Fleet.closedLoop(static_cast<std::uint32_t>(Places * SaturationFactor),
                   [&Traffic](base::Millis Now) {
                     TrafficItem Item = Traffic.draw(Now);
                     Item.m_Deadline = Now + NoDeadline;
                     return Item;
                   });
  Fleet.runUntil(WarmUp + MeasureFor);
  double Done = 0;
  for (const RequestRecord &Each : Fleet.records())
    Done += Each.m_DoneAt && *Each.m_DoneAt >= WarmUp ? 1 : 0;
  return Done * 1'000 / static_cast<double>(MeasureFor.count());
}

Scenario routingScenario() {
  return {"routing", "replica choice and admission at 85% and 130% of capacity",
          runRouting};
}

} // namespace corneldeck::bench

#include "Bench/FleetModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <array>
#include <limits>

namespace corneldeck::bench {
namespace {

constexpr base::Millis WarmUp = base::seconds(15);
constexpr base::Millis MeasureFor = base::seconds(40);
constexpr double MeasureSeconds = 40;
/// Longer than any deadline, so that every request is decided.
constexpr base::Millis Drain = base::seconds(15);
constexpr base::Millis NoDeadline = base::minutes(60);
/// Requests kept in the fleet to measure its capacity, per place in a batch.
constexpr std::array<double, 3> SaturationFactors = {1.0, 1.25, 1.5};
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
  double m_TokenGoodput = 0;
  double m_Hits = 0;
};

/// Requests and their times in the measured part of a run.
struct RunResult {
  double m_InTime = 0;
  Capacity m_Goodput;
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
  double Tokens = 0;
  for (const RequestRecord &Each : Fleet.records()) {
    if (Each.m_Item.m_At < WarmUp)
      continue;
    if (Each.inTime()) {
      InTime += 1;
      Tokens += Each.m_Item.m_OutputTokens;
    }
    // A request without a first token counts with all the time it had.
    const base::Millis First =
        Each.m_FirstTokenAt.value_or(Each.m_Item.m_Deadline);
    Ttft.push_back(static_cast<double>((First - Each.m_Item.m_At).count()));
  }
  std::sort(Ttft.begin(), Ttft.end());
  RunResult Result;
  Result.m_InTime = InTime / static_cast<double>(Ttft.size());
  Result.m_Goodput = {InTime / MeasureSeconds, Tokens / MeasureSeconds};
  Result.m_TtftP95 = Ttft[Ttft.size() * 95 / 100];
  Result.m_Hits = Fleet.prefixHitRatio();
  return Result;
}

PolicyResult measure(const FleetSpec &Spec, RoutingPolicy Policy,
                     std::uint64_t Seed, const Capacity &Full) {
  const RunResult Normal =
      runAt(Spec, Policy, Seed, NormalLoad * Full.m_Requests);
  const RunResult Over = runAt(Spec, Policy, Seed, Overload * Full.m_Requests);
  return {Normal.m_InTime, Normal.m_TtftP95,
          Over.m_Goodput.m_Requests / Full.m_Requests,
          Over.m_Goodput.m_Tokens / Full.m_Tokens, Normal.m_Hits};
}

void addRows(ScenarioReport &To, const std::string &Variant,
             const PolicyResult &Of) {
  To.m_Measurements.push_back(
      {Variant, "load_85_in_time_ratio", Of.m_InTime, "ratio"});
  To.m_Measurements.push_back({Variant, "ttft_p95_ms", Of.m_TtftP95, "ms"});
  To.m_Measurements.push_back(
      {Variant, "load_130_goodput_ratio", Of.m_Goodput, "ratio"});
  To.m_Measurements.push_back(
      {Variant, "load_130_token_goodput_ratio", Of.m_TokenGoodput, "ratio"});
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
  const Capacity Full = measureCapacity(Spec, Options.m_Seed);
  ScenarioReport Report;
  Report.m_Measurements.push_back(
      {"saturated", "capacity_per_s", Full.m_Requests, "requests/s"});
  Report.m_Measurements.push_back(
      {"saturated", "capacity_tokens_per_s", Full.m_Tokens, "tokens/s"});
  double BestTtft = std::numeric_limits<double>::max();
  double AllSeeingHits = 0;
  PolicyResult Own;
  for (const RoutingPolicy Policy : Policies) {
    const PolicyResult Result = measure(Spec, Policy, Options.m_Seed, Full);
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

/// Runs a closed loop without deadlines, so that all batches stay full.
Capacity saturate(const FleetSpec &Spec, RoutingPolicy Policy,
                  std::uint64_t Seed, double Factor) {
  FleetOptions Options = optionsFor(Spec, Policy, Seed);
  FleetModel Fleet(Options);
  Workload Traffic(Spec, Seed);
  const double Places =
      static_cast<double>(Spec.m_Replicas) * Spec.m_Engine.m_MaxBatch;
  Fleet.closedLoop(static_cast<std::uint32_t>(Places * Factor),
                   [&Traffic](base::Millis Now) {
                     TrafficItem Item = Traffic.draw(Now);
                     Item.m_Deadline = Now + NoDeadline;
                     return Item;
                   });
  Fleet.runUntil(WarmUp + MeasureFor);
  Capacity Found;
  for (const RequestRecord &Each : Fleet.records()) {
    if (!Each.m_DoneAt || *Each.m_DoneAt < WarmUp)
      continue;
    Found.m_Requests += 1;
    Found.m_Tokens += Each.m_Item.m_OutputTokens;
  }
  Found.m_Requests /= MeasureSeconds;
  Found.m_Tokens /= MeasureSeconds;
  return Found;
}

} // namespace

Capacity measureCapacity(const FleetSpec &Spec, std::uint64_t Seed) {
  Capacity Best;
  for (const RoutingPolicy Policy :
       {RoutingPolicy::AllSeeing, RoutingPolicy::Corneldeck})
    for (const double Factor : SaturationFactors) {
      const Capacity Found = saturate(Spec, Policy, Seed, Factor);
      Best.m_Requests = std::max(Best.m_Requests, Found.m_Requests);
      Best.m_Tokens = std::max(Best.m_Tokens, Found.m_Tokens);
    }
  return Best;
}

Scenario routingScenario() {
  return {"routing", "replica choice and admission at 85% and 130% of capacity",
          runRouting};
}

} // namespace corneldeck::bench

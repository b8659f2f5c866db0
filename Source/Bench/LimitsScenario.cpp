#include "Bench/FleetModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::bench {
namespace {

/// The customer that asks for more than its limit.
constexpr std::uint32_t Greedy = 0;
constexpr double LimitShare = 0.1;
constexpr double AskedOverLimit = 10;
/// The others' part of the capacity.
constexpr double OthersLoad = 0.6;
constexpr base::Millis Start = base::seconds(10);
/// From here on the greedy customer's requests come to other entries.
constexpr base::Millis MoveAt = base::seconds(35);
constexpr base::Millis CutAt = base::seconds(22);
constexpr base::Millis End = base::seconds(60);
constexpr base::Millis Drain = base::seconds(15);
constexpr base::Millis Window = base::seconds(10);
constexpr base::Millis WindowStep(100);
/// Part of the greedy customer's requests that come to one entry and to the
/// next one; the rest is spread evenly.
constexpr double FirstEntryShare = 0.6;
constexpr double SecondEntryShare = 0.25;

constexpr double MostOver = 0.05;
constexpr double LeastOthers = 0.99;

/// What differs between the variants.
struct Variant {
  std::string m_Name;
  bool m_Alone = false;
  bool m_Cut = false;
  bool m_WithGreedy = true;
};

struct LimitsResult {
  double m_Over = 0;
  double m_LeastUse = 0;
  double m_OthersInTime = 0;
};

void addOthers(FleetModel &To, const FleetSpec &Spec, std::uint64_t Seed,
               double PerSecond) {
  FleetSpec Others = Spec;
  Others.m_Customers[Greedy] = 0;
  Workload Traffic(Others, Seed);
  for (const TrafficItem &Item : Traffic.arrivals(PerSecond, End))
    To.add(Item);
}

void addGreedy(FleetModel &To, const FleetSpec &Spec, std::uint64_t Seed,
               double PerSecond) {
  Workload Traffic(Spec, Seed + 1);
  base::Random Random(Seed + 2);
  double Now = static_cast<double>(Start.count());
  for (;;) {
    Now += Random.exponential(1'000 / PerSecond);
    const base::Millis At(static_cast<std::int64_t>(Now));
    if (At >= End)
      return;
    const std::uint32_t Shift = At < MoveAt ? 0 : Spec.m_Entries / 2;
    const double Draw = Random.uniform();
    auto Entry = static_cast<std::uint32_t>(Random.below(Spec.m_Entries));
    if (Draw < FirstEntryShare)
      Entry = Shift;
    else if (Draw < FirstEntryShare + SecondEntryShare)
      Entry = Shift + 1;
    To.add(Traffic.drawFor(At, Greedy), Entry);
  }
}

/// \returns the greedy customer's requests let through in the windows with the
/// least and the most, over the limit.
std::pair<double, double> windowUse(const FleetModel &Fleet, double PerSecond) {
  std::vector<base::Millis> Admitted;
  for (const RequestRecord &Each : Fleet.records())
    if (Each.m_Item.m_Customer == Greedy && !Each.m_OverLimit)
      Admitted.push_back(Each.m_Item.m_At);
  std::sort(Admitted.begin(), Admitted.end());
  const double Allowed =
      PerSecond * static_cast<double>(Window.count()) / 1'000;
  double Least = Allowed;
  double Most = 0;
  for (base::Millis From = Start; From + Window <= End; From += WindowStep) {
    const auto First = std::lower_bound(Admitted.begin(), Admitted.end(), From);
    const auto Last = std::lower_bound(First, Admitted.end(), From + Window);
    const auto Count = static_cast<double>(Last - First);
    Least = std::min(Least, Count);
    Most = std::max(Most, Count);
  }
  return {Least / Allowed, Most / Allowed};
}

LimitsResult runVariant(const FleetSpec &Spec, std::uint64_t Seed,
                        double FullPerSecond, const Variant &Of) {
  const double Limit = LimitShare * FullPerSecond;
  FleetOptions Options;
  Options.m_Spec = Spec;
  Options.m_Seed = Seed;
  Options.m_Limit = LimitOptions{Greedy, Limit, Of.m_Alone};
  FleetModel Fleet(Options);
  addOthers(Fleet, Spec, Seed, OthersLoad * FullPerSecond);
  if (Of.m_WithGreedy)
    addGreedy(Fleet, Spec, Seed, AskedOverLimit * Limit);
  if (Of.m_Cut)
    Fleet.cutEntry(CutAt, 0);
  Fleet.runUntil(End + Drain);
  double All = 0;
  double InTime = 0;
  for (const RequestRecord &Each : Fleet.records()) {
    if (Each.m_Item.m_Customer == Greedy || Each.m_Item.m_At < Start)
      continue;
    All += 1;
    InTime += Each.inTime() ? 1 : 0;
  }
  const auto [Least, Most] = windowUse(Fleet, Limit);
  return {std::max(Most - 1, 0.0), Least, InTime / All};
}

ScenarioReport runLimits(const ScenarioOptions &Options) {
  const FleetSpec Spec = fleetSpec(Options.m_Fleet);
  const double Full = measureCapacity(Spec, Options.m_Seed).m_Requests;
  const LimitsResult Calm =
      runVariant(Spec, Options.m_Seed, Full, {"without", false, false, false});
  const std::vector<Variant> Variants = {{"each-entry-alone", true},
                                         {"corneldeck"},
                                         {"peers-silent", false, true}};
  ScenarioReport Report;
  for (const Variant &Each : Variants) {
    const LimitsResult Result = runVariant(Spec, Options.m_Seed, Full, Each);
    const double Others = Result.m_OthersInTime / Calm.m_OthersInTime;
    Report.m_Measurements.push_back(
        {Each.m_Name, "over_limit_ratio", Result.m_Over, "ratio"});
    Report.m_Measurements.push_back(
        {Each.m_Name, "least_use_ratio", Result.m_LeastUse, "ratio"});
    Report.m_Measurements.push_back(
        {Each.m_Name, "others_goodput_ratio", Others, "ratio"});
    if (Each.m_Alone)
      continue;
    Report.m_Bounds.push_back({Each.m_Name + " over_limit_ratio <= 0.05",
                               Result.m_Over, Result.m_Over <= MostOver});
    Report.m_Bounds.push_back({Each.m_Name + " others_goodput_ratio >= 0.99",
                               Others, Others >= LeastOthers});
  }
  return Report;
}

} // namespace

Scenario limitsScenario() {
  return {"limits", "a customer asks for ten times its limit", runLimits};
}

} // namespace corneldeck::bench

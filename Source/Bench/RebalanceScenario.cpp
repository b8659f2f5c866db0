#include "Bench/ExpertDrift.h"
#include "Bench/Scenarios.h"
#include "Bench/SwitchTrial.h"
#include "RankGroup/RebalancePlanner.h"
#include "RankGroup/StragglerDetector.h"

#include <algorithm>
#include <optional>

namespace corneldeck::bench {

using namespace rankgroup;

namespace {

constexpr std::size_t Ranks = 32;
constexpr std::size_t Experts = 256;
/// Eight experts a rank and two slots for replicas.
constexpr std::size_t SlotsPerRank = 10;
constexpr int Windows = 60;
constexpr int StepsSampled = 30;
constexpr double StepsPerWindow = 13'000;
/// Windows after which a group without drift must have settled.
constexpr int SettledAfter = 20;
constexpr double SecondsPerCopy = 0.25;
constexpr double SecondsPerWindow = 60;
/// Share of windows whose counts come one window later.
constexpr double LateShare = 0.2;
constexpr double Coverage = 0.75;

const std::vector<std::string> Drifts = {"slow", "sudden", "slow-rank", "both",
                                         "none"};
const std::vector<std::string> Variants = {
    "corneldeck", "static", "repack-every-window", "knows-the-future"};

/// The weights that the two fleets' catalogue entries give.
RebalancePlanner::Config plannerFor(const std::string &Fleet) {
  RebalancePlanner::Config Settings;
  Settings.m_SlotsPerRank = SlotsPerRank;
  Settings.m_StepsPerWindow = StepsPerWindow;
  const bool Skew = Fleet != "ajoke";
  Settings.m_SkewWeight = Skew ? 4 : 1;
  Settings.m_CostWeight = Skew ? 1 : 3;
  Settings.m_CopiesPerWindow = Skew ? 12.5 : 4.2;
  Settings.m_BurstCopies = Skew ? 50 : 40;
  return Settings;
}

struct RunResult {
  std::vector<double> m_Skews;
  std::size_t m_Copies = 0;
  std::size_t m_LateCopies = 0;
  std::uint64_t m_Weighed = 0;
  std::int64_t m_HeldSteps = 0;
  int m_Switches = 0;
};

/// One variant under one drift.
class RebalanceRun {
public:
  RebalanceRun(std::string Variant, const std::string &Drift,
               const ScenarioOptions &Options)
      : m_Variant(std::move(Variant)),
        m_Drift(Drift, Ranks, Experts, Options.m_Seed),
        m_Reports(Options.m_Seed + 2), m_Planner(plannerFor(Options.m_Fleet)),
        m_Stragglers(Ranks, {}), m_Map(ExpertMap::contiguous(Ranks, Experts)) {}

  RunResult run() {
    for (int Window = 0; Window < Windows; ++Window) {
      const ExpertMap Next = choose();
      const std::size_t Copies = Next.copiesToLoad(m_Map);
      m_Result.m_Copies += Copies;
      if (Window >= SettledAfter)
        m_Result.m_LateCopies += Copies;
      playWindow(Next, Copies);
      report();
      m_Drift.advance();
    }
    return m_Result;
  }

private:
  ExpertMap choose() {
    if (m_Variant == "static")
      return m_Map;
    if (m_Variant == "knows-the-future")
      return repack(Ranks, m_Drift.popularity(), m_Drift.speeds(),
                    SlotsPerRank);
    if (m_Variant == "repack-every-window") {
      const std::vector<double> Usual(Ranks, 1.0);
      return m_Last.empty() ? m_Map
                            : repack(Ranks, m_Last, Usual, SlotsPerRank);
    }
    RebalancePlanner::Plan Plan = m_Planner.plan(m_Map, m_Stragglers.speeds());
    m_Result.m_Weighed += Plan.m_EvaluatedChanges;
    if (Plan.m_Copies > 0)
      switchMap(Plan.m_Copies);
    return std::move(Plan.m_Map);
  }

  /// Runs the switch to a new map on a group of this size.
  void switchMap(std::size_t Copies) {
    SwitchTrial::Options Wanted;
    Wanted.m_Ranks = Ranks;
    Wanted.m_LoadTime = base::Millis(static_cast<std::int64_t>(
        static_cast<double>(Copies) * SecondsPerCopy * 1000));
    m_Result.m_HeldSteps += SwitchTrial(Wanted).run().m_HeldSteps;
    ++m_Result.m_Switches;
  }

  /// The baselines' maps take effect at once; the product's after its loads.
  void playWindow(const ExpertMap &Next, std::size_t Copies) {
    const double Loading = static_cast<double>(Copies) * SecondsPerCopy;
    const bool Product = m_Variant == "corneldeck";
    const double OldShare =
        Product ? std::min(1.0, Loading / SecondsPerWindow) : 0;
    for (int Sample = 0; Sample < StepsSampled; ++Sample) {
      const bool Old = Sample < OldShare * StepsSampled;
      const std::vector<double> Times =
          rankTimes(Old ? m_Map : Next, m_Drift.drawStep(), m_Drift.speeds());
      m_Result.m_Skews.push_back(skew(Times));
    }
    m_Map = Next;
  }

  void report() {
    const std::vector<double> Counts = m_Drift.drawCounts(Coverage);
    const std::vector<double> Usual(Ranks, 1.0);
    m_Stragglers.observe(rankTimes(m_Map, Counts, Usual),
                         rankTimes(m_Map, Counts, m_Drift.speeds()));
    const bool Late = m_Reports.chance(LateShare);
    if (m_Delayed)
      take(*m_Delayed);
    m_Delayed.reset();
    if (Late)
      m_Delayed = Counts;
    else
      take(Counts);
  }

  void take(const std::vector<double> &Counts) {
    m_Last = Counts;
    m_Planner.observe(Counts, Coverage);
  }

  std::string m_Variant;
  ExpertDrift m_Drift;
  base::Random m_Reports;
  RebalancePlanner m_Planner;
  StragglerDetector m_Stragglers;
  ExpertMap m_Map;
  std::vector<double> m_Last;
  std::optional<std::vector<double>> m_Delayed;
  RunResult m_Result;
};

double quantile(std::vector<double> Values, double Share) {
  const auto Place =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Place, Values.end());
  return *Place;
}

using Results = std::map<std::string, RunResult>;

void addRows(const std::string &Drift, const Results &Seen,
             ScenarioReport &Report) {
  for (const std::string &Variant : Variants) {
    const RunResult &One = Seen.at(Variant);
    const auto Add = [&](const char *Metric, double Value, const char *Unit) {
      Report.m_Measurements.push_back(
          {Variant, Metric, Value, Unit, {{"drift", Drift}}});
    };
    const auto Copies = static_cast<double>(One.m_Copies);
    Add("skew_p50", quantile(One.m_Skews, 0.5), "ratio");
    Add("skew_p99", quantile(One.m_Skews, 0.99), "ratio");
    Add("moved_experts", Copies, "copies");
    Add("store_s", Copies * SecondsPerCopy, "s");
    // The baselines' maps take effect without a switch.
    if (Variant != "corneldeck")
      continue;
    Add("held_steps", static_cast<double>(One.m_HeldSteps), "steps");
    Add("switches", static_cast<double>(One.m_Switches), "switches");
    Add("weighed_changes_per_plan",
        static_cast<double>(One.m_Weighed) / Windows, "changes");
  }
}

void bound(const std::string &Text, double Measured, bool Kept,
           ScenarioReport &Report) {
  Report.m_Bounds.push_back({Text, Measured, Kept});
}

void addVakifBounds(const Results &All, ScenarioReport &Report) {
  const RunResult &Own = All.at("corneldeck");
  const RunResult &Full = All.at("repack-every-window");
  const double P50 = quantile(Own.m_Skews, 0.5) / quantile(Full.m_Skews, 0.5);
  const double P99 = quantile(Own.m_Skews, 0.99) / quantile(Full.m_Skews, 0.99);
  const double Moves =
      static_cast<double>(Own.m_Copies) / static_cast<double>(Full.m_Copies);
  bound("drift=all: skew_p50 at most the full repack's", P50, P50 <= 1, Report);
  bound("drift=all: skew_p99 at most 1.05 of the full repack's", P99,
        P99 <= 1.05, Report);
  bound("drift=all: moves at most 1/15 of the full repack's", Moves,
        Moves <= 1.0 / 15, Report);
}

void addAjokeBounds(const Results &All, ScenarioReport &Report) {
  const RunResult &Own = All.at("corneldeck");
  const double Gone = 1 - (quantile(Own.m_Skews, 0.5) - 1) /
                              (quantile(All.at("static").m_Skews, 0.5) - 1);
  const double Moves =
      static_cast<double>(Own.m_Copies) /
      static_cast<double>(All.at("repack-every-window").m_Copies);
  bound("drift=all: at least 0.7 of static's excess skew gone at p50", Gone,
        Gone >= 0.7, Report);
  bound("drift=all: moves at most 1/40 of the full repack's", Moves,
        Moves <= 1.0 / 40, Report);
}

/// Counts what the first plan of a group weighs, at growing sizes.
void addGrowth(const ScenarioOptions &Options, ScenarioReport &Report) {
  for (const std::size_t Size : {8, 16, 32, 64}) {
    const std::size_t Count = Size * Experts / Ranks;
    ExpertDrift Drift("none", Size, Count, Options.m_Seed);
    RebalancePlanner Planner(plannerFor(Options.m_Fleet));
    Planner.observe(Drift.popularity(), 1);
    const RebalancePlanner::Plan Plan = Planner.plan(
        ExpertMap::contiguous(Size, Count), std::vector<double>(Size, 1.0));
    // Each change is weighed by a sum over the ranks.
    Report.m_Measurements.push_back(
        {"corneldeck",
         "planning_operations",
         static_cast<double>(Plan.m_EvaluatedChanges * Size),
         "additions",
         {{"ranks", std::to_string(Size)},
          {"experts", std::to_string(Count)}}});
  }
}

ScenarioReport run(const ScenarioOptions &Options) {
  ScenarioReport Report;
  addGrowth(Options, Report);
  Results All;
  for (const std::string &Drift : Drifts) {
    Results Seen;
    for (const std::string &Variant : Variants) {
      Seen[Variant] = RebalanceRun(Variant, Drift, Options).run();
      RunResult &Sum = All[Variant];
      const RunResult &One = Seen[Variant];
      Sum.m_Copies += One.m_Copies;
      Sum.m_Weighed += One.m_Weighed;
      Sum.m_HeldSteps += One.m_HeldSteps;
      Sum.m_Switches += One.m_Switches;
      Sum.m_Skews.insert(Sum.m_Skews.end(), One.m_Skews.begin(),
                         One.m_Skews.end());
    }
    addRows(Drift, Seen, Report);
    if (Drift != "none")
      continue;
    const auto Late = static_cast<double>(Seen["corneldeck"].m_LateCopies);
    bound("no moves after settling without drift", Late, Late == 0, Report);
  }
  addRows("all", All, Report);
  if (Options.m_Fleet == "ajoke")
    addAjokeBounds(All, Report);
  else
    addVakifBounds(All, Report);
  return Report;
}

} // namespace

Scenario rebalanceScenario() {
  return {"rebalance",
          "Places 256 experts on 32 ranks while popularity drifts, against "
          "static, full repack and perfect knowledge",
          run};
}

} // namespace corneldeck::bench

#include "Bench/LeaseCluster.h"
#include "Bench/Scenarios.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::seconds;

namespace {

constexpr int Rounds = 8;
constexpr Millis OutageSpan = seconds(20);
/// A term with the margins of both sides, the time to claim and a tick.
constexpr double VacancyBoundMs = 9000;

using Strike = std::function<void(LeaseCluster &, const std::string &Holder)>;

struct Outcome {
  double m_VacancyMs = 0;
  std::size_t m_OutOfTurn = 0;
  std::size_t m_Orders = 0;
  std::size_t m_Violations = 0;
  double m_AppendsPerS = 0;
};

Outcome runWith(const Strike &Begin, const Strike &End, Millis Span,
                std::uint64_t Seed) {
  LeaseClusterSettings Settings;
  Settings.m_Cluster.m_Seed = Seed;
  LeaseCluster Leases(Settings);
  ControlCluster &Cluster = Leases.cluster();
  for (const std::string &Entry : Cluster.entries())
    Leases.setWanted(Entry, true);
  Cluster.run(seconds(4));
  Outcome Result;
  Leases.clearVacancy();
  for (int Round = 0; Round < Rounds; ++Round) {
    // Each round strikes at another point of the renewal's period.
    Cluster.run(seconds(5) + Millis(270) * Round);
    const std::string Holder = Leases.holder();
    Begin(Leases, Holder);
    Cluster.run(Span);
    End(Leases, Holder);
    Cluster.run(seconds(12));
  }
  Leases.checkEnd();
  Result.m_VacancyMs = static_cast<double>(Leases.longestVacancy().count());
  Result.m_OutOfTurn = Leases.ordersOutOfTurn();
  Result.m_Orders = Leases.ordersRun();
  Result.m_Violations = Leases.violations().size();
  Result.m_AppendsPerS = 1000.0 *
                         static_cast<double>(Cluster.log().history().size()) /
                         static_cast<double>(Cluster.time().now().count());
  return Result;
}

void report(const std::string &Variant, const Outcome &Result, double Bound,
            ScenarioReport &Report) {
  Report.m_Measurements.push_back(
      {Variant, "vacancy_ms", Result.m_VacancyMs, "ms"});
  Report.m_Measurements.push_back({Variant, "orders_out_of_turn",
                                   static_cast<double>(Result.m_OutOfTurn),
                                   "count"});
  Report.m_Measurements.push_back(
      {Variant, "orders_run", static_cast<double>(Result.m_Orders), "count"});
  Report.m_Measurements.push_back(
      {Variant, "appends_per_s", Result.m_AppendsPerS, "1/s"});
  Report.m_Bounds.push_back({Variant + " orders_out_of_turn = 0",
                             static_cast<double>(Result.m_OutOfTurn),
                             Result.m_OutOfTurn == 0 && Result.m_Orders > 0});
  Report.m_Bounds.push_back({Variant + " one holder at a time, one in the end",
                             static_cast<double>(Result.m_Violations),
                             Result.m_Violations == 0});
  Report.m_Bounds.push_back(
      {Variant + " vacancy_ms < " + std::to_string(int(Bound)),
       Result.m_VacancyMs, Result.m_VacancyMs < Bound});
}

void nothing(LeaseCluster &, const std::string &) {}

ScenarioReport run(const ScenarioOptions &Options) {
  ScenarioReport Report;
  const std::uint64_t Seed = Options.m_Seed;
  report("corneldeck", runWith(nothing, nothing, seconds(1), Seed), 1, Report);
  report(
      "holder-death",
      runWith([](LeaseCluster &Leases,
                 const std::string &Holder) { Leases.cluster().kill(Holder); },
              [](LeaseCluster &Leases, const std::string &Holder) {
                Leases.cluster().start(Holder);
              },
              seconds(10), Seed),
      VacancyBoundMs, Report);
  report(
      "holder-pause",
      runWith([](LeaseCluster &Leases,
                 const std::string &Holder) { Leases.cluster().pause(Holder); },
              [](LeaseCluster &Leases, const std::string &Holder) {
                Leases.cluster().resume(Holder);
              },
              seconds(10), Seed),
      VacancyBoundMs, Report);
  // No lease can be claimed while the log is out.
  report(
      "log-out",
      runWith([](LeaseCluster &Leases,
                 const std::string &) { Leases.cluster().log().setOut(true); },
              [](LeaseCluster &Leases, const std::string &) {
                Leases.cluster().log().setOut(false);
              },
              OutageSpan, Seed),
      VacancyBoundMs + static_cast<double>(OutageSpan.count()), Report);
  return Report;
}

} // namespace

Scenario leasesScenario() {
  return {"leases", "time without a holder, and orders out of turn", run};
}

} // namespace corneldeck::bench

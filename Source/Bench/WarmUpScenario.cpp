#include "Bench/Scenarios.h"
#include "Bench/ServerLimitModel.h"

#include <algorithm>

namespace corneldeck::bench {
namespace {

using base::Millis;
using base::seconds;

constexpr std::size_t Servers = 4;
/// Requests per second that a cold server tolerates.
constexpr double PerSecond = 8;
/// More than the servers tolerate, so that requests wait.
constexpr double RequestsPerEntry = 12;
constexpr Millis Settling = seconds(3);
/// Time in which the entries learn that the servers are cold.
constexpr Millis Notice = seconds(2);
constexpr Millis Fault = seconds(3);
constexpr Millis Cut = seconds(5);
constexpr Millis Recovery = seconds(4);
constexpr Millis Cold = seconds(600);
/// Every third entry is cut off from the others.
constexpr std::size_t CutPeriod = 3;
constexpr double MinUsed = 0.8;
constexpr double MillisPerSecond = 1000;

struct WarmUpResult {
  /// Arrivals in the second with the most, over all servers.
  double m_Worst = 0;
  /// Arrivals that end a second above the bound.
  double m_Above = 0;
  double m_Used = 0;
};

void cutThird(ServerLimitModel &Model, std::size_t Entries, bool IsCut) {
  for (std::size_t Inside = 0; Inside < Entries; Inside += CutPeriod)
    for (std::size_t Outside = 0; Outside < Entries; ++Outside)
      if (Outside % CutPeriod != 0)
        Model.cutPath(Inside, Outside, IsCut);
}

/// Lets entries restart, freeze, be cut off and be lost, among them those that
/// grant the tokens.
void injectFaults(ServerLimitModel &Model, std::size_t Entries) {
  Model.restartEntry(Model.granter(0));
  Model.runFor(Recovery);
  cutThird(Model, Entries, true);
  Model.runFor(Cut);
  cutThird(Model, Entries, false);
  Model.runFor(Recovery);
  const std::size_t Frozen = Model.granter(1);
  Model.freezeEntry(Frozen);
  Model.runFor(Fault);
  Model.thawEntry(Frozen);
  Model.runFor(Recovery);
  Model.freezeEntry(Model.granter(2));
  Model.runFor(Fault + Recovery);
}

void addServer(WarmUpResult &Result, const std::vector<Millis> &Arrivals,
               Millis Begin, Millis End) {
  const direct::WarmUpBounds Bounds;
  const double Bound = PerSecond * Bounds.m_Overshoot + Bounds.m_Tolerance;
  auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), Begin);
  const auto Count = static_cast<double>(Arrivals.end() - First);
  Result.m_Used += Count * MillisPerSecond /
                   static_cast<double>((End - Begin).count()) / PerSecond /
                   static_cast<double>(Servers);
  for (auto Last = First; Last != Arrivals.end(); ++Last) {
    while (*Last - *First >= seconds(1))
      ++First;
    const auto InSecond = static_cast<double>(Last - First + 1);
    Result.m_Worst = std::max(Result.m_Worst, InSecond);
    Result.m_Above += InSecond > Bound ? 1 : 0;
  }
}

WarmUpResult runCase(std::size_t Entries, bool IsBounded, ServerLimitMode Mode,
                     std::uint64_t Seed) {
  ServerLimitOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = Servers;
  Options.m_ServerCapacity = 1000;
  Options.m_RequestsPerSecond = RequestsPerEntry * static_cast<double>(Entries);
  Options.m_Seed = Seed;
  Options.m_Mode = Mode;
  if (IsBounded)
    Options.m_WarmUp = {Cold, PerSecond};
  ServerLimitModel Model(Options);
  Model.runFor(Settling);
  Model.coolServers(Cold);
  Model.runFor(Notice);
  const Millis Begin = Model.now();
  injectFaults(Model, Entries);
  WarmUpResult Result;
  for (std::size_t Server = 0; Server < Servers; ++Server)
    addServer(Result, Model.arrivalTimes(Server), Begin, Model.now());
  return Result;
}

ScenarioReport runWarmUp(const ScenarioOptions &Options) {
  struct Variant {
    std::string m_Name;
    bool m_IsBounded = true;
    ServerLimitMode m_Mode = ServerLimitMode::Shared;
  };
  const std::vector<Variant> Variants = {
      {"not-limited", false, ServerLimitMode::Shared},
      {"each-entry-alone", true, ServerLimitMode::EachAlone},
      {"corneldeck", true, ServerLimitMode::Shared}};
  ScenarioReport Report;
  for (const std::size_t Entries : {7UL, 46UL, 149UL, 360UL})
    for (const Variant &Each : Variants) {
      const bool IsProduct = Each.m_Name == "corneldeck";
      // The mistakes show in the small fleets.
      constexpr std::size_t LargestWithMistakes = 46;
      if (!IsProduct && Entries > LargestWithMistakes)
        continue;
      const WarmUpResult Result =
          runCase(Entries, Each.m_IsBounded, Each.m_Mode, Options.m_Seed);
      const std::map<std::string, std::string> Columns = {
          {"entries", std::to_string(Entries)}};
      Report.m_Measurements.push_back(
          {Each.m_Name, "worst_second", Result.m_Worst, "requests", Columns});
      Report.m_Measurements.push_back(
          {Each.m_Name, "seconds_above", Result.m_Above, "windows", Columns});
      Report.m_Measurements.push_back(
          {Each.m_Name, "used_ratio", Result.m_Used, "ratio", Columns});
      const std::string Where =
          Each.m_Name + " with " + std::to_string(Entries) + " entries: ";
      if (!IsProduct) {
        Report.m_Bounds.push_back(
            {Where + "seconds_above > 0", Result.m_Above, Result.m_Above > 0});
        continue;
      }
      Report.m_Bounds.push_back(
          {Where + "seconds_above = 0", Result.m_Above, Result.m_Above == 0});
      Report.m_Bounds.push_back({Where + "used_ratio >= 0.8", Result.m_Used,
                                 Result.m_Used >= MinUsed});
    }
  return Report;
}

} // namespace

Scenario warmUpScenario() {
  return {"warm-up", "cold servers get no more than they tolerate", runWarmUp};
}

} // namespace corneldeck::bench

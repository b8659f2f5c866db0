#include "Bench/Scenarios.h"
#include "Bench/ServerLimitModel.h"

namespace corneldeck::bench {
namespace {

/// A load and the servers that name a limit under it.
struct LimitCase {
  std::string m_Name;
  /// Requests per second of one entry.
  double m_RequestsPerEntry = 0;
  std::size_t m_ServersPerNineEntries = 0;
  bool m_AllLimited = false;
};

constexpr double LimitPerSecond = 1;
constexpr base::Millis Settling = base::seconds(4);
constexpr base::Millis Measured = base::seconds(30);
/// The bounds for all entries together, below those that the users state.
constexpr double MaxOver = 1.25;
constexpr double ExtraRequests = 3;
constexpr double LeastUsed = 0.8;

std::vector<LimitCase> limitCases() {
  return {{"one-of-many", 6, 12, false}, {"all-limited", 0.9, 3, true}};
}

struct LimitResult {
  double m_Over = 0;
  double m_Used = 0;
  double m_Served = 0;
};

LimitResult runCase(const LimitCase &Case, std::size_t Entries,
                    ServerLimitMode Mode, std::uint64_t Seed) {
  constexpr std::size_t SmallFleet = 9;
  ServerLimitOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = Case.m_ServersPerNineEntries * Entries / SmallFleet;
  Options.m_RequestsPerSecond =
      Case.m_RequestsPerEntry * static_cast<double>(Entries);
  Options.m_Seed = Seed;
  Options.m_Mode = Mode;
  ServerLimitModel Model(Options);
  Model.runFor(Settling);
  const std::size_t Limited = Case.m_AllLimited ? Options.m_Servers : 1;
  for (std::size_t Server = 0; Server < Limited; ++Server)
    Model.nameLimit(Server, LimitPerSecond);
  Model.runFor(Settling);
  Model.resetOutcomes();
  const base::Millis Begin = Model.now();
  Model.runFor(Measured);
  fakes::RateLimitBound Bound;
  Bound.m_InformedEntriesOnly = false;
  Bound.m_Factor = MaxOver;
  Bound.m_Extra = ExtraRequests;
  LimitResult Result;
  for (std::size_t Server = 0; Server < Limited; ++Server) {
    Result.m_Over = std::max(Result.m_Over,
                             Model.oracle(Server).worstWindow(Bound).ratio());
    Result.m_Used += Model.oracle(Server).usedRatio(Begin, Model.now()) /
                     static_cast<double>(Limited);
  }
  Result.m_Served = Model.outcomes().servedRatio();
  return Result;
}

ScenarioReport runServerLimits(const ScenarioOptions &Options) {
  constexpr std::size_t SmallFleet = 9;
  constexpr std::size_t LargeFleet = 46;
  const std::vector<std::pair<std::string, ServerLimitMode>> Variants = {
      {"no-limit", ServerLimitMode::Ignored},
      {"each-entry-alone", ServerLimitMode::EachAlone},
      {"fixed-parts", ServerLimitMode::FixedParts},
      {"corneldeck", ServerLimitMode::Shared}};
  ScenarioReport Report;
  for (const std::size_t Entries : {SmallFleet, LargeFleet})
    for (const LimitCase &Case : limitCases())
      for (const auto &[Name, Mode] : Variants) {
        const LimitResult Result = runCase(Case, Entries, Mode, Options.m_Seed);
        const std::map<std::string, std::string> Columns = {
            {"entries", std::to_string(Entries)}, {"case", Case.m_Name}};
        Report.m_Measurements.push_back(
            {Name, "over_limit_ratio", Result.m_Over, "ratio", Columns});
        Report.m_Measurements.push_back(
            {Name, "used_ratio", Result.m_Used, "ratio", Columns});
        Report.m_Measurements.push_back(
            {Name, "served_ratio", Result.m_Served, "ratio", Columns});
        if (Mode != ServerLimitMode::Shared)
          continue;
        const std::string Where =
            Case.m_Name + " with " + std::to_string(Entries) + " entries: ";
        Report.m_Bounds.push_back({Where + "over_limit_ratio <= 1",
                                   Result.m_Over, Result.m_Over <= 1});
        Report.m_Bounds.push_back({Where + "used_ratio >= 0.8", Result.m_Used,
                                   Result.m_Used >= LeastUsed});
      }
  return Report;
}

} // namespace

Scenario serverLimitsScenario() {
  return {"server-limits", "backend servers name rate limits", runServerLimits};
}

} // namespace corneldeck::bench

#include "Bench/Scenarios.h"
#include "Bench/ServerLimitModel.h"

namespace corneldeck::bench {
namespace {

constexpr base::Millis Settling = base::seconds(3);
constexpr base::Millis Measured = base::seconds(12);
constexpr std::size_t ServersPerNineEntries = 12;
constexpr double RequestsPerEntry = 60;

struct NoticeResult {
  double m_Unwanted = 0;
  double m_AttemptsAtLeaving = 0;
  double m_RefusedAttempts = 0;
  double m_Served = 0;
};

/// What some of the servers do.
enum class NoticeCase {
  OneLeaves,
  ThirdFull ///< A third of them accept one request at a time.
};

NoticeResult runCase(NoticeCase Case, std::size_t Entries,
                     ServerNoticeMode Mode, std::uint64_t Seed) {
  constexpr std::size_t SmallFleet = 9;
  ServerLimitOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = ServersPerNineEntries * Entries / SmallFleet;
  Options.m_RequestsPerSecond = RequestsPerEntry * static_cast<double>(Entries);
  Options.m_Seed = Seed;
  Options.m_NoticeMode = Mode;
  ServerLimitModel Model(Options);
  Model.runFor(Settling);
  Model.resetOutcomes();
  if (Case == NoticeCase::OneLeaves)
    Model.leaveServer(0);
  else
    for (std::size_t Server = 0; Server < Options.m_Servers; Server += 3)
      Model.refuseBeyond(Server, 1, base::seconds(1));
  Model.runFor(Measured);
  const ServerLimitModel::Outcomes &Got = Model.outcomes();
  return {static_cast<double>(Model.unwantedRequests()),
          static_cast<double>(Got.m_AttemptsAtLeaving),
          static_cast<double>(Got.m_RefusedAttempts), Got.servedRatio()};
}

ScenarioReport runServerNotices(const ScenarioOptions &Options) {
  const std::vector<std::pair<std::string, ServerNoticeMode>> Variants = {
      {"no-notices", ServerNoticeMode::Ignored},
      {"each-entry-alone", ServerNoticeMode::EachAlone},
      {"pauses-to-all", ServerNoticeMode::PausesToAll},
      {"corneldeck", ServerNoticeMode::Shared}};
  const std::vector<std::pair<std::string, NoticeCase>> Cases = {
      {"one-leaves", NoticeCase::OneLeaves},
      {"third-full", NoticeCase::ThirdFull}};
  ScenarioReport Report;
  for (const std::size_t Entries : {std::size_t{9}, std::size_t{46}})
    for (const auto &[CaseName, Case] : Cases)
      for (const auto &[Name, Mode] : Variants) {
        const NoticeResult Result =
            runCase(Case, Entries, Mode, Options.m_Seed);
        const std::map<std::string, std::string> Columns = {
            {"entries", std::to_string(Entries)}, {"case", CaseName}};
        Report.m_Measurements.push_back({Name, "unwanted_requests",
                                         Result.m_Unwanted, "requests",
                                         Columns});
        if (Case == NoticeCase::OneLeaves)
          Report.m_Measurements.push_back({Name, "requests_at_leaving",
                                           Result.m_AttemptsAtLeaving,
                                           "requests", Columns});
        else
          Report.m_Measurements.push_back({Name, "refused_attempts",
                                           Result.m_RefusedAttempts, "requests",
                                           Columns});
        Report.m_Measurements.push_back(
            {Name, "served_ratio", Result.m_Served, "ratio", Columns});
        if (Mode == ServerNoticeMode::Shared)
          Report.m_Bounds.push_back(
              {CaseName + " with " + std::to_string(Entries) +
                   " entries: unwanted_requests = 0",
               Result.m_Unwanted, Result.m_Unwanted == 0});
      }
  return Report;
}

} // namespace

Scenario serverNoticesScenario() {
  return {"server-notices",
          "backend servers leave or want no requests for some time",
          runServerNotices};
}

} // namespace corneldeck::bench

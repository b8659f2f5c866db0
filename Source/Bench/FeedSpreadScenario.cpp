#include "Bench/FeedSpreadModel.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {
namespace {

constexpr base::Millis Settling = base::seconds(2);
constexpr base::Millis Interval{2500};
constexpr base::Millis Limit = base::seconds(30);
constexpr unsigned Versions = 3;
/// The bound from the acknowledgement of a version until it is in force.
constexpr base::Millis MaxSpread{2000};
/// Size of compressed data relative to the data.
constexpr double CompressedRatio = 0.25;
/// Size of the routes that a version adds.
constexpr double AddedBytes = 2.8e5;

constexpr double MegabytesToBytes = 1e6;
/// The link of an entry that reads the log carries the whole state, so that a
/// larger one needs wide links.
constexpr double LargestOnEqualLinks = 4.0;

struct Variant {
  std::string m_Name;
  FeedSpreadMode m_Mode = FeedSpreadMode::Differences;
  std::string m_Plant;
};

struct Links {
  std::string m_Name;
  double m_WideLinkFactor = 1;
  std::vector<Variant> m_Variants;
};

const std::vector<Links> &allLinks() {
  static const std::vector<Links> All = {
      {"equal",
       1,
       {{"each-reads-log", FeedSpreadMode::EachReadsLog, {}},
        {"whole-states", FeedSpreadMode::WholeStates, {}},
        {"corneldeck", FeedSpreadMode::Differences, {}}}},
      {"mixed",
       5,
       {{"readers-by-name", FeedSpreadMode::Differences, "readers-by-name"},
        {"corneldeck", FeedSpreadMode::Differences, {}}}}};
  return All;
}

/// Publishes some versions, each directly after the one before, and measures
/// how the last one spreads.
void measureSpread(ScenarioReport &Report, const FeedSpreadOptions &Options,
                   const Variant &Measured, const std::string &LinksName) {
  FeedSpreadModel Run(Options);
  Run.runFor(Settling);
  for (unsigned Version = 1; Version < Versions; ++Version) {
    Run.publish();
    Run.runFor(Interval);
  }
  Run.publish();
  const base::Millis Spread = Run.runUntilComplete(Limit);
  const FeedSpreadModel::Traffic Traffic = Run.traffic();
  constexpr double BytesPerKilobyte = 1000;
  const std::map<std::string, std::string> Columns = {
      {"entries", std::to_string(Options.m_Entries)},
      {"links", LinksName},
      {"state_kb", std::to_string(static_cast<int>(Options.m_StateBytes /
                                                   BytesPerKilobyte))}};
  const auto Add = [&](const std::string &Metric, double Value,
                       const std::string &Unit) {
    Report.m_Measurements.push_back(
        {Measured.m_Name, Metric, Value, Unit, Columns});
  };
  Add("last_entry_ms", static_cast<double>(Spread.count()), "ms");
  Add("log_bytes", Traffic.m_LogBytes, "bytes");
  Add("peer_bytes", Traffic.m_PeerBytes, "bytes");
  Add("zone_crossing_bytes", Traffic.m_ZoneCrossingBytes, "bytes");
  Add("wasted_bytes", Traffic.m_WastedBytes, "bytes");
  Add("max_sent_bytes", Traffic.m_MaxSentBytes, "bytes");
  const bool IsBounded =
      Measured.m_Name == "corneldeck" &&
      (Options.m_WideLinkFactor > 1 ||
       Options.m_StateBytes <= LargestOnEqualLinks * MegabytesToBytes);
  if (IsBounded)
    Report.m_Bounds.push_back(
        {"last_entry_ms <= 2000 with " + Columns.at("entries") + " entries, " +
             LinksName + " links and " + Columns.at("state_kb") + " KB",
         static_cast<double>(Spread.count()), Spread <= MaxSpread});
}

ScenarioReport runFeedSpread(const ScenarioOptions &Options) {
  ScenarioReport Report;
  for (const Links &Each : allLinks())
    for (const std::size_t Entries : {9UL, 46UL, 360UL})
      for (const double Megabytes : {0.1, 1.0, 4.0, 10.0})
        for (const Variant &Measured : Each.m_Variants) {
          FeedSpreadOptions Model;
          Model.m_Entries = Entries;
          Model.m_Seed = Options.m_Seed;
          Model.m_Mode = Measured.m_Mode;
          Model.m_Plant = Measured.m_Plant;
          Model.m_WideLinkFactor = Each.m_WideLinkFactor;
          Model.m_StateBytes = Megabytes * MegabytesToBytes;
          Model.m_CompleteBytes = CompressedRatio * Model.m_StateBytes;
          Model.m_DifferenceBytes =
              CompressedRatio * std::min(AddedBytes, Model.m_StateBytes);
          measureSpread(Report, Model, Measured, Each.m_Name);
        }
  return Report;
}

} // namespace

Scenario feedSpreadScenario() {
  return {"feed-spread", "versions of a feed reach all entries", runFeedSpread};
}

} // namespace corneldeck::bench

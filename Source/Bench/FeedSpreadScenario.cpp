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

ScenarioReport runFeedSpread(const ScenarioOptions &Options) {
  const std::vector<std::pair<std::string, FeedSpreadMode>> Variants = {
      {"each-reads-log", FeedSpreadMode::EachReadsLog},
      {"whole-states", FeedSpreadMode::WholeStates},
      {"corneldeck", FeedSpreadMode::Differences}};
  ScenarioReport Report;
  for (const std::size_t Entries : {9UL, 46UL, 360UL})
    for (const double Megabytes : {0.1, 1.0, 4.0, 10.0})
      for (const auto &[Name, Mode] : Variants) {
        FeedSpreadOptions Model;
        Model.m_Entries = Entries;
        Model.m_Seed = Options.m_Seed;
        Model.m_Mode = Mode;
        constexpr double BytesPerMegabyte = 1e6;
        Model.m_StateBytes = Megabytes * BytesPerMegabyte;
        Model.m_CompleteBytes = CompressedRatio * Model.m_StateBytes;
        Model.m_DifferenceBytes =
            CompressedRatio * std::min(AddedBytes, Model.m_StateBytes);
        FeedSpreadModel Run(Model);
        Run.runFor(Settling);
        // Until the last version, each one follows the one before at once.
        for (unsigned Version = 1; Version < Versions; ++Version) {
          Run.publish();
          Run.runFor(Interval);
        }
        Run.publish();
        const base::Millis Spread = Run.runUntilComplete(Limit);
        const FeedSpreadModel::Traffic Traffic = Run.traffic();
        const std::map<std::string, std::string> Columns = {
            {"entries", std::to_string(Entries)},
            {"state_kb", std::to_string(static_cast<int>(Megabytes * 1000))}};
        const auto Add = [&, Name = Name](const std::string &Metric,
                                          double Value,
                                          const std::string &Unit) {
          Report.m_Measurements.push_back({Name, Metric, Value, Unit, Columns});
        };
        Add("last_entry_ms", static_cast<double>(Spread.count()), "ms");
        Add("log_bytes", Traffic.m_LogBytes, "bytes");
        Add("peer_bytes", Traffic.m_PeerBytes, "bytes");
        Add("zone_crossing_bytes", Traffic.m_ZoneCrossingBytes, "bytes");
        Add("wasted_bytes", Traffic.m_WastedBytes, "bytes");
        Add("max_sent_bytes", Traffic.m_MaxSentBytes, "bytes");
        // The link of an entry that reads the log carries the whole state.
        constexpr double LargestBounded = 4.0;
        if (Mode != FeedSpreadMode::Differences || Megabytes > LargestBounded)
          continue;
        Report.m_Bounds.push_back(
            {"last_entry_ms <= 2000 with " + Columns.at("entries") +
                 " entries and " + Columns.at("state_kb") + " KB",
             static_cast<double>(Spread.count()), Spread <= MaxSpread});
      }
  return Report;
}

} // namespace

Scenario feedSpreadScenario() {
  return {"feed-spread", "versions of a feed reach all entries", runFeedSpread};
}

} // namespace corneldeck::bench

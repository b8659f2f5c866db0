#include "Bench/QuarantineModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace corneldeck::bench {
namespace {

constexpr base::Millis Warming = base::seconds(5);
constexpr base::Millis Measured = base::seconds(40);
constexpr base::Millis StableWindow = base::seconds(3);
constexpr double MaxEnds = 5;
/// Ends after which a part must be known while nothing else is disturbed.
constexpr double EndsUntilKnown = 2;
constexpr double MaxLateArrivals = 3;
constexpr double MinSoundRatio = 0.5;
/// Time after which a wrong quarantine must be over.
constexpr base::Millis MaxReturnTime = base::seconds(70);
/// Bytes per second that an entry receives; 1% of the narrowest link.
constexpr double MaxBytesPerSecond = 50'000;

struct Variant {
  std::string m_Name;
  QuarantineMode m_Mode;
  /// Whether the bounds are checked.
  bool m_IsChecked = false;
};

/// Writes the measurements of one case and checks its bounds.
class CaseReport {
public:
  CaseReport(ScenarioReport &Report, std::string Case, std::size_t Entries,
             const Variant &Of)
      : m_Report(Report), m_Variant(Of.m_Name), m_IsChecked(Of.m_IsChecked),
        m_Name(Case + " with " + std::to_string(Entries) + " entries: "),
        m_Columns({{"case", std::move(Case)},
                   {"entries", std::to_string(Entries)}}) {}

  void add(const std::string &Metric, double Value, const std::string &Unit) {
    m_Report.m_Measurements.push_back(
        {m_Variant, Metric, Value, Unit, m_Columns});
  }
  void check(const std::string &Bound, double Value, bool IsKept) {
    if (m_IsChecked)
      m_Report.m_Bounds.push_back({m_Name + Bound, Value, IsKept});
  }

  void addFatal(const QuarantineModel::Outcomes &Got) {
    const auto Ends = static_cast<double>(Got.m_Ends.size());
    const auto Late = static_cast<double>(Got.lateArrivals(StableWindow));
    add("servers_ended", Ends, "servers");
    add("fatal_arrivals", static_cast<double>(Got.m_FatalArrivals.size()),
        "requests");
    add("late_arrivals", Late, "requests");
    add("sound_ratio", Got.soundRatio(), "ratio");
    check("servers_ended <= 5", Ends, Ends <= MaxEnds);
    check("late_arrivals <= 3", Late, Late <= MaxLateArrivals);
    check("sound_ratio >= 0.5", Got.soundRatio(),
          Got.soundRatio() >= MinSoundRatio);
  }

private:
  ScenarioReport &m_Report;
  const std::string m_Variant;
  const bool m_IsChecked;
  const std::string m_Name;
  const std::map<std::string, std::string> m_Columns;
};

QuarantineOptions optionsFor(std::size_t Entries, const Variant &Of,
                             std::uint64_t Seed) {
  constexpr std::size_t SmallFleet = 9;
  constexpr std::size_t SmallGroup = 12;
  constexpr std::size_t MaxServers = 129;
  QuarantineOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = std::min(MaxServers, SmallGroup * Entries / SmallFleet);
  Options.m_SoundPerSecond = 5.0 * static_cast<double>(Options.m_Servers);
  Options.m_FatalPerSecond = 0.5 * static_cast<double>(Options.m_Servers);
  Options.m_Seed = Seed;
  Options.m_Mode = Of.m_Mode;
  return Options;
}

void runFatal(ScenarioReport &Report, std::size_t Entries, const Variant &Of,
              std::uint64_t Seed, PromptShape Prompts = PromptShape::Short,
              const std::string &Name = "fatal-part") {
  QuarantineOptions Options = optionsFor(Entries, Of, Seed);
  Options.m_Prompts = Prompts;
  QuarantineModel Model(Options);
  Model.runFor(Warming);
  Model.resetOutcomes();
  Model.sendFatal(true);
  Model.runFor(Measured);
  CaseReport Case(Report, Name, Entries, Of);
  Case.addFatal(Model.outcomes());
  const auto Ends = static_cast<double>(Model.outcomes().m_Ends.size());
  Case.check("servers_ended <= 2", Ends, Ends <= EndsUntilKnown);
  const double Bytes = static_cast<double>(Model.outcomes().m_MaxBytes) /
                       (static_cast<double>(Measured.count()) / 1000);
  Case.add("max_bytes_per_s", Bytes, "bytes/s");
  Case.check("max_bytes_per_s <= 50000", Bytes, Bytes <= MaxBytesPerSecond);
}

void runDisturbed(ScenarioReport &Report, std::size_t Entries,
                  const Variant &Of, std::uint64_t Seed) {
  QuarantineOptions Options = optionsFor(Entries, Of, Seed);
  QuarantineModel Model(Options);
  Model.setCutOff(0, true);
  Model.runFor(Warming);
  Model.resetOutcomes();
  Model.sendFatal(true);
  Model.runFor(base::seconds(10));
  Model.restartHalf();
  Model.runFor(base::seconds(5));
  Model.setCutOff(0, false);
  Model.runFor(base::seconds(10));
  // The requests stop and come again.
  Model.sendFatal(false);
  Model.runFor(base::seconds(30));
  Model.sendFatal(true);
  Model.runFor(base::seconds(20));
  CaseReport Case(Report, "restarts-and-cut", Entries, Of);
  Case.addFatal(Model.outcomes());
}

void runOwnEnds(ScenarioReport &Report, std::size_t Entries, const Variant &Of,
                std::uint64_t Seed) {
  QuarantineModel Model(optionsFor(Entries, Of, Seed));
  Model.runFor(Warming);
  Model.resetOutcomes();
  for (int Round = 0; Round < 8; ++Round) {
    // Alternately one server and several at once.
    for (int Server = 0; Server <= Round % 2 * 3; ++Server)
      Model.endServer();
    if (Round == 4)
      Model.restartHalf();
    Model.runFor(base::seconds(7));
  }
  CaseReport Case(Report, "servers-end-by-themselves", Entries, Of);
  const double Ratio = Model.outcomes().soundRatio();
  Case.add("sound_ratio", Ratio, "ratio");
  Case.check("no common part is refused", Model.refusesCommonPart() ? 1 : 0,
             !Model.refusesCommonPart());
}

void runWrongBlame(ScenarioReport &Report, std::size_t Entries,
                   const Variant &Of, std::uint64_t Seed) {
  QuarantineModel Model(optionsFor(Entries, Of, Seed));
  // No request was served yet that would contradict.
  Model.blameWrongly(0);
  base::Millis Time{};
  do {
    Model.runFor(base::seconds(1));
    Time += base::seconds(1);
  } while (Model.refusesCommonPart() && Time <= MaxReturnTime * 2);
  CaseReport Case(Report, "blamed-wrongly", Entries, Of);
  Case.add("return_ms", static_cast<double>(Time.count()), "ms");
  Case.check("return_ms <= 70000", static_cast<double>(Time.count()),
             Time <= MaxReturnTime);
}

void runTrials(ScenarioReport &Report, std::size_t Entries, const Variant &Of,
               std::uint64_t Seed) {
  QuarantineModel Model(optionsFor(Entries, Of, Seed));
  Model.runFor(Warming);
  Model.sendFatal(true);
  Model.runFor(base::seconds(20));
  Model.resetOutcomes();
  Model.runFor(base::seconds(100));
  CaseReport Case(Report, "trials", Entries, Of);
  const auto Trials = static_cast<double>(Model.outcomes().m_Trials);
  Case.add("trials", Trials, "requests");
  Case.check("trials <= 1", Trials, Trials <= 1);
}

void runAllCases(ScenarioReport &Report, std::size_t Entries, const Variant &Of,
                 std::uint64_t Seed) {
  runFatal(Report, Entries, Of, Seed);
  runDisturbed(Report, Entries, Of, Seed);
  runOwnEnds(Report, Entries, Of, Seed);
  runWrongBlame(Report, Entries, Of, Seed);
  runTrials(Report, Entries, Of, Seed);
}

const std::vector<Variant> &variants() {
  static const std::vector<Variant> All = {
      {"corneldeck", QuarantineMode::Shared, true},
      {"no-quarantine", QuarantineMode::None},
      {"never-exchanged", QuarantineMode::EachAlone},
      {"by-first-part", QuarantineMode::FirstPart},
      {"never-released", QuarantineMode::NeverReleased},
      {"trial-by-each", QuarantineMode::TrialsAlone}};
  return All;
}

ScenarioReport runQuarantine(const ScenarioOptions &Options) {
  ScenarioReport Report;
  for (const Variant &Each : variants())
    runAllCases(Report, 9, Each, Options.m_Seed);
  for (const std::size_t Entries :
       {std::size_t{7}, std::size_t{46}, std::size_t{149}, std::size_t{360}})
    runFatal(Report, Entries, variants().front(), Options.m_Seed);
  for (const auto &[Prompts, Name] :
       {std::pair(PromptShape::Long, "fatal-part-long-prompts"),
        std::pair(PromptShape::Repeated, "fatal-part-repeated-parts"),
        std::pair(PromptShape::LongIds, "fatal-part-long-ids")})
    for (const std::size_t Entries :
         {std::size_t{7}, std::size_t{46}, std::size_t{149}, std::size_t{360}})
      runFatal(Report, Entries, variants().front(), Options.m_Seed, Prompts,
               Name);
  runDisturbed(Report, 149, variants().front(), Options.m_Seed);
  return Report;
}

/// Plays random faults beside requests that end servers.
/// \returns the faults and the broken bound, or nothing.
std::string playSchedule(const Variant &Played, std::uint64_t Seed) {
  constexpr int Steps = 8;
  base::Random Rng(Seed);
  QuarantineOptions Options = optionsFor(4, Played, Seed);
  Options.m_FatalParts = 1 + Rng.below(2);
  QuarantineModel Model(Options);
  std::string Faults;
  Model.runFor(Warming);
  Model.resetOutcomes();
  Model.sendFatal(true);
  std::size_t Allowed = 5 * Options.m_FatalParts;
  for (int Step = 0; Step < Steps; ++Step) {
    switch (Rng.below(6)) {
    case 0:
      Model.restartHalf();
      Faults += "restart ";
      break;
    case 1:
      Model.setCutOff(1, true);
      // An entry by itself finds the parts by itself.
      Allowed += 3 * Options.m_FatalParts;
      Faults += "cut ";
      break;
    case 2:
      Model.setCutOff(1, false);
      Faults += "connect ";
      break;
    case 3:
      Model.endServer();
      Faults += "end ";
      break;
    default:
      Faults += "- ";
      break;
    }
    Model.runFor(base::seconds(static_cast<std::int64_t>(1 + Rng.below(6))));
  }
  Model.setCutOff(1, false);
  Model.sendFatal(false);
  Model.runFor(base::seconds(12));
  if (Model.outcomes().m_Ends.size() > Allowed)
    return Faults + "ended " + std::to_string(Model.outcomes().m_Ends.size()) +
           " servers";
  if (Model.refusesCommonPart())
    return Faults + "refused a common part";
  return {};
}

FuzzReport fuzzQuarantine(std::uint64_t Schedules, std::uint64_t Seed,
                          const std::string &Plant) {
  const auto Found = std::find_if(
      variants().begin(), variants().end(),
      [&Plant](const Variant &Each) { return Each.m_Name == Plant; });
  const Variant &Played =
      Found == variants().end() ? variants().front() : *Found;
  FuzzReport Report;
  Report.m_Kept = true;
  for (std::uint64_t Run = 0; Run < Schedules; ++Run) {
    ++Report.m_Schedules;
    const std::string Broken = playSchedule(Played, Seed * 100'000 + Run);
    if (Broken.empty())
      continue;
    Report.m_Kept = false;
    Report.m_Counterexample = "run " + std::to_string(Run) + ": " + Broken;
    break;
  }
  return Report;
}

std::vector<MatrixRow> runMatrix(const std::string &Plant) {
  const auto Found = std::find_if(
      variants().begin(), variants().end(),
      [&Plant](const Variant &Each) { return Each.m_Name == Plant; });
  Variant Played = Found == variants().end() ? variants().front() : *Found;
  Played.m_IsChecked = true;
  std::vector<MatrixRow> Rows;
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    ScenarioReport Report;
    runAllCases(Report, 9, Played, Seed);
    for (const BoundVerdict &Each : Report.m_Bounds)
      Rows.push_back({"seed " + std::to_string(Seed), Each.m_Bound, Each.m_Kept,
                      "measured " + std::to_string(Each.m_Measured)});
  }
  return Rows;
}

} // namespace

Scenario quarantineScenario() {
  return {"quarantine", "requests with one part in their prompts end servers",
          runQuarantine};
}

Promise quarantinePromise() {
  Promise Made;
  Made.m_Name = "quarantine";
  Made.m_Plants = {"no-quarantine", "never-exchanged", "by-first-part",
                   "never-released", "trial-by-each"};
  Made.m_Matrix = runMatrix;
  Made.m_Fuzz = fuzzQuarantine;
  return Made;
}

} // namespace corneldeck::bench

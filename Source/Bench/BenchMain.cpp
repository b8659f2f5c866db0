#include "Bench/Scenario.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

using namespace corneldeck;
namespace po = boost::program_options;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "Usage: corneldeck-bench COMMAND [options]\n"
    "  list                       names the scenarios and promises\n"
    "  run SCENARIO [--seed N] [--fleet vakif|ajoke] [--format text|json]\n"
    "               [--check]\n"
    "  fault-matrix [--promise NAME] [--plant MISTAKE] [--json]\n"
    "  fuzz [--promise NAME] --schedules N [--seed N] [--plant MISTAKE]\n";

/// The command line after its command.
struct Arguments {
  std::string m_Command;
  std::string m_Subject;
  bench::ScenarioOptions m_Options;
  std::string m_Format = "text";
  std::string m_Promise;
  std::string m_Plant;
  std::uint64_t m_Schedules = 1000;
  bool m_Check = false;
  bool m_Json = false;
  bool m_Version = false;
};

Arguments parse(int Count, char **Words) {
  Arguments Args;
  po::options_description Options("Options");
  Options.add_options()("command", po::value(&Args.m_Command))(
      "subject", po::value(&Args.m_Subject))("seed",
                                             po::value(&Args.m_Options.m_Seed))(
      "fleet", po::value(&Args.m_Options.m_Fleet))("format",
                                                   po::value(&Args.m_Format))(
      "promise", po::value(&Args.m_Promise))("plant", po::value(&Args.m_Plant))(
      "schedules",
      po::value(&Args.m_Schedules))("check", po::bool_switch(&Args.m_Check))(
      "json", po::bool_switch(&Args.m_Json))("version",
                                             po::bool_switch(&Args.m_Version));
  po::positional_options_description Positions;
  Positions.add("command", 1).add("subject", 1);
  po::variables_map Values;
  po::store(po::command_line_parser(Count, Words)
                .options(Options)
                .positional(Positions)
                .run(),
            Values);
  po::notify(Values);
  return Args;
}

int listAll() {
  for (const bench::Scenario &Scenario : bench::allScenarios())
    std::cout << "scenario " << Scenario.m_Name << ": " << Scenario.m_Summary
              << '\n';
  for (const bench::Promise &Promise : bench::allPromises()) {
    std::cout << "promise " << Promise.m_Name << ", plants:";
    for (const std::string &Plant : Promise.m_Plants)
      std::cout << ' ' << Plant;
    std::cout << '\n';
  }
  return ExitOk;
}

void printMeasurement(const Arguments &Args, const bench::Measurement &Row) {
  if (Args.m_Format == "json") {
    nlohmann::json Line = {
        {"scenario", Args.m_Subject},    {"fleet", Args.m_Options.m_Fleet},
        {"variant", Row.m_Variant},      {"metric", Row.m_Metric},
        {"value", Row.m_Value},          {"unit", Row.m_Unit},
        {"seed", Args.m_Options.m_Seed},
    };
    for (const auto &[Name, Value] : Row.m_Columns)
      Line[Name] = Value;
    std::cout << Line.dump() << '\n';
    return;
  }
  std::string Columns;
  for (const auto &[Name, Value] : Row.m_Columns) {
    Columns += ' ';
    Columns += Name;
    Columns += '=';
    Columns += Value;
  }
  std::printf("%-22s %-24s %12.4f %s%s\n", Row.m_Variant.c_str(),
              Row.m_Metric.c_str(), Row.m_Value, Row.m_Unit.c_str(),
              Columns.c_str());
}

int runScenario(const Arguments &Args) {
  const std::vector<bench::Scenario> Scenarios = bench::allScenarios();
  const auto Found = std::find_if(
      Scenarios.begin(), Scenarios.end(),
      [&](const bench::Scenario &S) { return S.m_Name == Args.m_Subject; });
  if (Found == Scenarios.end()) {
    std::cerr << "No scenario is named '" << Args.m_Subject
              << "'. Run corneldeck-bench list for the names.\n";
    return ExitUsage;
  }
  const bench::ScenarioReport Report = Found->m_Run(Args.m_Options);
  for (const bench::Measurement &Row : Report.m_Measurements)
    printMeasurement(Args, Row);
  bool Kept = true;
  for (const bench::BoundVerdict &Verdict : Report.m_Bounds) {
    Kept = Kept && Verdict.m_Kept;
    if (Args.m_Check || !Verdict.m_Kept)
      std::cerr << (Verdict.m_Kept ? "kept   " : "MISSED ") << Verdict.m_Bound
                << " (measured " << Verdict.m_Measured << ")\n";
  }
  return Args.m_Check && !Kept ? ExitBroken : ExitOk;
}

/// \returns the promises that --promise selects, all without it.
std::vector<bench::Promise> selectPromises(const Arguments &Args) {
  std::vector<bench::Promise> Selected;
  for (bench::Promise &Promise : bench::allPromises())
    if (Args.m_Promise.empty() || Promise.m_Name == Args.m_Promise)
      Selected.push_back(std::move(Promise));
  return Selected;
}

bool knowsPlant(const bench::Promise &Promise, const std::string &Plant) {
  return Plant.empty() ||
         std::find(Promise.m_Plants.begin(), Promise.m_Plants.end(), Plant) !=
             Promise.m_Plants.end();
}

void printRow(const Arguments &Args, const std::string &Promise,
              const bench::MatrixRow &Row) {
  if (Args.m_Json) {
    const nlohmann::json Line = {{"promise", Promise},
                                 {"fault", Row.m_Fault},
                                 {"step", Row.m_Step},
                                 {"kept", Row.m_Kept},
                                 {"seen", Row.m_Seen}};
    std::cout << Line.dump() << '\n';
    return;
  }
  std::printf("%-14s %-34s %-34s %s %s\n", Promise.c_str(), Row.m_Fault.c_str(),
              Row.m_Step.c_str(), Row.m_Kept ? "kept" : "BROKEN",
              Row.m_Seen.c_str());
}

int runMatrix(const Arguments &Args) {
  std::size_t Rows = 0;
  std::size_t Broken = 0;
  for (const bench::Promise &Promise : selectPromises(Args)) {
    if (!Promise.m_Matrix || !knowsPlant(Promise, Args.m_Plant))
      continue;
    for (const bench::MatrixRow &Row : Promise.m_Matrix(Args.m_Plant)) {
      printRow(Args, Promise.m_Name, Row);
      ++Rows;
      Broken += Row.m_Kept ? 0 : 1;
    }
  }
  if (Rows == 0) {
    std::cerr << "No promise and plant match. Run corneldeck-bench list.\n";
    return ExitUsage;
  }
  std::cerr << Rows << " rows, " << Broken << " broken\n";
  return Broken == 0 ? ExitOk : ExitBroken;
}

int runFuzz(const Arguments &Args) {
  bool AnyRan = false;
  bool Kept = true;
  for (const bench::Promise &Promise : selectPromises(Args)) {
    if (!Promise.m_Fuzz || !knowsPlant(Promise, Args.m_Plant))
      continue;
    AnyRan = true;
    const bench::FuzzReport Report =
        Promise.m_Fuzz(Args.m_Schedules, Args.m_Options.m_Seed, Args.m_Plant);
    Kept = Kept && Report.m_Kept;
    std::cout << Promise.m_Name << ": " << Report.m_Schedules
              << " schedules, seed " << Args.m_Options.m_Seed << ", "
              << (Report.m_Kept ? "kept" : "BROKEN") << '\n';
    if (!Report.m_Kept)
      std::cout << Report.m_Counterexample << '\n';
  }
  if (!AnyRan) {
    std::cerr << "No promise and plant match. Run corneldeck-bench list.\n";
    return ExitUsage;
  }
  return Kept ? ExitOk : ExitBroken;
}

int dispatch(const Arguments &Args) {
  if (Args.m_Version) {
    std::cout << "corneldeck-bench " << CORNELDECK_VERSION << '\n';
    return ExitOk;
  }
  if (Args.m_Command == "list")
    return listAll();
  if (Args.m_Command == "run")
    return runScenario(Args);
  if (Args.m_Command == "fault-matrix")
    return runMatrix(Args);
  if (Args.m_Command == "fuzz")
    return runFuzz(Args);
  std::cerr << Usage;
  return ExitUsage;
}

} // namespace

int main(int Count, char **Words) {
  try {
    return dispatch(parse(Count, Words));
  } catch (const po::error &Problem) {
    std::cerr << Problem.what() << '\n' << Usage;
    return ExitUsage;
  } catch (const std::runtime_error &Problem) {
    // A scenario that lacks what it measures says how to start it.
    std::cerr << "corneldeck-bench: " << Problem.what() << '\n';
    return ExitUsage;
  }
}

#ifndef CORNELDECK_BENCH_SCENARIO_H
#define CORNELDECK_BENCH_SCENARIO_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// What the command line asks of a scenario.
struct ScenarioOptions {
  std::uint64_t m_Seed = 1;
  /// "vakif" or "ajoke".
  std::string m_Fleet = "vakif";
};

/// One measured value, printed as one line.
struct Measurement {
  std::string m_Variant;
  std::string m_Metric;
  double m_Value = 0;
  std::string m_Unit;
  /// Further columns, such as {"drift", "slow"}.
  std::map<std::string, std::string> m_Columns = {};
};

/// The verdict on one stated bound.
struct BoundVerdict {
  /// The bound in words, such as "corneldeck load_85_in_time_ratio >= 0.99".
  std::string m_Bound;
  double m_Measured = 0;
  bool m_Kept = false;
};

/// What one run of a scenario gave.
struct ScenarioReport {
  std::vector<Measurement> m_Measurements;
  std::vector<BoundVerdict> m_Bounds;
};

/// A named experiment of corneldeck-bench.
struct Scenario {
  std::string m_Name;
  std::string m_Summary;
  std::function<ScenarioReport(const ScenarioOptions &)> m_Run;
};

/// One row of a fault matrix.
struct MatrixRow {
  std::string m_Fault;
  std::string m_Step;
  bool m_Kept = false;
  /// What was seen, if the promise was broken.
  std::string m_Seen;
};

/// What a fuzz run found.
struct FuzzReport {
  std::uint64_t m_Schedules = 0;
  bool m_Kept = false;
  /// The shrunk schedule that broke the promise, if one did.
  std::string m_Counterexample;
};

/// A promise with its proofs.
struct Promise {
  std::string m_Name;
  /// The mistakes that --plant accepts; each must make both proofs fail.
  std::vector<std::string> m_Plants;
  /// Runs the fault matrix with the named mistake planted, "" for none.
  std::function<std::vector<MatrixRow>(const std::string &Plant)> m_Matrix;
  /// Runs random schedules with the named mistake planted, "" for none.
  std::function<FuzzReport(std::uint64_t Schedules, std::uint64_t Seed,
                           const std::string &Plant)>
      m_Fuzz;
};

/// All scenarios; each comes from a file of its own in this folder.
std::vector<Scenario> allScenarios();

/// All promises; each comes from a file of its own in this folder.
std::vector<Promise> allPromises();

} // namespace corneldeck::bench

#endif

#ifndef CORNELDECK_BENCH_PROPERTYRUN_H
#define CORNELDECK_BENCH_PROPERTYRUN_H

#include "Bench/Scenario.h"

#include <rapidcheck/Check.h>
#include <sstream>

namespace corneldeck::bench {

/// RapidCheck's listener, silent.
class SilentListener : public rc::detail::TestListener {
public:
  void onTestCaseFinished(const rc::detail::CaseDescription &) override {}
  void onShrinkTried(const rc::detail::CaseDescription &, bool) override {}
  void onTestFinished(const rc::detail::TestMetadata &,
                      const rc::detail::TestResult &) override {}
};

/// Runs a RapidCheck property over random schedules.
///
/// \param Schedules how many. \param Seed decides all of them.
/// \param MaxSize the longest schedule.
/// \param Testable the property; it takes its schedules as arguments.
template <typename Property>
FuzzReport runProperty(std::uint64_t Schedules, std::uint64_t Seed, int MaxSize,
                       Property Testable) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = static_cast<int>(Schedules);
  Params.maxSize = MaxSize;
  SilentListener Listener;
  const rc::detail::TestResult Result = rc::detail::checkProperty(
      rc::detail::toProperty(std::move(Testable)), {}, Params, Listener);
  FuzzReport Report;
  rc::detail::SuccessResult Success;
  Report.m_Kept = Result.match(Success);
  Report.m_Schedules = Schedules;
  if (Report.m_Kept)
    return Report;
  rc::detail::FailureResult Failure;
  if (Result.match(Failure))
    Report.m_Schedules = static_cast<std::uint64_t>(Failure.numSuccess) + 1;
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  Report.m_Counterexample = Text.str();
  return Report;
}

} // namespace corneldeck::bench

#endif

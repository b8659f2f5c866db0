#include "Bench/RapidCheckRun.h"

#include <rapidcheck.h>
#include <sstream>

namespace corneldeck::bench {

FuzzReport runRapidCheck(std::uint64_t Schedules, std::uint64_t Seed,
                         const std::function<void()> &Property) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = static_cast<int>(Schedules);
  const rc::detail::TestResult Result = rc::detail::checkProperty(
      rc::detail::toProperty(Property), rc::detail::TestMetadata(), Params);
  FuzzReport Report;
  rc::detail::SuccessResult Passed;
  Report.m_Kept = Result.match(Passed);
  Report.m_Schedules = static_cast<std::uint64_t>(Passed.numSuccess);
  if (Report.m_Kept)
    return Report;
  rc::detail::FailureResult Failed;
  if (Result.match(Failed))
    Report.m_Schedules = static_cast<std::uint64_t>(Failed.numSuccess) + 1;
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  Report.m_Counterexample = Text.str();
  return Report;
}

} // namespace corneldeck::bench

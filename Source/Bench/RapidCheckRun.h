#ifndef CORNELDECK_BENCH_RAPIDCHECKRUN_H
#define CORNELDECK_BENCH_RAPIDCHECKRUN_H

#include "Bench/Scenario.h"

#include <functional>

namespace corneldeck::bench {

/// Runs a RapidCheck property with a fixed number of schedules and seed.
///
/// \param Property draws one schedule and fails by RC_FAIL or RC_ASSERT.
/// \returns the verdict with the shrunk counterexample, if there is one.
FuzzReport runRapidCheck(std::uint64_t Schedules, std::uint64_t Seed,
                         const std::function<void()> &Property);

} // namespace corneldeck::bench

#endif

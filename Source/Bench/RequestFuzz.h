#ifndef CORNELDECK_BENCH_REQUESTFUZZ_H
#define CORNELDECK_BENCH_REQUESTFUZZ_H

#include "Bench/RequestOracle.h"
#include "Bench/Scenario.h"

#include <cstdint>
#include <string>

namespace corneldeck::bench {

/// Runs random schedules of calls and faults against the oracle.
///
/// \param Seed decides all schedules.
/// \param Plant the mechanism that is turned off; empty for none.
FuzzReport fuzzRequests(RequestPromise Promise, std::uint64_t Schedules,
                        std::uint64_t Seed, const std::string &Plant);

} // namespace corneldeck::bench

#endif

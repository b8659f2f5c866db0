#ifndef CORNELDECK_BENCH_REQUESTMATRIX_H
#define CORNELDECK_BENCH_REQUESTMATRIX_H

#include "Bench/RequestOracle.h"
#include "Bench/Scenario.h"

#include <string>
#include <vector>

namespace corneldeck::bench {

/// Runs each kind of request under each fault at each step, and under each pair
/// of faults at each pair of steps; a pair of the same fault is that fault
/// twice.
///
/// \param Plant the mechanism that is turned off; empty for none.
std::vector<MatrixRow> requestMatrix(RequestPromise Promise,
                                     const std::string &Plant);

} // namespace corneldeck::bench

#endif

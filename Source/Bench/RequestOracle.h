#ifndef CORNELDECK_BENCH_REQUESTORACLE_H
#define CORNELDECK_BENCH_REQUESTORACLE_H

#include "Bench/RequestWorld.h"

#include <string>

namespace corneldeck::bench {

/// The promises that the oracle can judge.
enum class RequestPromise {
  /// A key, and a request that is neither idempotent nor keyed, runs at most
  /// once; all answers of a key are the first one.
  AtMostOnce,
  /// Each caller gets one final answer by its deadline, whole and its own, and
  /// "not run" is true.
  Outcome
};

/// Compares what the backend servers ran with what the callers were told.
///
/// \returns what is wrong; empty if the promise was kept.
std::string judge(RequestWorld &World, RequestPromise Promise);

} // namespace corneldeck::bench

#endif

#ifndef CORNELDECK_BENCH_REQUESTPROMISES_H
#define CORNELDECK_BENCH_REQUESTPROMISES_H

#include "Bench/Scenario.h"

namespace corneldeck::bench {

/// \returns the promise that a request which may not be repeated runs at most
/// once.
Promise atMostOncePromise();

/// \returns the promise of one whole answer or an honest refusal.
Promise outcomePromise();

} // namespace corneldeck::bench

#endif

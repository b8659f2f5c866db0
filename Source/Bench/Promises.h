#ifndef CORNELDECK_BENCH_PROMISES_H
#define CORNELDECK_BENCH_PROMISES_H

#include "Bench/Scenario.h"

namespace corneldeck::bench {

Promise mapSwitchPromise();
Promise mapSwitchExplorationPromise();

} // namespace corneldeck::bench

#endif

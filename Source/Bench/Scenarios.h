#ifndef CORNELDECK_BENCH_SCENARIOS_H
#define CORNELDECK_BENCH_SCENARIOS_H

#include "Bench/Scenario.h"

namespace corneldeck::bench {

Scenario mapSwitchScenario();

} // namespace corneldeck::bench

#endif

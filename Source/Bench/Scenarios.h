#ifndef CORNELDECK_BENCH_SCENARIOS_H
#define CORNELDECK_BENCH_SCENARIOS_H

#include "Bench/Scenario.h"

namespace corneldeck::bench {

Scenario mapSwitchScenario();
Scenario rebalanceScenario();
Promise mapSwitchPromise();
Promise mapSwitchExplorationPromise();
Promise cataloguePromise();
Promise leasesPromise();
Scenario limitsScenario();
Scenario controlCostScenario();
Scenario pathScenario();
Scenario retriesScenario();
Scenario routingScenario();

} // namespace corneldeck::bench

#endif

#ifndef CORNELDECK_BENCH_SCENARIOS_H
#define CORNELDECK_BENCH_SCENARIOS_H

#include "Bench/Scenario.h"

namespace corneldeck::bench {

Promise admissionPromise();
Scenario mapSwitchScenario();
Scenario rebalanceScenario();
Promise mapSwitchPromise();
Promise mapSwitchExplorationPromise();
Promise cataloguePromise();
Promise leasesPromise();
Scenario limitsScenario();
Scenario controlCostScenario();
Promise limitsPromise();
Promise retriesPromise();
Scenario pathScenario();
Scenario retriesScenario();
Scenario routingScenario();

} // namespace corneldeck::bench

#endif

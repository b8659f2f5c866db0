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
Scenario catalogueScenario();
Scenario leasesScenario();
Scenario recoveryScenario();
Scenario limitsScenario();
Scenario serverLimitsScenario();
Promise serverLimitsPromise();
Scenario serverNoticesScenario();
Promise serverNoticesPromise();
Scenario evacuationScenario();
Scenario feedSpreadScenario();
Promise feedSpreadPromise();
Scenario fleetScenario();
Scenario quarantineScenario();
Promise quarantinePromise();
Scenario classesScenario();
Scenario controlCostScenario();
Promise limitsPromise();
Promise logEraPromise();
Promise retriesPromise();
Scenario pathScenario();
Scenario retriesScenario();
Scenario routingScenario();
Scenario atMostOnceScenario();
Scenario drainScenario();
Scenario silentScenario();
Scenario warmUpScenario();

} // namespace corneldeck::bench

#endif

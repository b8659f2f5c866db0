#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

// One statement each, so that two branches' additions merge line by line.

std::vector<Scenario> allScenarios() {
  std::vector<Scenario> All;
  All.push_back(atMostOnceScenario());
  All.push_back(catalogueScenario());
  All.push_back(classesScenario());
  All.push_back(controlCostScenario());
  All.push_back(drainScenario());
  All.push_back(evacuationScenario());
  All.push_back(feedSpreadScenario());
  All.push_back(fleetScenario());
  All.push_back(leasesScenario());
  All.push_back(limitsScenario());
  All.push_back(serverLimitsScenario());
  All.push_back(serverNoticesScenario());
  All.push_back(mapSwitchScenario());
  All.push_back(pathScenario());
  All.push_back(quarantineScenario());
  All.push_back(rebalanceScenario());
  All.push_back(recoveryScenario());
  All.push_back(retriesScenario());
  All.push_back(routingScenario());
  All.push_back(silentScenario());
  All.push_back(warmUpScenario());
  return All;
}

std::vector<Promise> allPromises() {
  std::vector<Promise> All;
  All.push_back(admissionPromise());
  All.push_back(atMostOncePromise());
  All.push_back(cataloguePromise());
  All.push_back(feedSpreadPromise());
  All.push_back(leasesPromise());
  All.push_back(limitsPromise());
  All.push_back(logEraPromise());
  All.push_back(serverLimitsPromise());
  All.push_back(serverNoticesPromise());
  All.push_back(mapSwitchPromise());
  All.push_back(mapSwitchExplorationPromise());
  All.push_back(outcomePromise());
  All.push_back(quarantinePromise());
  All.push_back(retriesPromise());
  return All;
}

} // namespace corneldeck::bench

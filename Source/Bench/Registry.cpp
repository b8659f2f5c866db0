#include "Bench/Scenario.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() { return {}; }

std::vector<Promise> allPromises() { return {}; }

} // namespace corneldeck::bench

#ifndef CORNELDECK_BENCH_CONTROLFAULTS_H
#define CORNELDECK_BENCH_CONTROLFAULTS_H

#include "Bench/ControlCluster.h"

#include <functional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// A fault that can befall a cluster, and its end.
struct ControlFault {
  std::string m_Name;
  std::function<void(ControlCluster &)> m_Begin;
  std::function<void(ControlCluster &)> m_End;
};

/// \returns every fault of the log, the network and the processes. Processes
/// are named by role: the first entry publishes, the second one follows.
const std::vector<ControlFault> &controlFaults();

/// Ends every fault: the log answers, all paths carry, all processes run.
void healAll(ControlCluster &Cluster);

} // namespace corneldeck::bench

#endif

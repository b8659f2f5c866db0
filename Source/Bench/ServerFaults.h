#ifndef CORNELDECK_BENCH_SERVERFAULTS_H
#define CORNELDECK_BENCH_SERVERFAULTS_H

#include "Bench/ServerLimitModel.h"

#include <functional>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// Entries in the rows of the fault matrices of backend servers.
constexpr std::size_t ServerFaultEntries = 9;

/// A fault of the entries or of the network between them.
struct ServerFault {
  std::string m_Name;
  std::function<void(ServerLimitModel &)> m_Begin;
  std::function<void(ServerLimitModel &)> m_Heal;
  /// Time until all entries know of a lower limit.
  base::Millis m_LoweringTime = base::Millis(500);
};

/// Returns the faults of the fault matrices.
/// \param HighestLimit the limit that a server lowers, in requests per second.
std::vector<ServerFault> serverFaults(double HighestLimit);

} // namespace corneldeck::bench

#endif

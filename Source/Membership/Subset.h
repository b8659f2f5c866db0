#ifndef CORNELDECK_MEMBERSHIP_SUBSET_H
#define CORNELDECK_MEMBERSHIP_SUBSET_H

#include <cstddef>
#include <string>
#include <vector>

namespace corneldeck::membership {

/// A node that may be in a subset.
struct Candidate {
  std::string m_Node;
  std::string m_Zone;
};

/// Chooses the nodes that a process connects to.
///
/// The subset is chosen by rendezvous hashing. It is the same after each start
/// and changes by one node when a candidate is added or removed. Half of it,
/// rounded up, is in the process's own availability zone, so that the other
/// half remains if that zone fails.
///
/// \param Self the name of the process that connects.
/// \param Zone the availability zone of that process.
/// \param Size the number of nodes to choose; all if there are fewer.
/// \returns the names of the chosen nodes, sorted.
std::vector<std::string> chooseSubset(const std::string &Self,
                                      const std::string &Zone,
                                      const std::vector<Candidate> &Candidates,
                                      std::size_t Size);

} // namespace corneldeck::membership

#endif

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

/// Chooses the nodes that one process connects to.
///
/// The choice is by rendezvous hashing, the same at each start, and moves by
/// one when one candidate comes or goes. Half of it, rounded up, is from the
/// process's own zone, so that the loss of that zone leaves it the other half.
///
/// \param Self the process that chooses. \param Zone its zone.
/// \param Size how many nodes to choose; all if there are not more.
/// \returns the chosen nodes' names, sorted.
std::vector<std::string> chooseSubset(const std::string &Self,
                                      const std::string &Zone,
                                      const std::vector<Candidate> &Candidates,
                                      std::size_t Size);

} // namespace corneldeck::membership

#endif

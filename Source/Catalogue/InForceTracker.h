#ifndef CORNELDECK_CATALOGUE_INFORCETRACKER_H
#define CORNELDECK_CATALOGUE_INFORCETRACKER_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Which nodes have an offset in force.
struct InForceReport {
  std::vector<std::string> m_InForce;
  /// Live nodes that do not have it yet.
  std::vector<std::string> m_Lagging;
  /// Nodes that have not been heard lately; nothing is known of them.
  std::vector<std::string> m_Silent;

  /// \returns whether every live node has the offset.
  [[nodiscard]] bool isInForceEverywhere() const { return m_Lagging.empty(); }
};

/// Remembers which offset each node said it has in force.
class InForceTracker {
public:
  /// \param LiveWithin a node that was not heard for longer is silent.
  explicit InForceTracker(base::Millis SilenceTimeout)
      : m_SilenceTimeout(SilenceTimeout) {}

  /// \p Node said that \p Offset is in force there.
  void recordOffset(base::Millis Now, const std::string &Node,
                    std::uint64_t Offset);

  /// \p Node left for good.
  void removeNode(const std::string &Node) { m_Nodes.erase(Node); }

  /// \returns which nodes have \p Offset in force.
  [[nodiscard]] InForceReport report(base::Millis Now,
                                     std::uint64_t Offset) const;

  /// \returns the last offset that each node told.
  [[nodiscard]] std::map<std::string, std::uint64_t> offsets() const;

private:
  struct Node {
    std::uint64_t m_Offset = 0;
    base::Millis m_LastSeenAt{};
  };

  const base::Millis m_SilenceTimeout;
  std::map<std::string, Node> m_Nodes;
};

} // namespace corneldeck::catalogue

#endif

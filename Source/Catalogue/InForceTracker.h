#ifndef CORNELDECK_CATALOGUE_INFORCETRACKER_H
#define CORNELDECK_CATALOGUE_INFORCETRACKER_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// The nodes on which a log offset is in force: they serve requests according
/// to the catalogue as of that offset or a later one.
struct InForceReport {
  std::vector<std::string> m_InForce;
  /// Live nodes with a lower offset.
  std::vector<std::string> m_Lagging;
  /// Nodes that have sent no message within the silence timeout; their offset
  /// is unknown.
  std::vector<std::string> m_Silent;

  /// \returns whether the offset is in force on every live node.
  [[nodiscard]] bool isInForceEverywhere() const { return m_Lagging.empty(); }
};

/// Stores the offset in force on each node, as reported by the node.
class InForceTracker {
public:
  /// \param SilenceTimeout a node counts as silent after this time without a
  /// message.
  explicit InForceTracker(base::Millis SilenceTimeout)
      : m_SilenceTimeout(SilenceTimeout) {}

  /// Records that \p Offset is in force on \p Node.
  void recordOffset(base::Millis Now, const std::string &Node,
                    std::uint64_t Offset);

  /// Removes a node that does not return.
  void removeNode(const std::string &Node) { m_Nodes.erase(Node); }

  /// \returns on which nodes \p Offset is in force.
  [[nodiscard]] InForceReport report(base::Millis Now,
                                     std::uint64_t Offset) const;

  /// \returns the last offset that each node reported.
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

#ifndef CORNELDECK_FEED_READERROLE_H
#define CORNELDECK_FEED_READERROLE_H

#include "Base/Millis.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace corneldeck::feed {

/// Settings of ReaderRole.
struct ReaderRoleSettings {
  /// Number of nodes that read the log. Two, so that the loss of one causes no
  /// interruption.
  std::size_t m_Readers = 2;
  /// Time after the start for which a node waits for news of other nodes.
  base::Millis m_DiscoveryTime = base::Millis(300);
  /// Time after which the number of nodes that may replace missing readers
  /// doubles.
  base::Millis m_TakeoverStep = base::Millis(200);
  /// Time after which a node without a state reads the log although there are
  /// enough readers.
  base::Millis m_MaxTimeUnloaded = base::Millis(1500);
};

/// A node that may read the log.
struct ReaderCandidate {
  std::string m_Node;
  /// Bandwidth of the link of its VM in kbit/s; zero if unknown.
  std::uint32_t m_LinkKbps = 0;

  /// Returns whether this node is preferred to \p Other as a reader. Nodes with
  /// wider links come first, because a reader receives each record in full;
  /// nodes with the same bandwidth are in the order of their names.
  [[nodiscard]] bool precedes(const ReaderCandidate &Other) const;
};

/// Decides whether a node reads a topic of the log itself.
///
/// The first nodes in the order of ReaderCandidate are the readers. While some
/// of them have no contact with the log, the next nodes replace them, few at
/// first and more the longer readers are missing: a log that is slow for all
/// does not get the reads of all nodes, and one that refuses most nodes is
/// still read.
class ReaderRole {
public:
  /// What a node knows of the readers.
  struct Inputs {
    /// Number of other live nodes.
    std::size_t m_LiveNodes = 0;
    /// Number of live nodes that precede this node.
    std::size_t m_EarlierNodes = 0;
    /// Number of these that have recent contact with the log.
    std::size_t m_EarlierReaders = 0;
    /// Whether this node has a state.
    bool m_Loaded = false;
  };

  explicit ReaderRole(ReaderRoleSettings Settings) : m_Settings(Settings) {}

  /// \returns whether this node reads the log.
  bool update(base::Millis Now, const Inputs &Known);

private:
  [[nodiscard]] base::Millis takeoverDelay(const Inputs &Known) const;

  const ReaderRoleSettings m_Settings;
  std::optional<base::Millis> m_StartedAt;
  /// Since when there have been too few readers.
  std::optional<base::Millis> m_LackSince;
};

} // namespace corneldeck::feed

#endif

#ifndef CORNELDECK_FEED_SOURCESELECTOR_H
#define CORNELDECK_FEED_SOURCESELECTOR_H

#include "Base/Millis.h"
#include "Base/Random.h"
#include "Feed/KeyedLogClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneldeck::feed {

/// A node that may have a newer state of a feed.
struct FeedSource {
  std::string m_Node;
  /// Address for requests, "ip:port".
  std::string m_Address;
  std::string m_Zone;

  bool operator==(const FeedSource &) const = default;
};

/// How a transfer from a source ended.
enum class TransferEnd {
  Complete,
  Busy,  ///< The source has too many transfers.
  Failed ///< No response, no progress, or damaged data.
};

/// Settings of SourceSelector.
struct SourceSelectorSettings {
  /// Maximum delay before the first transfer of a state, so that not all nodes
  /// ask the same source. Scaled with the number of known nodes.
  base::Millis m_MaxSpread = base::Millis(100);
  base::Millis m_SpreadPerNode = base::Millis(2);
  /// Range of the time until the next request to a busy source.
  base::Millis m_MinBusyTime = base::Millis(30);
  base::Millis m_MaxBusyTime = base::Millis(120);
  /// Time until the next request to a source that failed, doubled with each
  /// further failure up to the maximum.
  base::Millis m_FailureBackoff = base::Millis(500);
  base::Millis m_MaxFailureBackoff = base::Millis(4000);
  /// Time after which the announcement of a source is outdated.
  base::Millis m_MaxAge = base::Millis(1500);
};

/// Decides when and from which node a newer state of a feed is fetched.
///
/// Prefers the newest state, then sources in the own availability zone, and
/// draws among equal ones. There is at most one transfer at a time; it is not
/// ended for a newer state, so that a fast sequence of versions cannot keep a
/// node from receiving any.
class SourceSelector {
public:
  SourceSelector(SourceSelectorSettings Settings, std::string Zone,
                 std::uint64_t Seed);

  /// Records the position of a node in the feed.
  void announced(base::Millis Now, const FeedSource &Source,
                 LogPosition Position);
  void removeSource(const std::string &Node);
  /// Records the position of this node.
  /// \param Position none if this node has no state yet.
  void setOwnPosition(std::optional<LogPosition> Position) { m_Own = Position; }

  /// Starts a transfer.
  /// \returns the source to fetch from; none if no node is ahead, a transfer is
  /// active or it is too early.
  std::optional<FeedSource> startTransfer(base::Millis Now);
  /// Records the end of the active transfer.
  void transferEnded(base::Millis Now, TransferEnd End);

  /// Returns when startTransfer() should be called next; none if not before a
  /// further announcement.
  [[nodiscard]] std::optional<base::Millis> nextDue(base::Millis Now) const;

private:
  struct State {
    FeedSource m_Source;
    LogPosition m_Position;
    base::Millis m_HeardAt{};
    /// Earliest time of the next request to the source.
    base::Millis m_NotBefore{};
    unsigned m_Failures = 0;
  };

  [[nodiscard]] bool isAhead(base::Millis Now, const State &Each) const;
  /// Returns the position to fetch: the newest one that a source has which is
  /// not waiting after a failure. A busy source is waited for.
  [[nodiscard]] std::optional<LogPosition> bestPosition(base::Millis Now) const;

  const SourceSelectorSettings m_Settings;
  const std::string m_Zone;
  base::Random m_Rng;
  std::map<std::string, State> m_Sources;
  std::optional<LogPosition> m_Own;
  /// The source of the active transfer.
  std::optional<std::string> m_Active;
  /// The highest announced position, and when it may be fetched.
  LogPosition m_Newest;
  base::Millis m_StartAt{};
};

} // namespace corneldeck::feed

#endif

#ifndef CORNELDECK_CATALOGUE_FRESHNESS_H
#define CORNELDECK_CATALOGUE_FRESHNESS_H

#include "Base/Millis.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Bounds on how long a node goes on without news.
struct FreshnessSettings {
  /// A node that heard of an offset and can't fetch it stops after this time.
  base::Millis m_MaxStaleness = base::seconds(10);
  /// A node without the log and without half of its peers stops after this.
  base::Millis m_IsolationTimeout = base::seconds(10);
  /// A start without the log waits this long to hear from all peers.
  base::Millis m_StartupPeerWait = base::seconds(3);
};

/// Judges whether a catalogue is fresh enough to admit requests by.
class Freshness {
public:
  Freshness(FreshnessSettings Settings, base::Millis Now);

  void setPeers(const std::vector<std::string> &Peers);

  /// The log said that records up to and with \p LastOffset exist.
  void onLogOffset(base::Millis Now, std::uint64_t LastOffset);

  /// A peer spoke of \p LastOffset.
  void onPeerOffset(base::Millis Now, const std::string &Peer,
                    std::uint64_t LastOffset);

  /// All records up to and with \p Offset are applied.
  void onApplied(base::Millis Now, std::uint64_t Offset);

  /// \returns whether an offset heard of has been missing for too long, or
  /// the log and more than half of the peers have been silent for too long.
  [[nodiscard]] bool isStale(base::Millis Now) const;

  /// \returns whether a started node knows enough to begin: nothing higher
  /// heard of is missing, and the log has been read to its end or every peer
  /// was heard or waited for.
  [[nodiscard]] bool mayStartAdmission(base::Millis Now, bool ReadToEnd) const;

  [[nodiscard]] std::uint64_t highestKnownOffset() const {
    return m_HighestKnown;
  }

private:
  void recordKnownOffset(base::Millis Now, std::uint64_t Offset);
  [[nodiscard]] bool hasContact(base::Millis Now) const;

  /// An offset and when it was heard of.
  struct MissingOffset {
    std::uint64_t m_Offset = 0;
    base::Millis m_KnownSince{};
  };

  const FreshnessSettings m_Settings;
  const base::Millis m_StartedAt;
  std::uint64_t m_HighestKnown = 0;
  std::uint64_t m_Applied = 0;
  base::Millis m_LastLogResponse{};
  /// When each peer was last heard; none before the first time.
  std::map<std::string, base::Millis> m_Peers;
  /// Offsets heard of and not applied, thinned out.
  std::deque<MissingOffset> m_Missing;
};

} // namespace corneldeck::catalogue

#endif

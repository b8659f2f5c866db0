#ifndef CORNELDECK_CATALOGUE_FRESHNESS_H
#define CORNELDECK_CATALOGUE_FRESHNESS_H

#include "Base/Millis.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Limits on how long a node admits requests without updates.
struct FreshnessSettings {
  /// A node stops this long after it learned of an offset that it could not
  /// fetch.
  base::Millis m_MaxStaleness = base::seconds(10);
  /// A node stops after this time without a response from the log and without
  /// messages from at least half of its peers.
  base::Millis m_IsolationTimeout = base::seconds(10);
  /// A node that starts while the log is unreachable waits this long for
  /// messages from all peers.
  base::Millis m_StartupPeerWait = base::seconds(3);
};

/// Decides whether a catalogue is recent enough to admit requests.
class Freshness {
public:
  Freshness(FreshnessSettings Settings, base::Millis Now);

  void setPeers(const std::vector<std::string> &Peers);

  /// Records that the log responded and holds records up to and including
  /// \p LastOffset.
  void onLogOffset(base::Millis Now, std::uint64_t LastOffset);

  /// Records a message from \p Peer, which knows of records up to and
  /// including \p LastOffset.
  void onPeerOffset(base::Millis Now, const std::string &Peer,
                    std::uint64_t LastOffset);

  /// Records that all records up to and including \p Offset are applied.
  void onApplied(base::Millis Now, std::uint64_t Offset);

  /// \returns whether a known offset has been missing for m_MaxStaleness, or
  /// the log and more than half of the peers have been silent for
  /// m_IsolationTimeout.
  [[nodiscard]] bool isStale(base::Millis Now) const;

  /// \returns whether a node that has started may admit requests: no known
  /// offset is missing, and either the log has been read to its end, or every
  /// peer has sent a message, or m_StartupPeerWait has passed.
  [[nodiscard]] bool mayStartAdmission(base::Millis Now, bool ReadToEnd) const;

  /// \returns the highest log offset that is known to exist.
  [[nodiscard]] std::uint64_t highestKnownOffset() const {
    return m_HighestKnown;
  }

private:
  void recordKnownOffset(base::Millis Now, std::uint64_t Offset);
  [[nodiscard]] bool hasContact(base::Millis Now) const;

  /// An offset that is known to exist but not applied.
  struct MissingOffset {
    std::uint64_t m_Offset = 0;
    base::Millis m_KnownSince{};
  };

  const FreshnessSettings m_Settings;
  const base::Millis m_StartedAt;
  std::uint64_t m_HighestKnown = 0;
  std::uint64_t m_Applied = 0;
  base::Millis m_LastLogResponse{};
  /// Time of the last message of each peer; negative before the first.
  std::map<std::string, base::Millis> m_Peers;
  /// A sample of the offsets that are known but not applied, oldest first.
  std::deque<MissingOffset> m_Missing;
};

} // namespace corneldeck::catalogue

#endif

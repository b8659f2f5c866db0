#ifndef CORNELDECK_CATALOGUE_INFORCEBARRIER_H
#define CORNELDECK_CATALOGUE_INFORCEBARRIER_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Limits on how long a change waits until the other processes know of it.
struct BarrierSettings {
  /// Longest wait for one change.
  base::Millis m_MaxWait = base::seconds(1);
  /// A change does not wait for a peer that has sent no message for this long.
  base::Millis m_SilenceTimeout = base::Millis(1500);
  /// Injected defect for tests: no change waits.
  bool m_InjectNoWait = false;
};

/// Delays a change until every live peer knows that it exists.
///
/// If a node on which a change is in force is replaced while the log is
/// unreachable, another process then still knows that the change exists, and
/// the new process does not start with an older catalogue.
class InForceBarrier {
public:
  InForceBarrier(BarrierSettings Settings, base::Millis Now);

  /// Sets the entries. A change waits for them even before their first message.
  void setPeers(const std::vector<std::string> &Peers);

  /// Records that \p Peer, an entry or an agent, knows of all offsets up to and
  /// including \p LogOffset.
  void onPeerOffset(base::Millis Now, const std::string &Peer,
                    std::uint64_t LogOffset);

  /// Starts or continues the wait for the change at \p Offset, which must be
  /// the newest one.
  /// \returns whether the change may come into force.
  bool tryPass(base::Millis Now, std::uint64_t Offset);

private:
  struct PeerState {
    std::uint64_t m_Offset = 0;
    base::Millis m_LastSeenAt{-1};
  };

  [[nodiscard]] bool allPeersKnow(base::Millis Now, std::uint64_t Offset) const;

  const BarrierSettings m_Settings;
  const base::Millis m_StartedAt;
  std::map<std::string, PeerState> m_Peers;
  std::uint64_t m_PassedOffset = 0;
  bool m_IsWaiting = false;
  base::Millis m_WaitingSince{};
};

} // namespace corneldeck::catalogue

#endif

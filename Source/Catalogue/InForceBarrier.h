#ifndef CORNELDECK_CATALOGUE_INFORCEBARRIER_H
#define CORNELDECK_CATALOGUE_INFORCEBARRIER_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// How long a change waits for the other processes to hear of it.
struct BarrierSettings {
  /// A change waits no longer than this.
  base::Millis m_MaxWait = base::seconds(1);
  /// A peer that was not heard for this long is not waited for.
  base::Millis m_SilenceTimeout = base::Millis(1500);
  /// Set only to show what the proof catches: nothing waits.
  bool m_InjectNoWait = false;
};

/// Lets a change come into force once every live peer has heard of it.
///
/// If a node that has a change in force is replaced while the log is out, some
/// other process then knows that the change exists, and the new process does
/// not begin with an older catalogue.
class InForceBarrier {
public:
  InForceBarrier(BarrierSettings Settings, base::Millis Now);

  /// Names the entries, which are waited for even before they were heard.
  void setPeers(const std::vector<std::string> &Peers);

  /// \p Peer, an entry or an agent, knows of all offsets up to and with
  /// \p LogOffset.
  void onPeerOffset(base::Millis Now, const std::string &Peer,
                    std::uint64_t LogOffset);

  /// \returns whether the change at \p Offset may come into force. Call it
  /// with the newest change only.
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

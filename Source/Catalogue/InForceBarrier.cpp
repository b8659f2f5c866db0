#include "Catalogue/InForceBarrier.h"

#include <algorithm>

namespace corneldeck::catalogue {

InForceBarrier::InForceBarrier(BarrierSettings Settings, base::Millis Now)
    : m_Settings(Settings), m_StartedAt(Now) {}

void InForceBarrier::setPeers(const std::vector<std::string> &Peers) {
  std::map<std::string, PeerState> Kept;
  for (const auto &[Name, Peer] : m_Peers)
    if (Peer.m_LastSeenAt.count() >= 0)
      Kept[Name] = Peer;
  for (const std::string &Peer : Peers)
    Kept.try_emplace(Peer);
  m_Peers = std::move(Kept);
}

void InForceBarrier::onPeerOffset(base::Millis Now, const std::string &Peer,
                                  std::uint64_t LogOffset) {
  PeerState &Sender = m_Peers[Peer];
  Sender.m_LastSeenAt = Now;
  Sender.m_Offset = std::max(Sender.m_Offset, LogOffset);
}

bool InForceBarrier::allPeersKnow(base::Millis Now,
                                  std::uint64_t Offset) const {
  return std::all_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Item) {
    const PeerState &Peer = Item.second;
    const base::Millis LastSeen = std::max(Peer.m_LastSeenAt, m_StartedAt);
    return Peer.m_Offset >= Offset ||
           Now >= LastSeen + m_Settings.m_SilenceTimeout;
  });
}

bool InForceBarrier::tryPass(base::Millis Now, std::uint64_t Offset) {
  if (Offset <= m_PassedOffset || m_Settings.m_InjectNoWait)
    return true;
  if (!m_IsWaiting) {
    m_IsWaiting = true;
    m_WaitingSince = Now;
  }
  if (!allPeersKnow(Now, Offset) && Now < m_WaitingSince + m_Settings.m_MaxWait)
    return false;
  m_IsWaiting = false;
  m_PassedOffset = Offset;
  return true;
}

} // namespace corneldeck::catalogue

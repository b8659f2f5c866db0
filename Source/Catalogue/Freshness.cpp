#include "Catalogue/Freshness.h"

#include <algorithm>

namespace corneldeck::catalogue {

namespace {

/// Missing offsets that became known within this time of each other are
/// tracked as one, so that the list stays short.
constexpr base::Millis MinMissingInterval(250);

constexpr base::Millis NeverSeen(-1);

} // namespace

Freshness::Freshness(FreshnessSettings Settings, base::Millis Now)
    : m_Settings(Settings), m_StartedAt(Now), m_LastLogResponse(Now) {}

void Freshness::setPeers(const std::vector<std::string> &Peers) {
  std::map<std::string, base::Millis> Kept;
  for (const std::string &Peer : Peers) {
    const auto Known = m_Peers.find(Peer);
    Kept[Peer] = Known == m_Peers.end() ? NeverSeen : Known->second;
  }
  m_Peers = std::move(Kept);
}

void Freshness::recordKnownOffset(base::Millis Now, std::uint64_t Offset) {
  if (Offset <= m_HighestKnown)
    return;
  m_HighestKnown = Offset;
  if (Offset <= m_Applied)
    return;
  if (m_Missing.empty() ||
      Now >= m_Missing.back().m_KnownSince + MinMissingInterval)
    m_Missing.push_back({Offset, Now});
}

void Freshness::onLogOffset(base::Millis Now, std::uint64_t LastOffset) {
  m_LastLogResponse = Now;
  recordKnownOffset(Now, LastOffset);
}

void Freshness::onPeerOffset(base::Millis Now, const std::string &Peer,
                             std::uint64_t LastOffset) {
  const auto Known = m_Peers.find(Peer);
  if (Known != m_Peers.end())
    Known->second = Now;
  recordKnownOffset(Now, LastOffset);
}

void Freshness::onApplied(base::Millis Now, std::uint64_t Offset) {
  m_Applied = Offset;
  m_HighestKnown = std::max(m_HighestKnown, Offset);
  while (!m_Missing.empty() && m_Missing.front().m_Offset <= Offset)
    m_Missing.pop_front();
  if (m_Missing.empty() && m_HighestKnown > Offset)
    m_Missing.push_back({m_HighestKnown, Now});
}

bool Freshness::hasContact(base::Millis Now) const {
  if (m_Peers.empty() ||
      Now < m_LastLogResponse + m_Settings.m_IsolationTimeout)
    return true;
  const auto Seen =
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Peer) {
        return Peer.second != NeverSeen &&
               Now < Peer.second + m_Settings.m_IsolationTimeout;
      });
  return static_cast<std::size_t>(Seen) * 2 >= m_Peers.size();
}

bool Freshness::isStale(base::Millis Now) const {
  const bool Behind =
      !m_Missing.empty() &&
      Now >= m_Missing.front().m_KnownSince + m_Settings.m_MaxStaleness;
  return Behind || !hasContact(Now);
}

bool Freshness::mayStartAdmission(base::Millis Now, bool ReadToEnd) const {
  if (m_Applied < m_HighestKnown)
    return false;
  if (ReadToEnd)
    return true;
  const bool AllSeen =
      std::all_of(m_Peers.begin(), m_Peers.end(),
                  [](const auto &Peer) { return Peer.second != NeverSeen; });
  return AllSeen || Now >= m_StartedAt + m_Settings.m_StartupPeerWait;
}

} // namespace corneldeck::catalogue

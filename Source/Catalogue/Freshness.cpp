#include "Catalogue/Freshness.h"

#include <algorithm>

namespace corneldeck::catalogue {

namespace {

/// Marks closer together than this are merged.
constexpr base::Millis MarkSpacing(250);

constexpr base::Millis NeverHeard(-1);

} // namespace

Freshness::Freshness(FreshnessSettings Settings, base::Millis Now)
    : m_Settings(Settings), m_StartedAt(Now), m_LastLog(Now) {}

void Freshness::setPeers(const std::vector<std::string> &Peers) {
  std::map<std::string, base::Millis> Kept;
  for (const std::string &Peer : Peers) {
    const auto Known = m_Peers.find(Peer);
    Kept[Peer] = Known == m_Peers.end() ? NeverHeard : Known->second;
  }
  m_Peers = std::move(Kept);
}

void Freshness::hear(base::Millis Now, std::uint64_t Offset) {
  if (Offset <= m_Heard)
    return;
  m_Heard = Offset;
  if (Offset <= m_Applied)
    return;
  if (m_Marks.empty() || Now >= m_Marks.back().m_At + MarkSpacing)
    m_Marks.push_back({Offset, Now});
}

void Freshness::onLogOffset(base::Millis Now, std::uint64_t LastOffset) {
  m_LastLog = Now;
  hear(Now, LastOffset);
}

void Freshness::onPeerOffset(base::Millis Now, const std::string &Peer,
                             std::uint64_t LastOffset) {
  const auto Known = m_Peers.find(Peer);
  if (Known != m_Peers.end())
    Known->second = Now;
  hear(Now, LastOffset);
}

void Freshness::onApplied(base::Millis Now, std::uint64_t Offset) {
  m_Applied = Offset;
  m_Heard = std::max(m_Heard, Offset);
  while (!m_Marks.empty() && m_Marks.front().m_Offset <= Offset)
    m_Marks.pop_front();
  if (m_Marks.empty() && m_Heard > Offset)
    m_Marks.push_back({m_Heard, Now});
}

bool Freshness::inContact(base::Millis Now) const {
  if (m_Peers.empty() || Now < m_LastLog + m_Settings.m_IsolationTimeout)
    return true;
  const auto Heard =
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Peer) {
        return Peer.second != NeverHeard &&
               Now < Peer.second + m_Settings.m_IsolationTimeout;
      });
  return static_cast<std::size_t>(Heard) * 2 >= m_Peers.size();
}

bool Freshness::isStale(base::Millis Now) const {
  const bool Behind = !m_Marks.empty() &&
                      Now >= m_Marks.front().m_At + m_Settings.m_MaxStaleness;
  return Behind || !inContact(Now);
}

bool Freshness::mayStartAdmission(base::Millis Now, bool ReadToEnd) const {
  if (m_Applied < m_Heard)
    return false;
  if (ReadToEnd)
    return true;
  const bool AllHeard =
      std::all_of(m_Peers.begin(), m_Peers.end(),
                  [](const auto &Peer) { return Peer.second != NeverHeard; });
  return AllHeard || Now >= m_StartedAt + m_Settings.m_StartupPeerWait;
}

} // namespace corneldeck::catalogue

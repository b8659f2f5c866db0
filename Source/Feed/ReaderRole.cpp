#include "Feed/ReaderRole.h"

#include <algorithm>
#include <bit>

namespace corneldeck::feed {

bool ReaderCandidate::precedes(const ReaderCandidate &Other) const {
  if (m_LinkKbps != Other.m_LinkKbps)
    return m_LinkKbps > Other.m_LinkKbps;
  return m_Node < Other.m_Node;
}

base::Millis ReaderRole::takeoverDelay(const Inputs &Known) const {
  const std::size_t Candidates =
      Known.m_EarlierNodes -
      std::min(Known.m_EarlierReaders, Known.m_EarlierNodes);
  const auto Doublings = static_cast<std::int64_t>(
      std::bit_width(1 + Candidates / m_Settings.m_Readers) - 1);
  return m_Settings.m_TakeoverStep * Doublings;
}

bool ReaderRole::update(base::Millis Now, const Inputs &Known) {
  if (!m_StartedAt)
    m_StartedAt = Now;
  const base::Millis Uptime = Now - *m_StartedAt;
  if (Known.m_EarlierReaders >= m_Settings.m_Readers) {
    m_LackSince.reset();
    return !Known.m_Loaded && Uptime >= m_Settings.m_MaxTimeUnloaded;
  }
  if (Known.m_LiveNodes == 0 && Uptime < m_Settings.m_DiscoveryTime)
    return false;
  if (!m_LackSince)
    m_LackSince = Now;
  return Now - *m_LackSince >= takeoverDelay(Known);
}

} // namespace corneldeck::feed

#include "Catalogue/InForceTracker.h"

namespace corneldeck::catalogue {

void InForceTracker::recordOffset(base::Millis Now, const std::string &Node,
                                  std::uint64_t Offset) {
  m_Nodes[Node] = {Offset, Now};
}

InForceReport InForceTracker::report(base::Millis Now,
                                     std::uint64_t Offset) const {
  InForceReport Report;
  for (const auto &[Name, Known] : m_Nodes) {
    if (Now >= Known.m_LastSeenAt + m_SilenceTimeout)
      Report.m_Silent.push_back(Name);
    else if (Known.m_Offset < Offset)
      Report.m_Lagging.push_back(Name);
    else
      Report.m_InForce.push_back(Name);
  }
  return Report;
}

std::map<std::string, std::uint64_t> InForceTracker::offsets() const {
  std::map<std::string, std::uint64_t> Offsets;
  for (const auto &[Name, Known] : m_Nodes)
    Offsets[Name] = Known.m_Offset;
  return Offsets;
}

} // namespace corneldeck::catalogue

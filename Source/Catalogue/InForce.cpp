#include "Catalogue/InForce.h"

namespace corneldeck::catalogue {

void InForce::observe(base::Millis Now, const std::string &Node,
                      std::uint64_t Offset) {
  m_Nodes[Node] = {Offset, Now};
}

InForceReport InForce::report(base::Millis Now, std::uint64_t Offset) const {
  InForceReport Report;
  for (const auto &[Name, Known] : m_Nodes) {
    if (Now >= Known.m_HeardAt + m_LiveWithin)
      Report.m_Silent.push_back(Name);
    else if (Known.m_Offset < Offset)
      Report.m_Lagging.push_back(Name);
    else
      Report.m_InForce.push_back(Name);
  }
  return Report;
}

std::map<std::string, std::uint64_t> InForce::offsets() const {
  std::map<std::string, std::uint64_t> Offsets;
  for (const auto &[Name, Known] : m_Nodes)
    Offsets[Name] = Known.m_Offset;
  return Offsets;
}

} // namespace corneldeck::catalogue

#include "Membership/Relays.h"

#include <algorithm>
#include <tuple>

namespace corneldeck::membership {

std::map<std::string, std::vector<std::string>>
chooseRelays(std::vector<RelayCandidate> Candidates, std::size_t PerZone) {
  std::sort(Candidates.begin(), Candidates.end(),
            [](const RelayCandidate &A, const RelayCandidate &B) {
              return std::tie(B.m_Ready, B.m_LinkKbps, A.m_Node) <
                     std::tie(A.m_Ready, A.m_LinkKbps, B.m_Node);
            });
  std::map<std::string, std::vector<std::string>> Relays;
  for (const RelayCandidate &Each : Candidates)
    if (std::vector<std::string> &Chosen = Relays[Each.m_Zone];
        Chosen.size() < PerZone)
      Chosen.push_back(Each.m_Node);
  return Relays;
}

} // namespace corneldeck::membership

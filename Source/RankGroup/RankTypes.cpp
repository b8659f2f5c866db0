#include "RankGroup/RankTypes.h"

#include "Base/RendezvousHash.h"

#include <string_view>

namespace corneldeck::rankgroup {

std::uint64_t digest(const Proposal &Value) {
  std::vector<std::uint64_t> Words = {Value.m_Base.m_FencingNumber,
                                      Value.m_Base.m_Version,
                                      Value.m_Base.m_Digest, Value.m_Step};
  if (Value.m_Body)
    for (ExpertMap::Expert ExpertId = 0; ExpertId < Value.m_Body->experts();
         ++ExpertId) {
      const std::vector<ExpertMap::Rank> &Copies =
          Value.m_Body->replicas(ExpertId);
      Words.push_back(Copies.size());
      Words.insert(Words.end(), Copies.begin(), Copies.end());
    }
  const auto *Bytes = reinterpret_cast<const char *>(Words.data());
  return base::hash64(
      std::string_view(Bytes, Words.size() * sizeof(std::uint64_t)));
}

} // namespace corneldeck::rankgroup

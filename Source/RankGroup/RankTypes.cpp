#include "RankGroup/RankTypes.h"

#include "Base/RendezvousHash.h"

#include <string_view>

namespace corneldeck::rankgroup {

std::uint64_t digest(const Proposal &Wanted) {
  std::vector<std::uint64_t> Words = {Wanted.m_Base.m_FencingNumber,
                                      Wanted.m_Base.m_Version,
                                      Wanted.m_Base.m_Digest, Wanted.m_Step};
  if (Wanted.m_Body)
    for (ExpertMap::Expert Which = 0; Which < Wanted.m_Body->experts();
         ++Which) {
      const std::vector<ExpertMap::Rank> &Copies =
          Wanted.m_Body->replicas(Which);
      Words.push_back(Copies.size());
      Words.insert(Words.end(), Copies.begin(), Copies.end());
    }
  const auto *Bytes = reinterpret_cast<const char *>(Words.data());
  return base::hash64(
      std::string_view(Bytes, Words.size() * sizeof(std::uint64_t)));
}

} // namespace corneldeck::rankgroup

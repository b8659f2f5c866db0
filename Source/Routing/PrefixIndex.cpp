#include "Routing/PrefixIndex.h"

#include <algorithm>

namespace corneldeck::routing {

PrefixIndex::PrefixIndex(const PrefixIndexSettings &Settings)
    : m_Settings(Settings) {}

std::uint32_t PrefixIndex::numberOf(const std::string &Name) {
  const auto [Item, IsNew] = m_Numbers.try_emplace(Name, m_NextNumber);
  if (IsNew) {
    m_Replicas[m_NextNumber].m_Name = Name;
    ++m_NextNumber;
  }
  return Item->second;
}

void PrefixIndex::onCacheEvents(base::Millis Now, const std::string &Name,
                                std::uint64_t FirstSequence,
                                std::span<const std::uint64_t> Added,
                                std::span<const std::uint64_t> Evicted) {
  const std::uint32_t Number = numberOf(Name);
  Replica &Of = m_Replicas[Number];
  if (Added.empty() && Evicted.empty())
    return;
  if (Of.m_Followed && FirstSequence != Of.m_NextSequence) {
    Of.m_HadGap = true;
    Of.m_GapAt = Now;
  }
  Of.m_Followed = true;
  Of.m_NextSequence = FirstSequence + Added.size() + Evicted.size();
  for (const std::uint64_t Hash : Added)
    note(Now, Number, Hash);
  for (const std::uint64_t Hash : Evicted)
    drop(Number, Hash);
}

void PrefixIndex::onRequestSent(base::Millis Now, const std::string &Name,
                                std::span<const std::uint64_t> Blocks) {
  const std::uint32_t Number = numberOf(Name);
  // From the last to the first, so that the start of a prefix is kept longest.
  for (std::size_t Left = Blocks.size(); Left > 0; --Left)
    note(Now, Number, Blocks[Left - 1]);
}

void PrefixIndex::removeReplica(const std::string &Name) {
  const auto Found = m_Numbers.find(Name);
  if (Found == m_Numbers.end())
    return;
  // Holders under the old number count for nobody from now on.
  m_Replicas.erase(Found->second);
  m_Numbers.erase(Found);
}

void PrefixIndex::note(base::Millis Now, std::uint32_t Number,
                       std::uint64_t Hash) {
  if (m_Settings.m_MaxBlocks == 0)
    return;
  const auto [Item, IsNew] = m_Blocks.try_emplace(Hash);
  Block &Of = Item->second;
  if (IsNew) {
    m_Order.push_front(Hash);
    Of.m_Place = m_Order.begin();
  } else {
    m_Order.splice(m_Order.begin(), m_Order, Of.m_Place);
  }
  const auto Known = std::find_if(
      Of.m_Holders.begin(), Of.m_Holders.end(),
      [Number](const Holder &Each) { return Each.m_Replica == Number; });
  if (Known != Of.m_Holders.end())
    Known->m_SeenAt = Now;
  else
    Of.m_Holders.push_back({Number, Now});
  if (m_Blocks.size() > m_Settings.m_MaxBlocks)
    evictOldest();
}

void PrefixIndex::evictOldest() {
  m_Blocks.erase(m_Order.back());
  m_Order.pop_back();
}

void PrefixIndex::drop(std::uint32_t Number, std::uint64_t Hash) {
  const auto Found = m_Blocks.find(Hash);
  if (Found == m_Blocks.end())
    return;
  std::erase_if(Found->second.m_Holders, [Number](const Holder &Each) {
    return Each.m_Replica == Number;
  });
  if (!Found->second.m_Holders.empty())
    return;
  m_Order.erase(Found->second.m_Place);
  m_Blocks.erase(Found);
}

bool PrefixIndex::isTrusted(base::Millis Now, const Holder &Of) const {
  const auto Found = m_Replicas.find(Of.m_Replica);
  if (Found == m_Replicas.end())
    return false;
  const base::Millis Age = Now - Of.m_SeenAt;
  if (Age > m_Settings.m_MaxAge)
    return false;
  const Replica &Replica = Found->second;
  const bool BeforeGap = Replica.m_HadGap && Of.m_SeenAt < Replica.m_GapAt;
  return !BeforeGap || Age <= m_Settings.m_MaxAgeAfterGap;
}

std::map<std::string, std::size_t>
PrefixIndex::cachedPrefixLengths(base::Millis Now,
                                 std::span<const std::uint64_t> Blocks) const {
  std::map<std::string, std::size_t> Runs;
  std::unordered_map<std::uint32_t, std::size_t> ByNumber;
  for (std::size_t Index = 0; Index < Blocks.size(); ++Index) {
    const auto Found = m_Blocks.find(Blocks[Index]);
    if (Found == m_Blocks.end())
      break;
    bool AnyLonger = false;
    for (const Holder &Each : Found->second.m_Holders) {
      if (!isTrusted(Now, Each))
        continue;
      std::size_t &Run = ByNumber[Each.m_Replica];
      if (Run != Index)
        continue;
      Run = Index + 1;
      AnyLonger = true;
    }
    if (!AnyLonger)
      break;
  }
  for (const auto &[Number, Run] : ByNumber)
    if (Run > 0)
      Runs[m_Replicas.at(Number).m_Name] = Run;
  return Runs;
}

} // namespace corneldeck::routing

#include "Routing/PrefixIndex.h"

#include <algorithm>

namespace corneldeck::routing {

PrefixIndex::PrefixIndex(const PrefixIndexSettings &Settings)
    : m_Settings(Settings) {}

std::uint32_t PrefixIndex::assignNumber(const std::string &Name) {
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
  const std::uint32_t Number = assignNumber(Name);
  ReplicaState &State = m_Replicas[Number];
  if (Added.empty() && Evicted.empty())
    return;
  if (State.m_HasSequence && FirstSequence != State.m_NextSequence) {
    State.m_HasGap = true;
    State.m_GapAt = Now;
  }
  State.m_HasSequence = true;
  State.m_NextSequence = FirstSequence + Added.size() + Evicted.size();
  for (const std::uint64_t Hash : Added)
    addHolder(Now, Number, Hash);
  for (const std::uint64_t Hash : Evicted)
    removeHolder(Number, Hash);
}

void PrefixIndex::onRequestSent(base::Millis Now, const std::string &Name,
                                std::span<const std::uint64_t> Blocks) {
  const std::uint32_t Number = assignNumber(Name);
  // In reverse order, so that the start of the prefix is evicted last.
  for (std::size_t Remaining = Blocks.size(); Remaining > 0; --Remaining)
    addHolder(Now, Number, Blocks[Remaining - 1]);
}

void PrefixIndex::removeReplica(const std::string &Name) {
  const auto Found = m_Numbers.find(Name);
  if (Found == m_Numbers.end())
    return;
  // Numbers are not reused, so holders with this number no longer match a
  // replica.
  m_Replicas.erase(Found->second);
  m_Numbers.erase(Found);
}

void PrefixIndex::addHolder(base::Millis Now, std::uint32_t Number,
                            std::uint64_t Hash) {
  if (m_Settings.m_MaxBlocks == 0)
    return;
  const auto [Item, IsNew] = m_Blocks.try_emplace(Hash);
  Block &Entry = Item->second;
  if (IsNew) {
    m_Recency.push_front(Hash);
    Entry.m_RecencyPosition = m_Recency.begin();
  } else {
    m_Recency.splice(m_Recency.begin(), m_Recency, Entry.m_RecencyPosition);
  }
  const auto Known = std::find_if(
      Entry.m_Holders.begin(), Entry.m_Holders.end(),
      [Number](const Holder &Each) { return Each.m_Replica == Number; });
  if (Known != Entry.m_Holders.end())
    Known->m_SeenAt = Now;
  else
    Entry.m_Holders.push_back({Number, Now});
  if (m_Blocks.size() > m_Settings.m_MaxBlocks)
    evictLeastRecent();
}

void PrefixIndex::evictLeastRecent() {
  m_Blocks.erase(m_Recency.back());
  m_Recency.pop_back();
}

void PrefixIndex::removeHolder(std::uint32_t Number, std::uint64_t Hash) {
  const auto Found = m_Blocks.find(Hash);
  if (Found == m_Blocks.end())
    return;
  std::erase_if(Found->second.m_Holders, [Number](const Holder &Each) {
    return Each.m_Replica == Number;
  });
  if (!Found->second.m_Holders.empty())
    return;
  m_Recency.erase(Found->second.m_RecencyPosition);
  m_Blocks.erase(Found);
}

bool PrefixIndex::isFresh(base::Millis Now, const Holder &Item) const {
  const auto Found = m_Replicas.find(Item.m_Replica);
  if (Found == m_Replicas.end())
    return false;
  const base::Millis Age = Now - Item.m_SeenAt;
  if (Age > m_Settings.m_MaxAge)
    return false;
  const ReplicaState &Replica = Found->second;
  const bool BeforeGap = Replica.m_HasGap && Item.m_SeenAt < Replica.m_GapAt;
  return !BeforeGap || Age <= m_Settings.m_MaxAgeAfterGap;
}

std::map<std::string, std::size_t>
PrefixIndex::cachedPrefixLengths(base::Millis Now,
                                 std::span<const std::uint64_t> Blocks) const {
  std::map<std::string, std::size_t> Lengths;
  std::unordered_map<std::uint32_t, std::size_t> ByNumber;
  for (std::size_t Index = 0; Index < Blocks.size(); ++Index) {
    const auto Found = m_Blocks.find(Blocks[Index]);
    if (Found == m_Blocks.end())
      break;
    bool AnyLonger = false;
    for (const Holder &Each : Found->second.m_Holders) {
      if (!isFresh(Now, Each))
        continue;
      std::size_t &Length = ByNumber[Each.m_Replica];
      if (Length != Index)
        continue;
      Length = Index + 1;
      AnyLonger = true;
    }
    if (!AnyLonger)
      break;
  }
  for (const auto &[Number, Length] : ByNumber)
    if (Length > 0)
      Lengths[m_Replicas.at(Number).m_Name] = Length;
  return Lengths;
}

} // namespace corneldeck::routing

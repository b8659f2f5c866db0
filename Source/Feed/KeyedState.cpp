#include "Feed/KeyedState.h"

#include <algorithm>
#include <set>

namespace corneldeck::feed {

bool KeyedState::apply(const KeyedRecord &Record) {
  m_Loaded = true;
  const auto Found = m_Records.find(Record.m_Key);
  if (Found == m_Records.end()) {
    m_Records.emplace(Record.m_Key, Record);
    if (!Record.m_Value)
      return false;
    m_ContentOffset = std::max(m_ContentOffset, Record.m_Offset);
    return true;
  }
  KeyedRecord &Current = Found->second;
  if (Record.m_Offset <= Current.m_Offset)
    return false;
  const bool Changed =
      Current.m_Value.has_value() != Record.m_Value.has_value() ||
      (Current.m_Value &&
       m_IsSignificant(Record.m_Key, *Current.m_Value, *Record.m_Value));
  Current = Record;
  if (Changed)
    m_ContentOffset = std::max(m_ContentOffset, Record.m_Offset);
  return Changed;
}

bool KeyedState::applySnapshot(const std::vector<KeyedRecord> &Records,
                               std::uint64_t EndOffset) {
  m_Loaded = true;
  bool Changed = false;
  std::set<std::string> ListedKeys;
  for (const KeyedRecord &Each : Records) {
    ListedKeys.insert(Each.m_Key);
    Changed = apply(Each) || Changed;
  }
  for (auto &[Key, Current] : m_Records) {
    if (!Current.m_Value || ListedKeys.contains(Key) ||
        Current.m_Offset >= EndOffset)
      continue;
    Current.m_Value.reset();
    m_ContentOffset = std::max(m_ContentOffset, EndOffset);
    Changed = true;
  }
  return Changed;
}

bool KeyedState::mergeRecords(const std::vector<KeyedRecord> &Records,
                              std::uint64_t ContentOffset) {
  bool Changed = false;
  for (const KeyedRecord &Each : Records)
    Changed = apply(Each) || Changed;
  m_ContentOffset = std::max(m_ContentOffset, ContentOffset);
  return Changed;
}

std::vector<KeyedRecord> KeyedState::records() const {
  std::vector<KeyedRecord> All;
  All.reserve(m_Records.size());
  for (const auto &[Key, Each] : m_Records)
    All.push_back(Each);
  return All;
}

std::map<std::string, std::string> KeyedState::values() const {
  std::map<std::string, std::string> Values;
  for (const auto &[Key, Each] : m_Records)
    if (Each.m_Value)
      Values.emplace(Key, *Each.m_Value);
  return Values;
}

} // namespace corneldeck::feed

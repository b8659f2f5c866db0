#include "Feed/KeyedState.h"

#include <algorithm>
#include <set>
#include <utility>

namespace corneldeck::feed {

const std::string *KeyedState::KeyState::lastValue() const {
  if (m_LastValue)
    return &*m_LastValue;
  return m_Significant.m_Value ? &*m_Significant.m_Value : nullptr;
}

void KeyedState::KeyState::setDeleted(LogPosition Position) {
  if (!m_LastValue)
    m_LastValue = std::move(m_Significant.m_Value);
  m_Significant.m_Value.reset();
  m_Significant.setPosition(Position);
  m_Latest = Position;
}

bool KeyedState::apply(const KeyedRecord &Record) {
  m_Loaded = true;
  const auto [Found, IsNew] =
      m_Records.try_emplace(Record.m_Key, KeyState{Record, Record.position()});
  if (IsNew) {
    if (!Record.m_Value)
      return false;
    contentChanged(Record.position());
    return true;
  }
  KeyState &Current = Found->second;
  if (Record.position() <= Current.m_Latest)
    return false;
  // The node that kept a deletion may not know of a value that was written
  // after it. If there is none, the log will show the deletion again.
  if (!Record.m_Value && Record.m_IsKept && Current.m_Significant.m_Value &&
      Record.m_Era > Current.m_Latest.m_Era)
    return false;
  if (isOlderCopy(Current, Record)) {
    Current.m_Latest = {Record.m_Era, Record.m_Offset, true};
    Current.m_Significant.setPosition(Current.m_Latest);
    m_HasKept = true;
    return false;
  }
  const std::optional<std::string> &Value = Current.m_Significant.m_Value;
  const bool Changed =
      Value.has_value() != Record.m_Value.has_value() ||
      (Value && m_IsSignificant(Record.m_Key, *Value, *Record.m_Value));
  // Nodes that had other records in an earlier era must see that they now have
  // the same.
  const bool IsMoved = Record.m_Era != Current.m_Significant.m_Era ||
                       Record.m_IsKept || Current.m_Significant.m_IsKept;
  Current.m_Latest = Record.position();
  if (!Changed && !IsMoved) {
    if (Record.m_Value)
      Current.m_LastValue = Record.m_Value;
    return false;
  }
  if (Record.m_Value) {
    Current.m_Significant = Record;
    Current.m_LastValue.reset();
  } else {
    Current.setDeleted(Record.position());
  }
  contentChanged(Record.position());
  return Changed;
}

bool KeyedState::isOlderCopy(const KeyState &Current,
                             const KeyedRecord &Record) const {
  const std::string *Last = Current.lastValue();
  return m_IsOlder && Last && Record.m_Value &&
         Record.m_Era > Current.m_Latest.m_Era &&
         m_IsOlder(Record.m_Key, *Record.m_Value, *Last);
}

void KeyedState::contentChanged(LogPosition Position) {
  ++Position.m_Offset;
  m_ContentPosition = std::max(m_ContentPosition, Position);
}

bool KeyedState::applySnapshot(const std::vector<KeyedRecord> &Records,
                               LogPosition End, MissingKeys Missing) {
  m_Loaded = true;
  bool Changed = false;
  std::set<std::string> ListedKeys;
  for (const KeyedRecord &Each : Records) {
    ListedKeys.insert(Each.m_Key);
    Changed = apply(Each) || Changed;
  }
  recordKept(End);
  Coverage Covered{.m_EraKeys = End};
  if (Missing == MissingKeys::Delete)
    Covered.m_AllKeys = End;
  return addCoverage(Covered, ListedKeys) || Changed;
}

bool KeyedState::mergeRecords(const std::vector<KeyedRecord> &Records,
                              LogPosition ContentPosition,
                              const Coverage &Covered) {
  m_Loaded = true;
  bool Changed = false;
  std::set<std::string> ListedKeys;
  for (const KeyedRecord &Each : Records) {
    if (Each.m_Value || Each.m_IsKept)
      ListedKeys.insert(Each.m_Key);
    // The other node may have missed the deletion of a key.
    if (!isCovered(Each.position()) || m_Records.contains(Each.m_Key))
      Changed = apply(Each) || Changed;
  }
  m_ContentPosition = std::max(m_ContentPosition, ContentPosition);
  recordKept(ContentPosition);
  return addCoverage(Covered, ListedKeys) || Changed;
}

bool KeyedState::isCovered(LogPosition Position) const {
  return Position < m_Coverage.m_AllKeys ||
         (Position.m_Era == m_Coverage.m_EraKeys.m_Era &&
          Position < m_Coverage.m_EraKeys);
}

bool KeyedState::addCoverage(const Coverage &Covered,
                             const std::set<std::string> &Listed) {
  bool Changed = false;
  LogPosition NewContent = std::max(Covered.m_AllKeys, Covered.m_EraKeys);
  if (Covered.m_AllKeys > m_Coverage.m_AllKeys) {
    // Nodes that have the same records may still have keys of earlier eras.
    NewContent.m_IsKept = Covered.m_AllKeys.m_Era > m_Coverage.m_AllKeys.m_Era;
    Changed = deleteMissingKeys(Listed, {}, Covered.m_AllKeys);
    m_Coverage.m_AllKeys = Covered.m_AllKeys;
  }
  if (Covered.m_EraKeys > m_Coverage.m_EraKeys) {
    const LogPosition EraBegin{Covered.m_EraKeys.m_Era, 0};
    Changed = deleteMissingKeys(Listed, EraBegin, Covered.m_EraKeys) || Changed;
    m_Coverage.m_EraKeys = Covered.m_EraKeys;
  }
  // Other nodes may have keys that this one never had.
  m_ContentPosition = std::max(m_ContentPosition, NewContent);
  return Changed;
}

bool KeyedState::deleteMissingKeys(const std::set<std::string> &Listed,
                                   LogPosition Begin, LogPosition End) {
  // A topic without records has no position that a deletion could have.
  if (End.m_Offset == 0)
    return false;
  bool Changed = false;
  for (auto &[Key, Current] : m_Records) {
    const bool HasValue = Current.m_Significant.m_Value.has_value();
    // A deletion that was kept is confirmed now.
    const bool IsRelevant = HasValue || Current.m_Significant.m_IsKept;
    if (!IsRelevant || Listed.contains(Key) || Current.m_Latest < Begin ||
        Current.m_Latest >= End)
      continue;
    // The deletion was the last record at the latest. Its position lets other
    // nodes see that it is newer than the value.
    const LogPosition Deletion{End.m_Era, End.m_Offset - 1};
    Current.setDeleted(Deletion);
    contentChanged(Deletion);
    Changed = Changed || HasValue;
  }
  return Changed;
}

void KeyedState::recordKept(LogPosition End) {
  if (!std::exchange(m_HasKept, false))
    return;
  End.m_IsKept = true;
  m_ContentPosition = std::max(m_ContentPosition, End);
}

std::vector<KeyedRecord> KeyedState::records() const {
  std::vector<KeyedRecord> All;
  All.reserve(m_Records.size());
  for (const auto &[Key, Each] : m_Records)
    All.push_back(Each.m_Significant);
  return All;
}

std::map<std::string, std::string> KeyedState::values() const {
  std::map<std::string, std::string> Values;
  for (const auto &[Key, Each] : m_Records)
    if (Each.m_Significant.m_Value)
      Values.emplace(Key, *Each.m_Significant.m_Value);
  return Values;
}

std::size_t KeyedState::keysBefore(std::uint64_t Era) const {
  return static_cast<std::size_t>(std::count_if(
      m_Records.begin(), m_Records.end(), [Era](const auto &Each) {
        return Each.second.m_Significant.m_Value &&
               Each.second.m_Latest.m_Era < Era;
      }));
}

} // namespace corneldeck::feed

#include "Bench/AcceptedChanges.h"

#include <algorithm>

namespace corneldeck::bench {

const AcceptedChange *AcceptedChanges::newest(const std::string &Entry,
                                              std::uint64_t UpTo) const {
  const auto Found = std::find_if(
      m_Accepted.rbegin(), m_Accepted.rend(), [&](const AcceptedChange &Item) {
        return Item.m_Offset <= UpTo && Item.m_Change.entry() == Entry;
      });
  return Found == m_Accepted.rend() ? nullptr : &*Found;
}

bool AcceptedChanges::fits(const wire::CatalogueChange &Change) const {
  const auto Version = static_cast<std::uint64_t>(std::count_if(
      m_Accepted.begin(), m_Accepted.end(), [&](const AcceptedChange &Item) {
        return Item.m_Change.entry() == Change.entry();
      }));
  const AcceptedChange *Last = newest(Change.entry(), UINT64_MAX);
  if (Last && Last->m_Change.owner() != Change.owner())
    return false;
  if (Change.deletion() && (!Last || Last->m_Change.deletion()))
    return false;
  return Version == Change.expected_version();
}

void AcceptedChanges::update(const fakes::FakeLog &Log) {
  while (m_Read < Log.history().size()) {
    const wire::LogRecord &Record = Log.history()[m_Read++].m_Record;
    std::vector<wire::CatalogueChange> Changes;
    if (Record.has_change())
      Changes.push_back(Record.change());
    for (const wire::CatalogueChange &Change : Record.batch().changes())
      Changes.push_back(Change);
    if (Changes.empty() || !m_Seen.insert(Record.append_id()).second)
      continue;
    if (!std::all_of(Changes.begin(), Changes.end(),
                     [&](const auto &Change) { return fits(Change); }))
      continue;
    for (const wire::CatalogueChange &Change : Changes)
      m_Accepted.push_back({m_Read, Record.append_id(), Change});
  }
}

bool AcceptedChanges::accepted(const std::string &AppendId) const {
  return std::any_of(
      m_Accepted.begin(), m_Accepted.end(),
      [&](const AcceptedChange &Item) { return Item.m_AppendId == AppendId; });
}

std::uint64_t AcceptedChanges::newestChange(std::uint64_t UpTo) const {
  std::uint64_t Newest = 0;
  for (const AcceptedChange &Item : m_Accepted)
    if (Item.m_Offset <= UpTo)
      Newest = Item.m_Offset;
  return Newest;
}

std::string AcceptedChanges::compare(const catalogue::View &View) const {
  std::set<std::string> Names;
  for (const AcceptedChange &Item : m_Accepted)
    Names.insert(Item.m_Change.entry());
  for (const auto &[Name, Entry] : View.entries())
    Names.insert(Name);
  for (const std::string &Name : Names) {
    const AcceptedChange *Last = newest(Name, View.offset());
    const bool Expected = Last && !Last->m_Change.deletion();
    const auto Shown = View.find(Name);
    if (Expected != (Shown != nullptr))
      return Name + (Expected ? " is missing" : " should not be there");
    const bool Same =
        !Expected ||
        Last->m_Change.body().find(
            "capacity: " +
            std::to_string(Shown->m_BackendServers.at(0).m_Capacity) + "\n") !=
            std::string::npos;
    if (!Same)
      return Name + " shows another change than the one at offset " +
             std::to_string(Last->m_Offset);
  }
  return "";
}

} // namespace corneldeck::bench

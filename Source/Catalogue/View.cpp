#include "Catalogue/View.h"

#include "Catalogue/EntryParser.h"

namespace corneldeck::catalogue {

View::View(std::uint64_t Offset, EntryMap Entries,
           std::map<std::string, std::string> Unreadable,
           OffsetMap ChangeOffsets)
    : m_Offset(Offset), m_Entries(std::move(Entries)),
      m_Unreadable(std::move(Unreadable)),
      m_ChangeOffsets(std::move(ChangeOffsets)) {}

std::shared_ptr<const Entry> View::find(std::string_view Name) const {
  const auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : Found->second;
}

std::uint64_t View::changeOffset(std::string_view Name) const {
  const auto Found = m_ChangeOffsets.find(Name);
  return Found == m_ChangeOffsets.end() ? 0 : Found->second;
}

const ViewBuilder::CachedEntry &
ViewBuilder::parseCached(const std::string &Name,
                         const VersionedEntry &Source) {
  CachedEntry &Cached = m_Cache[Name];
  if (Cached.m_Version == Source.m_Version &&
      Cached.m_Offset == Source.m_Offset)
    return Cached;
  Cached = {Source.m_Version, Source.m_Offset, nullptr, ""};
  base::Result<Entry> Read = parseEntry(Source.m_Body, Name);
  if (!Read)
    Cached.m_Reason = Read.error().m_Message;
  else if (Read->m_Name != Name)
    Cached.m_Reason = "the text names entry '" + Read->m_Name + "'";
  else
    Cached.m_Entry = std::make_shared<const Entry>(std::move(*Read));
  return Cached;
}

ViewPtr ViewBuilder::build(const State &Current) {
  View::EntryMap Entries;
  std::map<std::string, std::string> Unreadable;
  View::OffsetMap Offsets;
  for (const auto &[Name, Source] : Current.entries()) {
    Offsets[Name] = Source.m_Offset;
    if (Source.m_Deleted)
      continue;
    const CachedEntry &Result = parseCached(Name, Source);
    if (Result.m_Entry)
      Entries[Name] = Result.m_Entry;
    else
      Unreadable[Name] = Result.m_Reason;
  }
  return std::make_shared<const View>(Current.offset(), std::move(Entries),
                                      std::move(Unreadable),
                                      std::move(Offsets));
}

} // namespace corneldeck::catalogue

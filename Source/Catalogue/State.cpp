#include "Catalogue/State.h"

#include <algorithm>
#include <set>

namespace corneldeck::catalogue {

using base::ResultCode;

namespace {

bool holdsChanges(const wire::LogRecord &Record) {
  return Record.has_change() || Record.has_batch();
}

std::vector<const wire::CatalogueChange *>
changesOf(const wire::LogRecord &Record) {
  std::vector<const wire::CatalogueChange *> Changes;
  if (Record.has_change())
    Changes.push_back(&Record.change());
  if (Record.has_batch())
    for (const wire::CatalogueChange &Change : Record.batch().changes())
      Changes.push_back(&Change);
  return Changes;
}

Outcome rejection(ResultCode Code, std::string Message) {
  Outcome Result;
  Result.m_Code = Code;
  Result.m_Message = std::move(Message);
  return Result;
}

} // namespace

Outcome State::evaluateChange(const wire::CatalogueChange &Change) const {
  const std::string &Name = Change.entry();
  if (Name.empty() || Change.owner().empty())
    return rejection(ResultCode::RejectedInvalid,
                     "the change has no entry name or no owner");
  const auto Found = m_Entries.find(Name);
  const VersionedEntry *Current =
      Found == m_Entries.end() ? nullptr : &Found->second;
  if (Current && Current->m_Owner != Change.owner())
    return rejection(ResultCode::RejectedOwner,
                     "entry '" + Name + "' belongs to '" + Current->m_Owner +
                         "'; only its owner can change it");
  const std::uint64_t Version = Current ? Current->m_Version : 0;
  if (Change.expected_version() != Version)
    return rejection(
        ResultCode::RejectedVersion,
        "entry '" + Name + "' has version " + std::to_string(Version) +
            (Current && Current->m_Deleted ? " (deleted)" : "") +
            (Current ? ", set at offset " + std::to_string(Current->m_Offset)
                     : "") +
            ", the change expected " +
            std::to_string(Change.expected_version()) +
            "; read the entry again and base the change on its version");
  if (Change.deletion() && (!Current || Current->m_Deleted))
    return rejection(ResultCode::RejectedInvalid,
                     "entry '" + Name + "' does not exist");
  return {};
}

Outcome State::evaluate(const wire::LogRecord &Record) const {
  std::set<std::string> Names;
  for (const wire::CatalogueChange *Change : changesOf(Record)) {
    if (!Names.insert(Change->entry()).second)
      return rejection(ResultCode::RejectedInvalid,
                       "entry '" + Change->entry() +
                           "' appears twice in the batch");
    Outcome Result = evaluateChange(*Change);
    if (!Result.accepted())
      return Result;
  }
  if (Names.empty())
    return rejection(ResultCode::RejectedInvalid, "the batch is empty");
  return {};
}

void State::applyChange(const wire::CatalogueChange &Change) {
  VersionedEntry &Target = m_Entries[Change.entry()];
  ++Target.m_Version;
  m_ChangeOffset = m_Offset;
  Target.m_Offset = m_Offset;
  Target.m_Owner = Change.owner();
  Target.m_Deleted = Change.deletion();
  Target.m_Body = Change.deletion() ? "" : Change.body();
}

void State::storeOutcome(const Outcome &Result) {
  m_Outcomes[Result.m_AppendId] = Result;
  m_OutcomeOrder.push_back(Result.m_AppendId);
  if (m_OutcomeOrder.size() <= MaxOutcomes)
    return;
  m_Outcomes.erase(m_OutcomeOrder.front());
  m_OutcomeOrder.pop_front();
}

std::optional<Outcome> State::apply(std::uint64_t Offset,
                                    const wire::LogRecord &Record) {
  m_Offset = Offset;
  if (!holdsChanges(Record))
    return std::nullopt;
  if (auto Known = outcome(Record.append_id()))
    return Known;
  Outcome Result = evaluate(Record);
  Result.m_AppendId = Record.append_id();
  Result.m_Offset = Offset;
  if (Result.accepted())
    for (const wire::CatalogueChange *Change : changesOf(Record))
      applyChange(*Change);
  storeOutcome(Result);
  return Result;
}

std::optional<Outcome> State::outcome(const std::string &AppendId) const {
  const auto Found = m_Outcomes.find(AppendId);
  if (Found == m_Outcomes.end())
    return std::nullopt;
  return Found->second;
}

void State::load(const wire::CatalogueSnapshot &Snapshot) {
  *this = State();
  m_Offset = Snapshot.covers_offset();
  for (const wire::SnapshotEntry &Saved : Snapshot.entries()) {
    m_Entries[Saved.entry()] = {Saved.version(), Saved.offset(), Saved.owner(),
                                Saved.body(), Saved.deleted()};
    m_ChangeOffset = std::max(m_ChangeOffset, Saved.offset());
  }
  for (const wire::ChangeOutcome &Saved : Snapshot.outcomes())
    storeOutcome({Saved.append_id(), Saved.offset(),
                  base::resultCodeFromNumber(static_cast<int>(Saved.code()))
                      .value_or(ResultCode::Internal),
                  Saved.message()});
}

void State::save(wire::CatalogueSnapshot &Snapshot) const {
  Snapshot.set_covers_offset(m_Offset);
  for (const auto &[Name, Entry] : m_Entries) {
    wire::SnapshotEntry *Saved = Snapshot.add_entries();
    Saved->set_entry(Name);
    Saved->set_version(Entry.m_Version);
    Saved->set_offset(Entry.m_Offset);
    Saved->set_owner(Entry.m_Owner);
    Saved->set_body(Entry.m_Body);
    Saved->set_deleted(Entry.m_Deleted);
  }
  for (const std::string &Id : m_OutcomeOrder) {
    const Outcome &Known = m_Outcomes.at(Id);
    wire::ChangeOutcome *Saved = Snapshot.add_outcomes();
    Saved->set_append_id(Known.m_AppendId);
    Saved->set_offset(Known.m_Offset);
    Saved->set_code(static_cast<std::uint32_t>(Known.m_Code));
    Saved->set_message(Known.m_Message);
  }
}

} // namespace corneldeck::catalogue

#include "Lease/LeaseTable.h"

namespace corneldeck::lease {

namespace {

bool isWellFormed(const wire::LeaseClaim &Claim) {
  const base::Millis Term(Claim.term_ms());
  return !Claim.name().empty() && !Claim.holder().empty() && Term >= MinTerm &&
         Term <= MaxTerm;
}

bool isRenewal(const LeaseRecord &Current, const wire::LeaseClaim &Claim) {
  return !Current.m_Released && Current.m_Holder == Claim.holder();
}

} // namespace

bool LeaseTable::apply(base::Millis Now, std::uint64_t Offset,
                       const std::string &AppendId,
                       const wire::LeaseClaim &Claim) {
  if (!isWellFormed(Claim))
    return false;
  const auto Found = m_Leases.find(Claim.name());
  const std::uint64_t Newest =
      Found == m_Leases.end() ? 0 : Found->second.m_Offset;
  if (Claim.replaces() != Newest)
    return false;
  const bool IsRenewal =
      Found != m_Leases.end() && isRenewal(Found->second, Claim);
  if (Claim.release() && !IsRenewal)
    return false;
  LeaseRecord &Record = m_Leases[Claim.name()];
  if (!IsRenewal)
    Record.m_FencingNumber = Offset;
  Record.m_Holder = Claim.holder();
  Record.m_Offset = Offset;
  Record.m_AppendId = AppendId;
  Record.m_Term = base::Millis(Claim.term_ms());
  Record.m_Released = Claim.release();
  Record.m_ReadAt = Now;
  return true;
}

const LeaseRecord *LeaseTable::find(std::string_view Name) const {
  const auto Found = m_Leases.find(Name);
  return Found == m_Leases.end() ? nullptr : &Found->second;
}

bool LeaseTable::isClaimable(base::Millis Now, std::string_view Name) const {
  const LeaseRecord *Record = find(Name);
  if (!Record || Record->m_Released)
    return true;
  return Now >=
         Record->m_ReadAt + Record->m_Term + clockDriftMargin(Record->m_Term);
}

void LeaseTable::load(base::Millis Now,
                      const wire::CatalogueSnapshot &Snapshot) {
  m_Leases.clear();
  for (const wire::SnapshotLease &Saved : Snapshot.leases())
    m_Leases[Saved.name()] = {Saved.holder(),
                              Saved.fencing_number(),
                              Saved.record_offset(),
                              Saved.append_id(),
                              base::Millis(Saved.term_ms()),
                              Saved.released(),
                              Now};
}

void LeaseTable::save(wire::CatalogueSnapshot &Snapshot) const {
  for (const auto &[Name, Record] : m_Leases) {
    wire::SnapshotLease *Saved = Snapshot.add_leases();
    Saved->set_name(Name);
    Saved->set_holder(Record.m_Holder);
    Saved->set_fencing_number(Record.m_FencingNumber);
    Saved->set_record_offset(Record.m_Offset);
    Saved->set_append_id(Record.m_AppendId);
    Saved->set_term_ms(static_cast<std::uint32_t>(Record.m_Term.count()));
    Saved->set_released(Record.m_Released);
  }
}

} // namespace corneldeck::lease

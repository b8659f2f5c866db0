#include "Lease/LeaseHolder.h"

namespace corneldeck::lease {

LeaseHolder::LeaseHolder(LeaseSettings Settings)
    : m_Settings(std::move(Settings)) {}

void LeaseHolder::onTableUpdated(base::Millis Now, const LeaseTable &Table) {
  const LeaseRecord *Record = Table.find(m_Settings.m_Name);
  if (!Record || Record->m_Holder != m_Settings.m_Holder ||
      Record->m_Released) {
    m_HeldLease.reset();
    return;
  }
  const auto Sent = m_SentClaims.find(Record->m_AppendId);
  if (Sent == m_SentClaims.end())
    return;
  const base::Millis TermStart =
      m_Settings.m_InjectTermFromRead ? Now : Sent->second;
  m_HeldLease = {Record->m_FencingNumber,
                 TermStart + Record->m_Term - clockDriftMargin(Record->m_Term)};
  m_SentClaims.erase(Sent);
}

bool LeaseHolder::mayClaim(base::Millis Now, const LeaseTable &Table) const {
  const LeaseRecord *Record = Table.find(m_Settings.m_Name);
  const bool IsHolder = Record && Record->m_Holder == m_Settings.m_Holder;
  return IsHolder || Table.isClaimable(Now, m_Settings.m_Name);
}

wire::LogRecord LeaseHolder::makeClaim(base::Millis Now, std::uint64_t Replaces,
                                       bool Release) {
  wire::LogRecord Record;
  Record.set_append_id(m_Settings.m_Holder + "/" + m_Settings.m_Name + "/" +
                       std::to_string(m_NextClaimNumber++));
  Record.set_writer(m_Settings.m_Holder);
  wire::LeaseClaim *Claim = Record.mutable_lease();
  Claim->set_name(m_Settings.m_Name);
  Claim->set_holder(m_Settings.m_Holder);
  Claim->set_replaces(Replaces);
  Claim->set_term_ms(static_cast<std::uint32_t>(m_Settings.m_Term.count()));
  Claim->set_release(Release);
  if (!Release)
    m_SentClaims[Record.append_id()] = Now;
  return Record;
}

void LeaseHolder::removeExpiredClaims(base::Millis Now) {
  std::erase_if(m_SentClaims, [&](const auto &Claim) {
    return Now >= Claim.second + m_Settings.m_Term;
  });
}

std::optional<wire::LogRecord> LeaseHolder::tick(base::Millis Now,
                                                 const LeaseTable &Table) {
  if (Now < m_NextSend)
    return std::nullopt;
  const LeaseRecord *Record = Table.find(m_Settings.m_Name);
  const std::uint64_t Replaces = Record ? Record->m_Offset : 0;
  if (!m_Wanted) {
    const bool IsHolder = Record && Record->m_Holder == m_Settings.m_Holder;
    if (!IsHolder || Record->m_Released)
      return std::nullopt;
    m_HeldLease.reset();
    m_NextSend = Now + m_Settings.m_RenewInterval;
    return makeClaim(Now, Replaces, true);
  }
  if (!mayClaim(Now, Table))
    return std::nullopt;
  removeExpiredClaims(Now);
  m_NextSend = Now + m_Settings.m_RenewInterval;
  return makeClaim(Now, Replaces, false);
}

std::optional<std::uint64_t>
LeaseHolder::fencingNumber(base::Millis Now) const {
  if (!m_HeldLease || Now >= m_HeldLease->m_ExpiresAt)
    return std::nullopt;
  return m_HeldLease->m_FencingNumber;
}

} // namespace corneldeck::lease

#include "Lease/LeaseHolder.h"

namespace corneldeck::lease {

LeaseHolder::LeaseHolder(LeaseSettings Settings)
    : m_Settings(std::move(Settings)) {}

void LeaseHolder::onTableUpdated(base::Millis Now, const LeaseTable &Table) {
  const LeaseRecord *Record = Table.find(m_Settings.m_Name);
  if (!Record || Record->m_Holder != m_Settings.m_Holder ||
      Record->m_Released) {
    m_Tenure.reset();
    return;
  }
  const auto Sent = m_Sent.find(Record->m_AppendId);
  if (Sent == m_Sent.end())
    return;
  const base::Millis From =
      m_Settings.m_InjectTermFromRead ? Now : Sent->second;
  m_Tenure = {Record->m_FencingNumber,
              From + Record->m_Term - clockDriftMargin(Record->m_Term)};
  m_Sent.erase(Sent);
}

bool LeaseHolder::mayClaim(base::Millis Now, const LeaseTable &Table) const {
  const LeaseRecord *Record = Table.find(m_Settings.m_Name);
  const bool Own = Record && Record->m_Holder == m_Settings.m_Holder;
  return Own || Table.isClaimable(Now, m_Settings.m_Name);
}

wire::LogRecord LeaseHolder::claim(base::Millis Now, std::uint64_t Replaces,
                                   bool Release) {
  wire::LogRecord Record;
  Record.set_append_id(m_Settings.m_Holder + "/" + m_Settings.m_Name + "/" +
                       std::to_string(m_NextClaim++));
  Record.set_writer(m_Settings.m_Holder);
  wire::LeaseClaim *Claim = Record.mutable_lease();
  Claim->set_name(m_Settings.m_Name);
  Claim->set_holder(m_Settings.m_Holder);
  Claim->set_replaces(Replaces);
  Claim->set_term_ms(static_cast<std::uint32_t>(m_Settings.m_Term.count()));
  Claim->set_release(Release);
  if (!Release)
    m_Sent[Record.append_id()] = Now;
  return Record;
}

void LeaseHolder::forgetLapsed(base::Millis Now) {
  std::erase_if(m_Sent, [&](const auto &Claim) {
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
    const bool Own = Record && Record->m_Holder == m_Settings.m_Holder;
    if (!Own || Record->m_Released)
      return std::nullopt;
    m_Tenure.reset();
    m_NextSend = Now + m_Settings.m_RenewInterval;
    return claim(Now, Replaces, true);
  }
  if (!mayClaim(Now, Table))
    return std::nullopt;
  forgetLapsed(Now);
  m_NextSend = Now + m_Settings.m_RenewInterval;
  return claim(Now, Replaces, false);
}

std::optional<std::uint64_t>
LeaseHolder::fencingNumber(base::Millis Now) const {
  if (!m_Tenure || Now >= m_Tenure->m_Until)
    return std::nullopt;
  return m_Tenure->m_FencingNumber;
}

} // namespace corneldeck::lease

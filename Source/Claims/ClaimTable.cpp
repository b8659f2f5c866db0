#include "Claims/ClaimTable.h"

#include "Base/ResultCode.h"

#include <algorithm>

namespace corneldeck::claims {

namespace {

// Longer than the maximum start delay of a frame.
constexpr base::Millis NotRunRetention = base::minutes(2);

wire::End makeEnd(base::ResultCode Code, wire::RanState Ran) {
  wire::End End;
  End.set_code(static_cast<std::uint32_t>(Code));
  End.set_ran(Ran);
  return End;
}

} // namespace

ClaimTable::ClaimTable(ClaimSettings Settings)
    : m_Settings(Settings),
      m_Retention(Settings.m_RetentionWindow + Settings.m_MaxClockSkew * 2) {}

const Claim *ClaimTable::find(const ClaimKey &Key) const {
  const auto Found = m_Claims.find(Key);
  return Found == m_Claims.end() ? nullptr : &Found->second;
}

bool ClaimTable::claim(base::Millis Now, base::Millis Wall, const ClaimKey &Key,
                       std::uint64_t Fingerprint, std::uint64_t Run) {
  if (m_Claims.size() >= m_Settings.m_MaxClaims)
    return false;
  Claim Added;
  Added.m_Fingerprint = Fingerprint;
  Added.m_Run = Run;
  Added.m_ClaimedAt = Now;
  Added.m_ClaimedWall = Wall;
  m_Claims.emplace(Key, std::move(Added));
  m_Expiries.push_back({Now, Key});
  return true;
}

void ClaimTable::storeAnswer(Claim &Known, const wire::End &Answer) {
  std::string Bytes = Answer.SerializeAsString();
  if (m_AnswerBytes + Bytes.size() > m_Settings.m_MaxAnswerBytes)
    return;
  m_AnswerBytes += Bytes.size();
  Known.m_Answer = std::move(Bytes);
}

void ClaimTable::markFinished(const ClaimKey &Key, const wire::End &Answer) {
  const auto Found = m_Claims.find(Key);
  if (Found == m_Claims.end())
    return;
  Found->second.m_State = ClaimState::Finished;
  storeAnswer(Found->second, Answer);
}

void ClaimTable::markOutcomeUnknown(const ClaimKey &Key) {
  const auto Found = m_Claims.find(Key);
  if (Found != m_Claims.end())
    Found->second.m_State = ClaimState::OutcomeUnknown;
}

void ClaimTable::release(const ClaimKey &Key) { erase(Key); }

void ClaimTable::importRecord(base::Millis Now, base::Millis Wall,
                              const ClaimKey &Key,
                              const wire::ClaimRecord &Record) {
  erase(Key);
  Claim Imported;
  Imported.m_Fingerprint = Record.fingerprint();
  Imported.m_ClaimedAt = Now;
  Imported.m_ClaimedWall = base::Millis(Record.claimed_ms());
  Imported.m_State =
      Record.finished() ? ClaimState::Finished : ClaimState::OutcomeUnknown;
  if (Imported.m_ClaimedWall.count() == 0)
    Imported.m_ClaimedWall = Wall;
  Claim &Known = m_Claims.emplace(Key, std::move(Imported)).first->second;
  if (Record.finished())
    storeAnswer(Known, Record.end());
  m_Expiries.push_back({Now, Key});
}

wire::End ClaimTable::duplicateAnswer(const Claim &Known) const {
  wire::End End;
  if (Known.m_State == ClaimState::OutcomeUnknown)
    return makeEnd(base::ResultCode::OutcomeUnknown, wire::RAN_UNKNOWN);
  if (Known.m_Answer.empty() || !End.ParseFromString(Known.m_Answer))
    return makeEnd(base::ResultCode::AnswerNotKept, wire::RAN_YES);
  End.set_duplicate(true);
  return End;
}

void ClaimTable::recordNotRun(base::Millis Now, const ClaimKey &Key) {
  m_NotRunReports[Key] = Now;
  m_NotRunExpiries.push_back({Now, Key});
}

bool ClaimTable::notRunReportedSince(const ClaimKey &Key,
                                     base::Millis Issued) const {
  const auto Found = m_NotRunReports.find(Key);
  return Found != m_NotRunReports.end() && Issued <= Found->second;
}

void ClaimTable::fence(base::Millis Now, const ClaimKey &Key,
                       std::uint64_t Offset, const std::string &Server) {
  KeyFence &Fence = m_Fences[Key];
  if (Offset >= Fence.m_Offset)
    Fence = {Offset, Server, Now};
}

const KeyFence *ClaimTable::findFence(const ClaimKey &Key) const {
  const auto Found = m_Fences.find(Key);
  return Found == m_Fences.end() ? nullptr : &Found->second;
}

void ClaimTable::erase(const ClaimKey &Key) {
  const auto Found = m_Claims.find(Key);
  if (Found == m_Claims.end())
    return;
  m_AnswerBytes -= Found->second.m_Answer.size();
  m_Claims.erase(Found);
}

void ClaimTable::expireClaims(base::Millis Now) {
  while (!m_Expiries.empty() &&
         m_Expiries.front().m_RecordedAt + m_Retention < Now) {
    const Expiry Oldest = m_Expiries.front();
    m_Expiries.pop_front();
    const auto Found = m_Claims.find(Oldest.m_Key);
    // A key that was released and claimed again has a later expiry entry.
    if (Found == m_Claims.end() ||
        Found->second.m_ClaimedAt != Oldest.m_RecordedAt)
      continue;
    if (Found->second.m_State == ClaimState::Running) {
      Found->second.m_ClaimedAt = Now;
      m_Expiries.push_back({Now, Oldest.m_Key});
      continue;
    }
    erase(Oldest.m_Key);
  }
}

void ClaimTable::expire(base::Millis Now) {
  expireClaims(Now);
  while (!m_NotRunExpiries.empty() &&
         m_NotRunExpiries.front().m_RecordedAt + NotRunRetention < Now) {
    const Expiry Oldest = m_NotRunExpiries.front();
    m_NotRunExpiries.pop_front();
    const auto Found = m_NotRunReports.find(Oldest.m_Key);
    if (Found != m_NotRunReports.end() && Found->second == Oldest.m_RecordedAt)
      m_NotRunReports.erase(Found);
  }
  const base::Millis FenceRetention =
      m_Retention + m_Settings.m_MaxDisconnectedTime;
  std::erase_if(m_Fences, [&](const auto &Entry) {
    return Entry.second.m_FencedAt + FenceRetention < Now;
  });
}

std::vector<wire::ClaimRecord> ClaimTable::exportRecords() const {
  std::vector<wire::ClaimRecord> Records;
  Records.reserve(m_Claims.size());
  for (const auto &[Key, Known] : m_Claims) {
    wire::ClaimRecord Record;
    Record.set_key_high(Key.m_High);
    Record.set_key_low(Key.m_Low);
    Record.set_fingerprint(Known.m_Fingerprint);
    Record.set_claimed_ms(Known.m_ClaimedWall.count());
    Record.set_finished(Known.m_State == ClaimState::Finished);
    if (!Known.m_Answer.empty())
      Record.mutable_end()->ParseFromString(Known.m_Answer);
    Records.push_back(std::move(Record));
  }
  return Records;
}

} // namespace corneldeck::claims

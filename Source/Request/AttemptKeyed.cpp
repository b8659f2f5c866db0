// Requests with an idempotency key: the claim, and the former homes.
#include "Request/AttemptTable.h"

#include <algorithm>

namespace corneldeck::request {

using base::Millis;
using base::Ran;
using base::ResultCode;
using claims::ClaimKey;
using claims::ClaimState;
using claims::FenceOutcome;
using claims::HomeVerdict;

namespace {

/// \returns the refusal of a key that this agent may not claim.
ResultCode refusalOf(HomeVerdict Verdict) {
  switch (Verdict) {
  case HomeVerdict::NotHome:
    return ResultCode::ClaimHomeUnavailable;
  case HomeVerdict::MayHaveRun:
    return ResultCode::ClaimWindow;
  case HomeVerdict::TooOld:
    return ResultCode::KeyTooOld;
  case HomeVerdict::CatalogueBehind:
  case HomeVerdict::Home:
  case HomeVerdict::FenceRequired:
    break;
  }
  return ResultCode::CatalogueTooOld;
}

/// \returns the refusal after former homes did not let the key go.
ResultCode refusalOf(FenceOutcome Outcome) {
  switch (Outcome) {
  case FenceOutcome::Running:
    return ResultCode::RunningElsewhere;
  case FenceOutcome::Refused:
    return ResultCode::CatalogueTooOld;
  case FenceOutcome::MayHaveRun:
    return ResultCode::ClaimWindow;
  case FenceOutcome::Clear:
  case FenceOutcome::Finished:
  case FenceOutcome::OutcomeUnknown:
  case FenceOutcome::Unavailable:
    break;
  }
  return ResultCode::ClaimHomeUnavailable;
}

wire::End unknownEnd(ResultCode Code) {
  wire::End End;
  End.set_code(static_cast<std::uint32_t>(Code));
  End.set_ran(wire::RAN_UNKNOWN);
  return End;
}

ClaimKey keyOf(const wire::Start &Start) {
  return claims::claimKey(Start.service(), Start.customer(), Start.key());
}

} // namespace

void AttemptTable::onKeyedStart(Millis Now, const AttemptKey &Key,
                                const wire::Start &Start) {
  const ClaimKey Claim = keyOf(Start);
  if (const claims::Claim *Known = m_Claims.find(Claim)) {
    joinClaim(Now, Key, Start, *Known);
    return;
  }
  // A caller was told that the key did not run, and may rely on it.
  if (m_Claims.notRunReportedSince(Claim, Millis(Start.issued_ms()))) {
    refuse(Now, Key, {ResultCode::NotStarted, Ran::No});
    return;
  }
  onUnknownKey(Now, Key, Start, Claim);
}

void AttemptTable::joinClaim(Millis Now, const AttemptKey &Key,
                             const wire::Start &Start,
                             const claims::Claim &Known) {
  const bool Running = Known.m_State == ClaimState::Running;
  Run *Its = Running ? findRun(Known.m_Run) : nullptr;
  if (Known.m_Fingerprint != Start.fingerprint()) {
    // Until the former homes have answered, either request may be the first.
    if (Running && Its->m_State == RunState::Asking)
      refuse(Now, Key, {ResultCode::RunningElsewhere, Ran::Unknown});
    else
      refuse(Now, Key, {ResultCode::KeyReused, Ran::No});
    return;
  }
  Attempt &Joining = m_Attempts[Key];
  if (!Running) {
    endAttempt(Now, Key, Joining, m_Claims.duplicateAnswer(Known));
    return;
  }
  Joining.m_Run = Known.m_Run;
  Its->m_Attempts.insert(Key);
  pumpOne(Now, *Its, Key, Joining);
}

claims::HomeDecision AttemptTable::decideHome(Millis Now,
                                              const wire::Start &Start,
                                              const ClaimKey &Claim) const {
  claims::HomeQuery Question;
  Question.m_Service = Start.service();
  Question.m_Key = Claim;
  Question.m_Created = Millis(Start.key_created_ms());
  Question.m_SenderCatalogueOffset = Start.catalogue_offset();
  claims::HomeDecision Decision =
      m_Home.check(Now, m_Hooks.m_WallClock(), Question);
  const claims::KeyFence *Fence = m_Claims.findFence(Claim);
  const bool MayClaim = Decision.m_Verdict == HomeVerdict::Home ||
                        Decision.m_Verdict == HomeVerdict::FenceRequired;
  if (Fence == nullptr || !MayClaim)
    return Decision;
  if (Fence->m_Offset >= Decision.m_Offset) {
    Decision.m_Verdict = HomeVerdict::CatalogueBehind;
    return Decision;
  }
  std::vector<std::string> &Former = Decision.m_FormerHomes;
  if (std::find(Former.begin(), Former.end(), Fence->m_Server) == Former.end())
    Former.push_back(Fence->m_Server);
  Decision.m_Verdict = HomeVerdict::FenceRequired;
  return Decision;
}

void AttemptTable::onUnknownKey(Millis Now, const AttemptKey &Key,
                                const wire::Start &Start,
                                const ClaimKey &Claim) {
  const claims::HomeDecision Decision = decideHome(Now, Start, Claim);
  const bool IsHome = Decision.m_Verdict == HomeVerdict::Home;
  if (!IsHome && Decision.m_Verdict != HomeVerdict::FenceRequired) {
    refuse(Now, Key, {refusalOf(Decision.m_Verdict), Ran::Unknown},
           Decision.m_RetryAfter);
    return;
  }
  std::optional<ResultCode> Code = checkWork(Now, Start);
  if (!Code && !m_Claims.claim(Now, m_Hooks.m_WallClock(), Claim,
                               Start.fingerprint(), m_LastRun + 1))
    Code = ResultCode::Overloaded;
  if (Code) {
    // Before the former homes are asked nobody can say "no".
    if (IsHome)
      m_Claims.recordNotRun(Now, Claim);
    refuse(Now, Key, {*Code, IsHome ? Ran::No : Ran::Unknown});
    return;
  }
  Run &Added = addRun(Key, Start);
  Added.m_Key = Claim;
  Added.m_PlacementOffset = Decision.m_Offset;
  if (IsHome) {
    handOver(Now, Added);
    return;
  }
  wire::ClaimFence Ask;
  Ask.set_service(Start.service());
  Ask.set_customer(Start.customer());
  Ask.set_key(Start.key());
  Ask.set_catalogue_offset(Decision.m_Offset);
  Ask = m_Fences.open(Now, Added.m_Id, Millis(Start.key_created_ms()), Ask,
                      Decision.m_FormerHomes);
  for (const std::string &Server : Decision.m_FormerHomes)
    m_Actions.emplace_back(SendFence{Server, Ask});
}

void AttemptTable::onPlacement(Millis Now, const std::string &Service,
                               std::uint64_t Offset,
                               std::vector<std::string> Servers) {
  m_Home.onPlacement(Now, Service, Offset, std::move(Servers));
}

void AttemptTable::onServerRemoved(const std::string &Server, Millis Wall) {
  m_Home.onServerRemoved(Server, Wall);
}

wire::ClaimFenceReply AttemptTable::onFence(Millis Now,
                                            const std::string &Server,
                                            const wire::ClaimFence &Ask,
                                            AttemptActions &Actions) {
  wire::ClaimFenceReply Reply;
  Reply.set_ask(Ask.ask());
  Reply.set_remembers_since_ms(m_Home.recordsSince().count());
  if (Ask.catalogue_offset() < m_Home.offset(Ask.service())) {
    Reply.set_refused(true);
    return Reply;
  }
  const ClaimKey Key =
      claims::claimKey(Ask.service(), Ask.customer(), Ask.key());
  m_Claims.fence(Now, Key, Ask.catalogue_offset(), Server);
  const claims::Claim *Known = m_Claims.find(Key);
  if (Known == nullptr)
    return Reply;
  Run *Its = findRun(Known->m_Run);
  const bool Asking = Known->m_State == ClaimState::Running && Its != nullptr &&
                      Its->m_State == RunState::Asking;
  if (Asking) {
    m_Fences.close(Its->m_Id);
    finishRun(Now, *Its, unknownEnd(ResultCode::CatalogueTooOld));
    Actions = take();
    return Reply;
  }
  Reply.set_known(true);
  Reply.set_fingerprint(Known->m_Fingerprint);
  Reply.set_claimed_ms(Known->m_ClaimedWall.count());
  Reply.set_lost(Known->m_State == ClaimState::OutcomeUnknown);
  Reply.set_finished(Known->m_State == ClaimState::Finished);
  if (Reply.finished())
    *Reply.mutable_end() = m_Claims.duplicateAnswer(*Known);
  return Reply;
}

AttemptActions AttemptTable::onFenceReply(Millis Now, const std::string &Server,
                                          const wire::ClaimFenceReply &Reply) {
  const auto Result = m_Fences.onReply(m_Hooks.m_WallClock(), Server, Reply);
  if (Result)
    onFenceResult(Now, *Result);
  return take();
}

void AttemptTable::onFenceResult(Millis Now,
                                 const claims::FenceResult &Result) {
  Run *Asking = findRun(Result.m_Run);
  if (Asking == nullptr || Asking->m_State != RunState::Asking)
    return;
  switch (Result.m_Outcome) {
  case FenceOutcome::Clear:
    onFenceClear(Now, *Asking);
    return;
  case FenceOutcome::Finished:
  case FenceOutcome::OutcomeUnknown:
    onFormerAnswer(Now, *Asking, Result.m_Reply);
    return;
  case FenceOutcome::Running:
  case FenceOutcome::Refused:
  case FenceOutcome::MayHaveRun:
  case FenceOutcome::Unavailable:
    finishRun(Now, *Asking, unknownEnd(refusalOf(Result.m_Outcome)));
    return;
  }
}

void AttemptTable::onFenceClear(Millis Now, Run &Asking) {
  const claims::HomeDecision Decision =
      decideHome(Now, Asking.m_Start, *Asking.m_Key);
  const bool StillHome = (Decision.m_Verdict == HomeVerdict::Home ||
                          Decision.m_Verdict == HomeVerdict::FenceRequired) &&
                         Decision.m_Offset == Asking.m_PlacementOffset;
  if (!StillHome) {
    finishRun(Now, Asking, unknownEnd(ResultCode::CatalogueTooOld));
    return;
  }
  const bool Awaited = std::any_of(
      Asking.m_Attempts.begin(), Asking.m_Attempts.end(),
      [this](const AttemptKey &Key) { return !m_Attempts[Key].m_End; });
  if (draining() || m_OutOfService || !Awaited) {
    wire::End End =
        unknownEnd(draining() ? ResultCode::Stopping : ResultCode::NoReplica);
    End.set_ran(wire::RAN_NO);
    finishRun(Now, Asking, std::move(End));
    return;
  }
  handOver(Now, Asking);
}

void AttemptTable::onFormerAnswer(Millis Now, Run &Asking,
                                  const wire::ClaimFenceReply &Reply) {
  const std::uint64_t Asked = Asking.m_Start.fingerprint();
  wire::ClaimRecord Record;
  Record.set_fingerprint(Reply.fingerprint());
  Record.set_claimed_ms(Reply.claimed_ms());
  Record.set_finished(Reply.finished());
  *Record.mutable_end() = Reply.end();
  const ClaimKey Key = *Asking.m_Key;
  // From here on the run has no claim of its own.
  Asking.m_Key.reset();
  m_Claims.importRecord(Now, m_Hooks.m_WallClock(), Key, Record);
  wire::End End = m_Claims.duplicateAnswer(*m_Claims.find(Key));
  if (Reply.fingerprint() != Asked) {
    End = unknownEnd(ResultCode::KeyReused);
    End.set_ran(wire::RAN_NO);
  }
  for (const AttemptKey &Waiting : Asking.m_Attempts) {
    Attempt &To = m_Attempts[Waiting];
    if (!To.m_End)
      endAttempt(Now, Waiting, To, End);
  }
  finishRun(Now, Asking, std::move(End));
}

} // namespace corneldeck::request

// Requests with an idempotency key: claiming the key and fencing its former
// homes.
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

/// \returns the refusal code for a key that this agent must not claim.
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

/// \returns the refusal code for a key that could not be fenced.
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

wire::End unknownOutcomeEnd(ResultCode Code) {
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
    joinClaimedRun(Now, Key, Start, *Known);
    return;
  }
  // A caller has been told that the key did not run, so this older frame must
  // not run it.
  if (m_Claims.notRunReportedSince(Claim, Millis(Start.issued_ms()))) {
    refuse(Now, Key, {ResultCode::NotStarted, Ran::No});
    return;
  }
  onUnknownKey(Now, Key, Start, Claim);
}

void AttemptTable::joinClaimedRun(Millis Now, const AttemptKey &Key,
                                  const wire::Start &Start,
                                  const claims::Claim &Known) {
  const bool Running = Known.m_State == ClaimState::Running;
  Run *AttemptRun = Running ? findRun(Known.m_Run) : nullptr;
  if (Known.m_Fingerprint != Start.fingerprint()) {
    // Until the former homes have replied, it is unknown which of the requests
    // used the key first.
    if (Running && AttemptRun->m_State == RunState::Fencing)
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
  AttemptRun->m_Attempts.insert(Key);
  deliverTo(Now, *AttemptRun, Key, Joining);
}

claims::HomeDecision AttemptTable::resolveHome(Millis Now,
                                               const wire::Start &Start,
                                               const ClaimKey &Claim) const {
  claims::HomeQuery Query;
  Query.m_Service = Start.service();
  Query.m_Key = Claim;
  Query.m_Created = Millis(Start.key_created_ms());
  Query.m_SenderCatalogueOffset = Start.catalogue_offset();
  claims::HomeDecision Decision =
      m_HomeResolver.check(Now, m_Hooks.m_WallClock(), Query);
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
  const claims::HomeDecision Decision = resolveHome(Now, Start, Claim);
  const bool IsHome = Decision.m_Verdict == HomeVerdict::Home;
  if (!IsHome && Decision.m_Verdict != HomeVerdict::FenceRequired) {
    refuse(Now, Key, {refusalOf(Decision.m_Verdict), Ran::Unknown},
           Decision.m_RetryAfter);
    return;
  }
  std::optional<ResultCode> Code = checkCanRun(Now, Start);
  if (!Code && !m_Claims.claim(Now, m_Hooks.m_WallClock(), Claim,
                               Start.fingerprint(), m_LastRun + 1))
    Code = ResultCode::Overloaded;
  if (Code) {
    // Without replies of the former homes the key may have run there.
    if (IsHome)
      m_Claims.recordNotRun(Now, Claim);
    refuse(Now, Key, {*Code, IsHome ? Ran::No : Ran::Unknown});
    return;
  }
  Run &Added = addRun(Key, Start);
  Added.m_Key = Claim;
  Added.m_PlacementOffset = Decision.m_Offset;
  if (IsHome) {
    startRun(Now, Added);
    return;
  }
  wire::ClaimFence Fence;
  Fence.set_service(Start.service());
  Fence.set_customer(Start.customer());
  Fence.set_key(Start.key());
  Fence.set_catalogue_offset(Decision.m_Offset);
  Fence = m_FenceRounds.start(Now, Added.m_Id, Millis(Start.key_created_ms()),
                              Fence, Decision.m_FormerHomes);
  for (const std::string &Server : Decision.m_FormerHomes)
    m_Actions.emplace_back(SendFence{Server, Fence});
}

void AttemptTable::onPlacement(Millis Now, const std::string &Service,
                               std::uint64_t Offset,
                               std::vector<std::string> Servers) {
  m_HomeResolver.onPlacement(Now, Service, Offset, std::move(Servers));
}

void AttemptTable::onServerRemoved(const std::string &Server, Millis Wall) {
  m_HomeResolver.onServerRemoved(Server, Wall);
}

wire::ClaimFenceReply AttemptTable::onFence(Millis Now,
                                            const std::string &Server,
                                            const wire::ClaimFence &Fence,
                                            AttemptActions &Actions) {
  wire::ClaimFenceReply Reply;
  Reply.set_ask(Fence.ask());
  Reply.set_remembers_since_ms(m_HomeResolver.recordsSince().count());
  if (Fence.catalogue_offset() < m_HomeResolver.offset(Fence.service())) {
    Reply.set_refused(true);
    return Reply;
  }
  const ClaimKey Key =
      claims::claimKey(Fence.service(), Fence.customer(), Fence.key());
  m_Claims.fence(Now, Key, Fence.catalogue_offset(), Server);
  const claims::Claim *Known = m_Claims.find(Key);
  if (Known == nullptr)
    return Reply;
  Run *AttemptRun = findRun(Known->m_Run);
  const bool AwaitsFences = Known->m_State == ClaimState::Running &&
                            AttemptRun != nullptr &&
                            AttemptRun->m_State == RunState::Fencing;
  if (AwaitsFences) {
    m_FenceRounds.cancel(AttemptRun->m_Id);
    finishRun(Now, *AttemptRun, unknownOutcomeEnd(ResultCode::CatalogueTooOld));
    Actions = releaseActions();
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
  const auto Result =
      m_FenceRounds.onReply(m_Hooks.m_WallClock(), Server, Reply);
  if (Result)
    onFenceResult(Now, *Result);
  return releaseActions();
}

void AttemptTable::onFenceResult(Millis Now,
                                 const claims::FenceResult &Result) {
  Run *Pending = findRun(Result.m_Run);
  if (Pending == nullptr || Pending->m_State != RunState::Fencing)
    return;
  switch (Result.m_Outcome) {
  case FenceOutcome::Clear:
    onFenceClear(Now, *Pending);
    return;
  case FenceOutcome::Finished:
  case FenceOutcome::OutcomeUnknown:
    onFormerHomeAnswer(Now, *Pending, Result.m_Reply);
    return;
  case FenceOutcome::Running:
  case FenceOutcome::Refused:
  case FenceOutcome::MayHaveRun:
  case FenceOutcome::Unavailable:
    finishRun(Now, *Pending, unknownOutcomeEnd(refusalOf(Result.m_Outcome)));
    return;
  }
}

void AttemptTable::onFenceClear(Millis Now, Run &Pending) {
  const claims::HomeDecision Decision =
      resolveHome(Now, Pending.m_Start, *Pending.m_Key);
  const bool StillHome = (Decision.m_Verdict == HomeVerdict::Home ||
                          Decision.m_Verdict == HomeVerdict::FenceRequired) &&
                         Decision.m_Offset == Pending.m_PlacementOffset;
  if (!StillHome) {
    finishRun(Now, Pending, unknownOutcomeEnd(ResultCode::CatalogueTooOld));
    return;
  }
  const bool Awaited = std::any_of(
      Pending.m_Attempts.begin(), Pending.m_Attempts.end(),
      [this](const AttemptKey &Key) { return !m_Attempts[Key].m_End; });
  if (draining() || m_OutOfService || !Awaited) {
    wire::End End = unknownOutcomeEnd(draining() ? ResultCode::Stopping
                                                 : ResultCode::NoReplica);
    End.set_ran(wire::RAN_NO);
    finishRun(Now, Pending, std::move(End));
    return;
  }
  startRun(Now, Pending);
}

void AttemptTable::onFormerHomeAnswer(Millis Now, Run &Pending,
                                      const wire::ClaimFenceReply &Reply) {
  const std::uint64_t Asked = Pending.m_Start.fingerprint();
  wire::ClaimRecord Record;
  Record.set_fingerprint(Reply.fingerprint());
  Record.set_claimed_ms(Reply.claimed_ms());
  Record.set_finished(Reply.finished());
  *Record.mutable_end() = Reply.end();
  const ClaimKey Key = *Pending.m_Key;
  // The imported record replaces the claim of this run.
  Pending.m_Key.reset();
  m_Claims.importRecord(Now, m_Hooks.m_WallClock(), Key, Record);
  wire::End End = m_Claims.duplicateAnswer(*m_Claims.find(Key));
  if (Reply.fingerprint() != Asked) {
    End = unknownOutcomeEnd(ResultCode::KeyReused);
    End.set_ran(wire::RAN_NO);
  }
  for (const AttemptKey &WaitingKey : Pending.m_Attempts) {
    Attempt &To = m_Attempts[WaitingKey];
    if (!To.m_End)
      endAttempt(Now, WaitingKey, To, End);
  }
  finishRun(Now, Pending, std::move(End));
}

} // namespace corneldeck::request

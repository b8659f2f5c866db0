#include "Request/AttemptTable.h"

#include <algorithm>

namespace corneldeck::request {

using base::Millis;
using base::Ran;
using base::ResultCode;

namespace {

// Low-order bits of a fence request's number. The high-order bits hold the
// incarnation, so numbers differ between incarnations.
constexpr int FenceIdBits = 24;

wire::RanState ranState(Ran Value) {
  switch (Value) {
  case Ran::No:
    return wire::RAN_NO;
  case Ran::Yes:
    return wire::RAN_YES;
  case Ran::Unknown:
    break;
  }
  return wire::RAN_UNKNOWN;
}

wire::End makeEnd(ResultCode Code, Ran Value) {
  wire::End End;
  End.set_code(static_cast<std::uint32_t>(Code));
  End.set_ran(ranState(Value));
  return End;
}

} // namespace

AttemptTable::AttemptTable(AgentIdentity Identity, AttemptSettings Settings,
                           AttemptHooks Hooks, Millis /*Now*/)
    : m_Identity(std::move(Identity)), m_Settings(Settings),
      m_Hooks(std::move(Hooks)),
      m_HomeResolver(m_Identity.m_Server, m_Hooks.m_WallClock(),
                     Settings.m_Claims),
      m_Claims(Settings.m_Claims),
      m_FenceRounds(m_HomeResolver, Settings.m_Claims,
                    m_Identity.m_Incarnation << FenceIdBits) {}

AttemptActions AttemptTable::releaseActions() {
  AttemptActions Taken;
  Taken.swap(m_Actions);
  return Taken;
}

AttemptTable::Run *AttemptTable::findRun(RunId Id) {
  const auto Found = m_Runs.find(Id);
  return Found == m_Runs.end() ? nullptr : &Found->second;
}

AttemptTable::Attempt *AttemptTable::findAttempt(const AttemptKey &Key) {
  const auto Found = m_Attempts.find(Key);
  return Found == m_Attempts.end() ? nullptr : &Found->second;
}

AttemptActions AttemptTable::onFrame(Millis Now, LinkId Link,
                                     const wire::LinkFrame &Frame) {
  if (Frame.has_start())
    onStart(Now, Link, Frame.start());
  else if (Frame.has_attach())
    onAttach(Now, Link, Frame.attach());
  else if (Frame.has_cancel())
    onCancel(Now, Link, Frame.cancel());
  return releaseActions();
}

AttemptTable::Attempt &
AttemptTable::addAttempt(Millis Now, const AttemptKey &Key, LinkId Link) {
  Attempt &Added = m_Attempts[Key];
  setLink(Key, Added, Link);
  m_AttemptExpiries.push_back({Now + m_Settings.m_AttemptRetention, Key});
  return Added;
}

void AttemptTable::setLink(const AttemptKey &Key, Attempt &Moved, LinkId Link) {
  const auto Old = m_Links.find(Moved.m_Link);
  if (Old != m_Links.end()) {
    Old->second.erase(Key);
    if (Old->second.empty())
      m_Links.erase(Old);
  }
  Moved.m_Link = Link;
  if (Link != 0)
    m_Links[Link].insert(Key);
}

void AttemptTable::onStart(Millis Now, LinkId Link, const wire::Start &Start) {
  const AttemptKey Key{Start.request(), Start.attempt()};
  if (Attempt *Known = findAttempt(Key)) {
    // A duplicate frame never starts a run.
    if (Known->m_Link == 0) {
      setLink(Key, *Known, Link);
      if (Run *AttemptRun = findRun(Known->m_Run))
        deliverTo(Now, *AttemptRun, Key, *Known);
    }
    sendEnd(Key, *Known);
    return;
  }
  Attempt &Added = addAttempt(Now, Key, Link);
  Added.m_Stream = Start.stream();
  Added.m_NextToken = Start.resume_from();
  if (const auto Late = checkFreshness(Now, Start)) {
    refuse(Now, Key, *Late);
    return;
  }
  Added.m_Deadline = m_Deadlines.emplace(
      Millis(Start.issued_ms()) + Millis(Start.deadline_ms()), Key);
  if (!Start.key().empty()) {
    onKeyedStart(Now, Key, Start);
    return;
  }
  if (const auto Code = checkCanRun(Now, Start)) {
    refuse(Now, Key, {*Code, Ran::No});
    return;
  }
  startRun(Now, addRun(Key, Start));
}

std::optional<AttemptTable::Refusal>
AttemptTable::checkFreshness(Millis Now, const wire::Start &Start) const {
  const Millis Age = Now - Millis(Start.issued_ms());
  const bool ForThisIncarnation =
      Start.agent_incarnation() == m_Identity.m_Incarnation;
  // An earlier incarnation may have run a copy of this frame.
  if (!ForThisIncarnation || Age < Millis(0))
    return Refusal{ResultCode::OutcomeUnknown, Ran::Unknown};
  if (Age <= m_Settings.m_MaxStartDelay)
    return std::nullopt;
  const bool Remembered = Age < m_Settings.m_AttemptRetention;
  return Refusal{Remembered ? ResultCode::NotStarted
                            : ResultCode::OutcomeUnknown,
                 Remembered ? Ran::No : Ran::Unknown};
}

std::optional<ResultCode>
AttemptTable::checkCanRun(Millis Now, const wire::Start &Start) const {
  if (Now >= Millis(Start.issued_ms()) + Millis(Start.deadline_ms()))
    return ResultCode::DeadlineTooShort;
  if (draining())
    return ResultCode::Stopping;
  if (m_OutOfService)
    return ResultCode::NoReplica;
  if (m_Active.size() >= m_Settings.m_MaxRunning)
    return ResultCode::Overloaded;
  if (!m_Hooks.m_CheckAdmission)
    return std::nullopt;
  const ResultCode Code = m_Hooks.m_CheckAdmission(Start);
  return Code == ResultCode::Ok ? std::nullopt : std::optional(Code);
}

AttemptTable::Run &AttemptTable::addRun(const AttemptKey &Key,
                                        const wire::Start &Start) {
  const RunId Id = ++m_LastRun;
  Run &Added = m_Runs[Id];
  Added.m_Id = Id;
  Added.m_Start = Start;
  Added.m_FirstBufferedToken = Start.resume_from();
  Added.m_NextToken = Start.resume_from();
  Added.m_Attempts.insert(Key);
  m_Attempts[Key].m_Run = Id;
  m_Active.insert(Id);
  return Added;
}

void AttemptTable::startRun(Millis Now, Run &Started) {
  Started.m_State = RunState::Sent;
  Millis Deadline = Millis(Started.m_Start.issued_ms()) +
                    Millis(Started.m_Start.deadline_ms());
  if (Started.m_Key) {
    Deadline = Now + m_Settings.m_MaxKeyedRunTime;
    m_RunDeadlines.emplace(Deadline, Started.m_Id);
  }
  m_Actions.emplace_back(
      StartBackendRun{Started.m_Id, Started.m_Start, Deadline});
}

void AttemptTable::onAttach(Millis Now, LinkId Link,
                            const wire::Attach &Attach) {
  const AttemptKey Key{Attach.request(), Attach.attempt()};
  Attempt *Known = findAttempt(Key);
  if (Known == nullptr) {
    refuseUnknownAttempt(Now, Link, Key, Attach.agent_incarnation(),
                         Millis(Attach.issued_ms()), ResultCode::NotStarted);
    return;
  }
  // A frame of a replaced connection may still arrive; connection numbers only
  // grow.
  if (Link < Known->m_Link)
    return;
  setLink(Key, *Known, Link);
  Known->m_NextToken = Attach.from_token();
  Run *AttemptRun = findRun(Known->m_Run);
  if (AttemptRun != nullptr && Known->m_EndIsFromRun)
    Known->m_End.reset();
  if (AttemptRun != nullptr && !Known->m_End)
    deliverTo(Now, *AttemptRun, Key, *Known);
  else
    sendEnd(Key, *Known);
}

void AttemptTable::onCancel(Millis Now, LinkId Link,
                            const wire::Cancel &Cancel) {
  const AttemptKey Key{Cancel.request(), Cancel.attempt()};
  Attempt *Known = findAttempt(Key);
  if (Known == nullptr) {
    refuseUnknownAttempt(Now, Link, Key, Cancel.agent_incarnation(),
                         Millis(Cancel.issued_ms()), ResultCode::Cancelled);
    return;
  }
  if (Known->m_End)
    sendEnd(Key, *Known);
  else
    abandonAttempt(Now, Key, *Known, ResultCode::Cancelled);
}

void AttemptTable::refuseUnknownAttempt(Millis Now, LinkId Link,
                                        const AttemptKey &Key,
                                        std::uint64_t Incarnation,
                                        Millis Issued, ResultCode Code) {
  const Millis Age = Now - Issued;
  const bool Remembered =
      Age >= Millis(0) && Age < m_Settings.m_AttemptRetention;
  const bool ForThisIncarnation = Incarnation == m_Identity.m_Incarnation;
  addAttempt(Now, Key, Link);
  if (ForThisIncarnation && Remembered)
    refuse(Now, Key, {Code, Ran::No});
  else
    refuse(Now, Key, {ResultCode::OutcomeUnknown, Ran::Unknown});
}

void AttemptTable::refuse(Millis Now, const AttemptKey &Key, Refusal Reason,
                          Millis RetryAfter) {
  wire::End End = makeEnd(Reason.first, Reason.second);
  const Millis Wait =
      RetryAfter.count() > 0 ? RetryAfter : m_Settings.m_DefaultRetryAfter;
  End.set_retry_after_ms(static_cast<std::uint32_t>(Wait.count()));
  endAttempt(Now, Key, m_Attempts[Key], std::move(End));
}

void AttemptTable::endAttempt(Millis Now, const AttemptKey &Key, Attempt &Ended,
                              wire::End End) {
  End.set_request(Key.m_Request);
  End.set_attempt(Key.m_Attempt);
  Ended.m_End = std::move(End);
  Ended.m_EndedAt = Now;
  if (Ended.m_Deadline)
    m_Deadlines.erase(*Ended.m_Deadline);
  Ended.m_Deadline.reset();
  sendEnd(Key, Ended);
}

void AttemptTable::sendEnd(const AttemptKey &Key, Attempt &Ended) {
  if (!Ended.m_End || Ended.m_Link == 0)
    return;
  wire::End End = *Ended.m_End;
  if (Ended.m_Stream && End.duplicate() && !End.body().empty()) {
    // A stored streamed answer is sent as one chunk.
    wire::LinkFrame Frame;
    wire::Chunk &Chunk = *Frame.mutable_chunk();
    Chunk.set_request(Key.m_Request);
    Chunk.set_attempt(Key.m_Attempt);
    Chunk.set_tokens(End.tokens());
    Chunk.set_data(End.body());
    End.clear_body();
    if (Ended.m_NextToken == 0)
      m_Actions.emplace_back(SendOnLink{Ended.m_Link, std::move(Frame)});
  }
  wire::LinkFrame Frame;
  *Frame.mutable_end() = std::move(End);
  m_Actions.emplace_back(SendOnLink{Ended.m_Link, std::move(Frame)});
  Ended.m_EndSent = true;
}

void AttemptTable::deliverToAll(Millis Now, Run &Delivered) {
  for (const AttemptKey &Key : Delivered.m_Attempts)
    if (Attempt *To = findAttempt(Key))
      deliverTo(Now, Delivered, Key, *To);
}

void AttemptTable::deliverTo(Millis Now, Run &Delivered, const AttemptKey &Key,
                             Attempt &To) {
  if (To.m_End)
    return;
  if (To.m_Stream && To.m_NextToken < Delivered.m_FirstBufferedToken) {
    wire::End Broken = makeEnd(ResultCode::StreamBroken, Ran::Unknown);
    Broken.set_tokens(To.m_NextToken);
    endAttempt(Now, Key, To, std::move(Broken));
    return;
  }
  if (To.m_Stream && To.m_Link != 0) {
    auto Next = std::partition_point(
        Delivered.m_BufferedChunks.begin(), Delivered.m_BufferedChunks.end(),
        [&To](const wire::Chunk &Chunk) {
          return Chunk.first_token() < To.m_NextToken;
        });
    for (; Next != Delivered.m_BufferedChunks.end(); ++Next) {
      wire::LinkFrame Frame;
      *Frame.mutable_chunk() = *Next;
      Frame.mutable_chunk()->set_request(Key.m_Request);
      Frame.mutable_chunk()->set_attempt(Key.m_Attempt);
      To.m_NextToken = Next->first_token() + Next->tokens();
      m_Actions.emplace_back(SendOnLink{To.m_Link, std::move(Frame)});
    }
  }
  if (Delivered.m_State == RunState::Finished) {
    To.m_EndIsFromRun = true;
    endAttempt(Now, Key, To, Delivered.m_End);
  }
}

AttemptActions AttemptTable::onBackendBegan(Millis /*Now*/, RunId Run) {
  const auto *Began = findRun(Run);
  if (Began == nullptr || Began->m_State != RunState::Sent)
    return {};
  for (const AttemptKey &Key : Began->m_Attempts) {
    const Attempt *To = findAttempt(Key);
    if (To == nullptr || To->m_End || To->m_Link == 0)
      continue;
    wire::LinkFrame Frame;
    Frame.mutable_begun()->set_request(Key.m_Request);
    Frame.mutable_begun()->set_attempt(Key.m_Attempt);
    m_Actions.emplace_back(SendOnLink{To->m_Link, std::move(Frame)});
  }
  return releaseActions();
}

AttemptActions AttemptTable::onBackendChunk(Millis Now, RunId Run,
                                            std::uint32_t Tokens,
                                            const std::string &Data) {
  auto *From = findRun(Run);
  if (From == nullptr || From->m_State != RunState::Sent)
    return {};
  wire::Chunk Chunk;
  Chunk.set_first_token(From->m_NextToken);
  Chunk.set_tokens(Tokens);
  Chunk.set_data(Data);
  From->m_NextToken += Tokens;
  From->m_BufferedBytes += Data.size();
  From->m_BufferedChunks.push_back(std::move(Chunk));
  deliverToAll(Now, *From);
  while (From->m_BufferedBytes > m_Settings.m_MaxBufferedStreamBytes) {
    const wire::Chunk &Oldest = From->m_BufferedChunks.front();
    From->m_FirstBufferedToken = Oldest.first_token() + Oldest.tokens();
    From->m_BufferedBytes -= Oldest.data().size();
    From->m_BufferedChunks.pop_front();
  }
  return releaseActions();
}

AttemptActions AttemptTable::onBackendEnd(Millis Now, RunId Run,
                                          const BackendEnd &End) {
  auto *Ended = findRun(Run);
  if (Ended == nullptr || Ended->m_State != RunState::Sent)
    return {};
  wire::End Frame = makeEnd(End.m_Code, End.m_Ran);
  Frame.set_http_status(End.m_HttpStatus);
  Frame.set_content_type(End.m_ContentType);
  Frame.set_body(End.m_Body);
  Frame.set_message(End.m_Message);
  Frame.set_tokens(Ended->m_NextToken);
  finishRun(Now, *Ended, std::move(Frame));
  return releaseActions();
}

} // namespace corneldeck::request

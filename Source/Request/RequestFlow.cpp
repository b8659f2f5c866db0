#include "Request/RequestFlow.h"

#include "Claims/ClaimKey.h"

#include <algorithm>

namespace corneldeck::request {

using base::Millis;
using base::Ran;
using base::ResultCode;

namespace {

ResultCode codeOf(const wire::End &End) {
  return base::resultCodeFromNumber(static_cast<int>(End.code()))
      .value_or(ResultCode::Internal);
}

/// \returns whether the refusal applies to one attempt only, not to the key.
bool isAttemptLevel(ResultCode Code) {
  return Code == ResultCode::NotStarted || Code == ResultCode::Cancelled;
}

} // namespace

RequestFlow::RequestFlow(RequestSpec Spec, FlowSettings Settings,
                         FlowHooks Hooks)
    : m_Spec(std::move(Spec)), m_Settings(Settings), m_Hooks(std::move(Hooks)) {
}

RequestFlow::Actions RequestFlow::releaseActions() {
  Actions Taken;
  Taken.swap(m_Actions);
  return Taken;
}

RequestFlow::Attempt *RequestFlow::findAttempt(std::uint32_t Number) {
  if (Number == 0 || Number > m_Attempts.size())
    return nullptr;
  return &m_Attempts[Number - 1];
}

bool RequestFlow::hasUnclosedAttempt() const {
  return std::any_of(
      m_Attempts.begin(), m_Attempts.end(),
      [](const Attempt &Each) { return Each.m_State != AttemptState::Closed; });
}

bool RequestFlow::mayHaveRun() const {
  return std::any_of(m_Attempts.begin(), m_Attempts.end(),
                     [](const Attempt &Each) { return Each.m_MayHaveRun; });
}

Ran RequestFlow::ranOnFailure(bool KeyNotRun) const {
  // Only the home knows whether an earlier request with the key ran.
  if (keyed() && !KeyNotRun)
    return Ran::Unknown;
  return mayHaveRun() ? Ran::Unknown : Ran::No;
}

RequestFlow::Actions RequestFlow::begin(Millis Now) {
  startAttempt(Now);
  if (m_Settings.m_HedgeDelay.count() > 0 && m_Spec.m_Idempotent)
    m_HedgeAt = Now + m_Settings.m_HedgeDelay;
  return releaseActions();
}

wire::Start RequestFlow::makeStartFrame(const Attempt &Sent) const {
  wire::Start Start;
  Start.set_request(m_Spec.m_Id);
  Start.set_attempt(Sent.m_Number);
  Start.set_service(m_Spec.m_Service);
  Start.set_customer(m_Spec.m_Customer);
  Start.set_priority(m_Spec.m_Priority);
  Start.set_idempotent(m_Spec.m_Idempotent);
  Start.set_key(m_Spec.m_Key);
  Start.set_key_created_ms(m_Spec.m_KeyCreated.count());
  Start.set_catalogue_offset(m_Spec.m_CatalogueOffset);
  Start.set_method(m_Spec.m_Method);
  Start.set_path(m_Spec.m_Path);
  Start.set_content_type(m_Spec.m_ContentType);
  Start.set_body(m_Spec.m_Body);
  Start.set_stream(m_Spec.m_Stream);
  for (const std::uint64_t Block : m_Spec.m_PrefixBlocks)
    Start.add_prefix_blocks(Block);
  if (keyed())
    Start.set_fingerprint(
        claims::fingerprint(m_Spec.m_Method, m_Spec.m_Path, m_Spec.m_Body));
  Start.set_agent_incarnation(Sent.m_Target.m_Incarnation);
  Start.set_issued_ms(Sent.m_Target.m_AgentTime.count());
  Start.set_resume_from(m_NextToken);
  Start.set_resume_text(m_Text);
  Start.set_kv_location(m_KvLocation);
  return Start;
}

void RequestFlow::startAttempt(Millis Now) {
  if (Now >= m_Spec.m_Deadline) {
    fail(ResultCode::DeadlineExceeded, ranOnFailure(false), "", Millis(0));
    return;
  }
  const base::Result<Target> Chosen = m_Hooks.m_ChooseAgent(Now, m_Excluded);
  if (!Chosen) {
    const base::Error &Refusal = Chosen.error();
    fail(Refusal.m_Code, ranOnFailure(false), Refusal.m_Message,
         Refusal.m_RetryAfter);
    return;
  }
  Attempt Sent;
  Sent.m_Number = lastAttempt() + 1;
  Sent.m_Target = *Chosen;
  m_Attempts.push_back(Sent);
  // A resumed stream is delivered from this attempt only.
  if (m_NextToken > 0)
    m_DeliveringAttempt = Sent.m_Number;
  wire::LinkFrame Frame;
  *Frame.mutable_start() = makeStartFrame(Sent);
  const Millis Left = m_Spec.m_Deadline - Now;
  Frame.mutable_start()->set_deadline_ms(
      static_cast<std::uint32_t>(Left.count()));
  m_Actions.emplace_back(SendFrame{Sent.m_Target.m_Agent, std::move(Frame)});
}

void RequestFlow::sendAttach(Attempt &Lost) {
  wire::LinkFrame Frame;
  wire::Attach &Attach = *Frame.mutable_attach();
  Attach.set_request(m_Spec.m_Id);
  Attach.set_attempt(Lost.m_Number);
  Attach.set_from_token(m_NextToken);
  Attach.set_agent_incarnation(Lost.m_Target.m_Incarnation);
  Attach.set_issued_ms(Lost.m_Target.m_AgentTime.count());
  m_Actions.emplace_back(SendFrame{Lost.m_Target.m_Agent, std::move(Frame)});
}

void RequestFlow::sendCancel(const Attempt &Ended) {
  wire::LinkFrame Frame;
  wire::Cancel &Cancel = *Frame.mutable_cancel();
  Cancel.set_request(m_Spec.m_Id);
  Cancel.set_attempt(Ended.m_Number);
  Cancel.set_agent_incarnation(Ended.m_Target.m_Incarnation);
  Cancel.set_issued_ms(Ended.m_Target.m_AgentTime.count());
  m_Actions.emplace_back(SendFrame{Ended.m_Target.m_Agent, std::move(Frame)});
}

void RequestFlow::closeAllExcept(std::uint32_t Except) {
  for (Attempt &Each : m_Attempts) {
    if (Each.m_Number == Except || Each.m_State == AttemptState::Closed)
      continue;
    Each.m_State = AttemptState::Closed;
    // The run of a key continues: a later request with the key gets its answer.
    if (!keyed())
      sendCancel(Each);
  }
}

void RequestFlow::closeAll() { closeAllExcept(0); }

RequestFlow::Actions RequestFlow::onFrame(Millis Now, const std::string &Agent,
                                          const wire::LinkFrame &Frame) {
  const bool IsChunk = Frame.has_chunk();
  if (m_Finished || (!IsChunk && !Frame.has_end()))
    return {};
  const std::string &Request =
      IsChunk ? Frame.chunk().request() : Frame.end().request();
  Attempt *From =
      findAttempt(IsChunk ? Frame.chunk().attempt() : Frame.end().attempt());
  if (Request != m_Spec.m_Id || From == nullptr ||
      From->m_Target.m_Agent != Agent)
    return {};
  if (From->m_State == AttemptState::Closed) {
    // The result of a closed attempt is dropped, except that it did not run.
    if (!IsChunk && Frame.end().ran() == wire::RAN_NO)
      From->m_MayHaveRun = false;
    return {};
  }
  if (IsChunk)
    onChunk(*From, Frame.chunk());
  else
    onEnd(Now, *From, Frame.end());
  return releaseActions();
}

bool RequestFlow::requestMissingTokens(Attempt &From, std::uint32_t UpTo) {
  if (UpTo <= m_NextToken)
    return false;
  if (From.m_LastAttachToken != m_NextToken) {
    From.m_LastAttachToken = m_NextToken;
    sendAttach(From);
  }
  return true;
}

void RequestFlow::onChunk(Attempt &From, const wire::Chunk &Chunk) {
  if (m_DeliveringAttempt == 0) {
    m_DeliveringAttempt = From.m_Number;
    closeAllExcept(m_DeliveringAttempt);
  }
  if (m_DeliveringAttempt != From.m_Number)
    return;
  if (Chunk.first_token() != m_NextToken) {
    requestMissingTokens(From, Chunk.first_token());
    return;
  }
  m_NextToken += Chunk.tokens();
  // The exported KV cache covers the stream only up to the token at which it
  // was moved.
  m_KvLocation.clear();
  m_Text += Chunk.data();
  m_Actions.emplace_back(
      DeliverChunk{Chunk.first_token(), Chunk.tokens(), Chunk.data()});
}

void RequestFlow::onEnd(Millis Now, Attempt &From, const wire::End &End) {
  if (m_DeliveringAttempt != 0 && m_DeliveringAttempt != From.m_Number)
    return;
  if (End.moved()) {
    onMoved(Now, From, End);
    return;
  }
  if (codeOf(End) == ResultCode::Ok) {
    onAnswer(From, End);
    return;
  }
  From.m_State = AttemptState::Closed;
  if (End.ran() == wire::RAN_NO)
    onNotRun(Now, From, End);
  else
    onFailed(Now, From, End);
}

void RequestFlow::onAnswer(Attempt &From, const wire::End &End) {
  if (m_Spec.m_Stream && requestMissingTokens(From, End.tokens()))
    return;
  From.m_State = AttemptState::Closed;
  if (m_Spec.m_Stream && End.tokens() != m_NextToken) {
    fail(ResultCode::StreamBroken, Ran::Unknown, "", Millis(0));
    return;
  }
  Outcome Final;
  Final.m_Code = ResultCode::Ok;
  Final.m_Ran = Ran::Yes;
  Final.m_HttpStatus = End.http_status();
  Final.m_ContentType = End.content_type();
  Final.m_Body = End.body();
  Final.m_Duplicate = End.duplicate();
  finish(std::move(Final));
}

void RequestFlow::onMoved(Millis Now, Attempt &From, const wire::End &End) {
  if (requestMissingTokens(From, End.tokens()))
    return;
  From.m_State = AttemptState::Closed;
  m_Excluded.push_back(From.m_Target.m_Agent);
  m_KvLocation = End.kv_location();
  startAttempt(Now);
}

bool RequestFlow::retry(Millis Now) {
  if (lastAttempt() >= m_Settings.m_MaxAttempts || !m_Hooks.m_TryConsumeRetry())
    return false;
  startAttempt(Now);
  return true;
}

void RequestFlow::onNotRun(Millis Now, Attempt &From, const wire::End &End) {
  From.m_MayHaveRun = false;
  if (hasUnclosedAttempt())
    return;
  const ResultCode Code = codeOf(End);
  const bool MayRetry = !keyed() || isAttemptLevel(Code);
  // A request with a key can only run at the key's home, which must stay
  // eligible.
  if (!keyed())
    m_Excluded.push_back(From.m_Target.m_Agent);
  if (MayRetry && retry(Now))
    return;
  fail(Code, ranOnFailure(!isAttemptLevel(Code)), End.message(),
       Millis(End.retry_after_ms()));
}

void RequestFlow::onFailed(Millis Now, Attempt &From, const wire::End &End) {
  if (hasUnclosedAttempt())
    return;
  const ResultCode Code = codeOf(End);
  m_Excluded.push_back(From.m_Target.m_Agent);
  const bool Final =
      Code == ResultCode::DeadlineExceeded || Code == ResultCode::Cancelled;
  if (m_Spec.m_Idempotent && !Final && retry(Now))
    return;
  const bool Ended = End.ran() == wire::RAN_YES;
  fail(Code, Ended ? Ran::Yes : Ran::Unknown, End.message(),
       Millis(End.retry_after_ms()));
}

RequestFlow::Actions RequestFlow::onLinkClosed(Millis Now,
                                               const std::string &Agent) {
  for (Attempt &Each : m_Attempts) {
    if (Each.m_Target.m_Agent != Agent || Each.m_State != AttemptState::Open)
      continue;
    Each.m_State = AttemptState::Detached;
    Each.m_DetachedAt = Now;
  }
  return {};
}

RequestFlow::Actions RequestFlow::onLinkUp(Millis Now, const std::string &Agent,
                                           std::uint64_t Incarnation) {
  const std::size_t Known = m_Attempts.size();
  for (std::size_t Index = 0; Index < Known && !m_Finished; ++Index) {
    Attempt &Each = m_Attempts[Index];
    if (Each.m_Target.m_Agent != Agent || Each.m_State == AttemptState::Closed)
      continue;
    if (Each.m_Target.m_Incarnation != Incarnation) {
      abandonAttempt(Now, Each);
      continue;
    }
    Each.m_State = AttemptState::Open;
    sendAttach(Each);
  }
  return releaseActions();
}

void RequestFlow::abandonAttempt(Millis Now, Attempt &Lost) {
  Lost.m_State = AttemptState::Closed;
  if (!keyed())
    sendCancel(Lost);
  if (hasUnclosedAttempt())
    return;
  m_Excluded.push_back(Lost.m_Target.m_Agent);
  if (m_Spec.m_Idempotent && retry(Now))
    return;
  fail(ResultCode::OutcomeUnknown, Ran::Unknown, "", Millis(0));
}

RequestFlow::Actions RequestFlow::onCallerDisconnected(Millis /*Now*/) {
  closeAll();
  m_Finished = true;
  return releaseActions();
}

RequestFlow::Actions RequestFlow::onTimer(Millis Now) {
  if (m_Finished)
    return {};
  if (Now >= m_Spec.m_Deadline) {
    fail(ResultCode::DeadlineExceeded, ranOnFailure(false), "", Millis(0));
    return releaseActions();
  }
  const std::size_t Known = m_Attempts.size();
  for (std::size_t Index = 0; Index < Known && !m_Finished; ++Index) {
    Attempt &Each = m_Attempts[Index];
    if (Each.m_State == AttemptState::Detached &&
        Now >= Each.m_DetachedAt + m_Settings.m_ReattachTimeout)
      abandonAttempt(Now, Each);
  }
  if (!m_Finished && m_HedgeAt && Now >= *m_HedgeAt) {
    m_HedgeAt.reset();
    if (m_DeliveringAttempt == 0 && hasUnclosedAttempt()) {
      m_Excluded.push_back(m_Attempts.back().m_Target.m_Agent);
      if (m_Hooks.m_ChooseAgent(Now, m_Excluded))
        retry(Now);
    }
  }
  return releaseActions();
}

std::optional<Millis> RequestFlow::nextTimer() const {
  if (m_Finished)
    return std::nullopt;
  Millis Next = m_Spec.m_Deadline;
  if (m_HedgeAt)
    Next = std::min(Next, *m_HedgeAt);
  for (const Attempt &Each : m_Attempts)
    if (Each.m_State == AttemptState::Detached)
      Next = std::min(Next, Each.m_DetachedAt + m_Settings.m_ReattachTimeout);
  return Next;
}

void RequestFlow::fail(ResultCode Code, Ran Ran, std::string Message,
                       Millis RetryAfter) {
  Outcome Final;
  const bool BrokenStream = m_NextToken > 0 && Code != ResultCode::Cancelled &&
                            Code != ResultCode::DeadlineExceeded;
  Final.m_Code = BrokenStream ? ResultCode::StreamBroken : Code;
  Final.m_Ran = m_NextToken > 0 ? Ran::Unknown : Ran;
  Final.m_Message = std::move(Message);
  Final.m_RetryAfter =
      RetryAfter.count() > 0 ? RetryAfter : m_Settings.m_DefaultRetryAfter;
  finish(std::move(Final));
}

void RequestFlow::finish(Outcome Final) {
  closeAll();
  m_Finished = true;
  Final.m_Tokens = m_NextToken;
  Final.m_Attempts = lastAttempt();
  m_Actions.emplace_back(Finish{std::move(Final)});
}

} // namespace corneldeck::request

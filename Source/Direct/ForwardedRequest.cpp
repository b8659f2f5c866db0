#include "Direct/ForwardedRequest.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::direct {

namespace {

constexpr int FirstErrorOfServer = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
/// Maximum size of a response that is buffered before it is forwarded.
constexpr std::size_t MaxWholeBytes = 8 * net::MiB;
/// Timeout for the next event of a stream. Callers abandon a stream after two
/// seconds without an event, so it has to be resumed elsewhere before that.
constexpr base::Millis StreamSilence{1300};
/// Timeout of a response that is not a stream, as a multiple of the route's
/// target latency; afterwards another server is tried.
constexpr std::int64_t SilenceInTargets = 2;
constexpr base::Millis LeastSilence{400};
/// Shortest interval between two checks for a silent attempt.
constexpr base::Millis SilenceCheck{200};
/// Minimum retry-after time when no server was available.
constexpr base::Millis RetryWithoutServer{800};

std::string number(std::int64_t Value) { return std::to_string(Value); }

} // namespace

ForwardedRequest::ForwardedRequest(RequestForwarder &Forwarder,
                                   std::shared_ptr<net::HttpExchange> Exchange,
                                   Facts Known)
    : m_Forwarder(Forwarder), m_Exchange(std::move(Exchange)),
      m_Facts(std::move(Known)), m_Tracker([this] {
        AttemptTracker::Limits Limits;
        Limits.m_RetryPolicy = m_Facts.m_Route->m_RetryPolicy;
        Limits.m_MaxAttempts = std::max(1U, m_Facts.m_Route->m_MaxAttempts);
        Limits.m_Deadline = m_Facts.m_Deadline;
        return Limits;
      }()),
      m_Body(m_Exchange->takeBody()),
      m_Timer(Forwarder.m_Dependencies.m_Context) {}

void ForwardedRequest::watchCaller() {
  m_Exchange->onClosed([Self = weak_from_this()] {
    if (const auto Locked = Self.lock())
      Locked->onCallerClosed();
  });
  armTimer();
}

void ForwardedRequest::start() {
  m_Waiting = false;
  m_AdmittedAt = now();
  m_Forwarder.m_AdmissionWait.record(
      static_cast<double>((m_AdmittedAt - m_Facts.m_Arrived).count()));
  startAttempt();
}

void ForwardedRequest::refuseFull() {
  m_Waiting = false;
  answerError(base::ResultCode::Overloaded, "all backend servers are full",
              m_Forwarder.retryAfter(m_Facts.m_Service));
}

void ForwardedRequest::refuseClosed() {
  m_Waiting = false;
  m_LastFailure = "the rank group is closed";
  answerError(base::ResultCode::NoReplica,
              "the rank group of the service has lost a rank",
              m_Forwarder.retryAfter(m_Facts.m_Service));
}

void ForwardedRequest::startAttempt() {
  const base::Millis Now = now();
  ServerPool &Pool = m_Forwarder.m_Dependencies.m_Pool;
  const BackendServer *Chosen = Pool.chooseServer(
      m_Facts.m_Service, m_Tried, Now, m_Forwarder.m_Dependencies.m_Rng);
  if (!Chosen) {
    m_LastFailure = "no-server";
    perform(m_Tracker.noServerAvailable(), AttemptOutcome::NotConnected);
    return;
  }
  m_Server = Chosen->m_Id;
  m_Tried.push_back(m_Server);
  m_Tracker.attemptSent();
  m_UnprocessedPromptTokens = m_Facts.m_Request.m_PromptTokens;
  Pool.attemptStarted(m_Server, m_UnprocessedPromptTokens);
  m_AttemptActive = true;
  m_HasHead = false;
  m_ResponseInfo = {};
  m_ResponseBody.clear();
  m_EventSplitter.discardPartialEvent();
  m_SentAt = Now;
  m_LastByteAt = Now;

  AttemptMetadata Metadata;
  Metadata.m_ServerId = m_Server;
  Metadata.m_Customer = m_Facts.m_Customer;
  Metadata.m_TimeLeft = m_Facts.m_Deadline - Now;
  Metadata.m_LastEventId = m_EventSplitter.lastEventId();
  net::HttpCall Call;
  Call.m_Method = m_Exchange->method();
  Call.m_Target = m_Exchange->target();
  Call.m_Address = Chosen->m_Address;
  Call.m_Host = m_Facts.m_Request.m_Host;
  Call.m_Headers = m_Forwarder.m_Codec.m_EncodeRequest(*m_Exchange, Metadata);
  Call.m_Body = m_Body;
  Call.m_Timeout = base::Millis(0);

  const auto Self = shared_from_this();
  net::HttpCallbacks Hooks;
  Hooks.m_IsOurs = [Self](const net::HttpAnswerHead &Head) {
    return Self->m_Forwarder.m_Codec.m_MatchesRequest(
        Head, Self->m_Facts.m_Request.m_Id);
  };
  Hooks.m_OnHead = [Self](const net::HttpAnswerHead &Head) {
    Self->onResponseHead(Head);
  };
  Hooks.m_OnData = [Self](std::string_view Data) {
    Self->onResponseData(Data);
  };
  Hooks.m_OnEnd = [Self](const base::Result<void> &Outcome) {
    Self->onResponseEnd(Outcome);
  };
  m_Cancel = m_Forwarder.m_Dependencies.m_Client.request(std::move(Call),
                                                         std::move(Hooks));
  armTimer();
}

void ForwardedRequest::onResponseHead(const net::HttpAnswerHead &Head) {
  m_HasHead = true;
  m_Head = Head;
  m_ResponseInfo = m_Forwarder.m_Codec.m_DecodeResponse(Head);
  m_LastByteAt = now();
}

void ForwardedRequest::onResponseData(std::string_view Data) {
  m_LastByteAt = now();
  m_Forwarder.recordProgress(m_Facts.m_Service, m_Server);
  const bool Events =
      m_Facts.m_Route->m_Stream && m_Head.m_Status >= FirstSuccess &&
      m_Head.m_Status < FirstRedirect && m_ResponseInfo.m_Signed;
  if (Events) {
    const auto Whole = m_EventSplitter.append(Data);
    if (!Whole) {
      m_Cancel.cancel();
      attemptEnded(AttemptOutcome::Garbled);
      return;
    }
    if (!Whole->empty())
      forwardEvents(*Whole);
    return;
  }
  if (m_ResponseBody.size() + Data.size() > MaxWholeBytes) {
    m_Cancel.cancel();
    attemptEnded(AttemptOutcome::Garbled);
    return;
  }
  m_ResponseBody.append(Data);
}

void ForwardedRequest::forwardEvents(const std::string &Events) {
  if (!m_HeadForwarded) {
    m_HeadForwarded = true;
    m_Tracker.responseStarted();
    m_Forwarder.m_FirstByte.record(
        static_cast<double>((now() - m_Facts.m_Arrived).count()));
    m_Exchange->startStream(
        m_Head.m_Status, m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head));
  } else {
    m_Forwarder.recordEventInterval(m_Facts.m_Service,
                                    now() - m_LastForwardedAt);
  }
  m_LastForwardedAt = now();
  if (m_UnprocessedPromptTokens > 0) {
    m_Forwarder.m_Dependencies.m_Pool.promptProcessed(
        m_Server, m_UnprocessedPromptTokens);
    m_UnprocessedPromptTokens = 0;
  }
  // A false return means that the caller has disconnected, which
  // onCallerClosed() handles.
  m_Exchange->writeChunk(Events);
}

void ForwardedRequest::onResponseEnd(const base::Result<void> &Outcome) {
  if (!Outcome)
    m_LastFailure = Outcome.error().m_Message;
  attemptEnded(classify(Outcome));
}

AttemptOutcome
ForwardedRequest::classify(const base::Result<void> &Outcome) const {
  if (!Outcome) {
    switch (Outcome.error().m_Code) {
    case base::ResultCode::ConnectionFailed:
      return AttemptOutcome::NotConnected;
    case base::ResultCode::Timeout:
      return AttemptOutcome::Silent;
    default:
      return AttemptOutcome::Broken;
    }
  }
  if (m_ResponseInfo.m_WrongServer)
    return AttemptOutcome::WrongServer;
  if (m_ResponseInfo.m_NotRun)
    return AttemptOutcome::NotRun;
  if (m_Head.m_Status >= FirstErrorOfServer)
    return AttemptOutcome::ServerError;
  const bool Success =
      m_Head.m_Status >= FirstSuccess && m_Head.m_Status < FirstRedirect;
  if (Success && !m_ResponseInfo.m_Signed)
    return AttemptOutcome::Garbled;
  if (m_EventSplitter.hasPartialEvent())
    return AttemptOutcome::Broken;
  return AttemptOutcome::Complete;
}

void ForwardedRequest::endAttempt(AttemptOutcome End) {
  if (!m_AttemptActive)
    return;
  m_AttemptActive = false;
  ServerPool &Pool = m_Forwarder.m_Dependencies.m_Pool;
  Pool.attemptEnded(m_Server, m_UnprocessedPromptTokens);
  m_UnprocessedPromptTokens = 0;
  const base::Millis Latency =
      m_Facts.m_Route->m_Stream ? base::Millis(0) : now() - m_SentAt;
  Pool.recordOutcome(m_Server, serverOutcome(End), Latency, now());
}

void ForwardedRequest::attemptEnded(AttemptOutcome End) {
  if (m_Finished)
    return;
  endAttempt(End);
  if (End != AttemptOutcome::Complete)
    m_Forwarder.m_Dependencies.m_Events.record(
        base::EventId::AttemptEnded,
        {{"request", m_Facts.m_Request.m_Id},
         {"server", m_Server},
         {"attempt", number(m_Tracker.attempts())},
         {"end", std::string(name(End))},
         {"status", number(m_HasHead ? m_Head.m_Status : 0)},
         {"ms", number((now() - m_SentAt).count())},
         {"last_event", m_EventSplitter.lastEventId()},
         {"why", m_LastFailure}});
  const NextAction Next = m_Tracker.attemptEnded(End, now(), [this] {
    return m_Forwarder.m_Dependencies.m_RetryBudget.tryAcquire(
        m_Facts.m_Service, now());
  });
  perform(Next, End);
}

void ForwardedRequest::perform(NextAction Next, AttemptOutcome End) {
  switch (Next) {
  case NextAction::ForwardResponse:
    forwardResponse();
    return;
  case NextAction::Retry:
  case NextAction::Resume:
    m_Forwarder.m_RetriesSent.add();
    startAttempt();
    return;
  case NextAction::Refuse:
    answerError(End == AttemptOutcome::NotRun ? base::ResultCode::Overloaded
                                              : base::ResultCode::NoReplica,
                "no backend server took the request",
                std::max(RetryWithoutServer,
                         m_Forwarder.retryAfter(m_Facts.m_Service)));
    return;
  case NextAction::Fail:
    answerError(base::ResultCode::BackendFailed,
                "the backend server gave no whole answer: " +
                    std::string(name(End)),
                base::Millis(0));
    return;
  case NextAction::Abort:
    m_Forwarder.m_Failed.add();
    finish(base::EventId::RequestFailed, m_Head.m_Status, "cut-off");
    m_Exchange->abort();
    return;
  }
}

void ForwardedRequest::forwardResponse() {
  if (m_HeadForwarded) {
    m_Exchange->endStream();
  } else if (m_Facts.m_Route->m_Stream && m_ResponseBody.empty() &&
             m_Head.m_Status < FirstErrorOfServer) {
    m_Exchange->startStream(
        m_Head.m_Status, m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head));
    m_Exchange->endStream();
  } else {
    m_Forwarder.m_FirstByte.record(
        static_cast<double>((now() - m_Facts.m_Arrived).count()));
    m_Exchange->reply(m_Head.m_Status,
                      m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head),
                      m_ResponseBody);
  }
  finish(base::EventId::RequestAnswered, m_Head.m_Status, "answered");
}

void ForwardedRequest::answerError(base::ResultCode Code,
                                   const std::string &Message,
                                   base::Millis RetryAfter) {
  const base::Ran Ran =
      m_Tracker.mayHaveRun() ? base::Ran::Unknown : base::Ran::No;
  const base::Error Why{Code, Message, RetryAfter};
  if (Ran == base::Ran::No)
    m_Forwarder.m_Refused.add();
  else
    m_Forwarder.m_Failed.add();
  const net::HttpReply Reply =
      m_Forwarder.m_Codec.m_EncodeError(Why, Ran, m_Facts.m_Request.m_Id);
  finish(Ran == base::Ran::No ? base::EventId::RequestRefused
                              : base::EventId::RequestFailed,
         Reply.m_Status, base::info(Code).m_Name);
  m_Exchange->reply(Reply);
}

void ForwardedRequest::onCallerClosed() {
  if (m_Finished)
    return;
  m_Cancel.cancel();
  if (m_AttemptActive) {
    m_AttemptActive = false;
    m_Forwarder.m_Dependencies.m_Pool.attemptEnded(m_Server,
                                                   m_UnprocessedPromptTokens);
  }
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Facts.m_Service,
                                                     m_Facts.m_Token);
  finish(base::EventId::RequestFailed, 0, "caller-gone");
}

void ForwardedRequest::deadlineReached() {
  m_Cancel.cancel();
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Facts.m_Service,
                                                     m_Facts.m_Token);
  const bool Sent = m_AttemptActive;
  if (m_AttemptActive) {
    m_AttemptActive = false;
    m_Forwarder.m_Dependencies.m_Pool.attemptEnded(m_Server,
                                                   m_UnprocessedPromptTokens);
    m_Forwarder.m_Dependencies.m_Pool.recordOutcome(
        m_Server, ServerOutcome::Failed, base::Millis(0), now());
  }
  if (m_HeadForwarded) {
    perform(NextAction::Abort, AttemptOutcome::Silent);
    return;
  }
  if (!Sent && !m_Tracker.mayHaveRun()) {
    answerError(base::ResultCode::DeadlineTooShort,
                "the caller's time passed before a server had a place",
                RetryWithoutServer);
    return;
  }
  m_LastFailure = "time is up";
  m_Forwarder.m_Failed.add();
  const net::HttpReply Reply = m_Forwarder.m_Codec.m_EncodeError(
      {base::ResultCode::DeadlineExceeded, "no answer in time", {}},
      base::Ran::Unknown, m_Facts.m_Request.m_Id);
  finish(base::EventId::RequestFailed, Reply.m_Status, "deadline-exceeded");
  m_Exchange->reply(Reply);
}

base::Millis ForwardedRequest::silenceDeadline() const {
  if (m_Tracker.limits().m_RetryPolicy == RetryPolicy::AtMostOnce)
    return m_Facts.m_Deadline;
  if (m_Facts.m_Route->m_Stream)
    return m_LastByteAt + StreamSilence;
  return m_LastByteAt +
         std::max(LeastSilence,
                  m_Facts.m_Route->m_TargetLatency * SilenceInTargets);
}

void ForwardedRequest::armTimer() {
  if (m_Finished)
    return;
  base::Millis At = m_Facts.m_Deadline;
  if (m_AttemptActive)
    At = std::min(At, std::max(silenceDeadline(), now() + SilenceCheck));
  const base::Millis Wait = std::max(At - now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Code) {
        const auto Locked = Self.lock();
        if (Code || !Locked || Locked->m_Finished)
          return;
        if (Locked->now() >= Locked->m_Facts.m_Deadline)
          Locked->deadlineReached();
        else
          Locked->checkSilence();
      });
}

void ForwardedRequest::checkSilence() {
  const bool Silent = m_AttemptActive && now() >= silenceDeadline();
  const bool MayMove =
      Silent && m_Tracker.attempts() < m_Tracker.limits().m_MaxAttempts &&
      m_Tracker.limits().m_RetryPolicy != RetryPolicy::AtMostOnce &&
      (!m_Facts.m_Route->m_Stream ||
       m_Forwarder.otherServersProgress(m_Facts.m_Service, m_Server));
  if (MayMove && m_Forwarder.m_Dependencies.m_RetryBudget.tryAcquire(
                     m_Facts.m_Service, now())) {
    m_Cancel.cancel();
    m_LastFailure = "silent";
    endAttempt(AttemptOutcome::Silent);
    perform(m_Tracker.attemptEnded(AttemptOutcome::Silent, now(),
                                   [] { return true; }),
            AttemptOutcome::Silent);
    return;
  }
  armTimer();
}

void ForwardedRequest::finish(base::EventId Event, int Status,
                              std::string_view Outcome) {
  m_Finished = true;
  m_Timer.cancel();
  const base::Millis Now = now();
  const base::Millis Waited =
      (m_Waiting ? Now : std::max(m_AdmittedAt, m_Facts.m_Arrived)) -
      m_Facts.m_Arrived;
  m_Forwarder.m_RequestDuration.record(
      static_cast<double>((Now - m_Facts.m_Arrived).count()));
  const auto Usage = m_Forwarder.usage(m_Facts.m_Service);
  m_Forwarder.m_Dependencies.m_Events.record(
      Event, {{"request", m_Facts.m_Request.m_Id},
              {"outcome", std::string(Outcome)},
              {"status", number(Status)},
              {"route", m_Facts.m_Route->m_Name},
              {"config", number(static_cast<std::int64_t>(
                             m_Facts.m_Routes->configuration().m_Version))},
              {"service", m_Facts.m_Service},
              {"server", m_Server},
              {"attempts", number(m_Tracker.attempts())},
              {"waited_ms", number(Waited.count())},
              {"ms", number((Now - m_Facts.m_Arrived).count())},
              {"in_flight", number(Usage.m_InFlight)},
              {"places", number(Usage.m_Capacity)},
              {"why", m_LastFailure}});
  const auto Self = shared_from_this();
  m_Forwarder.requestEnded(m_Facts.m_Token, m_Facts.m_Service);
}

} // namespace corneldeck::direct

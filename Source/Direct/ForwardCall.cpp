#include "Direct/ForwardCall.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::direct {

namespace {

constexpr int FirstErrorOfServer = 500;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
/// The largest answer that is gathered before it is passed on.
constexpr std::size_t MaxWholeBytes = 8 * net::MiB;
/// Callers leave a stream after two seconds without an event; a move has to
/// come before that.
constexpr base::Millis StreamSilence{1300};
/// A plain answer that takes this many times its target is asked for elsewhere.
constexpr std::int64_t SilenceInTargets = 2;
constexpr base::Millis LeastSilence{400};
/// How often a silent attempt is looked at again.
constexpr base::Millis SilenceCheck{200};
/// To come back after no server could be asked.
constexpr base::Millis RetryWithoutServer{800};

std::string number(std::int64_t Value) { return std::to_string(Value); }

} // namespace

ForwardCall::ForwardCall(ForwardFront &Front,
                         std::shared_ptr<net::HttpExchange> Exchange,
                         Facts Known)
    : m_Front(Front), m_Exchange(std::move(Exchange)),
      m_Facts(std::move(Known)), m_Flow([this] {
        ForwardFlow::Terms Terms;
        Terms.m_Repeat = m_Facts.m_Route->m_Repeat;
        Terms.m_MaxAttempts = std::max(1U, m_Facts.m_Route->m_MaxAttempts);
        Terms.m_Due = m_Facts.m_Due;
        return Terms;
      }()),
      m_Body(m_Exchange->takeBody()), m_Timer(Front.m_Parts.m_Context) {}

void ForwardCall::watch() {
  m_Exchange->onClosed([Self = weak_from_this()] {
    if (const auto Locked = Self.lock())
      Locked->callerGone();
  });
  armTimer();
}

void ForwardCall::go() {
  m_Waiting = false;
  m_WentAt = now();
  m_Front.m_Waited.record(
      static_cast<double>((m_WentAt - m_Facts.m_Arrived).count()));
  startAttempt();
}

void ForwardCall::refuseFull() {
  m_Waiting = false;
  answerError(base::ResultCode::Overloaded, "all backend servers are full",
              m_Front.retryAfter(m_Facts.m_Service));
}

void ForwardCall::refuseClosed() {
  m_Waiting = false;
  m_LastEnd = "the rank group is closed";
  answerError(base::ResultCode::NoReplica,
              "the rank group of the service has lost a rank",
              m_Front.retryAfter(m_Facts.m_Service));
}

void ForwardCall::startAttempt() {
  const base::Millis Now = now();
  ServerPool &Pool = m_Front.m_Parts.m_Pool;
  const BackendServer *Chosen =
      Pool.choose(m_Facts.m_Service, m_Tried, Now, m_Front.m_Parts.m_Draw);
  if (!Chosen) {
    m_LastEnd = "no-server";
    step(m_Flow.noServer(), AttemptEnd::NotConnected);
    return;
  }
  m_Server = Chosen->m_Id;
  m_Tried.push_back(m_Server);
  m_Flow.attemptSent();
  m_UnreadPrompt = m_Facts.m_Request.m_PromptTokens;
  Pool.begin(m_Server, m_UnreadPrompt);
  m_Active = true;
  m_HasHead = false;
  m_Answer = {};
  m_Whole.clear();
  m_Cutter.dropPartial();
  m_SentAt = Now;
  m_LastByte = Now;

  AttemptTerms Terms;
  Terms.m_ServerId = m_Server;
  Terms.m_Customer = m_Facts.m_Customer;
  Terms.m_TimeLeft = m_Facts.m_Due - Now;
  Terms.m_LastEventId = m_Cutter.lastId();
  net::HttpCall Call;
  Call.m_Method = m_Exchange->method();
  Call.m_Target = m_Exchange->target();
  Call.m_Address = Chosen->m_Address;
  Call.m_Host = m_Facts.m_Request.m_Host;
  Call.m_Headers = m_Front.m_Codec.m_EncodeRequest(*m_Exchange, Terms);
  Call.m_Body = m_Body;
  Call.m_Timeout = base::Millis(0);

  const auto Self = shared_from_this();
  net::HttpCallbacks Hooks;
  Hooks.m_IsExpectedResponse = [Self](const net::HttpResponseHead &Head) {
    return Self->m_Front.m_Codec.m_BelongsTo(Head,
                                             Self->m_Facts.m_Request.m_Id);
  };
  Hooks.m_OnHead = [Self](const net::HttpResponseHead &Head) {
    Self->gotHead(Head);
  };
  Hooks.m_OnData = [Self](std::string_view Data) { Self->gotData(Data); };
  Hooks.m_OnEnd = [Self](const base::Result<void> &Outcome) {
    Self->gotEnd(Outcome);
  };
  m_Cancel =
      m_Front.m_Parts.m_Client.request(std::move(Call), std::move(Hooks));
  armTimer();
}

void ForwardCall::gotHead(const net::HttpResponseHead &Head) {
  m_HasHead = true;
  m_Head = Head;
  m_Answer = m_Front.m_Codec.m_ReadAnswer(Head);
  m_LastByte = now();
}

void ForwardCall::gotData(std::string_view Data) {
  m_LastByte = now();
  m_Front.progress(m_Facts.m_Service, m_Server);
  const bool Events = m_Facts.m_Route->m_Stream &&
                      m_Head.m_Status >= FirstSuccess &&
                      m_Head.m_Status < FirstRedirect && m_Answer.m_Signed;
  if (Events) {
    const auto Whole = m_Cutter.feed(Data);
    if (!Whole) {
      m_Cancel.cancel();
      attemptEnded(AttemptEnd::Garbled);
      return;
    }
    if (!Whole->empty())
      passEvents(*Whole);
    return;
  }
  if (m_Whole.size() + Data.size() > MaxWholeBytes) {
    m_Cancel.cancel();
    attemptEnded(AttemptEnd::Garbled);
    return;
  }
  m_Whole.append(Data);
}

void ForwardCall::passEvents(const std::string &Events) {
  if (!m_HeadPassed) {
    m_HeadPassed = true;
    m_Flow.answerBegun();
    m_Front.m_FirstByte.record(
        static_cast<double>((now() - m_Facts.m_Arrived).count()));
    m_Exchange->startStream(m_Head.m_Status,
                            m_Front.m_Codec.m_PassHeaders(m_Head));
  } else {
    m_Front.notePause(m_Facts.m_Service, now() - m_PassedAt);
  }
  m_PassedAt = now();
  if (m_UnreadPrompt > 0) {
    m_Front.m_Parts.m_Pool.promptRead(m_Server, m_UnreadPrompt);
    m_UnreadPrompt = 0;
  }
  // A false return means that the caller is gone, which callerGone() handles.
  m_Exchange->writeChunk(Events);
}

void ForwardCall::gotEnd(const base::Result<void> &Outcome) {
  if (!Outcome)
    m_LastEnd = Outcome.error().m_Message;
  attemptEnded(classify(Outcome));
}

AttemptEnd ForwardCall::classify(const base::Result<void> &Outcome) const {
  if (!Outcome) {
    switch (Outcome.error().m_Code) {
    case base::ResultCode::ConnectionFailed:
      return AttemptEnd::NotConnected;
    case base::ResultCode::Timeout:
      return AttemptEnd::Silent;
    default:
      return AttemptEnd::Broken;
    }
  }
  if (m_Answer.m_WrongServer)
    return AttemptEnd::WrongServer;
  if (m_Answer.m_NotRun)
    return AttemptEnd::NotRun;
  if (m_Head.m_Status >= FirstErrorOfServer)
    return AttemptEnd::ServerError;
  const bool Success =
      m_Head.m_Status >= FirstSuccess && m_Head.m_Status < FirstRedirect;
  if (Success && !m_Answer.m_Signed)
    return AttemptEnd::Garbled;
  if (m_Cutter.isPartial())
    return AttemptEnd::Broken;
  return AttemptEnd::Complete;
}

void ForwardCall::endAttempt(AttemptEnd End) {
  if (!m_Active)
    return;
  m_Active = false;
  ServerPool &Pool = m_Front.m_Parts.m_Pool;
  Pool.end(m_Server, m_UnreadPrompt);
  m_UnreadPrompt = 0;
  const base::Millis Latency =
      m_Facts.m_Route->m_Stream ? base::Millis(0) : now() - m_SentAt;
  Pool.note(m_Server, outcomeOf(End), Latency, now());
}

void ForwardCall::attemptEnded(AttemptEnd End) {
  if (m_Finished)
    return;
  endAttempt(End);
  if (End != AttemptEnd::Complete)
    m_Front.m_Parts.m_Events.record(
        base::EventId::AttemptEnded,
        {{"request", m_Facts.m_Request.m_Id},
         {"server", m_Server},
         {"attempt", number(m_Flow.attempts())},
         {"end", std::string(name(End))},
         {"status", number(m_HasHead ? m_Head.m_Status : 0)},
         {"ms", number((now() - m_SentAt).count())},
         {"last_event", m_Cutter.lastId()},
         {"why", m_LastEnd}});
  const NextStep Next = m_Flow.attemptEnded(End, now(), [this] {
    return m_Front.m_Parts.m_Retries.take(m_Facts.m_Service, now());
  });
  step(Next, End);
}

void ForwardCall::step(NextStep Next, AttemptEnd End) {
  switch (Next) {
  case NextStep::PassOn:
    passWhole();
    return;
  case NextStep::Retry:
  case NextStep::Resume:
    m_Front.m_RetriesSent.add();
    startAttempt();
    return;
  case NextStep::Refuse:
    answerError(
        End == AttemptEnd::NotRun ? base::ResultCode::Overloaded
                                  : base::ResultCode::NoReplica,
        "no backend server took the request",
        std::max(RetryWithoutServer, m_Front.retryAfter(m_Facts.m_Service)));
    return;
  case NextStep::Fail:
    answerError(base::ResultCode::BackendFailed,
                "the backend server gave no whole answer: " +
                    std::string(name(End)),
                base::Millis(0));
    return;
  case NextStep::Abort:
    m_Front.m_Failed.add();
    finish(base::EventId::RequestFailed, m_Head.m_Status, "cut-off");
    m_Exchange->abort();
    return;
  }
}

void ForwardCall::passWhole() {
  if (m_HeadPassed) {
    m_Exchange->endStream();
  } else if (m_Facts.m_Route->m_Stream && m_Whole.empty() &&
             m_Head.m_Status < FirstErrorOfServer) {
    m_Exchange->startStream(m_Head.m_Status,
                            m_Front.m_Codec.m_PassHeaders(m_Head));
    m_Exchange->endStream();
  } else {
    m_Front.m_FirstByte.record(
        static_cast<double>((now() - m_Facts.m_Arrived).count()));
    m_Exchange->respond(m_Head.m_Status, m_Front.m_Codec.m_PassHeaders(m_Head),
                        m_Whole);
  }
  finish(base::EventId::RequestAnswered, m_Head.m_Status, "answered");
}

void ForwardCall::answerError(base::ResultCode Code, const std::string &Message,
                              base::Millis RetryAfter) {
  const base::Ran Ran =
      m_Flow.mayHaveRun() ? base::Ran::Unknown : base::Ran::No;
  const base::Error Why{Code, Message, RetryAfter};
  if (Ran == base::Ran::No)
    m_Front.m_Refused.add();
  else
    m_Front.m_Failed.add();
  const net::HttpResponse Reply =
      m_Front.m_Codec.m_EncodeError(Why, Ran, m_Facts.m_Request.m_Id);
  finish(Ran == base::Ran::No ? base::EventId::RequestRefused
                              : base::EventId::RequestFailed,
         Reply.m_Status, base::info(Code).m_Name);
  m_Exchange->respond(Reply);
}

void ForwardCall::callerGone() {
  if (m_Finished)
    return;
  m_Cancel.cancel();
  if (m_Active) {
    m_Active = false;
    m_Front.m_Parts.m_Pool.end(m_Server, m_UnreadPrompt);
  }
  m_Front.m_Parts.m_Gate.leave(m_Facts.m_Service, m_Facts.m_Token);
  finish(base::EventId::RequestFailed, 0, "caller-gone");
}

void ForwardCall::timeUp() {
  m_Cancel.cancel();
  m_Front.m_Parts.m_Gate.leave(m_Facts.m_Service, m_Facts.m_Token);
  const bool Sent = m_Active;
  if (m_Active) {
    m_Active = false;
    m_Front.m_Parts.m_Pool.end(m_Server, m_UnreadPrompt);
    m_Front.m_Parts.m_Pool.note(m_Server, ServerOutcome::Failed,
                                base::Millis(0), now());
  }
  if (m_HeadPassed) {
    step(NextStep::Abort, AttemptEnd::Silent);
    return;
  }
  if (!Sent && !m_Flow.mayHaveRun()) {
    answerError(base::ResultCode::DeadlineTooShort,
                "the caller's time passed before a server had a place",
                RetryWithoutServer);
    return;
  }
  m_LastEnd = "time is up";
  m_Front.m_Failed.add();
  const net::HttpResponse Reply = m_Front.m_Codec.m_EncodeError(
      {base::ResultCode::DeadlineExceeded, "no answer in time", {}},
      base::Ran::Unknown, m_Facts.m_Request.m_Id);
  finish(base::EventId::RequestFailed, Reply.m_Status, "deadline-exceeded");
  m_Exchange->respond(Reply);
}

base::Millis ForwardCall::silenceBound() const {
  if (m_Flow.terms().m_Repeat == RepeatPolicy::AtMostOnce)
    return m_Facts.m_Due;
  if (m_Facts.m_Route->m_Stream)
    return m_LastByte + StreamSilence;
  return m_LastByte + std::max(LeastSilence, m_Facts.m_Route->m_TargetLatency *
                                                 SilenceInTargets);
}

void ForwardCall::armTimer() {
  if (m_Finished)
    return;
  base::Millis At = m_Facts.m_Due;
  if (m_Active)
    At = std::min(At, std::max(silenceBound(), now() + SilenceCheck));
  const base::Millis Wait = std::max(At - now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Code) {
        const auto Locked = Self.lock();
        if (Code || !Locked || Locked->m_Finished)
          return;
        if (Locked->now() >= Locked->m_Facts.m_Due)
          Locked->timeUp();
        else
          Locked->checkSilence();
      });
}

void ForwardCall::checkSilence() {
  const bool Silent = m_Active && now() >= silenceBound();
  const bool MayMove = Silent &&
                       m_Flow.attempts() < m_Flow.terms().m_MaxAttempts &&
                       m_Flow.terms().m_Repeat != RepeatPolicy::AtMostOnce &&
                       (!m_Facts.m_Route->m_Stream ||
                        m_Front.othersProgress(m_Facts.m_Service, m_Server));
  if (MayMove && m_Front.m_Parts.m_Retries.take(m_Facts.m_Service, now())) {
    m_Cancel.cancel();
    m_LastEnd = "silent";
    endAttempt(AttemptEnd::Silent);
    step(m_Flow.attemptEnded(AttemptEnd::Silent, now(), [] { return true; }),
         AttemptEnd::Silent);
    return;
  }
  armTimer();
}

void ForwardCall::finish(base::EventId Event, int Status,
                         std::string_view Outcome) {
  m_Finished = true;
  m_Timer.cancel();
  const base::Millis Now = now();
  const base::Millis Waited =
      (m_Waiting ? Now : std::max(m_WentAt, m_Facts.m_Arrived)) -
      m_Facts.m_Arrived;
  m_Front.m_Total.record(
      static_cast<double>((Now - m_Facts.m_Arrived).count()));
  const auto Room = m_Front.room(m_Facts.m_Service);
  m_Front.m_Parts.m_Events.record(
      Event, {{"request", m_Facts.m_Request.m_Id},
              {"outcome", std::string(Outcome)},
              {"status", number(Status)},
              {"route", m_Facts.m_Route->m_Name},
              {"config", number(static_cast<std::int64_t>(
                             m_Facts.m_Routes->configuration().m_Version))},
              {"service", m_Facts.m_Service},
              {"server", m_Server},
              {"attempts", number(m_Flow.attempts())},
              {"waited_ms", number(Waited.count())},
              {"ms", number((Now - m_Facts.m_Arrived).count())},
              {"in_flight", number(Room.m_InFlight)},
              {"places", number(Room.m_Capacity)},
              {"why", m_LastEnd}});
  const auto Self = shared_from_this();
  m_Front.callEnded(m_Facts.m_Token, m_Facts.m_Service);
}

} // namespace corneldeck::direct

#include "Direct/ForwardedRequest.h"

#include "Base/Format.h"
#include "Direct/RetryAfter.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <sstream>

namespace corneldeck::direct {

namespace {

/// Maximum size of a response that is buffered before it is forwarded.
constexpr std::size_t MaxBufferedBytes = 8 * net::MiB;
/// Number of bytes of a response without a signature that are read, so that its
/// connection can be reused.
constexpr std::size_t MaxDiscardedBytes = 64 * net::KiB;
constexpr int FirstServerErrorStatus = 500;
constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;
/// Timeout for the next event of a stream. Callers abandon a stream after two
/// seconds without an event, so it has to be resumed elsewhere before that.
constexpr base::Millis StreamTimeout{1300};
/// Timeout of a response that is not a stream, as a multiple of the route's
/// target latency; afterwards another server is tried.
constexpr std::int64_t SilenceTimeoutFactor = 2;
constexpr base::Millis MinSilenceTimeout{400};
/// Shortest interval between two checks for a silent attempt.
constexpr base::Millis SilenceCheckInterval{200};
/// Shortest retry-after time when no server was available.
constexpr base::Millis NoServerRetryAfter{600};

/// A server that has written events for this long did not end because of the
/// request.
constexpr base::Millis MinServingTime{250};
/// Time in which the other entries learn of a trial before it is sent.
constexpr base::Millis TrialAnnouncementTime{800};
/// Retry-after time if another entry makes the trial.
constexpr base::Millis OtherTrialRetryAfter{3000};
/// Maximum number of parts of a prompt in a line of the log.
constexpr std::size_t MaxLoggedParts = 8;

/// Formats parts of a prompt for the log.
std::string formatParts(const std::vector<std::uint64_t> &Parts) {
  std::ostringstream Out;
  Out << std::hex;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (Index == MaxLoggedParts) {
      Out << ",...";
      break;
    }
    Out << (Index == 0 ? "" : ",") << Parts[Index];
  }
  return Out.str();
}

std::string formatNumber(std::int64_t Value) { return std::to_string(Value); }

bool isSuccess(int Status) {
  return Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
}

/// Returns the media type of the body in lower case, without parameters.
std::string mediaType(const net::HttpResponseHead &Head) {
  std::string_view Type = net::findHeader(Head.m_Headers, "Content-Type");
  Type = Type.substr(0, Type.find(';'));
  while (Type.ends_with(' '))
    Type.remove_suffix(1);
  std::string Lower(Type);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Character) {
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(Character)));
  });
  return Lower;
}

} // namespace

ForwardedRequest::ForwardedRequest(RequestForwarder &Forwarder,
                                   std::shared_ptr<net::HttpExchange> Exchange,
                                   Parameters Given)
    : m_Forwarder(Forwarder), m_Exchange(std::move(Exchange)),
      m_Parameters(std::move(Given)), m_Tracker([this] {
        AttemptTracker::Limits Limits;
        Limits.m_RetryPolicy = m_Parameters.m_Route->m_RetryPolicy;
        Limits.m_MaxAttempts =
            std::max(1U, m_Parameters.m_Route->m_MaxAttempts);
        Limits.m_Deadline = m_Parameters.m_Deadline;
        return Limits;
      }()),
      m_Body(std::make_shared<const std::string>(m_Exchange->takeBody())),
      m_Timer(Forwarder.m_Dependencies.m_Context),
      m_TrialTimer(Forwarder.m_Dependencies.m_Context) {}

void ForwardedRequest::watchCaller() {
  m_Exchange->onClosed([Self = weak_from_this()] {
    if (const auto Locked = Self.lock())
      Locked->onCallerClosed();
  });
  armTimer();
}

void ForwardedRequest::start() {
  m_Queued = false;
  m_AdmittedAt = now();
  m_Forwarder.m_AdmissionWait.record(
      static_cast<double>((m_AdmittedAt - m_Parameters.m_ArrivalTime).count()));
  startAttempt();
}

void ForwardedRequest::refuseOverloaded() {
  const auto Usage = m_Forwarder.usage(m_Parameters.m_Service);
  if (Usage.isEvacuated())
    m_LastFailure = "all backend servers are in evacuated zones";
  else if (Usage.isUnwanted())
    m_LastFailure = "all backend servers leave or want no requests for now";
  else
    m_LastFailure = Usage.isRateLimited()
                        ? Usage.m_ColdServers > 0
                              ? "all backend servers are cold or at their rate "
                                "limit"
                              : "all backend servers are at their rate limit"
                        : "all backend servers are at capacity";
  sendError(
      base::ResultCode::Overloaded, m_LastFailure,
      m_Forwarder.retryAfter(m_Parameters.m_Service, m_Parameters.m_Priority));
}

void ForwardedRequest::refuseUnavailable() {
  m_LastFailure = "the rank group is closed";
  sendError(base::ResultCode::NoReplica,
            "the rank group of the service has lost a rank",
            m_Forwarder.retryAfter(m_Parameters.m_Service));
}

void ForwardedRequest::refuseQuarantined(std::uint64_t Part,
                                         base::Millis RetryAfter) {
  m_Forwarder.m_Quarantined.add();
  m_LastFailure =
      "part " + formatParts({Part}) + " of the prompt is in quarantine";
  sendError(base::ResultCode::RequestQuarantined,
            "several backend servers ended under requests with part " +
                formatParts({Part}) + " of this prompt",
            RetryAfter);
}

void ForwardedRequest::beginTrial(std::uint64_t Part) {
  m_TriedPart = Part;
  m_TrialTimer.expires_after(
      std::chrono::milliseconds(TrialAnnouncementTime.count()));
  m_TrialTimer.async_wait(
      [Weak = weak_from_this(), Part](const boost::system::error_code &Code) {
        const auto Self = Weak.lock();
        if (Code || !Self || Self->m_Finished)
          return;
        const std::string &Service = Self->m_Parameters.m_Service;
        PromptQuarantine &Quarantine =
            Self->m_Forwarder.m_Dependencies.m_Quarantine;
        if (Quarantine.confirmTrial(Service, Part))
          Self->m_Forwarder.admit(*Self);
        else
          Self->refuseQuarantined(Part, OtherTrialRetryAfter);
      });
}

void ForwardedRequest::stopQuarantined(std::uint64_t Part) {
  if (m_Finished || m_TriedPart == Part)
    return;
  if (m_AttemptActive) {
    if (m_HasHead)
      return;
    m_Cancel.cancel();
    m_LastFailure =
        "part " + formatParts({Part}) + " of the prompt is in quarantine";
    attemptEnded(AttemptOutcome::Withdrawn);
    return;
  }
  if (!m_Queued)
    return;
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Parameters.m_Service,
                                                     m_Parameters.m_Token);
  const auto Decision = m_Forwarder.m_Dependencies.m_Quarantine.check(
      m_Parameters.m_Service, m_Parameters.m_Request.m_PromptParts, now(),
      false);
  refuseQuarantined(Part, Decision.m_RetryAfter);
}

void ForwardedRequest::startAttempt() {
  const base::Millis Now = now();
  ServerPool &Pool = m_Forwarder.m_Dependencies.m_Pool;
  const bool IsFirst = m_Tracker.attempts() == 0;
  if (IsFirst &&
      !m_Forwarder.m_ShutdownPolicy.accepts(Now, m_Parameters.m_Deadline)) {
    refuseStopping();
    return;
  }
  const auto Decision = m_Forwarder.m_Dependencies.m_Quarantine.check(
      m_Parameters.m_Service, m_Parameters.m_Request.m_PromptParts, Now, false);
  if (Decision.m_Verdict == PromptQuarantine::Verdict::Refused &&
      m_TriedPart != Decision.m_Part) {
    if (!m_Tracker.mayHaveRun()) {
      refuseQuarantined(Decision.m_Part, Decision.m_RetryAfter);
      return;
    }
    m_LastFailure = "part " + formatParts({Decision.m_Part}) +
                    " of the prompt is in quarantine";
    perform(m_Tracker.noServerAvailable(), AttemptOutcome::Withdrawn);
    return;
  }
  const BackendServer *Chosen =
      Pool.chooseServer(m_Parameters.m_Service, m_TriedServers, Now,
                        m_Forwarder.m_Dependencies.m_Rng);
  if (!Chosen) {
    m_LastFailure = "no-server";
    perform(m_Tracker.noServerAvailable(), AttemptOutcome::NotConnected);
    return;
  }
  m_Server = Chosen->m_Id;
  m_ServerAddress = Chosen->m_Address;
  m_ServerStartTime = Pool.notices().startTime(m_Server);
  m_TriedServers.push_back(m_Server);
  m_Tracker.attemptSent();
  m_UnprocessedPromptTokens = m_Parameters.m_Request.m_PromptTokens;
  Pool.attemptStarted(m_Server, m_UnprocessedPromptTokens, Now);
  m_AttemptActive = true;
  m_HasHead = false;
  m_FirstEventAt.reset();
  m_ResponseInfo = {};
  releaseBody();
  m_EventSplitter.beginAttempt();
  m_SentAt = Now;
  m_LastByteAt = Now;

  AttemptMetadata Metadata;
  Metadata.m_ServerId = m_Server;
  Metadata.m_Customer = m_Parameters.m_Customer;
  Metadata.m_TimeLeft = m_Parameters.m_Deadline - Now;
  Metadata.m_LastEventId = m_EventSplitter.lastEventId();
  net::HttpCall Call;
  Call.m_Method = m_Exchange->method();
  Call.m_Target = m_Exchange->target();
  Call.m_Address = Chosen->m_Address;
  Call.m_Host = m_Parameters.m_Request.m_Host;
  Call.m_Headers = m_Forwarder.m_Codec.m_EncodeRequest(*m_Exchange, Metadata);
  Call.m_SharedBody = m_Body;
  Call.m_Timeout = base::Millis(0);
  Call.m_NeedsNewConnection = m_WasSilent;

  const auto Self = shared_from_this();
  net::HttpCallbacks Hooks;
  Hooks.m_IsExpectedResponse = [Self](const net::HttpResponseHead &Head) {
    return Self->m_Forwarder.m_Codec.m_MatchesRequest(
        Head, Self->m_Parameters.m_Request.m_Id);
  };
  // The zone may be evacuated while the connection is established.
  Hooks.m_MaySend = [Self] {
    return !Self->m_Forwarder.m_Dependencies.m_Pool.isEvacuated(Self->m_Server);
  };
  Hooks.m_OnHead = [Self](const net::HttpResponseHead &Head) {
    Self->onResponseHead(Head);
  };
  Hooks.m_OnData = [Self](std::string_view Data) {
    Self->onResponseData(Data);
  };
  Hooks.m_OnEnd = [Self](const base::Result<void> &Result) {
    Self->onResponseEnd(Result);
  };
  m_Cancel = m_Forwarder.m_Dependencies.m_Client.request(std::move(Call),
                                                         std::move(Hooks));
  armTimer();
}

void ForwardedRequest::onResponseHead(const net::HttpResponseHead &Head) {
  m_HasHead = true;
  m_Head = Head;
  m_ResponseInfo = m_Forwarder.m_Codec.m_DecodeResponse(Head);
  m_LastByteAt = now();
  if (m_ResponseInfo.m_WrongServer)
    return;
  ServerPool &Pool = m_Forwarder.m_Dependencies.m_Pool;
  const bool IsAccepted = m_ResponseInfo.m_Signed && !m_ResponseInfo.m_NotRun;
  Pool.rateLimits().recordResponse(m_Server, m_ResponseInfo.m_RateLimit,
                                   IsAccepted, m_SentAt, now());
  Pool.notices().recordResponse(
      m_Server, m_ServerStartTime,
      {m_ResponseInfo.m_IsLeaving, m_ResponseInfo.m_Pause, IsAccepted},
      m_SentAt, now());
  if (IsAccepted)
    m_Forwarder.m_UnframedResponses.recordResponse(
        {m_Server, m_ServerStartTime}, m_SentAt, now());
  const bool IsFailure =
      m_ResponseInfo.m_NotRun || m_Head.m_Status >= FirstServerErrorStatus;
  if (m_HeadForwarded && !IsFailure && !continuesStream()) {
    m_LastFailure = "the response does not continue the stream";
    m_Cancel.cancel();
    attemptEnded(AttemptOutcome::Garbled);
  }
}

bool ForwardedRequest::continuesStream() const {
  return isSuccess(m_Head.m_Status) && m_ResponseInfo.m_Signed &&
         mediaType(m_Head) == m_MediaType;
}

void ForwardedRequest::onResponseData(std::string_view Data) {
  m_LastByteAt = now();
  m_Forwarder.recordProgress(m_Parameters.m_Service, m_Server);
  const bool IsEventStream = m_Parameters.m_Route->m_Stream &&
                             isSuccess(m_Head.m_Status) &&
                             m_ResponseInfo.m_Signed;
  if (IsEventStream) {
    const auto Complete = m_EventSplitter.append(Data);
    if (!Complete) {
      m_Cancel.cancel();
      attemptEnded(AttemptOutcome::Garbled);
      return;
    }
    if (!Complete->empty())
      forwardEvents(*Complete);
    holdResponse(m_EventSplitter.partialBytes());
    return;
  }
  // No caller gets it, whatever follows.
  if (isSuccess(m_Head.m_Status) && !m_ResponseInfo.m_Signed) {
    m_DiscardedBytes += Data.size();
    if (m_DiscardedBytes > MaxDiscardedBytes)
      endResponse("the response has no signature");
    return;
  }
  const std::size_t Size = m_ResponseBody.size() + Data.size();
  if (Size > MaxBufferedBytes) {
    endResponse("the response is too large to be buffered: " +
                formatNumber(static_cast<std::int64_t>(Size)) + " bytes");
    return;
  }
  m_ResponseBody.append(Data);
  holdResponse(m_ResponseBody.capacity());
}

void ForwardedRequest::holdResponse(std::size_t Bytes) {
  if (!m_Finished && m_AttemptActive &&
      !m_Forwarder.holdResponse(m_Parameters.m_Token, m_Server, Bytes))
    cutOffResponse();
}

void ForwardedRequest::cutOffResponse() {
  endResponse("all responses together exceed the memory for them, and this one "
              "is the largest of the server that holds most");
}

void ForwardedRequest::endResponse(const std::string &Why) {
  m_Cancel.cancel();
  releaseBody();
  m_EventSplitter.beginAttempt();
  m_LastFailure = Why;
  attemptEnded(AttemptOutcome::Garbled);
}

void ForwardedRequest::releaseBody() {
  m_Forwarder.m_ResponseMemory.remove(m_Parameters.m_Token);
  // Assigning an empty string would keep the memory.
  std::string().swap(m_ResponseBody);
  m_DiscardedBytes = 0;
}

void ForwardedRequest::forwardEvents(const std::string &Events) {
  if (!m_FirstEventAt)
    m_FirstEventAt = now();
  else if (now() - *m_FirstEventAt >= MinServingTime)
    recordServed();
  if (!m_HeadForwarded) {
    m_HeadForwarded = true;
    m_MediaType = mediaType(m_Head);
    m_Tracker.responseStarted();
    m_FirstEventDelay = now() - m_Parameters.m_ArrivalTime;
    m_Forwarder.m_FirstByte.record(
        static_cast<double>(m_FirstEventDelay.count()));
    m_Exchange->startStream(
        m_Head.m_Status, m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head));
  } else {
    const base::Millis Pause = now() - m_LastForwardedAt;
    m_LongestPause = std::max(m_LongestPause, Pause);
    m_LargestRatio =
        std::max(m_LargestRatio, m_Forwarder.recordEventInterval(
                                     m_Parameters.m_Service, m_Server, Pause));
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

void ForwardedRequest::onResponseEnd(const base::Result<void> &Result) {
  if (!Result)
    m_LastFailure = Result.error().m_Message;
  attemptEnded(classify(Result));
}

AttemptOutcome
ForwardedRequest::classify(const base::Result<void> &Result) const {
  if (!Result) {
    switch (Result.error().m_Code) {
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
  if (m_Head.m_Status >= FirstServerErrorStatus)
    return AttemptOutcome::ServerError;
  if (isSuccess(m_Head.m_Status) && !m_ResponseInfo.m_Signed)
    return AttemptOutcome::Garbled;
  if (m_EventSplitter.hasPartialEvent() || endedBeforeFirstEvent())
    return AttemptOutcome::Broken;
  return AttemptOutcome::Complete;
}

bool ForwardedRequest::endedBeforeFirstEvent() const {
  return m_Parameters.m_Route->m_Stream && isSuccess(m_Head.m_Status) &&
         !m_FirstEventAt && isUnframed();
}

bool ForwardedRequest::isUnframed() const {
  return net::findHeader(m_Head.m_Headers, "Content-Length").empty() &&
         net::findHeader(m_Head.m_Headers, "Transfer-Encoding").empty();
}

void ForwardedRequest::answerBeforeExit() {
  if (m_Finished || m_HeadForwarded)
    return;
  m_Cancel.cancel();
  if (m_AttemptActive) {
    m_Tracker.recordPossibleRun();
    releaseAttempt(AttemptOutcome::Withdrawn);
  }
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Parameters.m_Service,
                                                     m_Parameters.m_Token);
  refuseStopping();
}

void ForwardedRequest::refuseStopping() {
  m_LastFailure = "this entry is stopping";
  sendError(m_Tracker.mayHaveRun() ? base::ResultCode::BackendFailed
                                   : base::ResultCode::NotReady,
            "this entry is stopping; retry at another entry",
            m_Tracker.mayHaveRun() ? base::Millis(0)
                                   : m_Forwarder.stoppingRetryAfter());
}

void ForwardedRequest::releaseAttempt(AttemptOutcome Outcome) {
  if (!m_AttemptActive)
    return;
  m_AttemptActive = false;
  ServerPool &Pool = m_Forwarder.m_Dependencies.m_Pool;
  Pool.attemptEnded(m_Server, m_UnprocessedPromptTokens);
  m_UnprocessedPromptTokens = 0;
  if (Outcome == AttemptOutcome::Withdrawn)
    return;
  const base::Millis Latency =
      m_Parameters.m_Route->m_Stream ? base::Millis(0) : now() - m_SentAt;
  Pool.recordOutcome(m_Server, serverOutcome(Outcome), Latency, now());
}

void ForwardedRequest::attemptEnded(AttemptOutcome Outcome) {
  if (m_Finished)
    return;
  releaseAttempt(Outcome);
  if (Outcome != AttemptOutcome::Complete)
    m_Forwarder.m_Dependencies.m_Events.record(
        base::EventId::AttemptEnded,
        {{"request", m_Parameters.m_Request.m_Id},
         {"server", m_Server},
         {"attempt", formatNumber(m_Tracker.attempts())},
         {"end", std::string(name(Outcome))},
         {"status", formatNumber(m_HasHead ? m_Head.m_Status : 0)},
         {"ms", formatNumber((now() - m_SentAt).count())},
         {"last_event", m_EventSplitter.lastEventId()},
         {"parts", formatParts(m_Parameters.m_Request.m_PromptParts)},
         {"why", m_LastFailure}});
  if (Outcome == AttemptOutcome::Complete && isSuccess(m_Head.m_Status)) {
    if (isUnframed())
      checkUnframed();
    else
      recordServed();
  }
  if (!mayHaveEndedServer(Outcome)) {
    decide(Outcome);
    return;
  }
  // The request must not end another server while the check is under way.
  m_Tracker.recordPossibleRun();
  m_Forwarder.m_Dependencies.m_ServerEnds.connectionBroken(
      {m_Server, m_ServerStartTime}, m_ServerAddress,
      [Self = shared_from_this(), Outcome](ServerLife Life) {
        Self->serverChecked(Outcome, Life);
      });
}

void ForwardedRequest::decide(AttemptOutcome Outcome) {
  const NextAction Next = m_Tracker.attemptEnded(Outcome, now(), [this] {
    return m_Forwarder.m_Dependencies.m_RetryBudget.tryAcquire(
        m_Parameters.m_Service, now());
  });
  perform(Next, Outcome);
}

void ForwardedRequest::recordServed() {
  if (m_IsServedRecorded)
    return;
  m_IsServedRecorded = true;
  m_Forwarder.m_Dependencies.m_Quarantine.recordServed(
      m_Parameters.m_Service, m_Parameters.m_Request.m_PromptParts, now());
}

bool ForwardedRequest::hasBeenServed() const {
  return m_FirstEventAt && now() - *m_FirstEventAt >= MinServingTime;
}

void ForwardedRequest::checkUnframed() {
  const PromptParts &Parts = m_Parameters.m_Request.m_PromptParts;
  if (m_IsServedRecorded || Parts.empty() ||
      m_Forwarder.m_Dependencies.m_Pool.isStopping(m_Server))
    return;
  // The caller gets the response at once: by the protocol it is complete, and
  // another attempt could end another server.
  m_Forwarder.m_Dependencies.m_ServerEnds.connectionClosed(
      {m_Server, m_ServerStartTime}, m_ServerAddress,
      [Self = shared_from_this(), EndedAt = now(),
       MayBeCause = !hasBeenServed()](ServerLife Life) {
        const Parameters &Given = Self->m_Parameters;
        const PromptParts &Prompt = Given.m_Request.m_PromptParts;
        if (Life == ServerLife::Ended)
          Self->recordServerEnded(
              Life, Self->m_Forwarder.m_Dependencies.m_Quarantine.isSuspect(
                        Given.m_Service, Prompt, Self->now()));
        Self->m_Forwarder.recordUnframed(
            {{Self->m_Server, Self->m_ServerStartTime},
             Given.m_Service,
             Prompt,
             EndedAt,
             Self->m_ServerAddress,
             MayBeCause},
            Life);
      });
}

bool ForwardedRequest::mayHaveEndedServer(AttemptOutcome Outcome) const {
  return Outcome == AttemptOutcome::Broken &&
         !m_Parameters.m_Request.m_PromptParts.empty() && !hasBeenServed() &&
         !m_Forwarder.m_Dependencies.m_Pool.isStopping(m_Server);
}

void ForwardedRequest::serverChecked(AttemptOutcome Outcome, ServerLife Life) {
  const PromptParts &Parts = m_Parameters.m_Request.m_PromptParts;
  PromptQuarantine &Quarantine = m_Forwarder.m_Dependencies.m_Quarantine;
  const bool IsSuspect =
      Quarantine.isSuspect(m_Parameters.m_Service, Parts, now());
  recordServerEnded(Life, IsSuspect);
  if (Life == ServerLife::Ended)
    Quarantine.recordEnd({m_Server, m_ServerStartTime}, m_Parameters.m_Service,
                         Parts, now());
  if (m_Finished)
    return;
  const bool MayBeCause =
      Life == ServerLife::Ended && IsSuspect && !m_FirstEventAt;
  decide(MayBeCause ? AttemptOutcome::ServerEnded : Outcome);
}

void ForwardedRequest::recordServerEnded(ServerLife Life, bool IsSuspect) {
  m_Forwarder.m_Dependencies.m_Events.record(
      base::EventId::ServerEnded,
      {{"request", m_Parameters.m_Request.m_Id},
       {"service", m_Parameters.m_Service},
       {"server", m_Server},
       {"start_time", std::to_string(m_ServerStartTime)},
       {"life", std::string(name(Life))},
       {"begun", m_HasHead ? "yes" : "no"},
       {"events", m_FirstEventAt ? "yes" : "no"},
       {"suspect", IsSuspect ? "yes" : "no"},
       {"parts", formatParts(m_Parameters.m_Request.m_PromptParts)}});
}

void ForwardedRequest::perform(NextAction Next, AttemptOutcome Outcome) {
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
    sendError(Outcome == AttemptOutcome::NotRun ? base::ResultCode::Overloaded
                                                : base::ResultCode::NoReplica,
              "no backend server accepted the request",
              std::max(noServerRetryAfter(),
                       m_Forwarder.retryAfter(m_Parameters.m_Service)));
    return;
  case NextAction::Fail:
    sendError(base::ResultCode::BackendFailed,
              "no complete response from the backend server: " +
                  std::string(name(Outcome)),
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
  } else if (m_Parameters.m_Route->m_Stream && m_ResponseBody.empty() &&
             m_Head.m_Status < FirstServerErrorStatus) {
    m_Exchange->startStream(
        m_Head.m_Status, m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head));
    m_Exchange->endStream();
  } else {
    m_Forwarder.m_FirstByte.record(
        static_cast<double>((now() - m_Parameters.m_ArrivalTime).count()));
    m_Exchange->respond(m_Head.m_Status,
                        m_Forwarder.m_Codec.m_FilterResponseHeaders(m_Head),
                        m_ResponseBody);
  }
  finish(base::EventId::RequestAnswered, m_Head.m_Status, "answered");
}

base::Millis ForwardedRequest::noServerRetryAfter() const {
  return randomizedRetryAfter(NoServerRetryAfter,
                              m_Forwarder.m_Dependencies.m_Rng);
}

void ForwardedRequest::sendError(base::ResultCode Code,
                                 const std::string &Message,
                                 base::Millis RetryAfter) {
  const base::Ran Ran =
      m_Tracker.mayHaveRun() ? base::Ran::Unknown : base::Ran::No;
  const base::Error Cause{Code, Message, RetryAfter};
  if (Ran == base::Ran::No)
    m_Forwarder.m_Refused.add();
  else
    m_Forwarder.m_Failed.add();
  const net::HttpResponse Reply = m_Forwarder.m_Codec.m_EncodeError(
      Cause, Ran, m_Parameters.m_Request.m_Id);
  finish(Ran == base::Ran::No ? base::EventId::RequestRefused
                              : base::EventId::RequestFailed,
         Reply.m_Status, base::info(Code).m_Name);
  m_Exchange->respond(Reply);
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
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Parameters.m_Service,
                                                     m_Parameters.m_Token);
  finish(base::EventId::RequestFailed, 0, "caller-gone");
}

void ForwardedRequest::deadlineReached() {
  m_Cancel.cancelOverdue();
  m_Forwarder.m_Dependencies.m_AdmissionQueue.remove(m_Parameters.m_Service,
                                                     m_Parameters.m_Token);
  const bool Active = m_AttemptActive;
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
  if (!Active && !m_Tracker.mayHaveRun()) {
    sendError(base::ResultCode::DeadlineTooShort,
              "the deadline passed before a backend server had capacity",
              noServerRetryAfter());
    return;
  }
  m_LastFailure = "the deadline has passed";
  m_Forwarder.m_Failed.add();
  const net::HttpResponse Reply = m_Forwarder.m_Codec.m_EncodeError(
      {base::ResultCode::DeadlineExceeded,
       "no response before the deadline",
       {}},
      base::Ran::Unknown, m_Parameters.m_Request.m_Id);
  finish(base::EventId::RequestFailed, Reply.m_Status, "deadline-exceeded");
  m_Exchange->respond(Reply);
}

base::Millis ForwardedRequest::silenceDeadline() const {
  if (m_Tracker.limits().m_RetryPolicy == RetryPolicy::AtMostOnce)
    return m_Parameters.m_Deadline;
  if (m_Parameters.m_Route->m_Stream)
    return m_LastByteAt + StreamTimeout;
  return m_LastByteAt +
         std::max(MinSilenceTimeout,
                  m_Parameters.m_Route->m_TargetLatency * SilenceTimeoutFactor);
}

void ForwardedRequest::armTimer() {
  if (m_Finished)
    return;
  base::Millis Expiry = m_Parameters.m_Deadline;
  if (m_AttemptActive)
    Expiry = std::min(
        Expiry, std::max(silenceDeadline(), now() + SilenceCheckInterval));
  const base::Millis Wait = std::max(Expiry - now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Code) {
        const auto Locked = Self.lock();
        if (Code || !Locked || Locked->m_Finished)
          return;
        if (Locked->now() >= Locked->m_Parameters.m_Deadline)
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
      (!m_Parameters.m_Route->m_Stream ||
       m_Forwarder.hasOtherProgress(m_Parameters.m_Service, m_Server));
  if (MayMove && m_Forwarder.m_Dependencies.m_RetryBudget.tryAcquire(
                     m_Parameters.m_Service, now())) {
    m_Cancel.cancelOverdue();
    m_WasSilent = true;
    m_LastFailure = "silent";
    releaseAttempt(AttemptOutcome::Silent);
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
  m_TrialTimer.cancel();
  releaseBody();
  if (m_LargestRatio > 0)
    m_Forwarder.m_GroupCapacity.recordStream(m_Parameters.m_Service, m_Server,
                                             m_LargestRatio);
  const base::Millis Now = now();
  const base::Millis Waited =
      (m_Queued ? Now : std::max(m_AdmittedAt, m_Parameters.m_ArrivalTime)) -
      m_Parameters.m_ArrivalTime;
  m_Forwarder.m_RequestDuration.record(
      static_cast<double>((Now - m_Parameters.m_ArrivalTime).count()));
  const auto Usage = m_Forwarder.usage(m_Parameters.m_Service);
  const auto Limit =
      m_Forwarder.m_Dependencies.m_Pool.rateTokens().limit(m_Server);
  m_Forwarder.m_Dependencies.m_Events.record(
      Event,
      {{"request", m_Parameters.m_Request.m_Id},
       {"outcome", std::string(Outcome)},
       {"status", formatNumber(Status)},
       {"route", m_Parameters.m_Route->m_Name},
       {"config", formatNumber(static_cast<std::int64_t>(
                      m_Parameters.m_Routes->configuration().m_Version))},
       {"service", m_Parameters.m_Service},
       {"server", m_Server},
       {"attempts", formatNumber(m_Tracker.attempts())},
       {"waited_ms", formatNumber(Waited.count())},
       {"first_ms", formatNumber(m_FirstEventDelay.count())},
       {"pause_ms", formatNumber(m_LongestPause.count())},
       {"ms", formatNumber((Now - m_Parameters.m_ArrivalTime).count())},
       {"in_flight", formatNumber(Usage.m_InFlight)},
       {"places", formatNumber(Usage.totalCapacity())},
       {"limited_servers", formatNumber(Usage.m_LimitedServers)},
       {"cold_servers", formatNumber(Usage.m_ColdServers)},
       {"evacuated_servers", formatNumber(Usage.m_EvacuatedServers)},
       {"server_limit", Limit ? base::formatDecimal(*Limit) : std::string()},
       {"class", formatNumber(m_Parameters.m_Priority)},
       {"customer", m_Parameters.m_Customer},
       {"class_use",
        Event == base::EventId::RequestRefused
            ? m_Forwarder.m_ClassReport.recordRefusal(
                  m_Parameters.m_Service, m_Parameters.m_Priority, Usage, Now)
            : std::string()},
       {"why", m_LastFailure}});
  const auto Self = shared_from_this();
  m_Forwarder.requestEnded(m_Parameters.m_Token, m_Parameters.m_Service);
}

} // namespace corneldeck::direct

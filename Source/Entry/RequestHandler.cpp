#include "Entry/RequestHandler.h"

#include "Claims/ClaimKey.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::entry {

using base::ResultCode;

namespace {

constexpr base::Millis NoReplicaRetryAfter{500};
constexpr base::Millis NotReadyRetryAfter = base::seconds(1);
constexpr base::Millis HomeUnavailableRetryAfter = base::seconds(1);
constexpr int HttpOk = 200;
/// Interval of the check for expired queued requests.
constexpr std::chrono::milliseconds QueueCheckInterval{20};

std::string attemptId(const std::string &RequestId, std::uint32_t Attempt) {
  return RequestId + "/" + std::to_string(Attempt);
}

std::string requestIdOf(const std::string &AttemptId) {
  return AttemptId.substr(0, AttemptId.rfind('/'));
}

net::HttpHeaders outcomeHeaders(const std::string &RequestId,
                                const request::Outcome &Outcome) {
  net::HttpHeaders Headers{
      {std::string(net::ResultCodeHeader),
       std::to_string(static_cast<int>(Outcome.m_Code))},
      {std::string(net::RanHeader), std::string(base::name(Outcome.m_Ran))},
      {"X-Corneldeck-Request", RequestId},
      {"X-Corneldeck-Attempts", std::to_string(Outcome.m_Attempts)}};
  if (Outcome.m_Duplicate)
    Headers.push_back({"X-Corneldeck-Duplicate", "true"});
  if (!Outcome.m_ContentType.empty())
    Headers.push_back({"Content-Type", Outcome.m_ContentType});
  return Headers;
}

base::Error errorOf(const request::Outcome &Outcome) {
  const std::string_view Meaning = base::info(Outcome.m_Code).m_Meaning;
  return {Outcome.m_Code,
          Outcome.m_Message.empty() ? std::string(Meaning) : Outcome.m_Message,
          Outcome.m_RetryAfter};
}

/// \returns the server-sent event that reports an incomplete stream to the
/// caller.
std::string brokenStreamEvent(const request::Outcome &Outcome) {
  const base::Error Problem = errorOf(Outcome);
  const nlohmann::json Body = {
      {"error",
       {{"code", static_cast<int>(Outcome.m_Code)},
        {"name", base::name(Outcome.m_Code)},
        {"ran", base::name(Outcome.m_Ran)},
        {"message", Problem.m_Message},
        {"tokens", Outcome.m_Tokens},
        {"retry_after_ms", Outcome.m_RetryAfter.count()}}}};
  return "event: error\ndata: " +
         Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

} // namespace

RequestHandler::RequestHandler(boost::asio::io_context &Loop, std::string Node,
                               std::string Zone, std::uint64_t Incarnation,
                               std::uint32_t Entries, base::Timeline &Events,
                               metrics::Registry &Metrics)
    : m_Node(std::move(Node)), m_Zone(std::move(Zone)),
      m_Incarnation(Incarnation), m_Clock(base::steadyClock()),
      m_Events(Events),
      m_Links(Loop, m_Node, m_Zone, Incarnation, Events, linkHooks()),
      m_Limits(Entries, Incarnation), m_Timer(Loop), m_QueueTimer(Loop),
      m_Accepted(Metrics.counter("corneldeck_requests_accepted_total",
                                 "Requests admitted.")),
      m_Refused(Metrics.counter("corneldeck_requests_refused_total",
                                "Requests refused before an attempt.")),
      m_Failed(Metrics.counter("corneldeck_requests_failed_total",
                               "Requests answered with an error after an "
                               "attempt.")),
      m_Latency(
          Metrics.histogram("corneldeck_request_ms",
                            "Time from a request to its complete response.",
                            metrics::latencyBounds())) {
  Metrics.gauge("corneldeck_requests_in_flight", "Requests in flight.",
                [this] { return static_cast<double>(m_Active.size()); });
}

AgentLinksHooks RequestHandler::linkHooks() {
  AgentLinksHooks Hooks;
  Hooks.m_OnFrame = [this](const std::string &Agent,
                           const wire::LinkFrame &Frame) {
    onFrame(Agent, Frame);
  };
  Hooks.m_OnLoad = [this](const std::string &Agent, const wire::Load &Load) {
    for (auto &[Name, Service] : m_Services) {
      Service->onLoad(now(), Agent, Load);
      dispatch(*Service);
    }
  };
  Hooks.m_OnUp = [this](const std::string &Agent, std::uint64_t Incarnation) {
    for (auto &[Name, Service] : m_Services)
      Service->chooser().setReachable(Agent, true);
    forEachFlow([&](request::RequestFlow &Flow) {
      return Flow.onLinkUp(now(), Agent, Incarnation);
    });
  };
  Hooks.m_OnLost = [this](const std::string &Agent) {
    for (auto &[Name, Service] : m_Services)
      Service->chooser().setReachable(Agent, false);
    forEachFlow([&](request::RequestFlow &Flow) {
      return Flow.onLinkClosed(now(), Agent);
    });
  };
  return Hooks;
}

void RequestHandler::onView(const catalogue::ViewPtr &View, bool Ready) {
  m_View = View;
  m_Ready = Ready;
  for (const auto &[Name, Entry] : View->entries()) {
    std::shared_ptr<ServiceState> &Service = m_Services[Name];
    if (!Service)
      Service = std::make_shared<ServiceState>(m_Zone, m_Incarnation);
    Service->setEntry(Entry);
  }
  std::erase_if(m_Services, [&](const auto &Item) {
    return View->find(Item.first) == nullptr;
  });
  m_Limits.onView(now(), *View);
  m_Links.setView(*View);
  for (auto &[Name, Service] : m_Services)
    for (const std::string &Server : Service->servers()) {
      const auto State = m_Links.state(Server);
      Service->chooser().setReachable(Server, State && State->m_Alive);
    }
}

void RequestHandler::handle(
    const std::shared_ptr<net::HttpExchange> &Exchange) {
  if (!m_Ready) {
    const bool HadCatalogue = m_View != nullptr && m_View->offset() > 0;
    const ResultCode Code =
        HadCatalogue ? ResultCode::CatalogueTooOld : ResultCode::NotReady;
    refuse(*Exchange,
           {Code, std::string(base::info(Code).m_Meaning), NotReadyRetryAfter});
    return;
  }
  auto Request = readCallerRequest(*Exchange, *m_View, now(), base::wallTime());
  if (!Request) {
    refuse(*Exchange, Request.error());
    return;
  }
  const request::RequestSpec &Spec = Request->m_Spec;
  const double Tokens = Request->m_PromptTokens + Request->m_MaxTokens;
  if (auto Admitted =
          m_Limits.admit(now(), Spec.m_Service, Spec.m_Customer, Tokens);
      !Admitted) {
    refuse(*Exchange, Admitted.error());
    return;
  }
  begin(Exchange, std::move(*Request));
}

void RequestHandler::refuse(net::HttpExchange &Exchange,
                            const base::Error &Error) {
  m_Refused.add();
  // Only the key's home backend server knows whether an earlier request with
  // the key ran. A key that is not printable was never accepted.
  const std::string_view Key = Exchange.header(IdempotencyKeyHeader);
  const bool Keyed = !Key.empty() && net::isPrintable(Key);
  Exchange.respondWithError(Error, Keyed ? std::optional(base::Ran::Unknown)
                                         : std::nullopt);
}

void RequestHandler::begin(const std::shared_ptr<net::HttpExchange> &Exchange,
                           CallerRequest Request) {
  const std::string Id = m_Node + "-" + std::to_string(m_Incarnation) + "-" +
                         std::to_string(++m_LastRequest);
  Request.m_Spec.m_Id = Id;
  m_Accepted.add();
  m_Events.record(base::EventId::RequestAccepted,
                  {{"request", Id},
                   {"service", Request.m_Spec.m_Service},
                   {"customer", Request.m_Spec.m_Customer}});
  auto New = std::make_shared<ActiveRequest>();
  New->m_Exchange = Exchange;
  New->m_Service = m_Services.at(Request.m_Spec.m_Service);
  New->m_StartedAt = now();
  New->m_Query.m_PromptTokens = Request.m_PromptTokens;
  New->m_Query.m_OutputTokens = Request.m_MaxTokens;
  New->m_Flow = std::make_unique<request::RequestFlow>(
      std::move(Request.m_Spec), request::FlowSettings{}, flowHooks(New));
  New->m_Query.m_PrefixBlocks = New->m_Flow->spec().m_PrefixBlocks;
  m_Active[Id] = New;
  Exchange->onClosed([this, Weak = std::weak_ptr(New)] {
    const ActiveRequestPtr Abandoned = Weak.lock();
    if (Abandoned && Abandoned->m_Queued)
      cancelQueued(Abandoned);
    else if (Abandoned)
      execute(Abandoned, Abandoned->m_Flow->onCallerDisconnected(now()));
  });
  // A request with a key can run only at the home backend server of the key, so
  // it is not queued.
  if (New->m_Flow->spec().m_Key.empty()) {
    enqueue(New);
    return;
  }
  New->m_Service->budget().onFirstAttempt();
  execute(New, New->m_Flow->begin(now()));
}

void RequestHandler::enqueue(const ActiveRequestPtr &New) {
  const request::RequestSpec &Spec = New->m_Flow->spec();
  routing::DispatchRequest Query;
  Query.m_Id = attemptId(Spec.m_Id, 1);
  Query.m_Customer = Spec.m_Customer;
  Query.m_Class = Spec.m_Priority;
  Query.m_Deadline = Spec.m_Deadline;
  Query.m_PromptTokens = New->m_Query.m_PromptTokens;
  Query.m_PrefixBlocks = Spec.m_PrefixBlocks;
  New->m_Queued = true;
  const std::shared_ptr<ServiceState> Service = New->m_Service;
  const std::string Attempt = Query.m_Id;
  const admission::EnqueueResult Outcome =
      Service->dispatcher().enqueue(now(), std::move(Query));
  for (const admission::Refusal &Each : Outcome.m_Displaced)
    refuseQueued(Each.m_Request, Each.m_Error);
  if (Outcome.m_Refusal)
    refuseQueued(Attempt, *Outcome.m_Refusal);
  else
    dispatch(*Service);
  scheduleQueueCheck();
}

void RequestHandler::dispatch(ServiceState &Service) {
  for (routing::Dispatch &Each : Service.dispatcher().dispatchReady(now())) {
    const auto Found = m_Active.find(requestIdOf(Each.m_Request));
    if (Found == m_Active.end()) {
      Service.chooser().onAttemptEnded(now(), Each.m_Request, 0);
      continue;
    }
    const ActiveRequestPtr Request = Found->second;
    Request->m_Queued = false;
    Request->m_Dispatched = std::move(Each.m_Choice);
    Service.budget().onFirstAttempt();
    execute(Request, Request->m_Flow->begin(now()));
  }
}

void RequestHandler::refuseQueued(const std::string &Attempt,
                                  const base::Error &Error) {
  const auto Found = m_Active.find(requestIdOf(Attempt));
  if (Found == m_Active.end())
    return;
  const ActiveRequestPtr Request = Found->second;
  const std::string Id = Request->m_Flow->spec().m_Id;
  m_Refused.add();
  m_Events.record(
      base::EventId::RequestRefused,
      {{"request", Id}, {"code", std::string(base::name(Error.m_Code))}});
  m_Active.erase(Found);
  Request->m_Exchange->respondWithError(Error);
}

void RequestHandler::cancelQueued(const ActiveRequestPtr &Request) {
  const std::string Id = Request->m_Flow->spec().m_Id;
  Request->m_Service->dispatcher().cancel(now(), attemptId(Id, 1));
  m_Active.erase(Id);
}

void RequestHandler::scheduleQueueCheck() {
  if (std::exchange(m_QueueTimerArmed, true))
    return;
  m_QueueTimer.expires_after(QueueCheckInterval);
  m_QueueTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    m_QueueTimerArmed = false;
    if (Cancelled)
      return;
    bool AnyQueued = false;
    for (auto &[Name, Service] : m_Services) {
      for (const admission::Refusal &Each : Service->dispatcher().expire(now()))
        refuseQueued(Each.m_Request, Each.m_Error);
      dispatch(*Service);
      AnyQueued = AnyQueued || Service->dispatcher().queued() > 0;
    }
    if (AnyQueued)
      scheduleQueueCheck();
  });
}

request::FlowHooks
RequestHandler::flowHooks(const std::weak_ptr<ActiveRequest> &Request) {
  request::FlowHooks Hooks;
  Hooks.m_ChooseAgent = [this,
                         Request](base::Millis Now,
                                  const std::vector<std::string> &Excluded) {
    const ActiveRequestPtr Locked = Request.lock();
    return choose(*Locked, Now, Excluded);
  };
  Hooks.m_TryConsumeRetry = [Request] {
    const ActiveRequestPtr Locked = Request.lock();
    return Locked && Locked->m_Service->budget().tryConsumeRetry();
  };
  return Hooks;
}

base::Result<request::Target>
RequestHandler::choose(ActiveRequest &Request, base::Millis Now,
                       const std::vector<std::string> &Excluded) {
  const request::RequestSpec &Spec = Request.m_Flow->spec();
  if (!Spec.m_Key.empty()) {
    const std::string Home = claims::homeOf(
        claims::claimKey(Spec.m_Service, Spec.m_Customer, Spec.m_Key),
        Request.m_Service->servers());
    auto Found = target(Home);
    const bool Failed =
        std::find(Excluded.begin(), Excluded.end(), Home) != Excluded.end();
    if (Found && !Failed)
      return Found;
    return base::failure(ResultCode::ClaimHomeUnavailable,
                         "Backend server '" + Home +
                             "', the only one that may run this key, can't "
                             "be reached.",
                         HomeUnavailableRetryAfter);
  }
  if (Request.m_Dispatched) {
    const std::string Agent =
        std::exchange(Request.m_Dispatched, {})->m_Replica;
    return target(Agent);
  }
  routing::ChoiceQuery Query = Request.m_Query;
  Query.m_Excluded = {Excluded.begin(), Excluded.end()};
  const routing::Choice Choice = Request.m_Service->chooser().choose(
      Now, Query, routing::WaitPolicy::NoWait);
  if (Choice.m_Kind != routing::ChoiceKind::Chosen)
    return base::failure(ResultCode::NoReplica,
                         "No backend server of '" + Spec.m_Service +
                             "' can be reached.",
                         NoReplicaRetryAfter);
  auto Found = target(Choice.m_Replica);
  if (Found)
    Request.m_Service->chooser().onAttemptSent(
        Now, attemptId(Spec.m_Id, Request.m_Flow->lastAttempt() + 1), Choice,
        Spec.m_PrefixBlocks);
  return Found;
}

base::Result<request::Target>
RequestHandler::target(const std::string &Agent) const {
  const auto State = m_Links.state(Agent);
  if (!State || !State->m_Alive || !State->m_Time)
    return base::failure(ResultCode::NoReplica,
                         "Backend server '" + Agent + "' can't be reached.",
                         NoReplicaRetryAfter);
  return request::Target{Agent, State->m_Incarnation, *State->m_Time};
}

void RequestHandler::onFrame(const std::string &Agent,
                             const wire::LinkFrame &Frame) {
  const std::string *Id = nullptr;
  if (Frame.has_chunk())
    Id = &Frame.chunk().request();
  else if (Frame.has_end())
    Id = &Frame.end().request();
  else if (Frame.has_begun())
    Id = &Frame.begun().request();
  if (Id == nullptr)
    return;
  const auto Found = m_Active.find(*Id);
  if (Found == m_Active.end())
    return;
  const ActiveRequestPtr Request = Found->second;
  reportAttemptProgress(*Request, Frame);
  execute(Request, Request->m_Flow->onFrame(now(), Agent, Frame));
}

void RequestHandler::reportAttemptProgress(ActiveRequest &Request,
                                           const wire::LinkFrame &Frame) {
  const std::string &Id = Request.m_Flow->spec().m_Id;
  if (Frame.has_chunk())
    Request.m_Service->chooser().onFirstToken(
        attemptId(Id, Frame.chunk().attempt()));
  if (Frame.has_end())
    Request.m_Service->chooser().onAttemptEnded(
        now(), attemptId(Id, Frame.end().attempt()), Frame.end().tokens());
}

void RequestHandler::execute(const ActiveRequestPtr &Request,
                             const request::RequestFlow::Actions &Actions) {
  for (const request::FlowAction &Action : Actions) {
    if (const auto *Send = std::get_if<request::SendFrame>(&Action))
      send(*Request, *Send);
    else if (const auto *Chunk = std::get_if<request::DeliverChunk>(&Action))
      deliver(*Request, *Chunk);
    else if (const auto *End = std::get_if<request::Finish>(&Action))
      finish(Request, End->m_Outcome);
  }
  setTimer(Request);
}

void RequestHandler::send(ActiveRequest &Request,
                          const request::SendFrame &Action) {
  const std::string &Id = Request.m_Flow->spec().m_Id;
  if (Action.m_Frame.has_start()) {
    const wire::Start &Start = Action.m_Frame.start();
    base::EventId Event = base::EventId::AttemptSent;
    if (Start.attempt() > 1)
      Event = Start.resume_from() > 0 ? base::EventId::AttemptResumed
                                      : base::EventId::AttemptRetried;
    m_Events.record(Event, {{"request", Id},
                            {"attempt", std::to_string(Start.attempt())},
                            {"agent", Action.m_Agent}});
  } else if (Action.m_Frame.has_attach())
    m_Events.record(base::EventId::AttemptAttached,
                    {{"request", Id}, {"agent", Action.m_Agent}});
  else if (Action.m_Frame.has_cancel())
    m_Events.record(base::EventId::AttemptCancelled,
                    {{"request", Id}, {"agent", Action.m_Agent}});
  m_Links.send(Action.m_Agent, Action.m_Frame);
}

void RequestHandler::deliver(ActiveRequest &Request,
                             const request::DeliverChunk &Chunk) {
  if (!Request.m_StreamStarted) {
    Request.m_StreamStarted = true;
    Request.m_Exchange->startStream(
        HttpOk, {{"Content-Type", "text/event-stream"},
                 {"Cache-Control", "no-cache"},
                 {"X-Corneldeck-Request", Request.m_Flow->spec().m_Id}});
  }
  Request.m_Exchange->writeChunk(Chunk.m_Data);
}

void RequestHandler::finish(const ActiveRequestPtr &Request,
                            const request::Outcome &Outcome) {
  const std::string &Id = Request->m_Flow->spec().m_Id;
  for (std::uint32_t Number = 1; Number <= Request->m_Flow->lastAttempt();
       ++Number)
    Request->m_Service->chooser().onAttemptEnded(now(), attemptId(Id, Number),
                                                 0);
  const bool Ok = Outcome.m_Code == ResultCode::Ok;
  m_Events.record(Ok ? base::EventId::RequestAnswered
                     : base::EventId::RequestFailed,
                  {{"request", Id},
                   {"code", std::string(base::name(Outcome.m_Code))},
                   {"ran", std::string(base::name(Outcome.m_Ran))}});
  if (!Ok)
    m_Failed.add();
  m_Latency.record(static_cast<double>((now() - Request->m_StartedAt).count()));
  clearTimer(*Request);
  m_Active.erase(Id);
  sendResponse(*Request, Outcome);
  dispatch(*Request->m_Service);
}

void RequestHandler::sendResponse(ActiveRequest &Request,
                                  const request::Outcome &Outcome) {
  if (Request.m_StreamStarted) {
    endStream(Request, Outcome);
    return;
  }
  const request::RequestSpec &Spec = Request.m_Flow->spec();
  if (Outcome.m_Code != ResultCode::Ok) {
    net::HttpResponse Response =
        net::errorResponse(errorOf(Outcome), Outcome.m_Ran);
    Response.m_Headers.push_back({"X-Corneldeck-Request", Spec.m_Id});
    Request.m_Exchange->respond(Response);
    return;
  }
  const int Status = static_cast<int>(Outcome.m_HttpStatus);
  if (Spec.m_Stream && Status == HttpOk) {
    // A response without tokens is still a stream, with the final [DONE] event.
    deliver(Request, {});
    endStream(Request, Outcome);
    return;
  }
  Request.m_Exchange->respond(Status, outcomeHeaders(Spec.m_Id, Outcome),
                              Outcome.m_Body);
}

void RequestHandler::endStream(ActiveRequest &Request,
                               const request::Outcome &Outcome) {
  if (Outcome.m_Code != ResultCode::Ok)
    Request.m_Exchange->writeChunk(brokenStreamEvent(Outcome));
  else
    Request.m_Exchange->writeChunk(Outcome.m_Body + "data: [DONE]\n\n");
  Request.m_Exchange->endStream();
}

void RequestHandler::forEachFlow(
    const std::function<request::RequestFlow::Actions(request::RequestFlow &)>
        &Notify) {
  std::vector<ActiveRequestPtr> All;
  All.reserve(m_Active.size());
  for (const auto &[Id, Request] : m_Active)
    All.push_back(Request);
  for (const ActiveRequestPtr &Request : All)
    if (!Request->m_Flow->finished())
      execute(Request, Notify(*Request->m_Flow));
}

void RequestHandler::setTimer(const ActiveRequestPtr &Request) {
  clearTimer(*Request);
  const auto Next = Request->m_Flow->nextTimer();
  if (!Next || Request->m_Flow->finished())
    return;
  Request->m_TimerDue = *Next;
  m_Timers.emplace(*Next, Request->m_Flow->spec().m_Id);
  armTimer();
}

void RequestHandler::clearTimer(const ActiveRequest &Request) {
  m_Timers.erase({Request.m_TimerDue, Request.m_Flow->spec().m_Id});
}

void RequestHandler::armTimer() {
  if (m_Timers.empty())
    return;
  const base::Millis Next = m_Timers.begin()->first;
  const bool Armed =
      m_TimerArmedFor > base::Millis(0) && m_TimerArmedFor <= Next;
  if (Armed)
    return;
  m_TimerArmedFor = Next;
  const base::Millis Wait = std::max(Next - now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      onTimer();
  });
}

void RequestHandler::onTimer() {
  m_TimerArmedFor = base::Millis(0);
  while (!m_Timers.empty() && m_Timers.begin()->first <= now()) {
    const std::string Id = m_Timers.begin()->second;
    m_Timers.erase(m_Timers.begin());
    const auto Found = m_Active.find(Id);
    if (Found == m_Active.end())
      continue;
    const ActiveRequestPtr Request = Found->second;
    execute(Request, Request->m_Flow->onTimer(now()));
  }
  armTimer();
}

} // namespace corneldeck::entry

#include "Entry/RequestFront.h"

#include "Claims/ClaimKey.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::entry {

using base::ResultCode;

namespace {

constexpr base::Millis NoReplicaRetry{500};
constexpr base::Millis NotReadyRetry = base::seconds(1);
constexpr base::Millis HomeAwayRetry = base::seconds(1);
constexpr int HttpOk = 200;
/// How often queued requests are looked at without any other event.
constexpr std::chrono::milliseconds HousekeepingInterval{20};

std::string attemptName(const std::string &Request, std::uint32_t Number) {
  return Request + "/" + std::to_string(Number);
}

std::string requestOf(const std::string &Attempt) {
  return Attempt.substr(0, Attempt.rfind('/'));
}

net::HttpHeaders outcomeHeaders(const std::string &Request,
                                const request::Outcome &Outcome) {
  net::HttpHeaders Headers{
      {std::string(net::CodeHeader),
       std::to_string(static_cast<int>(Outcome.m_Code))},
      {std::string(net::RanHeader), std::string(base::name(Outcome.m_Ran))},
      {"X-Corneldeck-Request", Request},
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

/// The event that tells a caller that its stream is not whole.
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
  return "event: error\ndata: " + Body.dump() + "\n\n";
}

} // namespace

RequestFront::RequestFront(boost::asio::io_context &Loop, std::string Node,
                           std::string Zone, std::uint64_t Incarnation,
                           std::uint32_t Entries, base::Timeline &Events,
                           metrics::Registry &Metrics)
    : m_Node(std::move(Node)), m_Zone(std::move(Zone)),
      m_Incarnation(Incarnation), m_Clock(base::steadyClock()),
      m_Events(Events),
      m_Links(Loop, m_Node, m_Zone, Incarnation, Events, linkHooks()),
      m_Limits(Entries, Incarnation), m_Timer(Loop), m_Housekeeping(Loop),
      m_Accepted(Metrics.counter("corneldeck_requests_accepted_total",
                                 "Requests admitted.")),
      m_Refused(Metrics.counter("corneldeck_requests_refused_total",
                                "Requests refused before an attempt.")),
      m_Failed(Metrics.counter("corneldeck_requests_failed_total",
                               "Requests answered with an error after an "
                               "attempt.")),
      m_Latency(Metrics.histogram("corneldeck_request_ms",
                                  "Time from a request to its whole answer.",
                                  metrics::latencyBounds())) {
  Metrics.gauge("corneldeck_requests_in_flight", "Requests in flight.",
                [this] { return static_cast<double>(m_Active.size()); });
}

AgentLinksHooks RequestFront::linkHooks() {
  AgentLinksHooks Hooks;
  Hooks.m_Frame = [this](const std::string &Agent,
                         const wire::LinkFrame &Frame) {
    onFrame(Agent, Frame);
  };
  Hooks.m_Load = [this](const std::string &Agent, const wire::Load &Load) {
    for (auto &[Name, Traffic] : m_Services) {
      Traffic->onLoad(now(), Agent, Load);
      dispatch(*Traffic);
    }
  };
  Hooks.m_Up = [this](const std::string &Agent, std::uint64_t Incarnation) {
    for (auto &[Name, Traffic] : m_Services)
      Traffic->chooser().setReachable(Agent, true);
    forEachFlow([&](request::RequestFlow &Flow) {
      return Flow.onLinkUp(now(), Agent, Incarnation);
    });
  };
  Hooks.m_Lost = [this](const std::string &Agent) {
    for (auto &[Name, Traffic] : m_Services)
      Traffic->chooser().setReachable(Agent, false);
    forEachFlow([&](request::RequestFlow &Flow) {
      return Flow.onLinkClosed(now(), Agent);
    });
  };
  return Hooks;
}

void RequestFront::onView(const catalogue::ViewPtr &View, bool Ready) {
  m_View = View;
  m_Ready = Ready;
  for (const auto &[Name, Entry] : View->entries()) {
    std::shared_ptr<ServiceTraffic> &Traffic = m_Services[Name];
    if (!Traffic)
      Traffic = std::make_shared<ServiceTraffic>(m_Zone, m_Incarnation);
    Traffic->setEntry(Entry);
  }
  std::erase_if(m_Services, [&](const auto &Item) {
    return View->find(Item.first) == nullptr;
  });
  m_Limits.onView(now(), *View);
  m_Links.setView(*View);
  for (auto &[Name, Traffic] : m_Services)
    for (const std::string &Server : Traffic->servers()) {
      const auto State = m_Links.state(Server);
      Traffic->chooser().setReachable(Server, State && State->m_Alive);
    }
}

void RequestFront::handle(const std::shared_ptr<net::HttpExchange> &Exchange) {
  if (!m_Ready) {
    const bool Had = m_View != nullptr && m_View->offset() > 0;
    const ResultCode Code =
        Had ? ResultCode::CatalogueTooOld : ResultCode::NotReady;
    refuse(*Exchange,
           {Code, std::string(base::info(Code).m_Meaning), NotReadyRetry});
    return;
  }
  auto Request = readCallerRequest(*Exchange, *m_View, now(), base::wallTime());
  if (!Request) {
    refuse(*Exchange, Request.error());
    return;
  }
  const request::RequestSpec &Spec = Request->m_Spec;
  const double Tokens = Request->m_PromptTokens + Request->m_MaxTokens;
  if (auto Within =
          m_Limits.admit(now(), Spec.m_Service, Spec.m_Customer, Tokens);
      !Within) {
    refuse(*Exchange, Within.error());
    return;
  }
  begin(Exchange, std::move(*Request));
}

void RequestFront::refuse(net::HttpExchange &Exchange, const base::Error &Why) {
  m_Refused.add();
  // Only its home knows whether an earlier call with the key ran. No entry ever
  // let a key through that is not printable.
  const std::string_view Key = Exchange.header(KeyHeader);
  const bool Keyed = !Key.empty() && net::isPrintable(Key);
  Exchange.replyError(Why,
                      Keyed ? std::optional(base::Ran::Unknown) : std::nullopt);
}

void RequestFront::begin(const std::shared_ptr<net::HttpExchange> &Exchange,
                         CallerRequest Request) {
  const std::string Id = m_Node + "-" + std::to_string(m_Incarnation) + "-" +
                         std::to_string(++m_LastRequest);
  Request.m_Spec.m_Id = Id;
  m_Accepted.add();
  m_Events.record(base::EventId::RequestAccepted,
                  {{"request", Id},
                   {"service", Request.m_Spec.m_Service},
                   {"customer", Request.m_Spec.m_Customer}});
  auto New = std::make_shared<Active>();
  New->m_Exchange = Exchange;
  New->m_Traffic = m_Services.at(Request.m_Spec.m_Service);
  New->m_Since = now();
  New->m_Query.m_PromptTokens = Request.m_PromptTokens;
  New->m_Query.m_OutputTokens = Request.m_MaxTokens;
  New->m_Flow = std::make_unique<request::RequestFlow>(
      std::move(Request.m_Spec), request::FlowSettings{}, flowHooks(New));
  New->m_Query.m_PrefixBlocks = New->m_Flow->spec().m_PrefixBlocks;
  m_Active[Id] = New;
  Exchange->onClosed([this, Weak = std::weak_ptr(New)] {
    const ActivePtr Of = Weak.lock();
    if (Of && Of->m_Queued)
      leaveQueue(Of);
    else if (Of)
      carryOut(Of, Of->m_Flow->onCallerDisconnected(now()));
  });
  // A key has one home, so there is nothing to choose and nothing to queue for.
  if (New->m_Flow->spec().m_Key.empty()) {
    enqueue(New);
    return;
  }
  New->m_Traffic->budget().onFirstAttempt();
  carryOut(New, New->m_Flow->begin(now()));
}

void RequestFront::enqueue(const ActivePtr &New) {
  const request::RequestSpec &Spec = New->m_Flow->spec();
  routing::DispatchRequest Asked;
  Asked.m_Id = attemptName(Spec.m_Id, 1);
  Asked.m_Customer = Spec.m_Customer;
  Asked.m_Class = Spec.m_Priority;
  Asked.m_Deadline = Spec.m_Deadline;
  Asked.m_PromptTokens = New->m_Query.m_PromptTokens;
  Asked.m_PrefixBlocks = Spec.m_PrefixBlocks;
  New->m_Queued = true;
  const std::shared_ptr<ServiceTraffic> Traffic = New->m_Traffic;
  const std::string Attempt = Asked.m_Id;
  const admission::EnqueueResult Outcome =
      Traffic->dispatcher().enqueue(now(), std::move(Asked));
  for (const admission::Refusal &Each : Outcome.m_Displaced)
    giveUp(Each.m_Request, Each.m_Error);
  if (Outcome.m_Refusal)
    giveUp(Attempt, *Outcome.m_Refusal);
  else
    dispatch(*Traffic);
  armHousekeeping();
}

void RequestFront::dispatch(ServiceTraffic &Traffic) {
  for (routing::Dispatch &Each : Traffic.dispatcher().dispatchReady(now())) {
    const auto Found = m_Active.find(requestOf(Each.m_Request));
    if (Found == m_Active.end()) {
      Traffic.chooser().onAttemptEnded(now(), Each.m_Request, 0);
      continue;
    }
    const ActivePtr Of = Found->second;
    Of->m_Queued = false;
    Of->m_Dispatched = std::move(Each.m_Choice);
    Traffic.budget().onFirstAttempt();
    carryOut(Of, Of->m_Flow->begin(now()));
  }
}

void RequestFront::giveUp(const std::string &Attempt, const base::Error &Why) {
  const auto Found = m_Active.find(requestOf(Attempt));
  if (Found == m_Active.end())
    return;
  const ActivePtr Of = Found->second;
  const std::string Id = Of->m_Flow->spec().m_Id;
  m_Refused.add();
  m_Events.record(
      base::EventId::RequestRefused,
      {{"request", Id}, {"code", std::string(base::name(Why.m_Code))}});
  m_Active.erase(Found);
  Of->m_Exchange->replyError(Why);
}

void RequestFront::leaveQueue(const ActivePtr &Of) {
  const std::string Id = Of->m_Flow->spec().m_Id;
  Of->m_Traffic->dispatcher().cancel(now(), attemptName(Id, 1));
  m_Active.erase(Id);
}

void RequestFront::armHousekeeping() {
  if (std::exchange(m_HousekeepingArmed, true))
    return;
  m_Housekeeping.expires_after(HousekeepingInterval);
  m_Housekeeping.async_wait([this](const boost::system::error_code &Cancelled) {
    m_HousekeepingArmed = false;
    if (Cancelled)
      return;
    bool AnyQueued = false;
    for (auto &[Name, Traffic] : m_Services) {
      for (const admission::Refusal &Each : Traffic->dispatcher().expire(now()))
        giveUp(Each.m_Request, Each.m_Error);
      dispatch(*Traffic);
      AnyQueued = AnyQueued || Traffic->dispatcher().queued() > 0;
    }
    if (AnyQueued)
      armHousekeeping();
  });
}

request::FlowHooks RequestFront::flowHooks(const std::weak_ptr<Active> &Of) {
  request::FlowHooks Hooks;
  Hooks.m_ChooseAgent = [this, Of](base::Millis Now,
                                   const std::vector<std::string> &Excluded) {
    const ActivePtr For = Of.lock();
    return choose(*For, Now, Excluded);
  };
  Hooks.m_TryConsumeRetry = [Of] {
    const ActivePtr For = Of.lock();
    return For && For->m_Traffic->budget().tryConsumeRetry();
  };
  return Hooks;
}

base::Result<request::Target>
RequestFront::choose(Active &Of, base::Millis Now,
                     const std::vector<std::string> &Excluded) {
  const request::RequestSpec &Spec = Of.m_Flow->spec();
  if (!Spec.m_Key.empty()) {
    const std::string Home = claims::homeOf(
        claims::claimKey(Spec.m_Service, Spec.m_Customer, Spec.m_Key),
        Of.m_Traffic->servers());
    auto Found = target(Home);
    const bool Failed =
        std::find(Excluded.begin(), Excluded.end(), Home) != Excluded.end();
    if (Found && !Failed)
      return Found;
    return base::failure(ResultCode::ClaimHomeUnavailable,
                         "Backend server '" + Home +
                             "', the only one that may run this key, can't "
                             "be reached.",
                         HomeAwayRetry);
  }
  if (Of.m_Dispatched) {
    const std::string Agent = std::exchange(Of.m_Dispatched, {})->m_Replica;
    return target(Agent);
  }
  routing::ChoiceQuery Query = Of.m_Query;
  Query.m_Excluded = {Excluded.begin(), Excluded.end()};
  const routing::Choice Choice =
      Of.m_Traffic->chooser().choose(Now, Query, routing::WaitPolicy::NoWait);
  if (Choice.m_Kind != routing::ChoiceKind::Chosen)
    return base::failure(ResultCode::NoReplica,
                         "No backend server of '" + Spec.m_Service +
                             "' can be reached.",
                         NoReplicaRetry);
  auto Found = target(Choice.m_Replica);
  if (Found)
    Of.m_Traffic->chooser().onAttemptSent(
        Now, attemptName(Spec.m_Id, Of.m_Flow->lastAttempt() + 1), Choice,
        Spec.m_PrefixBlocks);
  return Found;
}

base::Result<request::Target>
RequestFront::target(const std::string &Agent) const {
  const auto State = m_Links.state(Agent);
  if (!State || !State->m_Alive || !State->m_Time)
    return base::failure(ResultCode::NoReplica,
                         "Backend server '" + Agent + "' can't be reached.",
                         NoReplicaRetry);
  return request::Target{Agent, State->m_Incarnation, *State->m_Time};
}

void RequestFront::onFrame(const std::string &Agent,
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
  const ActivePtr Of = Found->second;
  noteAttempt(*Of, Frame);
  carryOut(Of, Of->m_Flow->onFrame(now(), Agent, Frame));
}

void RequestFront::noteAttempt(Active &Of, const wire::LinkFrame &Frame) {
  const std::string &Id = Of.m_Flow->spec().m_Id;
  if (Frame.has_chunk())
    Of.m_Traffic->chooser().onFirstToken(
        attemptName(Id, Frame.chunk().attempt()));
  if (Frame.has_end())
    Of.m_Traffic->chooser().onAttemptEnded(
        now(), attemptName(Id, Frame.end().attempt()), Frame.end().tokens());
}

void RequestFront::carryOut(const ActivePtr &Of,
                            const request::RequestFlow::Actions &Actions) {
  for (const request::FlowAction &Action : Actions) {
    if (const auto *Send = std::get_if<request::SendFrame>(&Action))
      send(*Of, *Send);
    else if (const auto *Chunk = std::get_if<request::DeliverChunk>(&Action))
      deliver(*Of, *Chunk);
    else if (const auto *End = std::get_if<request::Finish>(&Action))
      finish(Of, End->m_Outcome);
  }
  setTimer(Of);
}

void RequestFront::send(Active &Of, const request::SendFrame &Order) {
  const std::string &Id = Of.m_Flow->spec().m_Id;
  if (Order.m_Frame.has_start()) {
    const wire::Start &Start = Order.m_Frame.start();
    base::EventId What = base::EventId::AttemptSent;
    if (Start.attempt() > 1)
      What = Start.resume_from() > 0 ? base::EventId::AttemptResumed
                                     : base::EventId::AttemptRetried;
    m_Events.record(What, {{"request", Id},
                           {"attempt", std::to_string(Start.attempt())},
                           {"agent", Order.m_Agent}});
  } else if (Order.m_Frame.has_attach())
    m_Events.record(base::EventId::AttemptAttached,
                    {{"request", Id}, {"agent", Order.m_Agent}});
  else if (Order.m_Frame.has_cancel())
    m_Events.record(base::EventId::AttemptCancelled,
                    {{"request", Id}, {"agent", Order.m_Agent}});
  m_Links.send(Order.m_Agent, Order.m_Frame);
}

void RequestFront::deliver(Active &Of, const request::DeliverChunk &Chunk) {
  if (!Of.m_StreamStarted) {
    Of.m_StreamStarted = true;
    Of.m_Exchange->startStream(
        HttpOk, {{"Content-Type", "text/event-stream"},
                 {"Cache-Control", "no-cache"},
                 {"X-Corneldeck-Request", Of.m_Flow->spec().m_Id}});
  }
  Of.m_Exchange->writeChunk(Chunk.m_Data);
}

void RequestFront::finish(const ActivePtr &Of,
                          const request::Outcome &Outcome) {
  const std::string &Id = Of->m_Flow->spec().m_Id;
  for (std::uint32_t Number = 1; Number <= Of->m_Flow->lastAttempt(); ++Number)
    Of->m_Traffic->chooser().onAttemptEnded(now(), attemptName(Id, Number), 0);
  const bool Ok = Outcome.m_Code == ResultCode::Ok;
  m_Events.record(Ok ? base::EventId::RequestAnswered
                     : base::EventId::RequestFailed,
                  {{"request", Id},
                   {"code", std::string(base::name(Outcome.m_Code))},
                   {"ran", std::string(base::name(Outcome.m_Ran))}});
  if (!Ok)
    m_Failed.add();
  m_Latency.record(static_cast<double>((now() - Of->m_Since).count()));
  clearTimer(*Of);
  m_Active.erase(Id);
  answer(*Of, Outcome);
  dispatch(*Of->m_Traffic);
}

void RequestFront::answer(Active &Of, const request::Outcome &Outcome) {
  if (Of.m_StreamStarted) {
    endStream(Of, Outcome);
    return;
  }
  const request::RequestSpec &Spec = Of.m_Flow->spec();
  if (Outcome.m_Code != ResultCode::Ok) {
    net::HttpReply Reply = net::errorReply(errorOf(Outcome), Outcome.m_Ran);
    Reply.m_Headers.push_back({"X-Corneldeck-Request", Spec.m_Id});
    Of.m_Exchange->reply(Reply);
    return;
  }
  const int Status = static_cast<int>(Outcome.m_HttpStatus);
  if (Spec.m_Stream && Status == HttpOk) {
    // An answer without a token is still a stream with its end mark.
    deliver(Of, {});
    endStream(Of, Outcome);
    return;
  }
  Of.m_Exchange->reply(Status, outcomeHeaders(Spec.m_Id, Outcome),
                       Outcome.m_Body);
}

void RequestFront::endStream(Active &Of, const request::Outcome &Outcome) {
  if (Outcome.m_Code != ResultCode::Ok)
    Of.m_Exchange->writeChunk(brokenStreamEvent(Outcome));
  else
    Of.m_Exchange->writeChunk(Outcome.m_Body + "data: [DONE]\n\n");
  Of.m_Exchange->endStream();
}

void RequestFront::forEachFlow(
    const std::function<request::RequestFlow::Actions(request::RequestFlow &)>
        &Event) {
  std::vector<ActivePtr> All;
  All.reserve(m_Active.size());
  for (const auto &[Id, Of] : m_Active)
    All.push_back(Of);
  for (const ActivePtr &Of : All)
    if (!Of->m_Flow->finished())
      carryOut(Of, Event(*Of->m_Flow));
}

void RequestFront::setTimer(const ActivePtr &Of) {
  clearTimer(*Of);
  const auto Next = Of->m_Flow->nextTimer();
  if (!Next || Of->m_Flow->finished())
    return;
  Of->m_Timer = *Next;
  m_Timers.emplace(*Next, Of->m_Flow->spec().m_Id);
  armTimer();
}

void RequestFront::clearTimer(const Active &Of) {
  m_Timers.erase({Of.m_Timer, Of.m_Flow->spec().m_Id});
}

void RequestFront::armTimer() {
  if (m_Timers.empty())
    return;
  const base::Millis Next = m_Timers.begin()->first;
  const bool Armed = m_ArmedFor > base::Millis(0) && m_ArmedFor <= Next;
  if (Armed)
    return;
  m_ArmedFor = Next;
  const base::Millis Wait = std::max(Next - now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      onTimer();
  });
}

void RequestFront::onTimer() {
  m_ArmedFor = base::Millis(0);
  while (!m_Timers.empty() && m_Timers.begin()->first <= now()) {
    const std::string Id = m_Timers.begin()->second;
    m_Timers.erase(m_Timers.begin());
    const auto Found = m_Active.find(Id);
    if (Found == m_Active.end())
      continue;
    const ActivePtr Of = Found->second;
    carryOut(Of, Of->m_Flow->onTimer(now()));
  }
  armTimer();
}

} // namespace corneldeck::entry

#include "Direct/ForwardFront.h"

#include "Direct/ForwardCall.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace corneldeck::direct {

namespace {

/// How often waiting requests are looked at: short against any target latency.
constexpr std::chrono::milliseconds GatePeriod{25};
/// For a caller that asked an entry without a configuration; another one has
/// it, or this one within a moment.
constexpr base::Millis RetryWhenNotReady{300};
/// For a caller whose entry stops; it asks another one at once.
constexpr base::Millis RetryElsewhere{100};
/// A service whose other servers sent nothing for longer stands still as a
/// whole, and moving a request would not help it.
constexpr base::Millis ProgressWindow{400};

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

ForwardFront::ForwardFront(Parts Used, ForwardCodec Codec)
    : m_Parts(Used), m_Codec(std::move(Codec)), m_GateTimer(Used.m_Context),
      m_Requests(Used.m_Metrics.counter("corneldeck_requests_total",
                                        "Requests that came from callers.")),
      m_Refused(Used.m_Metrics.counter("corneldeck_refused_total",
                                       "Requests answered as not run.")),
      m_Failed(Used.m_Metrics.counter(
          "corneldeck_failed_total",
          "Requests that ended without a whole answer of a server.")),
      m_RetriesSent(
          Used.m_Metrics.counter("corneldeck_retries_total",
                                 "Attempts after the first of a request.")),
      m_FirstByte(Used.m_Metrics.histogram(
          "corneldeck_first_byte_ms",
          "From a request's arrival to the first byte of its answer.",
          metrics::latencyBounds())),
      m_Total(Used.m_Metrics.histogram(
          "corneldeck_request_ms",
          "From a request's arrival to the end of its answer.",
          metrics::latencyBounds())),
      m_Waited(Used.m_Metrics.histogram(
          "corneldeck_admission_wait_ms",
          "From a request's arrival to its first attempt.",
          metrics::latencyBounds())),
      m_Pauses(Used.m_Metrics.histogram(
          "corneldeck_pause_ms", "Between two writes of events to a caller.",
          metrics::latencyBounds())) {}

ForwardFront::~ForwardFront() = default;

void ForwardFront::setRoutes(std::shared_ptr<const RouteTable> Routes) {
  m_Routes = std::move(Routes);
}

void ForwardFront::handle(const std::shared_ptr<net::HttpExchange> &Exchange) {
  m_Requests.add();
  const base::Millis Now = m_Clock.now();
  auto Decoded = m_Codec.m_DecodeRequest(*Exchange);
  if (!Decoded) {
    refuse(*Exchange, Decoded.error(), {});
    return;
  }
  const CallerRequest &Request = *Decoded;
  if (!m_Routes) {
    refuse(*Exchange,
           {base::ResultCode::NotReady, "no configuration yet; ask again soon",
            RetryWhenNotReady},
           Request.m_Id);
    return;
  }
  const Route *Found =
      m_Routes->find(withoutPort(Request.m_Host), pathOf(Exchange->target()));
  if (!Found) {
    refuse(*Exchange,
           {base::ResultCode::UnknownService,
            "no route for this host and path in version " +
                std::to_string(m_Routes->configuration().m_Version),
            {}},
           Request.m_Id);
    return;
  }
  const Customer *Known =
      Request.m_Key.empty() ? nullptr : m_Routes->findCustomer(Request.m_Key);
  if (m_Routes->needsKey() && !Found->m_Public && !Known) {
    refuse(*Exchange,
           {base::ResultCode::UnknownKey,
            "the key is not one of version " +
                std::to_string(m_Routes->configuration().m_Version),
            {}},
           Request.m_Id);
    return;
  }

  ForwardCall::Facts Facts;
  Facts.m_Token = m_NextToken++;
  Facts.m_Request = Request;
  Facts.m_Routes = m_Routes;
  Facts.m_Route = Found;
  Facts.m_Service = RouteTable::drawService(*Found, m_Parts.m_Draw);
  Facts.m_Customer = Known ? Known->m_Name : std::string();
  Facts.m_Priority =
      Known ? Known->m_Priority.value_or(Found->m_Priority) : Found->m_Priority;
  Facts.m_Arrived = Now;
  Facts.m_Due = Now + Found->m_Timeout;
  if (Request.m_Patience > base::Millis(0))
    Facts.m_Due = std::min(Facts.m_Due, Now + Request.m_Patience);
  if (!m_Stop.takes(Now, Facts.m_Due)) {
    refuse(*Exchange,
           {base::ResultCode::NotReady, "this entry stops; ask another one",
            RetryElsewhere},
           Request.m_Id);
    return;
  }
  m_Parts.m_Retries.request(Facts.m_Service, Now);

  const auto Call = std::make_shared<ForwardCall>(*this, Exchange, Facts);
  m_Calls.emplace(Facts.m_Token, Call);
  Call->watch();
  if (m_Parts.m_Groups.outFor(Facts.m_Service, Now)) {
    Call->refuseClosed();
    return;
  }
  const auto Verdict =
      m_Parts.m_Gate.arrive(Facts.m_Service, Facts.m_Token, Facts.m_Priority,
                            Found->m_TargetLatency, room(Facts.m_Service), Now);
  if (Verdict == AdmissionGate::Verdict::Go)
    Call->go();
  else if (Verdict == AdmissionGate::Verdict::Refuse)
    Call->refuseFull();
  else
    armGateTimer();
}

void ForwardFront::refuse(net::HttpExchange &Exchange, const base::Error &Why,
                          const std::string &Id) {
  m_Refused.add();
  m_Parts.m_Events.record(base::EventId::RequestRefused,
                          {{"request", Id},
                           {"code", std::string(base::info(Why.m_Code).m_Name)},
                           {"why", Why.m_Message},
                           {"path", std::string(pathOf(Exchange.target()))}});
  Exchange.respond(m_Codec.m_EncodeError(Why, base::Ran::No, Id));
}

void ForwardFront::callEnded(std::uint64_t Token, const std::string &Service) {
  m_Calls.erase(Token);
  m_Parts.m_Gate.completed(Service, m_Clock.now());
  if (m_Parts.m_Gate.waiting(Service) > 0)
    boost::asio::post(m_Parts.m_Context, [this] { advanceWaiting(); });
}

void ForwardFront::advanceWaiting() {
  const base::Millis Now = m_Clock.now();
  for (const std::string &Service : m_Parts.m_Gate.services()) {
    if (m_Parts.m_Groups.outFor(Service, Now))
      for (const std::uint64_t Token : m_Parts.m_Gate.clear(Service))
        if (const auto Found = m_Calls.find(Token); Found != m_Calls.end())
          std::shared_ptr<ForwardCall>(Found->second)->refuseClosed();
    const auto Moves = m_Parts.m_Gate.advance(Service, room(Service), Now);
    for (const std::uint64_t Token : Moves.m_Go)
      if (const auto Found = m_Calls.find(Token); Found != m_Calls.end())
        std::shared_ptr<ForwardCall>(Found->second)->go();
    for (const std::uint64_t Token : Moves.m_Refuse)
      if (const auto Found = m_Calls.find(Token); Found != m_Calls.end())
        std::shared_ptr<ForwardCall>(Found->second)->refuseFull();
  }
  if (!m_Parts.m_Gate.services().empty())
    armGateTimer();
}

base::Millis ForwardFront::retryAfter(const std::string &Service) const {
  const direct::Service *Of = m_Routes->configuration().findService(Service);
  const base::Millis FormTime =
      Of && Of->m_Engine ? Of->m_Engine->m_FormTime : base::Millis(0);
  return m_Parts.m_Groups.expectedWait(Service, FormTime, m_Clock.now()) +
         m_Parts.m_Gate.retryAfter(Service, m_Parts.m_Draw);
}

ServerPool::ServiceRoom ForwardFront::room(const std::string &Service) const {
  ServerPool::ServiceRoom Room = m_Parts.m_Pool.room(Service, m_Clock.now());
  const Configuration &Published = m_Routes->configuration();
  const direct::Service *Of = Published.findService(Service);
  if (!Of || !Of->m_Engine)
    return Room;
  base::Millis Target{};
  for (const Route &Each : Published.m_Routes)
    if (Each.m_Stream && !Each.m_Services.empty() &&
        Each.m_Services.front().m_Service == Service)
      Target = std::max(Target, Each.m_TargetPause);
  const double Limit = m_Parts.m_Governor.limit(Service, *Of->m_Engine, Target);
  Room.m_Capacity =
      std::min(Room.m_Capacity, static_cast<unsigned>(Limit * Room.m_Servers));
  return Room;
}

void ForwardFront::notePause(const std::string &Service, base::Millis Pause) {
  m_Pauses.record(static_cast<double>(Pause.count()));
  const direct::Service *Of = m_Routes->configuration().findService(Service);
  const auto Room = m_Parts.m_Pool.room(Service, m_Clock.now());
  if (Of && Of->m_Engine && Room.m_Servers > 0)
    m_Parts.m_Governor.note(Service, *Of->m_Engine, Pause,
                            static_cast<double>(Room.m_InFlight) /
                                Room.m_Servers);
}

void ForwardFront::armGateTimer() {
  if (m_GateTimerArmed)
    return;
  m_GateTimerArmed = true;
  m_GateTimer.expires_after(GatePeriod);
  m_GateTimer.async_wait([this](const boost::system::error_code &Code) {
    if (Code)
      return;
    m_GateTimerArmed = false;
    advanceWaiting();
  });
}

void ForwardFront::progress(const std::string &Service,
                            const std::string &Server) {
  m_Progress[Service][Server] = m_Clock.now();
}

bool ForwardFront::othersProgress(const std::string &Service,
                                  const std::string &Server) const {
  const auto Found = m_Progress.find(Service);
  if (Found == m_Progress.end())
    return false;
  const base::Millis Since = m_Clock.now() - ProgressWindow;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const auto &Each) {
                       return Each.first != Server && Each.second >= Since;
                     });
}

} // namespace corneldeck::direct

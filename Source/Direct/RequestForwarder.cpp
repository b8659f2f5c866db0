#include "Direct/RequestForwarder.h"

#include "Direct/ForwardedRequest.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace corneldeck::direct {

namespace {

/// Interval for processing the queues; short compared to any target latency.
constexpr std::chrono::milliseconds QueuePeriod{25};
/// Retry-after time while this entry has no configuration. Another entry has
/// one, and this one gets one soon.
constexpr base::Millis RetryWhenNotReady{300};
/// Retry-after time while this entry stops; the caller retries at another
/// entry.
constexpr base::Millis RetryElsewhere{100};
/// If no other server of a service has sent data for this long, the whole
/// service is stalled, and a request is not moved to another server.
constexpr base::Millis ProgressWindow{400};

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

RequestForwarder::RequestForwarder(Dependencies Used, RequestCodec Codec)
    : m_Dependencies(Used), m_Codec(std::move(Codec)),
      m_QueueTimer(Used.m_Context),
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
      m_RequestDuration(Used.m_Metrics.histogram(
          "corneldeck_request_ms",
          "From a request's arrival to the end of its answer.",
          metrics::latencyBounds())),
      m_AdmissionWait(Used.m_Metrics.histogram(
          "corneldeck_admission_wait_ms",
          "From a request's arrival to its first attempt.",
          metrics::latencyBounds())),
      m_EventIntervals(Used.m_Metrics.histogram(
          "corneldeck_pause_ms", "Between two writes of events to a caller.",
          metrics::latencyBounds())) {}

RequestForwarder::~RequestForwarder() = default;

void RequestForwarder::setRoutes(std::shared_ptr<const RouteTable> Routes) {
  m_Routes = std::move(Routes);
}

void RequestForwarder::handle(
    const std::shared_ptr<net::HttpExchange> &Exchange) {
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
  const Route *Found = m_Routes->findRoute(withoutPort(Request.m_Host),
                                           pathOf(Exchange->target()));
  if (!Found) {
    refuse(*Exchange,
           {base::ResultCode::UnknownService,
            "no route for this host and path in version " +
                std::to_string(m_Routes->configuration().m_Version),
            {}},
           Request.m_Id);
    return;
  }
  const Customer *Known = Request.m_ApiKey.empty()
                              ? nullptr
                              : m_Routes->findCustomer(Request.m_ApiKey);
  if (m_Routes->requiresKey() && !Found->m_Public && !Known) {
    refuse(*Exchange,
           {base::ResultCode::UnknownKey,
            "the key is not one of version " +
                std::to_string(m_Routes->configuration().m_Version),
            {}},
           Request.m_Id);
    return;
  }

  ForwardedRequest::Facts Facts;
  Facts.m_Token = m_NextToken++;
  Facts.m_Request = Request;
  Facts.m_Routes = m_Routes;
  Facts.m_Route = Found;
  Facts.m_Service = RouteTable::pickService(*Found, m_Dependencies.m_Rng);
  Facts.m_Customer = Known ? Known->m_Name : std::string();
  Facts.m_Priority =
      Known ? Known->m_Priority.value_or(Found->m_Priority) : Found->m_Priority;
  Facts.m_Arrived = Now;
  Facts.m_Deadline = Now + Found->m_Timeout;
  if (Request.m_Timeout > base::Millis(0))
    Facts.m_Deadline = std::min(Facts.m_Deadline, Now + Request.m_Timeout);
  if (!m_ShutdownPolicy.accepts(Now, Facts.m_Deadline)) {
    refuse(*Exchange,
           {base::ResultCode::NotReady, "this entry stops; ask another one",
            RetryElsewhere},
           Request.m_Id);
    return;
  }
  m_Dependencies.m_RetryBudget.recordRequest(Facts.m_Service, Now);

  const auto Call = std::make_shared<ForwardedRequest>(*this, Exchange, Facts);
  m_ActiveRequests.emplace(Facts.m_Token, Call);
  Call->watchCaller();
  if (m_Dependencies.m_GroupAvailability.outageDuration(Facts.m_Service, Now)) {
    Call->refuseClosed();
    return;
  }
  const auto Decision = m_Dependencies.m_AdmissionQueue.admit(
      Facts.m_Service, Facts.m_Token, Facts.m_Priority, Found->m_TargetLatency,
      usage(Facts.m_Service), Now);
  if (Decision == AdmissionQueue::Decision::Admit)
    Call->start();
  else if (Decision == AdmissionQueue::Decision::Refuse)
    Call->refuseFull();
  else
    armQueueTimer();
}

void RequestForwarder::refuse(net::HttpExchange &Exchange,
                              const base::Error &Why, const std::string &Id) {
  m_Refused.add();
  m_Dependencies.m_Events.record(
      base::EventId::RequestRefused,
      {{"request", Id},
       {"code", std::string(base::info(Why.m_Code).m_Name)},
       {"why", Why.m_Message},
       {"path", std::string(pathOf(Exchange.target()))}});
  Exchange.reply(m_Codec.m_EncodeError(Why, base::Ran::No, Id));
}

void RequestForwarder::requestEnded(std::uint64_t Token,
                                    const std::string &Service) {
  m_ActiveRequests.erase(Token);
  m_Dependencies.m_AdmissionQueue.recordCompletion(Service, m_Clock.now());
  if (m_Dependencies.m_AdmissionQueue.waitingCount(Service) > 0)
    boost::asio::post(m_Dependencies.m_Context, [this] { processQueues(); });
}

void RequestForwarder::processQueues() {
  const base::Millis Now = m_Clock.now();
  for (const std::string &Service :
       m_Dependencies.m_AdmissionQueue.waitingServices()) {
    if (m_Dependencies.m_GroupAvailability.outageDuration(Service, Now))
      for (const std::uint64_t Token :
           m_Dependencies.m_AdmissionQueue.clear(Service))
        if (const auto Found = m_ActiveRequests.find(Token);
            Found != m_ActiveRequests.end())
          std::shared_ptr<ForwardedRequest>(Found->second)->refuseClosed();
    const auto Dequeued =
        m_Dependencies.m_AdmissionQueue.dequeue(Service, usage(Service), Now);
    for (const std::uint64_t Token : Dequeued.m_Admitted)
      if (const auto Found = m_ActiveRequests.find(Token);
          Found != m_ActiveRequests.end())
        std::shared_ptr<ForwardedRequest>(Found->second)->start();
    for (const std::uint64_t Token : Dequeued.m_TimedOut)
      if (const auto Found = m_ActiveRequests.find(Token);
          Found != m_ActiveRequests.end())
        std::shared_ptr<ForwardedRequest>(Found->second)->refuseFull();
  }
  if (!m_Dependencies.m_AdmissionQueue.waitingServices().empty())
    armQueueTimer();
}

base::Millis RequestForwarder::retryAfter(const std::string &Service) const {
  const direct::Service *Of = m_Routes->configuration().findService(Service);
  const base::Millis FormationTime =
      Of && Of->m_Engine ? Of->m_Engine->m_FormationTime : base::Millis(0);
  return m_Dependencies.m_GroupAvailability.expectedRecoveryTime(
             Service, FormationTime, m_Clock.now()) +
         m_Dependencies.m_AdmissionQueue.retryAfter(Service,
                                                    m_Dependencies.m_Rng);
}

ServerPool::ServiceUsage
RequestForwarder::usage(const std::string &Service) const {
  ServerPool::ServiceUsage Usage =
      m_Dependencies.m_Pool.usage(Service, m_Clock.now());
  const Configuration &Published = m_Routes->configuration();
  const direct::Service *Of = Published.findService(Service);
  if (!Of || !Of->m_Engine)
    return Usage;
  base::Millis Target{};
  for (const Route &Each : Published.m_Routes)
    if (Each.m_Stream && !Each.m_Services.empty() &&
        Each.m_Services.front().m_Service == Service)
      Target = std::max(Target, Each.m_TargetEventInterval);
  const double Limit =
      m_Dependencies.m_Limiter.limit(Service, *Of->m_Engine, Target);
  Usage.m_Capacity = std::min(Usage.m_Capacity,
                              static_cast<unsigned>(Limit * Usage.m_Servers));
  return Usage;
}

void RequestForwarder::recordEventInterval(const std::string &Service,
                                           base::Millis Pause) {
  m_EventIntervals.record(static_cast<double>(Pause.count()));
  const direct::Service *Of = m_Routes->configuration().findService(Service);
  const auto Usage = m_Dependencies.m_Pool.usage(Service, m_Clock.now());
  if (Of && Of->m_Engine && Usage.m_Servers > 0)
    m_Dependencies.m_Limiter.recordInterval(
        Service, *Of->m_Engine, Pause,
        static_cast<double>(Usage.m_InFlight) / Usage.m_Servers);
}

void RequestForwarder::armQueueTimer() {
  if (m_QueueTimerArmed)
    return;
  m_QueueTimerArmed = true;
  m_QueueTimer.expires_after(QueuePeriod);
  m_QueueTimer.async_wait([this](const boost::system::error_code &Code) {
    if (Code)
      return;
    m_QueueTimerArmed = false;
    processQueues();
  });
}

void RequestForwarder::recordProgress(const std::string &Service,
                                      const std::string &Server) {
  m_Progress[Service][Server] = m_Clock.now();
}

bool RequestForwarder::otherServersProgress(const std::string &Service,
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

#ifndef CORNELDECK_DIRECT_REQUESTFORWARDER_H
#define CORNELDECK_DIRECT_REQUESTFORWARDER_H

#include "Base/Timeline.h"
#include "Direct/AdmissionQueue.h"
#include "Direct/AttemptTracker.h"
#include "Direct/ClassUsageReport.h"
#include "Direct/ConcurrencyLimiter.h"
#include "Direct/GroupAvailability.h"
#include "Direct/GroupCapacity.h"
#include "Direct/PromptQuarantine.h"
#include "Direct/ResponseMemory.h"
#include "Direct/RouteTable.h"
#include "Direct/ServerEnds.h"
#include "Direct/ServerRateLimits.h"
#include "Direct/SharedRetryBudget.h"
#include "Direct/ShutdownPolicy.h"
#include "Direct/UnframedResponses.h"
#include "Metrics/Registry.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"
#include "Net/MemoryAccount.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::direct {

class ForwardedRequest;

/// Decoded metadata of a caller's request.
struct CallerRequest {
  std::string m_Id;
  std::string m_Host;
  /// The customer's key; empty if the caller sent none.
  std::string m_ApiKey;
  /// Timeout that the caller set, if any.
  std::optional<base::Millis> m_Timeout;
  double m_PromptTokens = 0;
  /// Ids of the parts of its prompt that other requests may share, in order;
  /// empty if unknown.
  PromptParts m_PromptParts;
};

/// Values for the header fields that are added to the caller's for one attempt.
struct AttemptMetadata {
  std::string m_ServerId;
  std::string m_Customer;
  base::Millis m_TimeLeft{};
  /// Id of the last event forwarded to the caller; if empty, the caller's own
  /// header field is kept.
  std::string m_LastEventId;
};

/// Metadata from the head of a backend server's response.
struct ResponseInfo {
  /// The server reports that it did not run the request.
  bool m_NotRun = false;
  /// Another server has the address.
  bool m_WrongServer = false;
  /// The response carries the server's signature; a success without it is
  /// invalid.
  bool m_Signed = false;
  /// The rate limit that the server names in the response.
  RateLimitField m_RateLimit;
  /// The server leaves and accepts no new requests.
  bool m_IsLeaving = false;
  /// The time for which the server wants no requests from this entry.
  PauseField m_Pause;
};

/// Protocol hooks that decode and encode the messages of callers and backend
/// servers. All are required.
struct RequestCodec {
  std::function<base::Result<CallerRequest>(const net::HttpExchange &)>
      m_DecodeRequest;
  /// Returns the header fields to send to the backend server.
  std::function<net::HttpHeaders(const net::HttpExchange &,
                                 const AttemptMetadata &)>
      m_EncodeRequest;
  /// Returns whether a response belongs to the request \p Id.
  std::function<bool(const net::HttpResponseHead &, const std::string &Id)>
      m_MatchesRequest;
  std::function<ResponseInfo(const net::HttpResponseHead &)> m_DecodeResponse;
  /// Returns the header fields of a response that are forwarded to the caller.
  std::function<net::HttpHeaders(const net::HttpResponseHead &)>
      m_FilterResponseHeaders;
  /// Returns the error response for a request that is refused or has failed.
  std::function<net::HttpResponse(const base::Error &, base::Ran,
                                  const std::string &Id)>
      m_EncodeError;
};

/// Forwards callers' requests to backend servers.
///
/// Checks the route and key of each request and creates a ForwardedRequest,
/// which AdmissionQueue admits, queues or refuses. Not thread-safe: all calls
/// are made on the thread of the I/O context.
class RequestForwarder {
public:
  /// Objects used by RequestForwarder; they must outlive it.
  struct Dependencies {
    boost::asio::io_context &m_Context;
    net::HttpClient &m_Client;
    ServerPool &m_Pool;
    AdmissionQueue &m_AdmissionQueue;
    SharedRetryBudget &m_RetryBudget;
    ConcurrencyLimiter &m_Limiter;
    GroupAvailability &m_GroupAvailability;
    base::Timeline &m_Events;
    metrics::Registry &m_Metrics;
    base::Random &m_Rng;
    ServerEnds &m_ServerEnds;
    PromptQuarantine &m_Quarantine;
  };

  /// \param MaxResponseBytes maximum size of all responses that are held until
  /// they can be forwarded.
  /// \param Memory the account that the responses are a part of.
  RequestForwarder(Dependencies Objects, RequestCodec Codec,
                   std::size_t MaxResponseBytes,
                   std::shared_ptr<net::MemoryAccount> Memory);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder &) = delete;
  RequestForwarder &operator=(const RequestForwarder &) = delete;

  /// Applies a version of the configuration to new requests.
  void setRoutes(std::shared_ptr<const RouteTable> Routes);
  /// Returns the routes in force, or null if there is no configuration yet.
  [[nodiscard]] const RouteTable *routes() const { return m_Routes.get(); }

  /// Forwards, queues or refuses a caller's request.
  void handle(const std::shared_ptr<net::HttpExchange> &Exchange);

  /// Admits queued requests as far as capacity allows and refuses those whose
  /// wait has timed out or whose rank group is unavailable. Called periodically
  /// while requests are queued, and when a request has ended or the
  /// availability of a rank group has changed.
  void processQueues();

  /// Refuses or withdraws the requests of \p Service with a part in their
  /// prompts that was quarantined, unless they have begun to run.
  void stopRequests(const std::string &Service, std::uint64_t Part);

  /// Restricts which new requests are accepted while the entry stops.
  /// \param End when the process ends at the latest.
  void beginStop(base::Millis End) {
    m_ShutdownPolicy.begin(m_Clock.now(), End);
  }

  /// Answers all requests whose response has not begun, since the process ends.
  void answerBeforeExit();

  /// Returns the capacity of the rank groups.
  [[nodiscard]] const GroupCapacity &groupCapacity() const {
    return m_GroupCapacity;
  }
  /// Updates the metrics of the classes of requests. Called several times a
  /// second.
  void updateClassMetrics();

  /// Returns the number of queued and forwarded requests.
  [[nodiscard]] std::size_t inFlight() const { return m_ActiveRequests.size(); }

private:
  friend class ForwardedRequest;

  void refuse(net::HttpExchange &Exchange, const base::Error &Cause,
              const std::string &Id);
  /// Admits, queues or refuses a request, as the capacity allows.
  void admit(ForwardedRequest &Admitted);
  void requestEnded(std::uint64_t Token, const std::string &Service);
  void recordProgress(const std::string &Service, const std::string &Server);
  /// Returns whether another server of the service has sent data recently.
  [[nodiscard]] bool hasOtherProgress(const std::string &Service,
                                      const std::string &Server) const;
  /// Returns the retry-after time of a refused request of \p Service.
  /// \param Priority the class of the request; none if it was not refused for
  /// lack of capacity.
  [[nodiscard]] base::Millis
  retryAfter(const std::string &Service,
             std::optional<int> Priority = std::nullopt) const;
  /// Returns the retry-after time of a request that is refused during a stop.
  [[nodiscard]] base::Millis stoppingRetryAfter() const;
  void armQueueTimer();
  /// Records the result of the check of a server whose response ended with its
  /// connection.
  void recordUnframed(UnframedResponse Ended, ServerLife Life);
  void armUnframedTimer();
  /// Records that a request holds \p Bytes of its response from \p Server. Ends
  /// the largest responses of the servers that hold most if all together exceed
  /// the limit.
  /// \returns false if this response has to end.
  bool holdResponse(std::uint64_t Token, const std::string &Server,
                    std::size_t Bytes);
  /// Returns the capacity and requests in flight of the service. The capacity
  /// is limited so that event intervals stay within their target.
  [[nodiscard]] ServerPool::ServiceUsage
  usage(const std::string &Service) const;
  /// See ServerPool::RateGroup.
  [[nodiscard]] std::optional<LoadOption>
  rateGroup(const RankGroup &Group, const GroupLoad &Load) const;
  /// \returns the pass time ratio; 0 if the interval does not count.
  double recordEventInterval(const std::string &Service,
                             const std::string &Server, base::Millis Interval);

  Dependencies m_Dependencies;
  GroupCapacity m_GroupCapacity;
  const RequestCodec m_Codec;
  const base::Clock m_Clock = base::steadyClock();
  std::shared_ptr<const RouteTable> m_Routes;
  std::unordered_map<std::uint64_t, std::shared_ptr<ForwardedRequest>>
      m_ActiveRequests;
  std::uint64_t m_NextToken = 1;
  ResponseMemory m_ResponseMemory;
  ClassUsageReport m_ClassReport;
  ShutdownPolicy m_ShutdownPolicy;
  UnframedResponses m_UnframedResponses;
  boost::asio::steady_timer m_UnframedTimer;
  bool m_UnframedTimerArmed = false;
  boost::asio::steady_timer m_QueueTimer;
  bool m_QueueTimerArmed = false;
  /// When data last arrived, by service and server.
  std::unordered_map<std::string, std::unordered_map<std::string, base::Millis>>
      m_Progress;
  metrics::Counter &m_Requests;
  metrics::Counter &m_Refused;
  metrics::Counter &m_Failed;
  metrics::Counter &m_RetriesSent;
  metrics::Counter &m_Quarantined;
  metrics::Counter &m_ResponsesCutOff;
  metrics::Histogram &m_FirstByte;
  metrics::Histogram &m_RequestDuration;
  metrics::Histogram &m_AdmissionWait;
  metrics::Histogram &m_EventIntervals;
};

} // namespace corneldeck::direct

#endif

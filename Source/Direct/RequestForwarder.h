#ifndef CORNELDECK_DIRECT_REQUESTFORWARDER_H
#define CORNELDECK_DIRECT_REQUESTFORWARDER_H

#include "Base/Timeline.h"
#include "Direct/AdmissionQueue.h"
#include "Direct/AttemptTracker.h"
#include "Direct/ConcurrencyLimiter.h"
#include "Direct/GroupAvailability.h"
#include "Direct/RouteTable.h"
#include "Direct/SharedRetryBudget.h"
#include "Direct/ShutdownPolicy.h"
#include "Metrics/Registry.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace corneldeck::direct {

class ForwardedRequest;

/// What a caller's request says, apart from its method, path and body.
struct CallerRequest {
  std::string m_Id;
  std::string m_Host;
  /// Empty if the caller sent none.
  std::string m_ApiKey;
  /// How long the caller waits; zero if it did not say.
  base::Millis m_Timeout{};
  double m_PromptTokens = 0;
};

/// What an attempt adds to the caller's header fields.
struct AttemptMetadata {
  std::string m_ServerId;
  std::string m_Customer;
  base::Millis m_TimeLeft{};
  /// The last event that the caller has; empty for what the caller sent.
  std::string m_LastEventId;
};

/// What the head of a backend server's answer says.
struct ResponseInfo {
  /// The request did not run.
  bool m_NotRun = false;
  /// Another server has the address.
  bool m_WrongServer = false;
  /// The answer bears the server's mark, without which a success is none.
  bool m_Signed = false;
};

/// Translates between callers, backend servers and this product. Each hook is
/// required.
struct RequestCodec {
  std::function<base::Result<CallerRequest>(const net::HttpExchange &)>
      m_DecodeRequest;
  /// \returns the header fields to send to the backend server.
  std::function<net::HttpHeaders(const net::HttpExchange &,
                                 const AttemptMetadata &)>
      m_EncodeRequest;
  /// \returns whether an answer belongs to the request named.
  std::function<bool(const net::HttpResponseHead &, const std::string &Id)>
      m_MatchesRequest;
  std::function<ResponseInfo(const net::HttpResponseHead &)> m_DecodeResponse;
  /// \returns the answer's header fields that the caller gets.
  std::function<net::HttpHeaders(const net::HttpResponseHead &)>
      m_FilterResponseHeaders;
  /// \returns an answer of this product's own.
  std::function<net::HttpResponse(const base::Error &, base::Ran,
                                  const std::string &Id)>
      m_EncodeError;
};

/// Takes callers' requests and forwards them to backend servers.
///
/// The front checks route and key, asks the gate, and starts a ForwardedRequest
/// for each request that may go out. One thread runs it.
class RequestForwarder {
public:
  /// The parts that the front uses; they must outlive it.
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
  };

  RequestForwarder(Dependencies Used, RequestCodec Codec);
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder &) = delete;
  RequestForwarder &operator=(const RequestForwarder &) = delete;

  /// Puts a version of the configuration in force for new requests.
  void setRoutes(std::shared_ptr<const RouteTable> Routes);
  [[nodiscard]] const RouteTable *routes() const { return m_Routes.get(); }

  /// Handles a caller's request.
  void handle(const std::shared_ptr<net::HttpExchange> &Exchange);

  /// Lets waiting requests go where there is room, such as after new loads of
  /// other entries came.
  void processQueues();

  /// The entry was told to stop.
  /// \param End when the process ends at the latest.
  void beginStop(base::Millis End) {
    m_ShutdownPolicy.begin(m_Clock.now(), End);
  }

  [[nodiscard]] std::size_t inFlight() const { return m_ActiveRequests.size(); }

private:
  friend class ForwardedRequest;

  void refuse(net::HttpExchange &Exchange, const base::Error &Why,
              const std::string &Id);
  void requestEnded(std::uint64_t Token, const std::string &Service);
  void recordProgress(const std::string &Service, const std::string &Server);
  /// \returns whether another server of the service sent something lately.
  [[nodiscard]] bool otherServersProgress(const std::string &Service,
                                          const std::string &Server) const;
  /// \returns when a refused request of the service should come back.
  [[nodiscard]] base::Millis retryAfter(const std::string &Service) const;
  void armQueueTimer();
  /// \returns the service's room, bounded so that pauses stay on time.
  [[nodiscard]] ServerPool::ServiceUsage
  usage(const std::string &Service) const;
  void recordEventInterval(const std::string &Service, base::Millis Pause);

  Dependencies m_Dependencies;
  const RequestCodec m_Codec;
  const base::Clock m_Clock = base::steadyClock();
  std::shared_ptr<const RouteTable> m_Routes;
  std::unordered_map<std::uint64_t, std::shared_ptr<ForwardedRequest>>
      m_ActiveRequests;
  std::uint64_t m_NextToken = 1;
  ShutdownPolicy m_ShutdownPolicy;
  boost::asio::steady_timer m_QueueTimer;
  bool m_QueueTimerArmed = false;
  std::unordered_map<std::string, std::unordered_map<std::string, base::Millis>>
      m_Progress;
  metrics::Counter &m_Requests;
  metrics::Counter &m_Refused;
  metrics::Counter &m_Failed;
  metrics::Counter &m_RetriesSent;
  metrics::Histogram &m_FirstByte;
  metrics::Histogram &m_RequestDuration;
  metrics::Histogram &m_AdmissionWait;
  metrics::Histogram &m_EventIntervals;
};

} // namespace corneldeck::direct

#endif

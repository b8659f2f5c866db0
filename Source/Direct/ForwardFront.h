#ifndef CORNELDECK_DIRECT_FORWARDFRONT_H
#define CORNELDECK_DIRECT_FORWARDFRONT_H

#include "Base/Timeline.h"
#include "Direct/AdmissionGate.h"
#include "Direct/ForwardFlow.h"
#include "Direct/GroupWatch.h"
#include "Direct/PauseGovernor.h"
#include "Direct/RetryAllowance.h"
#include "Direct/RouteTable.h"
#include "Direct/StopWindow.h"
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

class ForwardCall;

/// What a caller's request says, apart from its method, path and body.
struct CallerRequest {
  std::string m_Id;
  std::string m_Host;
  /// Empty if the caller sent none.
  std::string m_Key;
  /// How long the caller waits; zero if it did not say.
  base::Millis m_Patience{};
  double m_PromptTokens = 0;
};

/// What an attempt adds to the caller's header fields.
struct AttemptTerms {
  std::string m_ServerId;
  std::string m_Customer;
  base::Millis m_TimeLeft{};
  /// The last event that the caller has; empty for what the caller sent.
  std::string m_LastEventId;
};

/// What the head of a backend server's answer says.
struct AnswerFacts {
  /// The request did not run.
  bool m_NotRun = false;
  /// Another server has the address.
  bool m_WrongServer = false;
  /// The answer bears the server's mark, without which a success is none.
  bool m_Signed = false;
};

/// Translates between callers, backend servers and this product. Each hook is
/// required.
struct ForwardCodec {
  std::function<base::Result<CallerRequest>(const net::HttpExchange &)>
      m_DecodeRequest;
  /// \returns the header fields to send to the backend server.
  std::function<net::HttpHeaders(const net::HttpExchange &,
                                 const AttemptTerms &)>
      m_EncodeRequest;
  /// \returns whether an answer belongs to the request named.
  std::function<bool(const net::HttpResponseHead &, const std::string &Id)>
      m_BelongsTo;
  std::function<AnswerFacts(const net::HttpResponseHead &)> m_ReadAnswer;
  /// \returns the answer's header fields that the caller gets.
  std::function<net::HttpHeaders(const net::HttpResponseHead &)> m_PassHeaders;
  /// \returns an answer of this product's own.
  std::function<net::HttpResponse(const base::Error &, base::Ran,
                                  const std::string &Id)>
      m_EncodeError;
};

/// Takes callers' requests and forwards them to backend servers.
///
/// The front checks route and key, asks the gate, and starts a ForwardCall for
/// each request that may go out. One thread runs it.
class ForwardFront {
public:
  /// The parts that the front uses; they must outlive it.
  struct Parts {
    boost::asio::io_context &m_Context;
    net::HttpClient &m_Client;
    ServerPool &m_Pool;
    AdmissionGate &m_Gate;
    RetryAllowance &m_Retries;
    PauseGovernor &m_Governor;
    GroupWatch &m_Groups;
    base::Timeline &m_Events;
    metrics::Registry &m_Metrics;
    base::Random &m_Draw;
  };

  ForwardFront(Parts Used, ForwardCodec Codec);
  ~ForwardFront();
  ForwardFront(const ForwardFront &) = delete;
  ForwardFront &operator=(const ForwardFront &) = delete;

  /// Puts a version of the configuration in force for new requests.
  void setRoutes(std::shared_ptr<const RouteTable> Routes);
  [[nodiscard]] const RouteTable *routes() const { return m_Routes.get(); }

  /// Handles a caller's request.
  void handle(const std::shared_ptr<net::HttpExchange> &Exchange);

  /// Lets waiting requests go where there is room, such as after new loads of
  /// other entries came.
  void advanceWaiting();

  /// The entry was told to stop.
  /// \param End when the process ends at the latest.
  void beginStop(base::Millis End) { m_Stop.begin(m_Clock.now(), End); }

  [[nodiscard]] std::size_t inFlight() const { return m_Calls.size(); }

private:
  friend class ForwardCall;

  void refuse(net::HttpExchange &Exchange, const base::Error &Why,
              const std::string &Id);
  void callEnded(std::uint64_t Token, const std::string &Service);
  void progress(const std::string &Service, const std::string &Server);
  /// \returns whether another server of the service sent something lately.
  [[nodiscard]] bool othersProgress(const std::string &Service,
                                    const std::string &Server) const;
  /// \returns when a refused request of the service should come back.
  [[nodiscard]] base::Millis retryAfter(const std::string &Service) const;
  void armGateTimer();
  /// \returns the service's room, bounded so that pauses stay on time.
  [[nodiscard]] ServerPool::ServiceRoom room(const std::string &Service) const;
  void notePause(const std::string &Service, base::Millis Pause);

  Parts m_Parts;
  const ForwardCodec m_Codec;
  const base::Clock m_Clock = base::steadyClock();
  std::shared_ptr<const RouteTable> m_Routes;
  std::unordered_map<std::uint64_t, std::shared_ptr<ForwardCall>> m_Calls;
  std::uint64_t m_NextToken = 1;
  StopWindow m_Stop;
  boost::asio::steady_timer m_GateTimer;
  bool m_GateTimerArmed = false;
  std::unordered_map<std::string, std::unordered_map<std::string, base::Millis>>
      m_Progress;
  metrics::Counter &m_Requests;
  metrics::Counter &m_Refused;
  metrics::Counter &m_Failed;
  metrics::Counter &m_RetriesSent;
  metrics::Histogram &m_FirstByte;
  metrics::Histogram &m_Total;
  metrics::Histogram &m_Waited;
  metrics::Histogram &m_Pauses;
};

} // namespace corneldeck::direct

#endif

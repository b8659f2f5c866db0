#ifndef CORNELDECK_NET_HTTPCLIENT_H
#define CORNELDECK_NET_HTTPCLIENT_H

#include "Base/Clock.h"
#include "Net/Http.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// A request to send, with its timeouts.
struct HttpCall {
  std::string m_Method = "GET";
  /// "ip:port".
  std::string m_Address;
  std::string m_Target = "/";
  /// The value of the Host field; if empty, m_Address is sent.
  std::string m_Host;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// Sent instead of m_Body if not null; not copied.
  std::shared_ptr<const std::string> m_SharedBody;
  /// Maximum time from the start of the request to the end of the response;
  /// zero for no limit.
  base::Millis m_Timeout = base::seconds(10);
  /// Maximum time without a received byte; zero for no limit.
  base::Millis m_ReadTimeout{};
  /// Maximum size of a body that fetch() collects, at most that of the client;
  /// a larger one ends the call and its connection.
  std::uint64_t m_MaxBodyBytes = std::numeric_limits<std::uint64_t>::max();
  /// Whether the request must not be sent on an idle connection.
  bool m_NeedsNewConnection = false;
  /// Called by fetch() with each piece of the body of a response with status
  /// 200; optional.
  std::function<void()> m_OnProgress;
};

/// The status and the header fields of a response.
struct HttpResponseHead {
  int m_Status = 0;
  HttpHeaders m_Headers;
};

/// Callbacks for the parts of a response. All are optional.
///
/// The code of a failure shows whether the request may have run:
/// ConnectionFailed if no byte of it was sent; Timeout or OutcomeUnknown if it
/// may have run; StreamBroken if the response is incomplete.
struct HttpCallbacks {
  std::function<void(const HttpResponseHead &)> m_OnHead;
  /// Called with each piece of the body, which is valid only during the call.
  std::function<void(std::string_view)> m_OnData;
  /// Called once, after all other callbacks.
  std::function<void(base::Result<void>)> m_OnEnd;
  /// \returns whether a response belongs to this request. Other responses, such
  /// as a late duplicate response to an earlier request, are discarded, and the
  /// connection is not reused.
  std::function<bool(const HttpResponseHead &)> m_IsExpectedResponse;
  /// Called directly before the request is written to a connection.
  /// \returns whether it may still be sent; if not, it ends with
  /// ConnectionFailed.
  std::function<bool()> m_MaySend = {};
};

/// The limits of a client.
struct HttpClientOptions {
  base::Millis m_ConnectTimeout = base::seconds(3);
  /// Connections that were idle for longer are not reused. Shorter than the
  /// servers' idle timeout, so that a request is rarely sent on a connection
  /// that is being closed.
  base::Millis m_MaxIdleTime = base::seconds(50);
  std::size_t m_MaxIdleConnectionsPerAddress = 256;
  std::uint32_t m_MaxHeadBytes = 64 * KiB;
  /// Maximum number of bytes of a call that do not belong to the body of its
  /// response: heads, the framing of chunks, trailers, and responses to other
  /// requests. A body of small chunks may have more, in proportion to its size.
  std::size_t m_MaxOverheadBytes = 256 * KiB;
  /// Maximum number of interim responses and responses to other requests in a
  /// call.
  unsigned m_MaxSkippedResponses = 16;
  /// Maximum size of a body that fetch() collects.
  std::uint64_t m_MaxBodyBytes = 64 * MiB;
};

namespace detail {
struct InFlightCall;
class HttpConnectionPool;
} // namespace detail

/// Handle of a request in flight, to cancel it.
class HttpCallHandle {
public:
  HttpCallHandle() = default;
  explicit HttpCallHandle(std::weak_ptr<detail::InFlightCall> Call);

  /// Closes the connection; no callback runs afterwards. Does nothing if the
  /// request has ended.
  void cancel();

  /// Cancels a request that has no response in time. Idle connections to its
  /// address are treated as after a timeout, see HttpClient.
  void cancelOverdue();

private:
  std::weak_ptr<detail::InFlightCall> m_Call;
};

/// An HTTP/1.1 client with a pool of persistent connections. Not thread-safe:
/// it uses one io_context that a single thread runs.
///
/// A request is never sent twice. It is moved to a new connection only if the
/// reused one turns out to be closed before any byte was written. If a request
/// times out on a reused connection without any byte, other connections to its
/// address that have been idle since before are not reused either.
class HttpClient {
public:
  /// A complete response.
  using Response = HttpResponse;
  using ResponseCallback = std::function<void(base::Result<Response>)>;

  explicit HttpClient(boost::asio::io_context &Context,
                      HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request and passes the parts of the response to \p Callbacks.
  HttpCallHandle request(HttpCall Call, HttpCallbacks Callbacks);

  /// Sends a request and collects the whole response. A body over the limit of
  /// the call fails with StreamBroken.
  HttpCallHandle fetch(HttpCall Call, ResponseCallback Callback);

  HttpCallHandle get(const std::string &Address, const std::string &Target,
                     base::Millis Timeout, ResponseCallback Callback);

  /// Sends a POST request with the JSON text \p Body.
  HttpCallHandle post(const std::string &Address, const std::string &Target,
                      std::string Body, base::Millis Timeout,
                      ResponseCallback Callback);

  /// Closes all connections. Requests in flight end without a callback.
  void stop();

private:
  std::shared_ptr<detail::HttpConnectionPool> m_Pool;
};

} // namespace corneldeck::net

#endif

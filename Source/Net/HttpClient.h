#ifndef CORNELDECK_NET_HTTPCLIENT_H
#define CORNELDECK_NET_HTTPCLIENT_H

#include "Base/Clock.h"
#include "Net/Http.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// A request to send.
struct HttpCall {
  std::string m_Method = "GET";
  /// "ip:port".
  std::string m_Address;
  std::string m_Target = "/";
  /// The value of the Host field; empty for the address.
  std::string m_Host;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// From the start to the end of the answer; zero for no bound.
  base::Millis m_Timeout = base::seconds(10);
  /// The longest time in which no byte comes; zero for no bound.
  base::Millis m_ReadTimeout{};
};

/// The first part of an answer.
struct HttpResponseHead {
  int m_Status = 0;
  HttpHeaders m_Headers;
};

/// Hooks for the parts of an answer; unset ones are skipped.
///
/// On failure, the code says whether the request may have run:
/// ConnectionFailed if no byte of it was sent; Timeout or OutcomeUnknown if it
/// may have run; StreamBroken if the answer began and did not end.
struct HttpCallbacks {
  std::function<void(const HttpResponseHead &)> m_OnHead;
  /// Called with each piece of the body, which is gone after the call.
  std::function<void(std::string_view)> m_OnData;
  /// Called once, last.
  std::function<void(base::Result<void>)> m_OnEnd;
  /// Says whether an answer belongs to this request. One that does not, such
  /// as a late second answer to an earlier request, is dropped, and the
  /// connection is not used again.
  std::function<bool(const HttpResponseHead &)> m_IsExpectedResponse;
};

/// The bounds of a client.
struct HttpClientOptions {
  base::Millis m_ConnectTimeout = base::seconds(3);
  /// Connections unused for longer are not used again. Less than the servers'
  /// idle timeout, so that a request seldom meets a closing connection.
  base::Millis m_MaxIdleTime = base::seconds(50);
  std::size_t m_MaxIdleConnectionsPerAddress = 256;
  std::uint32_t m_MaxHeadBytes = 64 * KiB;
  /// For fetch(), which gathers the body.
  std::uint64_t m_MaxBodyBytes = 64 * MiB;
};

namespace detail {
struct InFlightCall;
class HttpConnectionPool;
} // namespace detail

/// Cancels a request that was begun.
class HttpCallHandle {
public:
  HttpCallHandle() = default;
  explicit HttpCallHandle(std::weak_ptr<detail::InFlightCall> Call);

  /// Closes the connection; no hook is called afterwards. Does nothing if the
  /// request has ended.
  void cancel();

private:
  std::weak_ptr<detail::InFlightCall> m_Call;
};

/// An HTTP/1.1 client that keeps connections for reuse, on one io_context that
/// one thread runs.
///
/// A request is never sent twice: only if a kept connection turns out to be
/// closed before any byte was written is it sent on a new one.
class HttpClient {
public:
  /// A whole answer.
  using Response = HttpResponse;
  using ResponseCallback = std::function<void(base::Result<Response>)>;

  explicit HttpClient(boost::asio::io_context &Context,
                      HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request and hands out the answer in parts.
  HttpCallHandle request(HttpCall Call, HttpCallbacks Callbacks);

  /// Sends a request and gathers the answer.
  HttpCallHandle fetch(HttpCall Call, ResponseCallback Callback);

  HttpCallHandle get(const std::string &Address, const std::string &Target,
                     base::Millis Timeout, ResponseCallback Callback);

  /// Sends \p Body as JSON.
  HttpCallHandle post(const std::string &Address, const std::string &Target,
                      std::string Body, base::Millis Timeout,
                      ResponseCallback Callback);

  /// Closes all connections; requests in flight end without a hook.
  void stop();

private:
  std::shared_ptr<detail::HttpConnectionPool> m_Pool;
};

} // namespace corneldeck::net

#endif

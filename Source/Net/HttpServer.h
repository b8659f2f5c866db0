#ifndef CORNELDECK_NET_HTTPSERVER_H
#define CORNELDECK_NET_HTTPSERVER_H

#include "Base/Clock.h"
#include "Net/HttpExchange.h"
#include "Net/MemoryAccount.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace corneldeck::net {

/// The limits and timeouts of an HTTP server.
struct HttpServerOptions {
  /// Maximum number of connections. Above it, idle connections of the callers
  /// that have most are closed; without one, a new connection is refused.
  std::size_t m_MaxConnections = 10000;
  std::uint32_t m_MaxHeadBytes = 16 * KiB;
  std::uint64_t m_MaxBodyBytes = 8 * MiB;
  /// Maximum number of queued bytes of a streamed response. The connection is
  /// closed if a slow reader exceeds it.
  std::size_t m_MaxQueuedBytes = 4 * MiB;
  /// Maximum time from the first byte of a request to the end of its head.
  base::Millis m_HeadTimeout = base::seconds(10);
  /// Maximum time from the end of the head to the end of the body.
  base::Millis m_BodyTimeout = base::seconds(30);
  /// Maximum time between two requests on one connection.
  base::Millis m_IdleTimeout = base::seconds(75);
  /// Maximum time for a write without progress.
  base::Millis m_WriteTimeout = base::seconds(30);
  /// Sets SO_REUSEPORT, so that several servers, one per thread, can listen on
  /// one address.
  bool m_ReusePort = false;
  /// Receive buffer of a connection in the system, in bytes; the system's own
  /// choice if zero. In effect from listen().
  std::size_t m_ReceiveBufferBytes = 0;
  /// The account of what connections hold; unbounded if null. Taken by the
  /// constructor.
  std::shared_ptr<MemoryAccount> m_Memory;
};

/// An HTTP/1.1 server. Not thread-safe: it uses one io_context that a single
/// thread runs.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// \param Context runs the server and must outlive it.
  /// \param Handle is called with each complete request.
  HttpServer(boost::asio::io_context &Context, HttpServerOptions Options,
             Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Address, "ip:port"; port 0 selects a free port.
  /// \returns the bound address, or BadSettings or ConnectionFailed.
  base::Result<std::string> listen(const std::string &Address);

  /// Replaces the limits for requests that begin after this call.
  void setOptions(const HttpServerOptions &Options);

  /// Stops accepting connections; open connections are not affected.
  void stopAccepting();

  /// Closes each connection after its next response.
  void closeAfterResponses();

  /// Closes all connections, including those with requests in flight.
  void stop();

  /// \returns the number of open connections.
  [[nodiscard]] std::size_t connections() const;

  /// \returns the number of requests whose response is not complete.
  [[nodiscard]] std::size_t requestsInFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif

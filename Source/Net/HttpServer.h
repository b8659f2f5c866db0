#ifndef CORNELDECK_NET_HTTPSERVER_H
#define CORNELDECK_NET_HTTPSERVER_H

#include "Base/Clock.h"
#include "Net/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace corneldeck::net {

/// The bounds that an HTTP server sets to its callers.
struct HttpServerOptions {
  std::size_t m_MaxConnections = 10000;
  std::uint32_t m_MaxHeadBytes = 16 * KiB;
  std::uint64_t m_MaxBodyBytes = 8 * MiB;
  /// Streamed bytes that may wait for a slow reader before it is dropped.
  std::size_t m_MaxQueuedBytes = 4 * MiB;
  /// From the first byte of a request to the end of its head.
  base::Millis m_HeadTimeout = base::seconds(10);
  /// From the end of the head to the end of the body.
  base::Millis m_BodyTimeout = base::seconds(30);
  /// Between two requests on one connection.
  base::Millis m_IdleTimeout = base::seconds(75);
  /// For a write that makes no progress.
  base::Millis m_WriteTimeout = base::seconds(30);
  /// Lets several servers, one a thread, listen on one address.
  bool m_ReusePort = false;
};

/// An HTTP/1.1 server on one io_context that one thread runs.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// \param Context runs the server; it must outlive it.
  /// \param Handle is called with each whole request.
  HttpServer(boost::asio::io_context &Context, HttpServerOptions Options,
             Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p Address, "ip:port"; port 0 takes a free one.
  /// \returns the address in use, or the error.
  base::Result<std::string> listen(const std::string &Address);

  /// Sets other bounds, for requests that begin from now on.
  void setOptions(const HttpServerOptions &Options);

  /// Takes no new connections; open ones go on.
  void stopAccepting();

  /// From now on, each answer closes its connection.
  void closeAfterResponses();

  /// Closes all connections, also with requests in flight.
  void stop();

  /// \returns the number of open connections.
  [[nodiscard]] std::size_t connections() const;

  /// \returns the number of requests without a complete answer.
  [[nodiscard]] std::size_t requestsInFlight() const;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif

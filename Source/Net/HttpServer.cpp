#include "Net/HttpServer.h"

#include "Net/Endpoint.h"
#include "Net/HttpConnection.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

namespace corneldeck::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds TimeoutCheckInterval{250};
/// Delay before accepting again after an error, such as a lack of file
/// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context &Context, HttpServerOptions Options, Handler OnRequest)
      : m_Acceptor(Context), m_TimeoutTimer(Context),
        m_AcceptRetryTimer(Context),
        m_Shared(std::make_shared<detail::HttpServerShared>()) {
    m_Shared->m_Memory =
        Options.m_Memory ? Options.m_Memory : std::make_shared<MemoryAccount>();
    m_Shared->m_Options = std::move(Options);
    m_Shared->m_Handler = std::move(OnRequest);
  }

  base::Result<std::string> listen(const std::string &Address) {
    const auto Endpoint = parseEndpoint(Address);
    if (!Endpoint)
      return tl::make_unexpected(Endpoint.error());
    boost::system::error_code Code;
    open(*Endpoint, Code);
    if (Code)
      return base::failure(base::ResultCode::ConnectionFailed,
                           "cannot listen on " + Address + ": " +
                               Code.message() + "; choose a free address");
    m_Shared->m_OnClosed = [Self = weak_from_this()](auto *Connection) {
      if (const auto Locked = Self.lock())
        Locked->m_Connections.erase(Connection);
    };
    accept();
    scheduleTimeoutCheck();
    return formatEndpoint(m_Acceptor.local_endpoint());
  }

  void open(const tcp::endpoint &Endpoint, boost::system::error_code &Code) {
    m_Acceptor.open(Endpoint.protocol(), Code);
    if (Code)
      return;
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
    if (m_Shared->m_Options.m_ReusePort)
      m_Acceptor.set_option(ReusePort(true), Code);
    // Accepted connections inherit the size.
    if (const std::size_t Bytes = m_Shared->m_Options.m_ReceiveBufferBytes)
      m_Acceptor.set_option(
          asio::socket_base::receive_buffer_size(static_cast<int>(Bytes)),
          Code);
    m_Acceptor.bind(Endpoint, Code);
    if (Code)
      return;
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  }

  void accept() {
    m_Acceptor.async_accept(
        [Self = shared_from_this()](const boost::system::error_code &Code,
                                    tcp::socket Socket) {
          Self->onAccepted(Code, std::move(Socket));
        });
  }

  void onAccepted(const boost::system::error_code &Code, tcp::socket Socket) {
    if (!m_Acceptor.is_open())
      return;
    if (Code) {
      scheduleAcceptRetry();
      return;
    }
    addConnection(std::move(Socket));
    accept();
  }

  void scheduleAcceptRetry() {
    m_AcceptRetryTimer.expires_after(AcceptRetryDelay);
    m_AcceptRetryTimer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Code) {
          if (!Code && Self->m_Acceptor.is_open())
            Self->accept();
        });
  }

  void addConnection(tcp::socket Socket) {
    const std::size_t Limit = m_Shared->m_Options.m_MaxConnections;
    if (m_Connections.size() >= Limit)
      closeIdleConnections();
    // A refused connection stays open until the caller has read the response;
    // beyond MaxRefusedConnections, connections are closed at once.
    if (m_Connections.size() >= Limit + MaxRefusedConnections)
      return;
    const bool Full = m_Connections.size() >= Limit;
    auto Connection =
        std::make_shared<detail::HttpConnection>(std::move(Socket), m_Shared);
    m_Connections.emplace(Connection.get(), Connection);
    if (Full)
      Connection->refuse(
          errorResponse({base::ResultCode::Overloaded,
                         "too many connections; reuse them, or use "
                         "another address",
                         base::seconds(1)}));
    Connection->start();
  }

  /// Closes a part of the idle connections of the callers that have most, those
  /// that have been idle for longest first.
  void closeIdleConnections() {
    std::map<asio::ip::address, std::size_t> Counts;
    for (const auto &[Key, Connection] : m_Connections)
      ++Counts[Connection->address()];
    std::vector<std::shared_ptr<detail::HttpConnection>> Idle;
    for (const auto &[Key, Connection] : m_Connections)
      if (Connection->isIdle())
        Idle.push_back(Connection);
    std::sort(Idle.begin(), Idle.end(),
              [&](const auto &Left, const auto &Right) {
                const std::size_t LeftCount = Counts[Left->address()];
                const std::size_t RightCount = Counts[Right->address()];
                return LeftCount != RightCount
                           ? LeftCount > RightCount
                           : Left->idleSince() < Right->idleSince();
              });
    const std::size_t Closed =
        std::min(Idle.size(), m_Connections.size() / IdleCloseDivisor + 1);
    for (std::size_t Index = 0; Index < Closed; ++Index)
      Idle[Index]->cutOff(CallerLimit::Connections);
  }

  void scheduleTimeoutCheck() {
    m_TimeoutTimer.expires_after(TimeoutCheckInterval);
    m_TimeoutTimer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Code) {
          if (Code)
            return;
          Self->checkTimeouts();
          Self->scheduleTimeoutCheck();
        });
  }

  void checkTimeouts() {
    const base::Millis Now = m_Clock.now();
    for (const auto &Connection : copyConnections())
      Connection->checkTimeouts(Now);
  }

  void stop() {
    boost::system::error_code Code;
    m_Acceptor.close(Code);
    m_TimeoutTimer.cancel();
    m_AcceptRetryTimer.cancel();
    for (const auto &Connection : copyConnections())
      Connection->close();
  }

  /// \returns a copy of the connections, since closing one changes the map.
  std::vector<std::shared_ptr<detail::HttpConnection>> copyConnections() const {
    std::vector<std::shared_ptr<detail::HttpConnection>> Copy;
    Copy.reserve(m_Connections.size());
    for (const auto &[Key, Connection] : m_Connections)
      Copy.push_back(Connection);
    return Copy;
  }

  static constexpr std::size_t MaxRefusedConnections = 64;
  /// Several idle connections are closed at a time, since finding them takes a
  /// pass over all.
  static constexpr std::size_t IdleCloseDivisor = 32;

  tcp::acceptor m_Acceptor;
  asio::steady_timer m_TimeoutTimer;
  asio::steady_timer m_AcceptRetryTimer;
  const base::Clock m_Clock = base::steadyClock();
  std::shared_ptr<detail::HttpServerShared> m_Shared;
  std::unordered_map<detail::HttpConnection *,
                     std::shared_ptr<detail::HttpConnection>>
      m_Connections;
};

HttpServer::HttpServer(asio::io_context &Context, HttpServerOptions Options,
                       Handler OnRequest)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Options),
                                    std::move(OnRequest))) {}

HttpServer::~HttpServer() { m_Impl->stop(); }

base::Result<std::string> HttpServer::listen(const std::string &Address) {
  return m_Impl->listen(Address);
}

void HttpServer::setOptions(const HttpServerOptions &Options) {
  m_Impl->m_Shared->m_Options = Options;
}

void HttpServer::stopAccepting() {
  boost::system::error_code Code;
  m_Impl->m_Acceptor.close(Code);
}

void HttpServer::closeAfterResponses() {
  m_Impl->m_Shared->m_CloseAfterResponses = true;
}

void HttpServer::stop() { m_Impl->stop(); }

std::size_t HttpServer::connections() const {
  return m_Impl->m_Connections.size();
}

std::size_t HttpServer::requestsInFlight() const {
  return m_Impl->m_Shared->m_InFlight;
}

} // namespace corneldeck::net

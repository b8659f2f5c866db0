#ifndef CORNELDECK_NET_HTTPCONNECTION_H
#define CORNELDECK_NET_HTTPCONNECTION_H

#include "Net/HttpServer.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>

namespace corneldeck::net::detail {

class HttpConnection;

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// State that the connections of one server share.
struct HttpServerShared {
  /// Received bytes, from the read until they are parsed in the same handler.
  /// What is left then is copied into HttpConnection::m_Unparsed.
  std::array<char, 64 * KiB> m_ReadBuffer{};
  HttpServerOptions m_Options;
  HttpServer::Handler m_Handler;
  /// Called when a connection closes.
  std::function<void(HttpConnection *)> m_OnClosed;
  std::shared_ptr<MemoryAccount> m_Memory;
  std::size_t m_InFlight = 0;
  bool m_CloseAfterResponses = false;
};

/// The server side of one connection.
///
/// The connection waits for input also while a request is handled, to detect
/// that the caller closed the connection. Pipelined requests stay in m_Unparsed
/// until the response to the previous request is complete. No operation of the
/// system writes to memory of the connection: input is read in the handler that
/// parses it, so that responding at any time may consume m_Unparsed. An idle
/// connection holds no buffer.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(boost::asio::ip::tcp::socket Socket,
                 std::shared_ptr<HttpServerShared> Shared);

  void start();
  void close();
  /// Applies the timeouts: refuses a request that arrives too slowly, and
  /// closes an idle or stalled connection.
  void checkTimeouts(base::Millis Now);

  /// \returns the address of the caller.
  [[nodiscard]] const boost::asio::ip::address &address() const {
    return m_Address;
  }
  /// \returns whether no request was begun and no response is being sent.
  [[nodiscard]] bool isIdle() const;
  /// \returns the time since which the connection is idle, if it is.
  [[nodiscard]] base::Millis idleSince() const { return m_IdleSince; }
  /// Frees what the connection holds, because of \p Limit. A request that is
  /// not complete is refused; otherwise the connection is closed.
  void cutOff(CallerLimit Limit);

  /// Sends \p Response and closes the connection.
  void refuse(const HttpResponse &Response);

  // For HttpExchange.
  void sendResponse(int Status, const HttpHeaders &Headers,
                    std::string_view Body, const HttpRequest &Request);
  /// Sets a hook that runs once, when all queued bytes have been written or the
  /// connection is closed.
  void onWritten(std::function<void()> Hook);
  void sendHead(int Status, const HttpHeaders &Headers,
                const HttpRequest &Request);
  bool sendChunk(std::string_view Data);
  void sendEnd();
  /// Closes the connection if \p Exchange was destroyed before its response was
  /// complete.
  void onExchangeDropped(HttpExchange::Impl *Exchange);
  [[nodiscard]] std::size_t queuedBytes() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void waitForInput();
  void onReadable(const boost::system::error_code &Code);
  void readInput();
  /// Parses and dispatches requests, and keeps what is left in m_Unparsed.
  /// \param Received bytes that follow those in m_Unparsed.
  void process(std::string_view Received = {});
  /// \param Input the bytes to parse; those that were parsed are removed.
  /// \returns whether a request is complete.
  bool parseRequest(std::string_view &Input);
  /// \param Rest a part of m_Unparsed, or bytes to copy into it.
  void keepUnparsed(std::string_view Rest);
  void beginRequest();
  void onHead();
  void refuseUnparsable(const boost::system::error_code &Code);
  void refuseTooLarge(CallerLimit Limit);
  /// \returns whether the next request may be parsed.
  [[nodiscard]] bool mayParse() const;
  /// \returns the bytes that the connection holds, as allocated.
  [[nodiscard]] std::size_t heldBytes() const;
  /// Records what the connection holds. If all hold too much, some are cut off
  /// in a later handler.
  void updateAccount();
  void dispatch();
  void onResponseDone();
  void writeHead(int Status, const HttpHeaders &Headers, bool Close);
  void scheduleFlush();
  void flush();
  void writeSome();
  void onWriteDone(const boost::system::error_code &Code, std::size_t Count);
  void onWritesDone();
  void runWrittenHook();
  void shutdownSend();

  static constexpr base::Millis Never{std::numeric_limits<std::int64_t>::max()};

  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<HttpServerShared> m_Shared;
  const base::Clock m_Clock = base::steadyClock();
  std::string m_Remote;
  boost::asio::ip::address m_Address;
  /// Received bytes that are not parsed yet.
  std::string m_Unparsed;
  std::optional<Parser> m_Parser;
  /// Size of the header section, and the number of its fields and trailers.
  std::size_t m_HeadBytes = 0;
  std::size_t m_Fields = 0;
  /// Bytes of the request that is handled.
  std::size_t m_RequestBytes = 0;
  HttpExchange::Impl *m_Exchange = nullptr;
  std::function<void()> m_WrittenHook;
  base::Millis m_Deadline = Never;
  base::Millis m_WriteDeadline = Never;
  std::string m_Pending;
  std::string m_Writing;
  std::size_t m_WrittenBytes = 0;
  bool m_HeadDone = false;
  bool m_Chunked = false;
  bool m_IsHeadRequest = false;
  bool m_WaitingForInput = false;
  bool m_Processing = false;
  bool m_FlushPosted = false;
  bool m_WriteActive = false;
  bool m_CloseAfterWrite = false;
  bool m_CloseAfterEnd = false;
  bool m_Discarding = false;
  bool m_Closed = false;
  base::Millis m_IdleSince{};
  MemoryHolder m_Memory;
};

} // namespace corneldeck::net::detail

namespace corneldeck::net {

/// The state of one HttpExchange.
struct HttpExchange::Impl {
  detail::HttpRequest m_Request;
  std::string m_Remote;
  /// Null once the response is complete or the connection is closed.
  std::shared_ptr<detail::HttpConnection> m_Connection;
  std::function<void()> m_OnClosed;
  bool m_ResponseStarted = false;

  void onPeerClosed();
  /// Detaches the exchange from the connection when the response is complete.
  std::shared_ptr<detail::HttpConnection> releaseConnection();
};

} // namespace corneldeck::net

#endif

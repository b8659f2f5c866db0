#ifndef CORNELDECK_NET_HTTPCLIENTCONNECTION_H
#define CORNELDECK_NET_HTTPCLIENTCONNECTION_H

#include "Net/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace corneldeck::net::detail {

class HttpClientConnection;

/// One request in flight.
struct InFlightCall {
  HttpCall m_Request;
  HttpCallbacks m_Callbacks;
  std::weak_ptr<HttpClientConnection> m_Connection;
  /// Set once m_OnEnd is due, or after cancel(); no callback runs afterwards.
  bool m_Ended = false;
};

/// The connections of one client, in use and idle.
class HttpConnectionPool
    : public std::enable_shared_from_this<HttpConnectionPool> {
public:
  HttpConnectionPool(boost::asio::io_context &Context,
                     HttpClientOptions Options);

  void start(const std::shared_ptr<InFlightCall> &Call);
  /// Starts a request on a new connection, never on an idle one.
  void startOnNewConnection(const std::shared_ptr<InFlightCall> &Call);
  /// Keeps a connection for reuse; closes it if there are enough idle ones.
  void addIdle(const std::shared_ptr<HttpClientConnection> &Connection);
  /// Closes the connections to \p Address that have been idle since before
  /// \p Time.
  void closeIdle(const std::string &Address, base::Millis Time);
  void remove(const std::shared_ptr<HttpClientConnection> &Connection);
  void stop();

  boost::asio::io_context &m_Context;
  const HttpClientOptions m_Options;
  const base::Clock m_Clock = base::steadyClock();

private:
  std::shared_ptr<HttpClientConnection> takeIdle(const std::string &Address);

  bool m_Stopped = false;
  std::unordered_set<std::shared_ptr<HttpClientConnection>> m_Connections;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<HttpClientConnection>>>
      m_Idle;
};

/// The client side of one connection. It carries one request at a time.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  HttpClientConnection(const std::shared_ptr<HttpConnectionPool> &Pool,
                       std::string Address);

  void run(const std::shared_ptr<InFlightCall> &Call);
  void close();
  /// \returns whether the idle connection can be reused: it is open and has no
  /// unread data.
  [[nodiscard]] bool isUsable();
  /// If nothing was received since the request was sent on a connection that
  /// had been used before, closes the connections to the same address that have
  /// been idle since before: they may be silent too.
  void closeOthersIfSilent();

  const std::string m_Address;
  base::Millis m_IdleSince{};
  /// Idle timeout from the peer's Keep-Alive header; unlimited if it sent none.
  base::Millis m_PeerIdleTimeout{std::numeric_limits<std::int64_t>::max()};

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// Makes the next close() reset the connection, so that bytes of a request
  /// that the peer has not received yet are not delivered later.
  void discardUnsentBytes();
  void connect();
  void onConnected(const boost::system::error_code &Code);
  void write();
  void onWritten(const boost::system::error_code &Code, std::size_t Count);
  void read();
  void onRead(const boost::system::error_code &Code, std::size_t Count);
  void parse();
  bool parseSome();
  bool onHead();
  void beginResponse();
  /// Discards a response that does not end the call, and reads the next one.
  /// \returns false if the call has ended with an error.
  bool skipResponse();
  /// \returns whether the bytes beside the body are within their limit.
  [[nodiscard]] bool isOverheadAllowed() const;
  bool deliverBody();
  void onPeerClosed(const boost::system::error_code &Why);
  void armTimer();
  void onTimer();
  void succeed();
  void fail(base::ResultCode Code, const std::string &Message);
  void failAfterSending(const std::string &Message);

  std::weak_ptr<HttpConnectionPool> m_Pool;
  const HttpClientOptions m_Options;
  const base::Clock m_Clock = base::steadyClock();
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::shared_ptr<InFlightCall> m_Call;
  std::string m_RequestHead;
  base::Millis m_StartedAt{};
  base::Millis m_LastReadAt{};
  bool m_Connected = false;
  bool m_Reused = false;
  bool m_WriteStarted = false;
  bool m_WriteActive = false;
  bool m_HeadDone = false;
  /// The response being read belongs to another request and is discarded.
  bool m_IsStrayResponse = false;
  bool m_HadStrayResponse = false;
  unsigned m_SkippedResponses = 0;
  /// Bytes of the present call that were parsed: those of the body of its
  /// response, and all others.
  std::size_t m_BodyBytes = 0;
  std::size_t m_OverheadBytes = 0;
  bool m_Closed = false;
};

} // namespace corneldeck::net::detail

#endif

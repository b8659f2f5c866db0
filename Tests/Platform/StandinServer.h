#ifndef CORNELDECK_TESTS_PLATFORM_STANDINSERVER_H
#define CORNELDECK_TESTS_PLATFORM_STANDINSERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// How a stand-in backend server handles its next requests.
enum class Behavior {
  Serve,
  NotRun,               ///< 503 that reports that the request did not run, and
                        ///< names m_RetryAfter.
  WrongServer,          ///< 421.
  ServerError,          ///< A signed 500.
  Unsigned,             ///< A success without a signature.
  Reset,                ///< Runs the request and resets the connection.
  NoResponse,           ///< Runs the request and never responds.
  NoContentLength,      ///< A response that ends when the connection is closed.
  ResetNoContentLength, ///< The same, but the connection is reset.
  ForeignResponse, ///< The response to another request, then the correct one.
  Extra,           ///< A second response directly after the correct one.
  Malformed,       ///< Bytes that are not an HTTP response.
  TruncatedStream, ///< Truncates a stream within its third event.
  // Each of these sends bytes until the caller closes the connection.
  EndlessHead,     ///< Header fields.
  EndlessField,    ///< One header field.
  EndlessInterim,  ///< Interim responses.
  EndlessBody,     ///< A signed body without a length.
  EndlessChunk,    ///< The extension of a chunk.
  EndlessTrailer,  ///< Trailer fields after a complete chunked body.
  EndlessForeign,  ///< The body of the response to another request.
  EndlessEvent,    ///< One event of a stream.
  EndlessComments, ///< Comment lines between the events of a stream.
  // Each of these ends a stream or a connection in a way that only some tests
  // expect.
  /// Repeats an earlier refusal before the response to the request that runs.
  StaleRefusal,
  /// The same, but the refusal does not name its request.
  UnnamedRefusal,
  /// The same, but 421.
  UnnamedWrongServer,
  LateRefusal,  ///< Sends an earlier refusal after the response, while no
                ///< request is under way.
  ClientError,  ///< A signed 400.
  Redirect,     ///< A signed 302.
  OtherContent, ///< A signed success of another content type than a stream.
  ErrorEvents,  ///< A signed stream whose only event has no id.
  Restarted,    ///< A stream that starts anew at its first event.
  Skipping,     ///< A stream that continues two events too late.
  /// A stream without a length and chunks that ends with its connection.
  UnframedStream,
  /// The same, but it ends within its third event.
  UnframedTruncatedStream,
  /// The same, but the connection ends after the head.
  UnframedEmptyStream,
};

/// One request as the server received it.
struct ReceivedRequest {
  std::string m_Id;
  std::string m_Line;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  bool m_Ran = false;
  std::chrono::steady_clock::time_point m_ReceivedAt;
  /// Value of the rate limit in the response; empty if the response named none.
  std::string m_NamedLimit;
  /// Whether the response refused the request and named a time in which the
  /// server wants no others.
  bool m_NamesPause = false;
};

/// Stands in for a backend server: sends a signed response to each request on
/// persistent connections, or injects a fault.
class StandinServer {
public:
  StandinServer(boost::asio::io_context &Context, std::string Id,
                std::string Service);

  std::string listen();
  void stop();
  /// Closes all connections in order, as a process that crashes.
  void crash();
  [[nodiscard]] bool hasEnded() const { return !m_Acceptor.is_open(); }
  /// Forgets all state and starts again under the same id.
  /// \param StartTime wall-clock time of the start in milliseconds.
  void restart(std::uint64_t StartTime);
  /// Ignores requests on the connections that are open now, without closing
  /// them. Later connections work.
  void silenceOpenConnections() { ++m_Silenced; }

  [[nodiscard]] const std::string &id() const { return m_Id; }
  [[nodiscard]] const std::string &address() const { return m_Address; }
  /// Returns the record with which the server registers itself.
  /// \param Sequence the number of the record in this start of the server.
  [[nodiscard]] std::string record(const std::string &State = "ready",
                                   int Sequence = 1) const;
  [[nodiscard]] int runs(const std::string &Request) const;

  Behavior m_Behavior = Behavior::Serve;
  /// Number of events of a stream, and the milliseconds between two events.
  int m_Events = 5;
  int m_EventPause = 5;
  /// Rate limit that all responses name; empty for none.
  std::string m_NamedLimit;
  /// Whether all responses say that the server leaves.
  bool m_IsLeaving = false;
  /// Bytes after which an endless response pauses until the caller closes the
  /// connection; zero for none.
  std::size_t m_EndlessLimit = 0;
  /// Size of the body of a response, at least; its text is repeated.
  std::size_t m_BodyBytes = 0;
  /// The availability zone that the server registers with.
  std::string m_Zone = "a";
  /// Remaining warm-up time that the record names, in milliseconds; none if
  /// negative.
  int m_WarmUpRemaining = -1;
  /// The capacity that the server registers with.
  unsigned m_Capacity = 8;
  /// Seconds in which the server wants no requests after a refusal; empty for
  /// none.
  std::string m_RetryAfter;
  /// The server ends when it begins to write the response to a request with one
  /// of these parts in its prompt, other than the last; hexadecimal ids.
  std::set<std::string> m_FatalParts;
  /// Time from the arrival of such a request to the end, in milliseconds.
  int m_FatalDelay = 5;
  /// Called after the server has ended in this way.
  std::function<void()> m_OnEnded;
  std::vector<ReceivedRequest> m_Received;
  /// Number of connections that the caller closed while its request was
  /// running.
  int m_Disconnects = 0;
  int m_Connections = 0;
  /// Bytes of endless responses that the operating system has accepted.
  std::size_t m_EndlessBytes = 0;
  /// Number of endless responses that are being sent.
  int m_EndlessResponses = 0;

private:
  class Connection;

  void accept();

  boost::asio::io_context &m_Context;
  const std::string m_Id;
  const std::string m_Service;
  std::string m_Address;
  std::uint64_t m_StartTime = 1;
  /// Number of calls of silenceOpenConnections().
  unsigned m_Silenced = 0;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::vector<std::weak_ptr<Connection>> m_Open;
};

} // namespace corneldeck::tests

#endif

#include "StandinServer.h"

#include "Net/Endpoint.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>

namespace corneldeck::tests {

namespace asio = boost::asio;

/// One connection. Uses raw sockets, so that a response can be truncated at any
/// byte.
class StandinServer::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(StandinServer &Server, asio::ip::tcp::socket Socket)
      : m_Server(Server), m_SilencedBefore(Server.m_Silenced),
        m_Socket(std::move(Socket)), m_Timer(Server.m_Context) {}

  void readHead() {
    asio::async_read_until(
        m_Socket, m_Buffer, "\r\n\r\n",
        [Self = shared_from_this()](const boost::system::error_code &Code,
                                    std::size_t Count) {
          if (!Code)
            Self->onHead(Count);
        });
  }

  void reset() {
    boost::system::error_code Ignored;
    m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

  void close() {
    boost::system::error_code Ignored;
    m_Timer.cancel();
    m_Socket.close(Ignored);
  }

private:
  void onHead(std::size_t Count) {
    if (m_SilencedBefore != m_Server.m_Silenced) {
      m_Buffer.consume(m_Buffer.size());
      readHead();
      return;
    }
    std::string Head(asio::buffers_begin(m_Buffer.data()),
                     asio::buffers_begin(m_Buffer.data()) +
                         static_cast<std::ptrdiff_t>(Count));
    m_Buffer.consume(Count);
    m_Request = {};
    std::istringstream Lines(Head);
    std::getline(Lines, m_Request.m_Line);
    for (std::string Line; std::getline(Lines, Line) && Line != "\r";) {
      const std::size_t Colon = Line.find(": ");
      m_Request.m_Headers[Line.substr(0, Colon)] =
          Line.substr(Colon + 2, Line.size() - Colon - 3);
    }
    m_Request.m_Id = m_Request.m_Headers["Attempt-Id"];
    const std::string Length = m_Request.m_Headers["Content-Length"];
    const std::size_t Wanted = Length.empty() ? 0 : std::stoul(Length);
    const std::size_t Missing =
        Wanted > m_Buffer.size() ? Wanted - m_Buffer.size() : 0;
    asio::async_read(m_Socket, m_Buffer, asio::transfer_exactly(Missing),
                     [Self = shared_from_this(), Wanted](
                         const boost::system::error_code &Code, std::size_t) {
                       if (!Code)
                         Self->onBody(Wanted);
                     });
  }

  void onBody(std::size_t Size) {
    m_Request.m_Body.assign(asio::buffers_begin(m_Buffer.data()),
                            asio::buffers_begin(m_Buffer.data()) +
                                static_cast<std::ptrdiff_t>(Size));
    m_Buffer.consume(Size);
    const std::string Expected = m_Request.m_Headers["Expected-Instance"];
    const bool IsOtherServer = !Expected.empty() && Expected != m_Server.m_Id;
    const Behavior Mode =
        IsOtherServer ? Behavior::WrongServer : m_Server.m_Behavior;
    m_Request.m_ReceivedAt = std::chrono::steady_clock::now();
    m_Request.m_NamedLimit = m_Server.m_NamedLimit;
    m_Request.m_Ran = Mode != Behavior::NotRun && Mode != Behavior::WrongServer;
    m_Request.m_NamesPause =
        Mode == Behavior::NotRun && !m_Server.m_RetryAfter.empty();
    m_Server.m_Received.push_back(m_Request);
    if (m_Request.m_Ran && isFatal()) {
      end();
      return;
    }
    respond(Mode);
  }

  /// Returns whether a part of the prompt other than the last ends the server.
  [[nodiscard]] bool isFatal() const {
    const auto Prompt = m_Request.m_Headers.find("Prefix-Hash");
    if (Prompt == m_Request.m_Headers.end())
      return false;
    std::istringstream Parts(Prompt->second);
    std::string Last;
    bool IsFatal = false;
    for (std::string Part; std::getline(Parts, Part, ',');) {
      IsFatal |= m_Server.m_FatalParts.contains(Last);
      Last = Part.substr(0, Part.find(':'));
    }
    return IsFatal;
  }

  /// Sends the head of a response, and one event if the stream ends with its
  /// connection, and ends the server.
  void end() {
    m_Out = m_Server.m_Behavior == Behavior::UnframedStream
                ? signedHead(200, "Content-Type: text/event-stream\r\n\r\n") +
                      eventText(1)
                : signedHead(200, "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
    asio::async_write(m_Socket, asio::buffer(m_Out),
                      [Self = shared_from_this()](
                          const boost::system::error_code &, std::size_t) {
                        Self->m_Timer.expires_after(std::chrono::milliseconds(
                            Self->m_Server.m_FatalDelay));
                        Self->m_Timer.async_wait(
                            [Self](const boost::system::error_code &Stopped) {
                              if (!Stopped)
                                Self->m_Server.crash();
                            });
                      });
  }

  [[nodiscard]] std::string head(int Status, const std::string &Extra) const {
    std::string Head = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
    Head += "Attempt-Id: " + m_Request.m_Id + "\r\n";
    if (!m_Request.m_NamedLimit.empty())
      Head += "Server-Limit: " + m_Request.m_NamedLimit + "\r\n";
    if (m_Server.m_IsLeaving)
      Head += "Server-Leaving: 1\r\n";
    return Head + Extra;
  }

  [[nodiscard]] std::string signedHead(int Status,
                                       const std::string &Extra) const {
    return head(Status, "Response-Signature: " + m_Server.m_Id + "." +
                            m_Request.m_Id + "\r\n" + Extra);
  }

  [[nodiscard]] std::string completeResponse(int Status,
                                             const std::string &Body) const {
    return signedHead(Status, "Content-Length: " + std::to_string(Body.size()) +
                                  "\r\n\r\n") +
           Body;
  }

  [[nodiscard]] bool isStream() const {
    return m_Request.m_Line.find("/stream/") != std::string::npos;
  }

  [[nodiscard]] std::string body() const {
    std::string Text = "body of " + m_Request.m_Id + " from " + m_Server.m_Id;
    Text.resize(std::max(Text.size(), m_Server.m_BodyBytes), '.');
    return Text;
  }

  static std::string refusal(int Status, const std::string &Id) {
    std::string Head = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
    if (!Id.empty())
      Head.append("Attempt-Id: ").append(Id).append("\r\n");
    return Head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /// Sends \p Refusal, and the response to the request that runs some time
  /// later.
  void sendAfterRefusal(const std::string &Refusal) {
    m_Out = Refusal;
    asio::async_write(
        m_Socket, asio::buffer(m_Out),
        [Self = shared_from_this()](const boost::system::error_code &,
                                    std::size_t) {
          Self->m_Timer.expires_after(std::chrono::milliseconds(30));
          Self->m_Timer.async_wait([Self](const boost::system::error_code &) {
            Self->send(Self->completeResponse(200, Self->body()));
          });
        });
  }

  /// Responds, and sends an earlier refusal while the connection is idle.
  void sendBeforeRefusal() {
    send(completeResponse(200, body()));
    m_Timer.expires_after(std::chrono::milliseconds(5));
    m_Timer.async_wait([Self = shared_from_this()](
                           const boost::system::error_code &) {
      const auto Late = std::make_shared<std::string>(refusal(503, "earlier"));
      asio::async_write(
          Self->m_Socket, asio::buffer(*Late),
          [Self, Late](const boost::system::error_code &, std::size_t) {});
    });
  }

  /// Sends a part of the head of a response and ends the connection. The header
  /// field X-Cut-Head of the request says how many bytes, how the response is
  /// framed and how the connection ends: "BYTES length|chunks|close fin|reset".
  /// At least one byte is missing.
  void cutHead(const std::string &Order) {
    std::istringstream Words(Order);
    std::size_t Bytes = 0;
    std::string Framing;
    std::string Ending;
    Words >> Bytes >> Framing >> Ending;
    std::string Extra = isStream() ? "Content-Type: text/event-stream\r\n" : "";
    if (Framing == "length")
      Extra += "Content-Length: 20\r\n";
    else if (Framing == "chunks")
      Extra += "Transfer-Encoding: chunked\r\n";
    const std::string Head = signedHead(200, Extra + "\r\n");
    sendAndClose(Head.substr(0, std::min(Bytes, Head.size() - 1)),
                 Ending == "reset");
  }

  void respond(Behavior Mode) {
    if (const std::string Order = m_Request.m_Headers["X-Cut-Head"];
        !Order.empty()) {
      cutHead(Order);
      return;
    }
    if (Mode == Behavior::UnframedStream ||
        Mode == Behavior::UnframedTruncatedStream ||
        Mode == Behavior::UnframedEmptyStream) {
      sendUnframed(Mode);
      return;
    }
    const bool Streams = (isStream() && Mode == Behavior::Serve) ||
                         Mode == Behavior::Restarted ||
                         Mode == Behavior::Skipping;
    if (Streams || Mode == Behavior::TruncatedStream) {
      m_IsTruncated = Mode == Behavior::TruncatedStream;
      startEvents();
      return;
    }
    switch (Mode) {
    case Behavior::Serve:
      send(completeResponse(200, body()));
      return;
    case Behavior::NotRun:
      send(head(503, (m_Server.m_RetryAfter.empty()
                          ? std::string()
                          : "Retry-After: " + m_Server.m_RetryAfter + "\r\n") +
                         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      return;
    case Behavior::WrongServer:
      send(head(421, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      return;
    case Behavior::ServerError:
      send(completeResponse(500, "failed"));
      return;
    case Behavior::Unsigned:
      send(head(200, "Content-Length: 2\r\n\r\nno"));
      return;
    case Behavior::Reset:
      reset();
      return;
    case Behavior::NoResponse:
      watchDisconnect();
      return;
    case Behavior::NoContentLength:
      sendAndClose(signedHead(200, "\r\n") + body(), false);
      return;
    case Behavior::ResetNoContentLength:
      sendAndClose(signedHead(200, "\r\n") + body(), true);
      return;
    case Behavior::ForeignResponse: {
      const std::string Own = completeResponse(200, body());
      send("HTTP/1.1 200 X\r\nAttempt-Id: other\r\nResponse-Signature: "
           "other\r\nContent-Length: 5\r\n\r\nother" +
           Own);
      return;
    }
    case Behavior::Extra:
      send(completeResponse(200, body()) + completeResponse(200, "extra"));
      return;
    case Behavior::Malformed:
      sendAndClose("\x01\x02 no answer at all \r\n\r\n", false);
      return;
    case Behavior::StaleRefusal:
      sendAfterRefusal(refusal(503, "earlier"));
      return;
    case Behavior::UnnamedRefusal:
      sendAfterRefusal(refusal(503, ""));
      return;
    case Behavior::UnnamedWrongServer:
      sendAfterRefusal(refusal(421, ""));
      return;
    case Behavior::LateRefusal:
      sendBeforeRefusal();
      return;
    case Behavior::ClientError:
      send(completeResponse(400, "cannot resume\n\n"));
      return;
    case Behavior::Redirect:
      send(signedHead(302, "Location: /\r\nContent-Length: 0\r\n\r\n"));
      return;
    case Behavior::OtherContent: {
      const std::string Text = "{\"error\":\"cannot resume\"}\n\n";
      send(signedHead(200, "Content-Type: application/json\r\n"
                           "Content-Length: " +
                               std::to_string(Text.size()) + "\r\n\r\n") +
           Text);
      return;
    }
    case Behavior::ErrorEvents: {
      const std::string Text = "event: error\ndata: cannot resume\n\n";
      send(signedHead(200, "Content-Type: text/event-stream\r\n"
                           "Content-Length: " +
                               std::to_string(Text.size()) + "\r\n\r\n") +
           Text);
      return;
    }
    case Behavior::TruncatedStream:
    case Behavior::Restarted:
    case Behavior::Skipping:
      return;
    default:
      break;
    }
    const auto [Begin, Block] = endless(Mode);
    ++m_Server.m_EndlessResponses;
    m_Block = Block;
    m_Out = Begin;
    m_EndlessSent = 0;
    sendEndless();
  }

  /// Returns the begin of an endless response and the text that follows again
  /// and again.
  [[nodiscard]] std::pair<std::string, std::string>
  endless(Behavior Mode) const {
    const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Letters(100, 'x');
    switch (Mode) {
    case Behavior::EndlessHead:
      return {signedHead(200, ""), "X-Field: " + Letters + "\r\n"};
    case Behavior::EndlessField:
      return {signedHead(200, "X-Field: "), Letters};
    case Behavior::EndlessInterim:
      return {"", "HTTP/1.1 102 Processing\r\n\r\n"};
    case Behavior::EndlessBody:
      return {signedHead(200, "\r\n"), Letters};
    case Behavior::EndlessChunk:
      return {signedHead(200, Chunked) + "1;", Letters};
    case Behavior::EndlessTrailer:
      return {signedHead(200, Chunked) + "1\r\nx\r\n0\r\n",
              "X-Field: " + Letters + "\r\n"};
    case Behavior::EndlessForeign:
      return {"HTTP/1.1 200 X\r\nAttempt-Id: other\r\n\r\n", Letters};
    case Behavior::EndlessEvent:
      return {signedHead(200, Chunked) + "7fffffff\r\ndata: ", Letters};
    case Behavior::EndlessComments:
      return {signedHead(200, Chunked) + "7fffffff\r\n", ": \n"};
    default:
      return {};
    }
  }

  /// Sends a stream that ends with its connection.
  void sendUnframed(Behavior Mode) {
    const std::string Last = m_Request.m_Headers["Last-Event-Id"];
    std::string Events;
    if (Mode != Behavior::UnframedEmptyStream)
      for (int Event = Last.empty() ? 1 : std::stoi(Last) + 1;
           Event <= m_Server.m_Events; ++Event)
        Events += eventText(Event);
    if (Mode == Behavior::UnframedTruncatedStream)
      Events.resize(Events.find("id: 3") + 10);
    sendAndClose(signedHead(200, "Content-Type: text/event-stream\r\n\r\n") +
                     Events,
                 false);
  }

  static std::string eventText(int Event) {
    return "id: " + std::to_string(Event) +
           "\ndata: " + std::to_string(Event * 7) + "\n\n";
  }

  void sendEndless() {
    constexpr std::size_t BlockBytes = 64UL * 1024;
    while (m_Out.size() < BlockBytes)
      m_Out += m_Block;
    asio::async_write(
        m_Socket, asio::buffer(m_Out),
        [Self = shared_from_this()](const boost::system::error_code &Code,
                                    std::size_t Count) {
          Self->m_Server.m_EndlessBytes += Count;
          Self->m_EndlessSent += Count;
          if (!Code && Self->m_Server.m_EndlessLimit > 0 &&
              Self->m_EndlessSent >= Self->m_Server.m_EndlessLimit) {
            Self->waitForClose();
            return;
          }
          if (Code) {
            --Self->m_Server.m_EndlessResponses;
            return;
          }
          Self->m_Out.clear();
          Self->sendEndless();
        });
  }

  void waitForClose() {
    m_Socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [Self = shared_from_this()](const boost::system::error_code &) {
          --Self->m_Server.m_EndlessResponses;
        });
  }

  void send(const std::string &Bytes) {
    m_Out = Bytes;
    asio::async_write(m_Socket, asio::buffer(m_Out),
                      [Self = shared_from_this()](
                          const boost::system::error_code &Code, std::size_t) {
                        if (!Code)
                          Self->readHead();
                      });
  }

  void sendAndClose(const std::string &Bytes, bool Reset) {
    m_Out = Bytes;
    asio::async_write(m_Socket, asio::buffer(m_Out),
                      [Self = shared_from_this(),
                       Reset](const boost::system::error_code &, std::size_t) {
                        // Let the bytes be sent before the connection is
                        // closed.
                        Self->m_Timer.expires_after(
                            std::chrono::milliseconds(20));
                        Self->m_Timer.async_wait(
                            [Self, Reset](const boost::system::error_code &) {
                              boost::system::error_code Ignored;
                              if (Reset)
                                Self->reset();
                              else
                                Self->m_Socket.close(Ignored);
                            });
                      });
  }

  /// Detects that the caller closes the connection while a request runs.
  void watchDisconnect() {
    m_WatchingDisconnect = true;
    m_Socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [Self = shared_from_this()](const boost::system::error_code &Code) {
          if (Code || !Self->m_WatchingDisconnect)
            return;
          boost::system::error_code Ignored;
          if (Self->m_Socket.available(Ignored) == 0) {
            ++Self->m_Server.m_Disconnects;
            Self->m_Timer.cancel();
            Self->m_Socket.close(Ignored);
          }
        });
  }

  void startEvents() {
    const std::string Last = m_Request.m_Headers["Last-Event-Id"];
    m_NextEvent = Last.empty() ? 1 : std::stoi(Last) + 1;
    if (m_Server.m_Behavior == Behavior::Restarted)
      m_NextEvent = 1;
    else if (m_Server.m_Behavior == Behavior::Skipping && !Last.empty())
      m_NextEvent += 2;
    m_Out = signedHead(200, "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
    watchDisconnect();
    asio::async_write(m_Socket, asio::buffer(m_Out),
                      [Self = shared_from_this()](
                          const boost::system::error_code &Code, std::size_t) {
                        if (!Code)
                          Self->nextEvent();
                      });
  }

  static std::string chunk(const std::string &Data) {
    std::ostringstream Out;
    Out << std::hex << Data.size() << "\r\n" << Data << "\r\n";
    return Out.str();
  }

  void nextEvent() {
    if (m_NextEvent > m_Server.m_Events) {
      m_WatchingDisconnect = false;
      send("0\r\n\r\n");
      return;
    }
    std::string Event = eventText(m_NextEvent);
    if (m_Server.m_Behavior == Behavior::Restarted)
      Event.insert(Event.find("data: ") + 6, "other ");
    constexpr int CutAt = 3;
    const bool Cut =
        (m_IsTruncated || m_Server.m_Behavior == Behavior::TruncatedStream) &&
        m_NextEvent == CutAt;
    ++m_NextEvent;
    m_Out = chunk(Cut ? Event.substr(0, Event.size() / 2) : Event);
    asio::async_write(
        m_Socket, asio::buffer(m_Out),
        [Self = shared_from_this(), Cut](const boost::system::error_code &Code,
                                         std::size_t) {
          if (Code)
            return;
          Self->m_Timer.expires_after(
              std::chrono::milliseconds(Self->m_Server.m_EventPause));
          Self->m_Timer.async_wait(
              [Self, Cut](const boost::system::error_code &Stopped) {
                if (Stopped)
                  return;
                if (Cut)
                  Self->reset();
                else
                  Self->nextEvent();
              });
        });
  }

  StandinServer &m_Server;
  /// Value of StandinServer::m_Silenced when the connection was opened.
  const unsigned m_SilencedBefore;
  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  asio::streambuf m_Buffer;
  ReceivedRequest m_Request;
  std::string m_Out;
  /// Text of an endless response.
  std::string m_Block;
  std::size_t m_EndlessSent = 0;
  int m_NextEvent = 1;
  /// Whether the stream is truncated even if the server behaves differently
  /// meanwhile.
  bool m_IsTruncated = false;
  bool m_WatchingDisconnect = false;
};

StandinServer::StandinServer(asio::io_context &Context, std::string Id,
                             std::string Service)
    : m_Context(Context), m_Id(std::move(Id)), m_Service(std::move(Service)),
      m_Acceptor(Context) {}

std::string StandinServer::listen() {
  const asio::ip::tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  m_Acceptor.open(Any.protocol());
  m_Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  m_Acceptor.bind(Any);
  m_Acceptor.listen();
  m_Address = net::formatEndpoint(m_Acceptor.local_endpoint());
  accept();
  return m_Address;
}

void StandinServer::accept() {
  m_Acceptor.async_accept([this](const boost::system::error_code &Code,
                                 asio::ip::tcp::socket Socket) {
    if (Code)
      return;
    ++m_Connections;
    auto Added = std::make_shared<Connection>(*this, std::move(Socket));
    m_Open.push_back(Added);
    Added->readHead();
    accept();
  });
}

void StandinServer::stop() {
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (const auto &Each : m_Open)
    if (const auto Open = Each.lock())
      Open->reset();
}

void StandinServer::crash() {
  if (hasEnded())
    return;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (const auto &Each : m_Open)
    if (const auto Open = Each.lock())
      Open->close();
  m_Open.clear();
  if (m_OnEnded)
    m_OnEnded();
}

void StandinServer::restart(std::uint64_t StartTime) {
  for (const auto &Each : m_Open)
    if (const auto Open = Each.lock())
      Open->reset();
  m_Open.clear();
  m_StartTime = StartTime;
  m_NamedLimit.clear();
  m_IsLeaving = false;
}

std::string StandinServer::record(const std::string &State,
                                  int Sequence) const {
  nlohmann::json Record = {{"backend", m_Service},     {"address", m_Address},
                           {"zone", m_Zone},           {"capacity", m_Capacity},
                           {"lifecycle-state", State}, {"sequence", Sequence},
                           {"born", m_StartTime}};
  if (m_WarmUpRemaining >= 0)
    Record["warmup-remaining-ms"] = m_WarmUpRemaining;
  return Record.dump();
}

int StandinServer::runs(const std::string &Request) const {
  return static_cast<int>(std::count_if(
      m_Received.begin(), m_Received.end(), [&](const ReceivedRequest &Each) {
        return Each.m_Ran && Each.m_Id == Request;
      }));
}

} // namespace corneldeck::tests

#include "Net/HttpClientConnection.h"

#include "Net/Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <sys/socket.h>

namespace corneldeck::net::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * KiB;
constexpr std::size_t MaxRetainedBufferBytes = 64 * KiB;
constexpr unsigned FirstFinalStatus = 200;

const std::string &bodyOf(const HttpCall &Call) {
  return Call.m_SharedBody ? *Call.m_SharedBody : Call.m_Body;
}

std::string formatHead(const HttpCall &Call) {
  constexpr std::size_t HeadEstimate = 512;
  std::string Out;
  Out.reserve(HeadEstimate);
  Out.append(Call.m_Method).append(" ").append(Call.m_Target);
  Out.append(" HTTP/1.1\r\nHost: ")
      .append(Call.m_Host.empty() ? Call.m_Address : Call.m_Host)
      .append("\r\n");
  for (const HttpHeader &Header : Call.m_Headers)
    Out.append(Header.m_Name)
        .append(": ")
        .append(Header.m_Value)
        .append("\r\n");
  if (!bodyOf(Call).empty() || Call.m_Method != "GET")
    Out.append("Content-Length: ")
        .append(std::to_string(bodyOf(Call).size()))
        .append("\r\n");
  Out.append("\r\n");
  return Out;
}

/// \returns the peer's idle timeout from its Keep-Alive header, less a margin
/// for the transit of a request; none if the peer sent none.
std::optional<base::Millis> peerIdleTimeout(const HttpHeaders &Headers) {
  constexpr std::string_view Name = "timeout=";
  constexpr base::Millis TransitMargin{500};
  const std::string_view Value = findHeader(Headers, "Keep-Alive");
  const std::size_t At = Value.find(Name);
  if (At == std::string_view::npos)
    return std::nullopt;
  const std::string_view Digits = Value.substr(At + Name.size());
  std::int64_t Seconds = 0;
  if (std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds)
          .ec != std::errc())
    return std::nullopt;
  return std::max(base::seconds(Seconds) - TransitMargin, base::Millis(0));
}

HttpResponseHead readHead(const http::response<http::string_body> &Message) {
  HttpResponseHead Head;
  Head.m_Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Head.m_Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Head;
}

} // namespace

HttpClientConnection::HttpClientConnection(
    const std::shared_ptr<HttpConnectionPool> &Pool, std::string Address)
    : m_Address(std::move(Address)), m_Pool(Pool), m_Options(Pool->m_Options),
      m_Socket(Pool->m_Context), m_Timer(Pool->m_Context) {}

void HttpClientConnection::run(const std::shared_ptr<InFlightCall> &Call) {
  m_Call = Call;
  Call->m_Connection = weak_from_this();
  m_Reused = m_Connected;
  m_WriteStarted = false;
  m_StartedAt = m_Clock.now();
  m_LastReadAt = m_StartedAt;
  m_SkippedResponses = 0;
  m_BodyBytes = 0;
  m_OverheadBytes = 0;
  beginResponse();
  armTimer();
  if (m_Connected)
    write();
  else
    connect();
}

void HttpClientConnection::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  const auto Self = shared_from_this();
  m_Timer.cancel();
  boost::system::error_code Code;
  if (m_Call)
    discardUnsentBytes();
  m_Socket.close(Code);
  m_Call.reset();
  if (const auto Pool = m_Pool.lock())
    Pool->remove(Self);
}

void HttpClientConnection::discardUnsentBytes() {
  boost::system::error_code Ignored;
  m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
}

bool HttpClientConnection::isUsable() {
  if (m_Closed || m_Buffer.size() > 0)
    return false;
  char Byte = 0;
  const ssize_t Count = ::recv(m_Socket.native_handle(), &Byte, sizeof(Byte),
                               MSG_PEEK | MSG_DONTWAIT);
  // Any other result means that the peer closed the connection, or sent data
  // without a request.
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::closeOthersIfSilent() {
  const auto Pool = m_Pool.lock();
  if (Pool && m_Reused && m_LastReadAt == m_StartedAt)
    Pool->closeIdle(m_Address, m_StartedAt);
}

void HttpClientConnection::connect() {
  const auto Endpoint = parseEndpoint(m_Address);
  if (!Endpoint) {
    fail(base::ResultCode::ConnectionFailed, Endpoint.error().m_Message);
    return;
  }
  m_Socket.async_connect(*Endpoint, [Self = shared_from_this()](
                                        const boost::system::error_code &Code) {
    Self->onConnected(Code);
  });
}

void HttpClientConnection::onConnected(const boost::system::error_code &Code) {
  if (m_Closed)
    return;
  if (Code) {
    fail(base::ResultCode::ConnectionFailed,
         "cannot connect to " + m_Address + ": " + Code.message());
    return;
  }
  m_Connected = true;
  boost::system::error_code Ignored;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  armTimer();
  read();
  write();
}

void HttpClientConnection::write() {
  if (m_Call->m_Callbacks.m_MaySend && !m_Call->m_Callbacks.m_MaySend()) {
    fail(base::ResultCode::ConnectionFailed,
         "no longer to be sent to " + m_Address);
    return;
  }
  m_RequestHead = formatHead(m_Call->m_Request);
  m_WriteStarted = true;
  m_WriteActive = true;
  // The call keeps the body until it is written.
  const std::array<asio::const_buffer, 2> Pieces{
      asio::buffer(m_RequestHead), asio::buffer(bodyOf(m_Call->m_Request))};
  asio::async_write(m_Socket, Pieces,
                    [Self = shared_from_this(), Call = m_Call](
                        const boost::system::error_code &Code,
                        std::size_t Count) { Self->onWritten(Code, Count); });
}

void HttpClientConnection::onWritten(const boost::system::error_code &Code,
                                     std::size_t Count) {
  m_WriteActive = false;
  std::string().swap(m_RequestHead);
  if (m_Closed || !m_Call || !Code)
    return;
  if (Count > 0) {
    failAfterSending("sending to " + m_Address + " failed: " + Code.message());
    return;
  }
  if (!m_Reused) {
    fail(base::ResultCode::ConnectionFailed,
         "cannot send to " + m_Address + ": " + Code.message());
    return;
  }
  const auto Call = std::exchange(m_Call, nullptr);
  const auto Pool = m_Pool.lock();
  close();
  if (Pool)
    Pool->startOnNewConnection(Call);
}

void HttpClientConnection::read() {
  m_Socket.async_read_some(
      m_Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const boost::system::error_code &Code,
                                  std::size_t Count) {
        Self->onRead(Code, Count);
      });
}

void HttpClientConnection::onRead(const boost::system::error_code &Code,
                                  std::size_t Count) {
  if (m_Closed)
    return;
  if (!m_Call) {
    close();
    return;
  }
  if (Code) {
    onPeerClosed(Code);
    return;
  }
  m_Buffer.commit(Count);
  m_LastReadAt = m_Clock.now();
  parse();
  if (m_Closed)
    return;
  if (!m_Call && m_Buffer.capacity() > MaxRetainedBufferBytes)
    m_Buffer.shrink_to_fit();
  read();
}

void HttpClientConnection::parse() {
  // The next read must not start before the buffer has been parsed.
  const auto Self = shared_from_this();
  while (!m_Closed && m_Call && m_Buffer.size() > 0 && parseSome()) {
  }
}

bool HttpClientConnection::parseSome() {
  boost::system::error_code Code;
  const std::size_t Used = m_Parser->put(m_Buffer.data(), Code);
  m_Buffer.consume(Used);
  const std::size_t Body =
      m_IsStrayResponse ? 0 : std::min(Used, m_Parser->get().body().size());
  m_BodyBytes += Body;
  m_OverheadBytes += Used - Body;
  if (Code && Code != http::error::need_more) {
    failAfterSending(m_Address +
                     " sent a malformed response: " + Code.message());
    return false;
  }
  if (!isOverheadAllowed()) {
    failAfterSending(m_Address +
                     " sent too many bytes beside the body of its response");
    return false;
  }
  if (!m_HeadDone && m_Parser->is_header_done() && !onHead())
    return false;
  // The final head is not complete yet; a 1xx response may have been skipped.
  if (!m_HeadDone)
    return Used > 0;
  if (!deliverBody())
    return false;
  if (m_Parser->is_done() && m_IsStrayResponse)
    return skipResponse();
  if (m_Parser->is_done()) {
    succeed();
    return false;
  }
  return Used > 0 && !Code;
}

bool HttpClientConnection::onHead() {
  if (m_Parser->get().result_int() < FirstFinalStatus)
    return skipResponse();
  m_HeadDone = true;
  const auto Call = m_Call;
  const HttpResponseHead Head = readHead(m_Parser->get());
  if (const auto Limit = peerIdleTimeout(Head.m_Headers))
    m_PeerIdleTimeout = *Limit;
  if (Call->m_Callbacks.m_IsExpectedResponse &&
      !Call->m_Callbacks.m_IsExpectedResponse(Head)) {
    m_IsStrayResponse = true;
    m_HadStrayResponse = true;
    return true;
  }
  if (Call->m_Callbacks.m_OnHead)
    Call->m_Callbacks.m_OnHead(Head);
  return !Call->m_Ended;
}

bool HttpClientConnection::skipResponse() {
  if (++m_SkippedResponses > m_Options.m_MaxSkippedResponses) {
    failAfterSending(m_Address + " sent too many responses to one request");
    return false;
  }
  beginResponse();
  return true;
}

bool HttpClientConnection::isOverheadAllowed() const {
  // A chunk of one byte has five bytes of framing, more with an extension.
  constexpr std::size_t MaxFramingPerByte = 16;
  return m_OverheadBytes + m_Buffer.size() <=
         m_Options.m_MaxOverheadBytes + MaxFramingPerByte * m_BodyBytes;
}

void HttpClientConnection::beginResponse() {
  m_HeadDone = false;
  m_IsStrayResponse = false;
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(m_Options.m_MaxHeadBytes);
  m_Parser->body_limit(boost::none);
  if (m_Call->m_Request.m_Method == "HEAD")
    m_Parser->skip(true);
}

bool HttpClientConnection::deliverBody() {
  std::string &Body = m_Parser->get().body();
  if (Body.empty())
    return true;
  const auto Call = m_Call;
  if (!m_IsStrayResponse && Call->m_Callbacks.m_OnData)
    Call->m_Callbacks.m_OnData(Body);
  if (Call->m_Ended || !m_Parser)
    return false;
  Body.clear();
  return true;
}

void HttpClientConnection::onPeerClosed(const boost::system::error_code &Why) {
  if (!m_HeadDone || m_IsStrayResponse) {
    failAfterSending(m_Address + " closed the connection before a response");
    return;
  }
  // A response without a length is complete only if the peer closed the
  // connection in order.
  if (Why != asio::error::eof) {
    failAfterSending(m_Address +
                     " closed the connection abnormally: " + Why.message());
    return;
  }
  boost::system::error_code Code;
  if (!m_Parser->is_done())
    m_Parser->put_eof(Code);
  if (Code || !m_Parser->is_done()) {
    failAfterSending(m_Address +
                     " closed the connection before the response was complete");
    return;
  }
  succeed();
}

void HttpClientConnection::armTimer() {
  base::Millis Due = m_StartedAt + m_Options.m_ConnectTimeout;
  const HttpCall &Call = m_Call->m_Request;
  const bool HasTimeout = Call.m_Timeout > base::Millis(0);
  const bool HasSilence = Call.m_ReadTimeout > base::Millis(0);
  if (m_Connected && !HasTimeout && !HasSilence) {
    m_Timer.cancel();
    return;
  }
  if (m_Connected)
    Due = base::Millis(std::numeric_limits<std::int64_t>::max());
  if (HasTimeout)
    Due = std::min(Due, m_StartedAt + Call.m_Timeout);
  if (HasSilence && m_Connected)
    Due = std::min(Due, m_LastReadAt + Call.m_ReadTimeout);
  const base::Millis Wait = std::max(Due - m_Clock.now(), base::Millis(0));
  m_Timer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Code) {
        if (!Code)
          Self->onTimer();
      });
}

void HttpClientConnection::onTimer() {
  if (m_Closed || !m_Call)
    return;
  const base::Millis Now = m_Clock.now();
  const HttpCall &Call = m_Call->m_Request;
  if (!m_WriteStarted) {
    fail(base::ResultCode::ConnectionFailed,
         "connecting to " + m_Address + " timed out");
    return;
  }
  const bool Late =
      Call.m_Timeout > base::Millis(0) && Now >= m_StartedAt + Call.m_Timeout;
  const bool Silent = Call.m_ReadTimeout > base::Millis(0) &&
                      Now >= m_LastReadAt + Call.m_ReadTimeout;
  if (!Late && !Silent) {
    armTimer();
    return;
  }
  closeOthersIfSilent();
  fail(base::ResultCode::Timeout,
       Late ? m_Address + " did not respond before the request timeout"
            : m_Address + " sent no data within the read timeout");
}

void HttpClientConnection::succeed() {
  const bool Keep = m_Parser->keep_alive() && m_Buffer.size() == 0 &&
                    !m_WriteActive && !m_HadStrayResponse && m_Socket.is_open();
  const auto Self = shared_from_this();
  const auto Call = std::exchange(m_Call, nullptr);
  m_Parser.reset();
  m_Timer.cancel();
  if (!Keep)
    close();
  else if (const auto Pool = m_Pool.lock())
    Pool->addIdle(Self);
  Call->m_Ended = true;
  if (Call->m_Callbacks.m_OnEnd)
    Call->m_Callbacks.m_OnEnd({});
}

void HttpClientConnection::failAfterSending(const std::string &Message) {
  fail(m_HeadDone && !m_IsStrayResponse ? base::ResultCode::StreamBroken
                                        : base::ResultCode::OutcomeUnknown,
       Message);
}

void HttpClientConnection::fail(base::ResultCode Code,
                                const std::string &Message) {
  const auto Call = std::exchange(m_Call, nullptr);
  discardUnsentBytes();
  close();
  if (!Call || Call->m_Ended)
    return;
  Call->m_Ended = true;
  if (Call->m_Callbacks.m_OnEnd)
    Call->m_Callbacks.m_OnEnd(base::failure(Code, Message));
}

} // namespace corneldeck::net::detail

#include "Net/HttpConnection.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace corneldeck::net::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time for the caller to read the response before the connection is closed.
constexpr base::Millis LingerTimeout = base::seconds(2);

bool isOneLine(std::string_view Text) {
  return Text.find_first_of("\r\n") == std::string_view::npos;
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

void HttpConnection::refuse(const HttpResponse &Response) {
  m_Parser.reset();
  if (!m_Processing)
    std::string().swap(m_Unparsed);
  m_CloseAfterWrite = true;
  m_Deadline = m_Clock.now() + LingerTimeout;
  m_Chunked = false;
  writeHead(Response.m_Status, Response.m_Headers, true);
  appendField(m_Pending, "Content-Length",
              std::to_string(Response.m_Body.size()));
  m_Pending.append("\r\n").append(Response.m_Body);
  scheduleFlush();
}

void HttpConnection::writeHead(int Status, const HttpHeaders &Headers,
                               bool Close) {
  std::array<char, 16> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Status);
  const auto Reason = http::obsolete_reason(static_cast<http::status>(Status));
  m_Pending.append("HTTP/1.1 ")
      .append(Digits.data(), End.ptr)
      .append(" ")
      .append(Reason.data(), Reason.size())
      .append("\r\n");
  for (const HttpHeader &Header : Headers)
    if (isOneLine(Header.m_Name) && isOneLine(Header.m_Value))
      appendField(m_Pending, Header.m_Name, Header.m_Value);
  if (Close)
    appendField(m_Pending, "Connection", "close");
}

void HttpConnection::sendResponse(int Status, const HttpHeaders &Headers,
                                  std::string_view Body,
                                  const HttpRequest &Request) {
  const bool Close = !Request.keep_alive() || m_Shared->m_CloseAfterResponses;
  writeHead(Status, Headers, Close);
  appendField(m_Pending, "Content-Length", std::to_string(Body.size()));
  m_Pending.append("\r\n");
  if (Request.method() != http::verb::head) {
    m_Pending.reserve(m_Pending.size() + Body.size());
    m_Pending.append(Body);
  }
  m_CloseAfterWrite = Close;
  onResponseDone();
}

void HttpConnection::sendHead(int Status, const HttpHeaders &Headers,
                              const HttpRequest &Request) {
  // HTTP/1.0 has no chunked encoding; there, closing the connection ends the
  // body.
  m_Chunked = Request.version() >= 11;
  m_IsHeadRequest = Request.method() == http::verb::head;
  const bool Close =
      !Request.keep_alive() || !m_Chunked || m_Shared->m_CloseAfterResponses;
  writeHead(Status, Headers, Close);
  if (m_Chunked)
    appendField(m_Pending, "Transfer-Encoding", "chunked");
  m_Pending.append("\r\n");
  // m_CloseAfterWrite is set only in sendEnd(), since it stops the parsing of
  // requests.
  m_CloseAfterEnd = Close;
  scheduleFlush();
}

bool HttpConnection::sendChunk(std::string_view Data) {
  if (m_Closed)
    return false;
  if (Data.empty() || m_IsHeadRequest)
    return true;
  const std::size_t Queued = queuedBytes();
  if (Queued > 0 &&
      Queued + Data.size() > m_Shared->m_Options.m_MaxQueuedBytes) {
    close();
    return false;
  }
  if (!m_Chunked) {
    m_Pending.append(Data);
    scheduleFlush();
    return true;
  }
  constexpr int HexBase = 16;
  std::array<char, 20> Size{};
  const auto End = std::to_chars(Size.data(), Size.data() + Size.size(),
                                 Data.size(), HexBase);
  m_Pending.append(Size.data(), End.ptr)
      .append("\r\n")
      .append(Data)
      .append("\r\n");
  scheduleFlush();
  return true;
}

void HttpConnection::sendEnd() {
  if (m_Closed)
    return;
  if (m_Chunked && !m_IsHeadRequest)
    m_Pending.append("0\r\n\r\n");
  m_CloseAfterWrite = m_CloseAfterEnd;
  onResponseDone();
}

void HttpConnection::onResponseDone() {
  if (std::exchange(m_Exchange, nullptr))
    --m_Shared->m_InFlight;
  m_IsHeadRequest = false;
  m_RequestBytes = 0;
  m_IdleSince = m_Clock.now();
  m_Deadline = m_IdleSince + m_Shared->m_Options.m_IdleTimeout;
  scheduleFlush();
  process();
}

void HttpConnection::onExchangeDropped(HttpExchange::Impl *Exchange) {
  if (m_Exchange == Exchange)
    close();
}

std::size_t HttpConnection::queuedBytes() const {
  return m_Pending.size() + m_Writing.size() - m_WrittenBytes;
}

void HttpConnection::scheduleFlush() {
  updateAccount();
  if (m_FlushPosted || m_WriteActive || m_Closed)
    return;
  m_FlushPosted = true;
  // Posted, so that all pieces queued in one handler are sent in one write.
  asio::post(m_Socket.get_executor(),
             [Self = shared_from_this()] { Self->flush(); });
}

void HttpConnection::flush() {
  m_FlushPosted = false;
  if (m_Closed || m_WriteActive || m_Pending.empty())
    return;
  m_WriteActive = true;
  m_Writing.swap(m_Pending);
  m_WrittenBytes = 0;
  writeSome();
}

void HttpConnection::writeSome() {
  m_WriteDeadline = m_Clock.now() + m_Shared->m_Options.m_WriteTimeout;
  m_Socket.async_write_some(
      asio::buffer(m_Writing) + m_WrittenBytes,
      [Self = shared_from_this()](const boost::system::error_code &Code,
                                  std::size_t Count) {
        Self->onWriteDone(Code, Count);
      });
}

void HttpConnection::onWriteDone(const boost::system::error_code &Code,
                                 std::size_t Count) {
  if (m_Closed)
    return;
  if (Code) {
    close();
    return;
  }
  m_WrittenBytes += Count;
  if (m_WrittenBytes < m_Writing.size()) {
    writeSome();
    return;
  }
  m_Writing.clear();
  m_WrittenBytes = 0;
  m_WriteActive = false;
  if (m_Pending.empty())
    onWritesDone();
  else
    flush();
}

void HttpConnection::onWritten(std::function<void()> Hook) {
  m_WrittenHook = std::move(Hook);
}

void HttpConnection::runWrittenHook() {
  const std::function<void()> Hook = std::exchange(m_WrittenHook, nullptr);
  if (Hook)
    Hook();
}

void HttpConnection::onWritesDone() {
  runWrittenHook();
  if (m_Closed)
    return;
  if (m_CloseAfterWrite) {
    shutdownSend();
    return;
  }
  if (m_Exchange)
    return;
  // An idle connection holds nothing.
  std::string().swap(m_Writing);
  std::string().swap(m_Pending);
  // Pipelined requests may have waited for the queue.
  process();
}

void HttpConnection::shutdownSend() {
  // Closing the socket while the caller still sends would reset the connection,
  // and the caller would lose the response. Further input is therefore
  // discarded until the caller closes the connection or the deadline passes.
  m_Discarding = true;
  m_Deadline = m_Clock.now() + LingerTimeout;
  boost::system::error_code Code;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Code);
  std::string().swap(m_Unparsed);
  waitForInput();
}

} // namespace corneldeck::net::detail

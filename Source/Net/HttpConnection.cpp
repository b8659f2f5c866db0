#include "Net/HttpConnection.h"

#include "Net/Endpoint.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace corneldeck::net::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t HeadReadBytes = 4 * KiB;
/// Maximum size of pipelined requests that are buffered while one is handled.
constexpr std::size_t MaxPipelinedBytes = 64 * KiB;
/// The next pipelined request is parsed once less than this is queued.
constexpr std::size_t MaxQueuedBeforeNext = 64 * KiB;
/// Memory of a header field beside its bytes: its node in the list and the tree
/// of the fields, and the overhead of two allocations.
constexpr std::size_t FieldOverhead = 96;
/// Retry-after time of a request that is refused for lack of memory.
constexpr base::Millis MemoryRetryAfter = base::seconds(1);
/// Time for the caller to read the response before the connection is closed.
constexpr base::Millis LingerTimeout = base::seconds(2);

bool isOneLine(std::string_view Text) {
  return Text.find_first_of("\r\n") == std::string_view::npos;
}

/// \returns the size of the allocation of \p Text; short texts need none.
std::size_t allocatedBytes(const std::string &Text) {
  static const std::size_t WithoutAllocation = std::string().capacity();
  return Text.capacity() > WithoutAllocation ? Text.capacity() : 0;
}

void appendField(std::string &Out, std::string_view Name,
                 std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket Socket,
                               std::shared_ptr<HttpServerShared> Shared)
    : m_Socket(std::move(Socket)), m_Shared(std::move(Shared)),
      m_Memory(*m_Shared->m_Memory, [this] { cutOff(CallerLimit::Memory); }) {}

void HttpConnection::start() {
  boost::system::error_code Code;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Code);
  m_Socket.non_blocking(true, Code);
  const auto Remote = m_Socket.remote_endpoint(Code);
  m_Remote = formatEndpoint(Remote);
  m_Address = Remote.address();
  m_IdleSince = m_Clock.now();
  if (!m_CloseAfterWrite)
    m_Deadline = m_Clock.now() + m_Shared->m_Options.m_IdleTimeout;
  // Most callers send a request directly after the handshake, so that it is
  // often there already.
  readInput();
}

void HttpConnection::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  const auto Self = shared_from_this();
  boost::system::error_code Code;
  m_Socket.close(Code);
  if (HttpExchange::Impl *Exchange = std::exchange(m_Exchange, nullptr)) {
    --m_Shared->m_InFlight;
    Exchange->onPeerClosed();
  }
  runWrittenHook();
  // What is left is freed with this object, in one of the next handlers.
  m_Memory.set(0, base::Millis(0));
  if (m_Shared->m_OnClosed)
    m_Shared->m_OnClosed(this);
}

bool HttpConnection::isIdle() const {
  return !m_Closed && !m_Exchange && !m_Parser && !m_CloseAfterWrite &&
         m_Unparsed.empty() && queuedBytes() == 0;
}

void HttpConnection::cutOff(CallerLimit Limit) {
  const auto Self = shared_from_this();
  m_Shared->m_Memory->recordCutOff({m_Remote, m_Memory.bytes(), Limit});
  if (m_Parser && !m_Exchange && queuedBytes() == 0) {
    refuse(errorResponse({base::ResultCode::Overloaded,
                          "too much memory is needed for all requests",
                          MemoryRetryAfter},
                         base::Ran::No));
    return;
  }
  // A reset also frees what the system holds for a caller that does not read.
  boost::system::error_code Ignored;
  if (queuedBytes() > 0)
    m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

std::size_t HttpConnection::heldBytes() const {
  if (m_Closed)
    return 0;
  std::size_t Bytes = m_RequestBytes + allocatedBytes(m_Unparsed) +
                      allocatedBytes(m_Pending) + allocatedBytes(m_Writing);
  if (!m_Parser)
    return Bytes;
  // Memory that is reserved for an announced length is not used before the
  // bytes arrive; without a length, the allocation at most doubles.
  const std::string &Body = m_Parser->get().body();
  return Bytes + m_HeadBytes + FieldOverhead * m_Fields +
         std::min(Body.capacity(), 2 * Body.size());
}

void HttpConnection::updateAccount() {
  if (const std::size_t Bytes = heldBytes(); Bytes != m_Memory.bytes())
    m_Memory.set(Bytes, m_Clock.now());
  if (!m_Shared->m_Memory->isExceeded())
    return;
  // Cutting off a caller ends its request, which the present handler may use.
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->m_Shared->m_Memory->reduce(Self->m_Clock.now());
  });
}

void HttpConnection::checkTimeouts(base::Millis Now) {
  if (m_WriteActive && Now > m_WriteDeadline) {
    close();
    return;
  }
  if (Now <= m_Deadline)
    return;
  if (!m_Parser || m_Discarding) {
    close();
    return;
  }
  HttpResponse Response =
      errorResponse({base::ResultCode::BadRequest,
                     "the request did not arrive within the timeout",
                     {}},
                    base::Ran::No);
  Response.m_Status = static_cast<int>(http::status::request_timeout);
  refuse(Response);
}

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

void HttpConnection::waitForInput() {
  if (m_WaitingForInput || m_Closed)
    return;
  if (!mayParse() && m_Unparsed.size() >= MaxPipelinedBytes)
    return;
  m_WaitingForInput = true;
  m_Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](const boost::system::error_code &Code) {
        Self->onReadable(Code);
      });
}

void HttpConnection::onReadable(const boost::system::error_code &Code) {
  m_WaitingForInput = false;
  if (m_Closed)
    return;
  if (Code) {
    close();
    return;
  }
  readInput();
}

void HttpConnection::readInput() {
  auto &Buffer = m_Shared->m_ReadBuffer;
  const std::size_t Limit =
      m_Parser && m_HeadDone ? Buffer.size() : HeadReadBytes;
  boost::system::error_code Problem;
  const std::size_t Count =
      m_Socket.read_some(asio::buffer(Buffer.data(), Limit), Problem);
  if (Problem == asio::error::would_block) {
    waitForInput();
    return;
  }
  if (Problem) {
    close();
    return;
  }
  process(m_CloseAfterWrite ? std::string_view()
                            : std::string_view(Buffer.data(), Count));
  // At once, before other connections are read.
  if (m_Shared->m_Memory->isExceeded())
    m_Shared->m_Memory->reduce(m_Clock.now());
}

void HttpConnection::process(std::string_view Received) {
  if (m_Processing)
    return;
  const auto Self = shared_from_this();
  m_Processing = true;
  std::string_view Input = Received;
  if (!m_Unparsed.empty()) {
    m_Unparsed.append(Received);
    Input = m_Unparsed;
  }
  while (mayParse() && parseRequest(Input))
    dispatch();
  keepUnparsed(m_Closed || m_CloseAfterWrite ? std::string_view() : Input);
  m_Processing = false;
  updateAccount();
  waitForInput();
}

bool HttpConnection::mayParse() const {
  return !m_Closed && !m_Exchange && !m_CloseAfterWrite &&
         queuedBytes() < MaxQueuedBeforeNext;
}

bool HttpConnection::parseRequest(std::string_view &Input) {
  if (Input.empty())
    return false;
  if (!m_Parser)
    beginRequest();
  boost::system::error_code Code;
  const std::size_t Used =
      m_Parser->put(asio::buffer(Input.data(), Input.size()), Code);
  Input.remove_prefix(Used);
  if (!m_HeadDone || m_Parser->is_done()) {
    m_HeadBytes +=
        std::min<std::size_t>(Used, m_Shared->m_Options.m_MaxHeadBytes);
    m_Fields = static_cast<std::size_t>(
        std::distance(m_Parser->get().begin(), m_Parser->get().end()));
  }
  if (Code && Code != http::error::need_more) {
    refuseUnparsable(Code);
    return false;
  }
  if (!m_HeadDone && m_Parser->is_header_done())
    onHead();
  // What the parser leaves in a body is the section of trailers or the
  // extension of a chunk, which it has no limit for.
  if (m_HeadDone && !m_Parser->is_done() &&
      Input.size() > m_Shared->m_Options.m_MaxHeadBytes) {
    refuseTooLarge(CallerLimit::FramingBytes);
    return false;
  }
  return m_Parser->is_done();
}

void HttpConnection::keepUnparsed(std::string_view Rest) {
  if (Rest.empty()) {
    // Assigning an empty string would keep the memory.
    std::string().swap(m_Unparsed);
    return;
  }
  if (m_Unparsed.empty())
    m_Unparsed = Rest;
  else
    m_Unparsed.erase(0, m_Unparsed.size() - Rest.size());
}

void HttpConnection::beginRequest() {
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(m_Shared->m_Options.m_MaxHeadBytes);
  m_Parser->body_limit(m_Shared->m_Options.m_MaxBodyBytes);
  m_HeadDone = false;
  m_HeadBytes = 0;
  m_Fields = 0;
  m_Deadline = m_Clock.now() + m_Shared->m_Options.m_HeadTimeout;
}

void HttpConnection::onHead() {
  m_HeadDone = true;
  m_Deadline = m_Clock.now() + m_Shared->m_Options.m_BodyTimeout;
  if (m_Parser->is_done() || m_Parser->get()[http::field::expect].empty())
    return;
  m_Pending.append("HTTP/1.1 100 Continue\r\n\r\n");
  scheduleFlush();
}

void HttpConnection::refuseUnparsable(const boost::system::error_code &Code) {
  if (Code == http::error::header_limit) {
    refuseTooLarge(CallerLimit::HeadBytes);
    return;
  }
  if (Code == http::error::body_limit) {
    refuseTooLarge(CallerLimit::BodyBytes);
    return;
  }
  refuse(errorResponse({base::ResultCode::BadRequest,
                        "the request is not HTTP/1.1: " + Code.message(),
                        {}},
                       base::Ran::No));
}

void HttpConnection::refuseTooLarge(CallerLimit Limit) {
  m_Shared->m_Memory->recordCutOff({m_Remote, heldBytes(), Limit});
  refuse(errorResponse({base::ResultCode::TooLarge,
                        "head or body exceeds the size limit; send a smaller "
                        "request",
                        {}},
                       base::Ran::No));
}

void HttpConnection::dispatch() {
  const std::string &Body = m_Parser->get().body();
  m_RequestBytes = m_HeadBytes + FieldOverhead * m_Fields +
                   std::min(Body.capacity(), 2 * Body.size());
  auto State = std::make_unique<HttpExchange::Impl>();
  State->m_Request = m_Parser->release();
  State->m_Remote = m_Remote;
  State->m_Connection = shared_from_this();
  m_Parser.reset();
  m_Deadline = Never;
  m_Exchange = State.get();
  ++m_Shared->m_InFlight;
  m_Shared->m_Handler(std::make_shared<HttpExchange>(std::move(State)));
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

#include "Net/HttpConnection.h"

#include "Net/Endpoint.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>

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

/// \returns the size of the allocation of \p Text; short texts need none.
std::size_t allocatedBytes(const std::string &Text) {
  static const std::size_t WithoutAllocation = std::string().capacity();
  return Text.capacity() > WithoutAllocation ? Text.capacity() : 0;
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

} // namespace corneldeck::net::detail

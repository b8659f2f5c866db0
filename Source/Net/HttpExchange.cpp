#include "Net/HttpConnection.h"

namespace corneldeck::net {

HttpExchange::HttpExchange(std::unique_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

HttpExchange::~HttpExchange() {
  if (!m_Impl->m_Connection)
    return;
  if (m_Impl->m_ResponseStarted) {
    m_Impl->m_Connection->onExchangeDropped(m_Impl.get());
    return;
  }
  respondWithError({base::ResultCode::Internal,
                    "the request was dropped without a response",
                    {}});
}

std::string_view HttpExchange::method() const {
  const auto Method = m_Impl->m_Request.method_string();
  return {Method.data(), Method.size()};
}

std::string_view HttpExchange::target() const {
  const auto Target = m_Impl->m_Request.target();
  return {Target.data(), Target.size()};
}

std::string_view HttpExchange::header(std::string_view Name) const {
  const auto Value = m_Impl->m_Request[{Name.data(), Name.size()}];
  return {Value.data(), Value.size()};
}

void HttpExchange::forEachHeader(
    const std::function<void(std::string_view, std::string_view)> &Visit)
    const {
  for (const auto &Field : m_Impl->m_Request) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Visit({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
}

const std::string &HttpExchange::body() const {
  return m_Impl->m_Request.body();
}

std::string HttpExchange::takeBody() {
  return std::move(m_Impl->m_Request.body());
}

const std::string &HttpExchange::remoteAddress() const {
  return m_Impl->m_Remote;
}

void HttpExchange::respond(const HttpResponse &Response,
                           std::function<void()> Done) {
  respond(Response.m_Status, Response.m_Headers, Response.m_Body,
          std::move(Done));
}

void HttpExchange::respond(int Status, const HttpHeaders &Headers,
                           std::string_view Body, std::function<void()> Done) {
  if (m_Impl->m_ResponseStarted || !m_Impl->m_Connection) {
    if (Done)
      Done();
    return;
  }
  m_Impl->m_ResponseStarted = true;
  const auto Connection = m_Impl->releaseConnection();
  Connection->onWritten(std::move(Done));
  Connection->sendResponse(Status, Headers, Body, m_Impl->m_Request);
}

void HttpExchange::respondWithError(const base::Error &Failure,
                                    std::optional<base::Ran> Value) {
  respond(errorResponse(Failure, Value));
}

void HttpExchange::startStream(int Status, const HttpHeaders &Headers) {
  if (m_Impl->m_ResponseStarted || !m_Impl->m_Connection)
    return;
  m_Impl->m_ResponseStarted = true;
  m_Impl->m_Connection->sendHead(Status, Headers, m_Impl->m_Request);
}

bool HttpExchange::writeChunk(std::string_view Data) {
  if (!m_Impl->m_Connection)
    return false;
  // sendChunk() may close the connection, which clears m_Connection; the copy
  // keeps it alive during the call.
  const auto Connection = m_Impl->m_Connection;
  return Connection->sendChunk(Data);
}

void HttpExchange::endStream() {
  if (!m_Impl->m_Connection || !m_Impl->m_ResponseStarted)
    return;
  m_Impl->releaseConnection()->sendEnd();
}

std::size_t HttpExchange::queuedBytes() const {
  return m_Impl->m_Connection ? m_Impl->m_Connection->queuedBytes() : 0;
}

void HttpExchange::onClosed(std::function<void()> Hook) {
  if (m_Impl->m_Connection)
    m_Impl->m_OnClosed = std::move(Hook);
}

void HttpExchange::abort() {
  m_Impl->m_OnClosed = nullptr;
  if (m_Impl->m_Connection)
    std::shared_ptr(m_Impl->m_Connection)->close();
}

bool HttpExchange::responseStarted() const { return m_Impl->m_ResponseStarted; }

void HttpExchange::Impl::onPeerClosed() {
  m_Connection.reset();
  const std::function<void()> Hook = std::exchange(m_OnClosed, nullptr);
  if (Hook)
    Hook();
}

std::shared_ptr<detail::HttpConnection>
HttpExchange::Impl::releaseConnection() {
  m_OnClosed = nullptr;
  return std::exchange(m_Connection, nullptr);
}

} // namespace corneldeck::net

#include "Net/HttpClient.h"

#include "Net/HttpClientConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace corneldeck::net {

namespace asio = boost::asio;

namespace {

constexpr int OkStatus = 200;

} // namespace

namespace detail {

HttpConnectionPool::HttpConnectionPool(asio::io_context &Context,
                                       HttpClientOptions Options)
    : m_Context(Context), m_Options(Options) {}

void HttpConnectionPool::start(const std::shared_ptr<InFlightCall> &Call) {
  if (Call->m_Ended || m_Stopped)
    return;
  const auto Connection = Call->m_Request.m_NeedsNewConnection
                              ? nullptr
                              : takeIdle(Call->m_Request.m_Address);
  if (Connection)
    Connection->run(Call);
  else
    startOnNewConnection(Call);
}

void HttpConnectionPool::startOnNewConnection(
    const std::shared_ptr<InFlightCall> &Call) {
  if (Call->m_Ended || m_Stopped)
    return;
  const auto Connection = std::make_shared<HttpClientConnection>(
      shared_from_this(), Call->m_Request.m_Address);
  m_Connections.insert(Connection);
  Connection->run(Call);
}

std::shared_ptr<HttpClientConnection>
HttpConnectionPool::takeIdle(const std::string &Address) {
  // Closing a connection changes the map, so each iteration searches it again.
  for (auto Found = m_Idle.find(Address); Found != m_Idle.end();
       Found = m_Idle.find(Address)) {
    if (Found->second.empty())
      return nullptr;
    auto Connection = Found->second.back();
    Found->second.pop_back();
    const bool Recent =
        m_Clock.now() - Connection->m_IdleSince <
        std::min(m_Options.m_MaxIdleTime, Connection->m_PeerIdleTimeout);
    if (Recent && Connection->isUsable())
      return Connection;
    Connection->close();
  }
  return nullptr;
}

void HttpConnectionPool::addIdle(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  auto &Connections = m_Idle[Connection->m_Address];
  if (m_Stopped ||
      Connections.size() >= m_Options.m_MaxIdleConnectionsPerAddress) {
    Connection->close();
    return;
  }
  Connection->m_IdleSince = m_Clock.now();
  Connections.push_back(Connection);
}

void HttpConnectionPool::closeIdle(const std::string &Address,
                                   base::Millis Time) {
  const auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return;
  // Closing a connection removes it from the map.
  const auto Connections = Found->second;
  for (const auto &Each : Connections)
    if (Each->m_IdleSince < Time)
      Each->close();
}

void HttpConnectionPool::remove(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  m_Connections.erase(Connection);
  const auto Found = m_Idle.find(Connection->m_Address);
  if (Found == m_Idle.end())
    return;
  std::erase(Found->second, Connection);
  if (Found->second.empty())
    m_Idle.erase(Found);
}

void HttpConnectionPool::stop() {
  m_Stopped = true;
  const auto Connections = m_Connections;
  for (const auto &Connection : Connections)
    Connection->close();
}

} // namespace detail

HttpCallHandle::HttpCallHandle(std::weak_ptr<detail::InFlightCall> Call)
    : m_Call(std::move(Call)) {}

void HttpCallHandle::cancel() {
  const auto Call = m_Call.lock();
  if (!Call || Call->m_Ended)
    return;
  Call->m_Ended = true;
  if (const auto Connection = Call->m_Connection.lock())
    Connection->close();
}

void HttpCallHandle::cancelOverdue() {
  if (const auto Call = m_Call.lock(); Call && !Call->m_Ended)
    if (const auto Connection = Call->m_Connection.lock())
      Connection->closeOthersIfSilent();
  cancel();
}

HttpClient::HttpClient(asio::io_context &Context, HttpClientOptions Options)
    : m_Pool(std::make_shared<detail::HttpConnectionPool>(Context, Options)) {}

HttpClient::~HttpClient() { m_Pool->stop(); }

HttpCallHandle HttpClient::request(HttpCall Call, HttpCallbacks Callbacks) {
  auto Started = std::make_shared<detail::InFlightCall>();
  Started->m_Request = std::move(Call);
  Started->m_Callbacks = std::move(Callbacks);
  // Posted, so that no callback runs before this function has returned.
  asio::post(m_Pool->m_Context,
             [Pool = m_Pool, Started] { Pool->start(Started); });
  return HttpCallHandle(Started);
}

HttpCallHandle HttpClient::fetch(HttpCall Call, ResponseCallback Callback) {
  struct Collected {
    Response m_Response;
    ResponseCallback m_Callback;
    HttpCallHandle m_Handle;
  };
  auto State = std::make_shared<Collected>();
  State->m_Callback = std::move(Callback);
  const std::uint64_t Limit =
      std::min(Call.m_MaxBodyBytes, m_Pool->m_Options.m_MaxBodyBytes);
  HttpCallbacks Callbacks;
  Callbacks.m_OnHead = [State](const HttpResponseHead &Head) {
    State->m_Response.m_Status = Head.m_Status;
    State->m_Response.m_Headers = Head.m_Headers;
  };
  Callbacks.m_OnData =
      [State, Limit, Address = Call.m_Address,
       OnProgress = std::move(Call.m_OnProgress)](std::string_view Data) {
        if (OnProgress && State->m_Response.m_Status == OkStatus)
          OnProgress();
        if (State->m_Response.m_Body.size() + Data.size() <= Limit) {
          State->m_Response.m_Body.append(Data);
          return;
        }
        State->m_Response = {};
        State->m_Handle.cancel();
        State->m_Callback(base::failure(base::ResultCode::StreamBroken,
                                        "the response of " + Address +
                                            " exceeds the limit of " +
                                            std::to_string(Limit) + " bytes"));
      };
  Callbacks.m_OnEnd = [State](const base::Result<void> &Outcome) {
    if (Outcome)
      State->m_Callback(std::move(State->m_Response));
    else
      State->m_Callback(tl::make_unexpected(Outcome.error()));
  };
  // No callback runs before this function has returned.
  State->m_Handle = request(std::move(Call), std::move(Callbacks));
  return State->m_Handle;
}

HttpCallHandle HttpClient::get(const std::string &Address,
                               const std::string &Target, base::Millis Timeout,
                               ResponseCallback Callback) {
  HttpCall Call;
  Call.m_Address = Address;
  Call.m_Target = Target;
  Call.m_Timeout = Timeout;
  return fetch(std::move(Call), std::move(Callback));
}

HttpCallHandle HttpClient::post(const std::string &Address,
                                const std::string &Target, std::string Body,
                                base::Millis Timeout,
                                ResponseCallback Callback) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = Address;
  Call.m_Target = Target;
  Call.m_Headers = {{"Content-Type", "application/json"}};
  Call.m_Body = std::move(Body);
  Call.m_Timeout = Timeout;
  return fetch(std::move(Call), std::move(Callback));
}

void HttpClient::stop() { m_Pool->stop(); }

} // namespace corneldeck::net

#include "Net/HttpClient.h"

#include "Net/HttpClientConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace corneldeck::net {

namespace asio = boost::asio;

namespace detail {

HttpClientState::HttpClientState(asio::io_context &Context,
                                 HttpClientOptions Options)
    : m_Context(Context), m_Options(Options) {}

void HttpClientState::start(const std::shared_ptr<HttpClientCall> &Call) {
  if (Call->m_Ended || m_Stopped)
    return;
  if (const auto Connection = takeIdle(Call->m_Request.m_Address))
    Connection->run(Call);
  else
    startFresh(Call);
}

void HttpClientState::startFresh(const std::shared_ptr<HttpClientCall> &Call) {
  if (Call->m_Ended || m_Stopped)
    return;
  const auto Connection = std::make_shared<HttpClientConnection>(
      shared_from_this(), Call->m_Request.m_Address);
  m_All.insert(Connection);
  Connection->run(Call);
}

std::shared_ptr<HttpClientConnection>
HttpClientState::takeIdle(const std::string &Address) {
  // Closing a connection changes the table, so each round looks anew.
  for (auto Found = m_Idle.find(Address); Found != m_Idle.end();
       Found = m_Idle.find(Address)) {
    if (Found->second.empty())
      return nullptr;
    auto Connection = Found->second.back();
    Found->second.pop_back();
    const bool Fresh =
        m_Clock.now() - Connection->m_IdleSince <
        std::min(m_Options.m_MaxIdleTime, Connection->m_IdleLimit);
    if (Fresh && Connection->isUsable())
      return Connection;
    Connection->close();
  }
  return nullptr;
}

void HttpClientState::keep(
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

void HttpClientState::forget(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  m_All.erase(Connection);
  const auto Found = m_Idle.find(Connection->m_Address);
  if (Found == m_Idle.end())
    return;
  std::erase(Found->second, Connection);
  if (Found->second.empty())
    m_Idle.erase(Found);
}

void HttpClientState::stop() {
  m_Stopped = true;
  const auto All = m_All;
  for (const auto &Connection : All)
    Connection->close();
}

} // namespace detail

HttpCallHandle::HttpCallHandle(std::weak_ptr<detail::HttpClientCall> Call)
    : m_Call(std::move(Call)) {}

void HttpCallHandle::cancel() {
  const auto Call = m_Call.lock();
  if (!Call || Call->m_Ended)
    return;
  Call->m_Ended = true;
  if (const auto Connection = Call->m_Connection.lock())
    Connection->close();
}

HttpClient::HttpClient(asio::io_context &Context, HttpClientOptions Options)
    : m_State(std::make_shared<detail::HttpClientState>(Context, Options)) {}

HttpClient::~HttpClient() { m_State->stop(); }

HttpCallHandle HttpClient::request(HttpCall Call, HttpCallbacks Callbacks) {
  auto Begun = std::make_shared<detail::HttpClientCall>();
  Begun->m_Request = std::move(Call);
  Begun->m_Callbacks = std::move(Callbacks);
  // Posted, so that no hook runs before this function has returned.
  asio::post(m_State->m_Context,
             [State = m_State, Begun] { State->start(Begun); });
  return HttpCallHandle(Begun);
}

HttpCallHandle HttpClient::fetch(HttpCall Call, ResponseCallback Callback) {
  auto Gathered = std::make_shared<Response>();
  auto TooLarge = std::make_shared<bool>(false);
  const std::uint64_t Limit = m_State->m_Options.m_MaxBodyBytes;
  HttpCallbacks Callbacks;
  Callbacks.m_OnHead = [Gathered](const HttpResponseHead &Head) {
    Gathered->m_Status = Head.m_Status;
    Gathered->m_Headers = Head.m_Headers;
  };
  Callbacks.m_OnData = [Gathered, TooLarge, Limit](std::string_view Data) {
    if (Gathered->m_Body.size() + Data.size() > Limit)
      *TooLarge = true;
    else
      Gathered->m_Body.append(Data);
  };
  Callbacks.m_OnEnd = [Gathered, TooLarge, Callback = std::move(Callback)](
                          const base::Result<void> &Outcome) {
    if (!Outcome)
      Callback(tl::make_unexpected(Outcome.error()));
    else if (*TooLarge)
      Callback(base::failure(base::ResultCode::StreamBroken,
                             "the answer is over the size limit"));
    else
      Callback(std::move(*Gathered));
  };
  return request(std::move(Call), std::move(Callbacks));
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

void HttpClient::stop() { m_State->stop(); }

} // namespace corneldeck::net

#include "Net/PortCheck.h"

#include "Net/Endpoint.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace corneldeck::net {

namespace {

struct Check {
  explicit Check(boost::asio::io_context &Context)
      : m_Socket(Context), m_Timer(Context) {}

  void finish(PortState State) {
    boost::system::error_code Ignored;
    m_Socket.close(Ignored);
    m_Timer.cancel();
    if (auto Callback = std::exchange(m_Callback, nullptr))
      Callback(State);
  }

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  std::function<void(PortState)> m_Callback;
};

} // namespace

void checkPort(boost::asio::io_context &Context, const std::string &Address,
               base::Millis Timeout, std::function<void(PortState)> Callback) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    boost::asio::post(Context, [Callback = std::move(Callback)] {
      Callback(PortState::Unknown);
    });
    return;
  }
  const auto State = std::make_shared<Check>(Context);
  State->m_Callback = std::move(Callback);
  State->m_Timer.expires_after(std::chrono::milliseconds(Timeout.count()));
  State->m_Timer.async_wait([State](const boost::system::error_code &Code) {
    if (!Code)
      State->finish(PortState::Unknown);
  });
  State->m_Socket.async_connect(
      *Endpoint, [State](const boost::system::error_code &Code) {
        if (!Code)
          State->finish(PortState::Open);
        else if (Code == boost::asio::error::connection_refused)
          State->finish(PortState::Closed);
        else
          State->finish(PortState::Unknown);
      });
}

} // namespace corneldeck::net

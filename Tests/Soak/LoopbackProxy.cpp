#include "LoopbackProxy.h"

#include "Net/Endpoint.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace corneldeck::tests {

namespace asio = boost::asio;
using asio::ip::tcp;

/// One connection and the one behind it.
class LoopbackProxy::Link : public std::enable_shared_from_this<Link> {
public:
  Link(LoopbackProxy &Proxy, tcp::socket Caller)
      : m_Proxy(Proxy), m_Caller(std::move(Caller)), m_Server(Proxy.m_Context) {
  }

  void start() {
    m_Server.async_connect(
        *net::parseEndpoint(m_Proxy.m_Target),
        [Self = shared_from_this()](const boost::system::error_code &Code) {
          if (Code) {
            Self->reset();
            return;
          }
          Self->pump(Self->m_Caller, Self->m_Server, Self->m_There, true);
          Self->pump(Self->m_Server, Self->m_Caller, Self->m_Back, false);
        });
  }

  void reset() {
    boost::system::error_code Ignored;
    for (tcp::socket *Each : {&m_Caller, &m_Server}) {
      Each->set_option(asio::socket_base::linger(true, 0), Ignored);
      Each->close(Ignored);
    }
  }

private:
  using Buffer = std::array<char, 8192>;

  void pump(tcp::socket &From, tcp::socket &To, Buffer &Bytes, bool There) {
    From.async_read_some(
        asio::buffer(Bytes),
        [this, Self = shared_from_this(), &From, &To, &Bytes,
         There](const boost::system::error_code &Code, std::size_t Count) {
          if (Code == asio::error::eof) {
            boost::system::error_code Ignored;
            To.shutdown(tcp::socket::shutdown_send, Ignored);
            return;
          }
          if (Code) {
            reset();
            return;
          }
          const LinkFault Silent =
              There ? LinkFault::SilentThere : LinkFault::SilentBack;
          if (m_Proxy.m_Fault == Silent) {
            // The bytes are lost, and the connection stays silent for good.
            return;
          }
          if (m_Proxy.m_Fault == LinkFault::Delay)
            passLater(From, To, Bytes, Count, There);
          else
            pass(From, To, Bytes, Count, There);
        });
  }

  void pass(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
            std::size_t Count, bool There) {
    asio::async_write(
        To, asio::buffer(Bytes, Count),
        [this, Self = shared_from_this(), &From, &To, &Bytes,
         There](const boost::system::error_code &Code, std::size_t) {
          if (Code)
            reset();
          else
            pump(From, To, Bytes, There);
        });
  }

  void passLater(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
                 std::size_t Count, bool There) {
    auto Timer = std::make_shared<asio::steady_timer>(m_Proxy.m_Context);
    Timer->expires_after(std::chrono::milliseconds(m_Proxy.m_Delay.count()));
    Timer->async_wait([this, Self = shared_from_this(), Timer, &From, &To,
                       &Bytes, Count,
                       There](const boost::system::error_code &) {
      pass(From, To, Bytes, Count, There);
    });
  }

  LoopbackProxy &m_Proxy;
  tcp::socket m_Caller;
  tcp::socket m_Server;
  Buffer m_There{};
  Buffer m_Back{};
};

LoopbackProxy::LoopbackProxy(asio::io_context &Context, std::string Target)
    : m_Context(Context), m_Target(std::move(Target)), m_Acceptor(Context) {}

std::string LoopbackProxy::listen() {
  const tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  m_Acceptor.open(Any.protocol());
  m_Acceptor.bind(Any);
  m_Acceptor.listen();
  accept();
  return net::formatEndpoint(m_Acceptor.local_endpoint());
}

void LoopbackProxy::stop() {
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  resetAll();
}

void LoopbackProxy::resetAll() {
  for (const auto &Each : m_Links)
    if (const auto Open = Each.lock())
      Open->reset();
  m_Links.clear();
}

void LoopbackProxy::accept() {
  m_Acceptor.async_accept(
      [this](const boost::system::error_code &Code, tcp::socket Socket) {
        if (Code)
          return;
        auto Added = std::make_shared<Link>(*this, std::move(Socket));
        m_Links.push_back(Added);
        Added->start();
        accept();
      });
}

} // namespace corneldeck::tests

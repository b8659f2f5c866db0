#ifndef CORNELDECK_TESTS_SOAK_LOOPBACKPROXY_H
#define CORNELDECK_TESTS_SOAK_LOOPBACKPROXY_H

#include "Base/Millis.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// What happens to the bytes that pass a proxy.
enum class LinkFault {
  None,
  Delay,       ///< Each piece is late.
  SilentThere, ///< Nothing reaches the server any more.
  SilentBack   ///< Nothing comes back any more.
};

/// Passes TCP connections on to one address, with faults.
class LoopbackProxy {
public:
  LoopbackProxy(boost::asio::io_context &Context, std::string Target);

  std::string listen();
  void stop();
  /// Resets all open connections.
  void resetAll();

  LinkFault m_Fault = LinkFault::None;
  base::Millis m_Delay{30};

private:
  class Link;

  void accept();

  boost::asio::io_context &m_Context;
  const std::string m_Target;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::vector<std::weak_ptr<Link>> m_Links;
};

} // namespace corneldeck::tests

#endif

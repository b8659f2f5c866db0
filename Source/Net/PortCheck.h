#ifndef CORNELDECK_NET_PORTCHECK_H
#define CORNELDECK_NET_PORTCHECK_H

#include "Base/Millis.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace corneldeck::net {

/// State of a TCP port, as a new connection shows it.
enum class PortState {
  Open,   ///< The connection was accepted.
  Closed, ///< The VM responds, and no process listens on the port.
  Unknown ///< No response within the timeout, or another error.
};

/// Finds out whether a process listens at \p Address, "ip:port". The connection
/// is closed at once; no byte is sent.
/// \param Callback called once with the result, not before this call returns.
void checkPort(boost::asio::io_context &Context, const std::string &Address,
               base::Millis Timeout, std::function<void(PortState)> Callback);

} // namespace corneldeck::net

#endif

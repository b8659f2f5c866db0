#ifndef CORNELDECK_FLEET_FLEETNODE_H
#define CORNELDECK_FLEET_FLEETNODE_H

#include "Fleet/FleetCore.h"
#include "Net/DatagramSocket.h"

#include <boost/asio/steady_timer.hpp>

namespace corneldeck::fleet {

/// A FleetCore with its socket and timer.
class FleetNode : public FleetCore {
public:
  FleetNode(boost::asio::io_context &Context, const FleetSettings &Settings,
            base::Timeline &Events, metrics::Registry &Metrics,
            Hooks Callbacks);

  /// Starts to send and receive.
  /// \returns the error if the address is not available.
  base::Result<void> start();

private:
  void run();

  const std::string m_Address;
  net::DatagramSocket m_Socket;
  boost::asio::steady_timer m_Timer;
};

} // namespace corneldeck::fleet

#endif

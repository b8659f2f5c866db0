#include "Fleet/FleetNode.h"

#include <chrono>

namespace corneldeck::fleet {

FleetNode::FleetNode(boost::asio::io_context &Context,
                     const FleetSettings &Settings, base::Timeline &Events,
                     metrics::Registry &Metrics, Hooks Callbacks)
    : FleetCore(
          Settings, base::steadyClock(),
          [this](const std::string &Address, std::string_view Bytes) {
            return m_Socket.send(Address, Bytes);
          },
          Events, Metrics, std::move(Callbacks)),
      m_Address(Settings.m_PeerAddress),
      m_Socket(Context,
               [this](std::string_view Bytes, const std::string &From) {
                 handleDatagram(Bytes, From);
               }),
      m_Timer(Context) {}

base::Result<void> FleetNode::start() {
  if (auto Opened = m_Socket.open(m_Address); !Opened)
    return Opened;
  run();
  return {};
}

void FleetNode::run() {
  m_Timer.expires_after(std::chrono::milliseconds(tick().count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      run();
  });
}

} // namespace corneldeck::fleet

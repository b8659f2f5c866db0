#ifndef CORNELDECK_NET_PEERTRANSPORT_H
#define CORNELDECK_NET_PEERTRANSPORT_H

#include "Base/Clock.h"
#include "Base/Error.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace corneldeck::wire {
class PeerMessage;
} // namespace corneldeck::wire

namespace corneldeck::net {

/// Sends and receives one-way messages between any two processes, over framed
/// TCP connections.
///
/// Messages may be lost, so the caller has to repeat those that matter. All
/// members and the hook run on the thread of the io_context.
class PeerTransport {
public:
  /// Larger messages are dropped by the receiver.
  static constexpr std::size_t MaxMessageBytes = 32U << 20U;
  /// A connection is replaced if its peer has sent no message for this long,
  /// since the connection may be dead.
  static constexpr base::Millis SilenceTimeout{1500};
  /// Connections are closed if no message was sent for this long.
  static constexpr base::Millis IdleTimeout{300'000};

  using MessageHook = std::function<void(wire::PeerMessage &)>;

  PeerTransport(boost::asio::io_context &Loop, base::Clock Clock);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Starts to receive messages.
  /// \returns nothing, BadSettings if the address is malformed, or
  /// ConnectionFailed if it cannot be bound.
  base::Result<void> listen(const std::string &Address, MessageHook OnMessage);

  /// Queues a message without blocking. Drops it if too many messages wait for
  /// the connection.
  /// \param Address the peer's listening address.
  void send(const std::string &Address, const wire::PeerMessage &Message);

  /// \returns the number of bytes sent and received so far. Thread-safe.
  [[nodiscard]] std::uint64_t bytes() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif

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

/// Sends and takes one-way messages between any two processes, over framed TCP.
///
/// A message may be lost: what must arrive is asked for again by its user. All
/// members and the hook run on the thread of the io_context.
class PeerTransport {
public:
  /// Larger messages are dropped by the receiver.
  static constexpr std::size_t MaxMessageBytes = 32U << 20U;
  /// A connection over which nothing was heard back for this long is replaced
  /// by a new one, since it may have gone silent.
  static constexpr base::Millis SilenceTimeout{1500};
  /// Connections unused for this long are closed.
  static constexpr base::Millis IdleTimeout{300'000};

  using MessageHook = std::function<void(wire::PeerMessage &)>;

  PeerTransport(boost::asio::io_context &Loop, base::Clock Clock);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Begins to take messages.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> listen(const std::string &Address, MessageHook OnMessage);

  /// Sends a message without waiting; drops it if the peer does not read.
  /// \param Address the peer's listening address.
  void send(const std::string &Address, const wire::PeerMessage &Message);

  /// \returns the number of bytes sent and taken so far. Any thread.
  [[nodiscard]] std::uint64_t bytes() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif

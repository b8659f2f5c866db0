#ifndef CORNELDECK_NET_FRAMEDCONNECTION_H
#define CORNELDECK_NET_FRAMEDCONNECTION_H

#include "Base/Error.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace corneldeck::wire {
class LinkFrame;
class PeerMessage;
} // namespace corneldeck::wire

namespace corneldeck::net {

/// A TCP connection between two processes that carries framed messages.
///
/// A frame is a 4-byte big-endian length and a serialized message of type \p
/// Frame, which is wire::LinkFrame or wire::PeerMessage. All members and hooks
/// run on the thread of the io_context. Frames sent in one handler are written
/// in one system call.
template <typename Frame>
class FramedConnection
    : public std::enable_shared_from_this<FramedConnection<Frame>> {
public:
  /// A larger frame closes the connection.
  static constexpr std::size_t MaxFrameBytes = 32U << 20U;
  /// The connection is closed if more bytes are unsent, since the peer does not
  /// read.
  static constexpr std::size_t MaxUnsentBytes = 64U << 20U;

  using FrameHook = std::function<void(Frame &)>;
  /// Called once with the reason when the connection closes, unless close() was
  /// called before.
  using ClosedHook = std::function<void(const base::Error &)>;

  virtual ~FramedConnection() = default;

  /// Sets the hooks and starts to read.
  virtual void start(FrameHook OnFrame, ClosedHook OnClosed) = 0;

  /// Queues a frame. Does nothing after the connection was closed.
  virtual void send(const Frame &Message) = 0;

  /// Closes the connection; no hook runs afterwards.
  virtual void close() = 0;

  /// \returns the peer's address, for log and error messages.
  [[nodiscard]] virtual std::string peer() const = 0;
};

template <typename Frame>
using FramedConnectionPtr = std::shared_ptr<FramedConnection<Frame>>;
using LinkConnectionPtr = FramedConnectionPtr<wire::LinkFrame>;

/// Connects to \p Address.
///
/// \param Loop runs the connection.
/// \param Address the address of the peer, "ip:port".
/// \param Timeout the time after which the attempt fails with ConnectionFailed.
/// \param Done receives the connection, or ConnectionFailed.
template <typename Frame>
void connectFramed(
    boost::asio::io_context &Loop, const std::string &Address,
    base::Millis Timeout,
    std::function<void(base::Result<FramedConnectionPtr<Frame>>)> Done);

/// Accepts connections at an address.
template <typename Frame> class FramedServer {
public:
  using AcceptHook = std::function<void(FramedConnectionPtr<Frame>)>;

  /// \param MaxConnections the maximum number of open connections; further ones
  /// are closed at once.
  FramedServer(boost::asio::io_context &Loop, std::size_t MaxConnections);
  ~FramedServer();
  FramedServer(const FramedServer &) = delete;
  FramedServer &operator=(const FramedServer &) = delete;

  /// Starts to listen.
  /// \returns nothing, BadSettings if the address is malformed, or
  /// ConnectionFailed if it cannot be bound.
  base::Result<void> listen(const std::string &Address, AcceptHook OnAccept);

  /// Stops listening; connections stay open.
  void close();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

using LinkServer = FramedServer<wire::LinkFrame>;

/// Connects to an agent; see connectFramed().
void connectLink(boost::asio::io_context &Loop, const std::string &Address,
                 base::Millis Timeout,
                 std::function<void(base::Result<LinkConnectionPtr>)> Done);

} // namespace corneldeck::net

#endif

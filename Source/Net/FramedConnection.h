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

/// One framed TCP connection between two processes.
///
/// Frames are a length of four bytes, big endian, and a message of type
/// \p Frame, which is wire::LinkFrame or wire::PeerMessage. All members and
/// hooks run on the thread of the io_context. Frames written in one turn of the
/// loop leave in one system call.
template <typename Frame>
class FramedConnection
    : public std::enable_shared_from_this<FramedConnection<Frame>> {
public:
  /// A frame over this size closes the connection.
  static constexpr std::size_t MaxFrameBytes = 32U << 20U;
  /// Unsent bytes over this size close the connection: the peer does not read.
  static constexpr std::size_t MaxUnsentBytes = 64U << 20U;

  using FrameHook = std::function<void(Frame &)>;
  /// Called once, with the reason, unless close() was called first.
  using ClosedHook = std::function<void(const base::Error &)>;

  virtual ~FramedConnection() = default;

  /// Sets the hooks and begins to read.
  virtual void start(FrameHook OnFrame, ClosedHook OnClosed) = 0;

  /// Queues a frame. Does nothing after the connection was closed.
  virtual void send(const Frame &Message) = 0;

  /// Closes the connection; no hook is called afterwards.
  virtual void close() = 0;

  /// \returns the peer's address, for messages.
  [[nodiscard]] virtual std::string peer() const = 0;
};

template <typename Frame>
using FramedConnectionPtr = std::shared_ptr<FramedConnection<Frame>>;
using LinkConnectionPtr = FramedConnectionPtr<wire::LinkFrame>;

/// Opens a connection.
///
/// \param Loop runs the connection.
/// \param Address the address, "ip:port".
/// \param Timeout the time after which the attempt fails.
/// \param Done gets the connection, or ConnectionFailed.
template <typename Frame>
void connectFramed(
    boost::asio::io_context &Loop, const std::string &Address,
    base::Millis Timeout,
    std::function<void(base::Result<FramedConnectionPtr<Frame>>)> Done);

/// Takes connections at an address.
template <typename Frame> class FramedServer {
public:
  using AcceptHook = std::function<void(FramedConnectionPtr<Frame>)>;

  /// \param MaxConnections further connections are closed at once.
  FramedServer(boost::asio::io_context &Loop, std::size_t MaxConnections);
  ~FramedServer();
  FramedServer(const FramedServer &) = delete;
  FramedServer &operator=(const FramedServer &) = delete;

  /// Begins to listen.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> listen(const std::string &Address, AcceptHook OnAccept);

  /// Stops listening; connections stay open.
  void close();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

using LinkServer = FramedServer<wire::LinkFrame>;

/// Opens a connection to an agent; see connectFramed().
void connectLink(boost::asio::io_context &Loop, const std::string &Address,
                 base::Millis Timeout,
                 std::function<void(base::Result<LinkConnectionPtr>)> Done);

} // namespace corneldeck::net

#endif

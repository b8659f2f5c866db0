#ifndef CORNELDECK_NET_LINKCONNECTION_H
#define CORNELDECK_NET_LINKCONNECTION_H

#include "Base/Error.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace corneldeck::wire {
class LinkFrame;
} // namespace corneldeck::wire

namespace corneldeck::net {

/// One framed TCP connection between an entry and an agent.
///
/// Frames are a length of four bytes, big endian, and a wire::LinkFrame. All
/// members and hooks run on the thread of the io_context. Frames written in one
/// turn of the loop leave in one system call.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  /// A frame over this size closes the connection.
  static constexpr std::size_t MaxFrameBytes = 32U << 20U;
  /// Unsent bytes over this size close the connection: the peer does not read.
  static constexpr std::size_t MaxUnsentBytes = 64U << 20U;

  using FrameHook = std::function<void(wire::LinkFrame &)>;
  /// Called once, with the reason, unless close() was called first.
  using ClosedHook = std::function<void(const base::Error &)>;

  virtual ~LinkConnection() = default;

  /// Sets the hooks and begins to read.
  virtual void start(FrameHook OnFrame, ClosedHook OnClosed) = 0;

  /// Queues a frame. Does nothing after the connection was closed.
  virtual void send(const wire::LinkFrame &Frame) = 0;

  /// Closes the connection; no hook is called afterwards.
  virtual void close() = 0;

  /// \returns the peer's address, for messages.
  [[nodiscard]] virtual std::string peer() const = 0;
};

using LinkConnectionPtr = std::shared_ptr<LinkConnection>;

/// Opens a connection.
///
/// \param Loop runs the connection.
/// \param Where the agent's link address.
/// \param Timeout the time after which the attempt fails.
/// \param Done gets the connection, or ConnectionFailed.
void connectLink(boost::asio::io_context &Loop, const std::string &Where,
                 base::Millis Timeout,
                 std::function<void(base::Result<LinkConnectionPtr>)> Done);

/// Takes connections at an address.
class LinkServer {
public:
  using AcceptHook = std::function<void(LinkConnectionPtr)>;

  /// \param MaxConnections further connections are closed at once.
  LinkServer(boost::asio::io_context &Loop, std::size_t MaxConnections);
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  /// Begins to listen.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> listen(const std::string &Where, AcceptHook OnAccept);

  /// Stops listening; connections stay open.
  void close();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif

#ifndef CORNELDECK_NODE_CONTROLLOOP_H
#define CORNELDECK_NODE_CONTROLLOOP_H

#include "Base/Timeline.h"
#include "Net/HttpClient.h"
#include "Net/PeerLink.h"
#include "Node/ControlCore.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace corneldeck::node {

/// The thread that owns a process's control state, with its sockets.
///
/// Traffic threads get immutable views through hooks, which run on the control
/// thread. Members marked so may be called from any thread.
class ControlLoop {
public:
  using ViewHook = std::function<void(catalogue::ViewPtr, bool Ready)>;
  using MessageHook = std::function<void(const wire::PeerMessage &)>;

  ControlLoop(ControlSettings Settings, base::Timeline &Events);
  ~ControlLoop();
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;

  /// Sets the hook for changes of the catalogue or of readiness.
  void setViewHook(ViewHook Hook) { m_OnView = std::move(Hook); }

  /// Sets the hook for messages that the control thread does not handle.
  void setMessageHook(MessageHook Hook) { m_OnMessage = std::move(Hook); }

  /// Sets the hook for other entries' gossip, after it was taken.
  void setGossipHook(MessageHook Hook) { m_OnGossip = std::move(Hook); }

  /// Begins to listen and starts the thread.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> start();

  /// Ends the thread. Any thread but the control thread.
  void stop();

  /// Runs \p Todo on the control thread. Any thread.
  void post(std::function<void()> Task);

  /// Sends a message to a peer address. Any thread.
  void send(const std::string &Address, wire::PeerMessage Message);

  /// Publishes changes. Any thread; \p Done runs on the control thread.
  void publish(catalogue::PublishRequest Request,
               std::function<void(catalogue::PublishResponse)> Done);

  /// Leaves the "which address" answers and tells the peers. Any thread.
  void beginLeaving();

  /// \returns the other processes heard lately. Control thread only.
  [[nodiscard]] std::vector<PeerStatus> peers() const { return m_Core.peers(); }

  /// Chooses entries for a caller. Control thread only.
  membership::AddressList selectAddresses(const std::string &Zone) {
    return m_Core.selectAddresses(Zone);
  }

  /// Notes a process that was heard outside of gossip, such as an agent over
  /// its connection. Control thread only.
  void recordNode(const PeerStatus &Status) { m_Core.recordNode(Status); }

  /// \returns the follower's state. Control thread only.
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Core.follower();
  }

  /// \returns the control state. Control thread only.
  [[nodiscard]] ControlCore &core() { return m_Core; }

  /// \returns when the last answers that name this entry have expired, if it
  /// left them at \p LeftAt.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt) const {
    return m_Core.serveUntil(LeftAt);
  }

  /// \returns the bytes to and from the log and the peers so far. Any thread.
  [[nodiscard]] std::uint64_t bytes() const {
    return m_LogBytes + m_Peers.bytes();
  }

  [[nodiscard]] const ControlSettings &settings() const { return m_Settings; }
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

private:
  void tick();
  ControlHooks makeHooks();

  const ControlSettings m_Settings;
  base::Timeline &m_Events;
  const base::Clock m_Clock;
  boost::asio::io_context m_Loop;
  boost::asio::steady_timer m_Timer;
  std::atomic<std::uint64_t> m_LogBytes{0};
  net::HttpClient m_Http;
  net::PeerLink m_Peers;
  ViewHook m_OnView;
  MessageHook m_OnMessage;
  MessageHook m_OnGossip;
  ControlCore m_Core;
  std::thread m_Thread;
};

} // namespace corneldeck::node

#endif

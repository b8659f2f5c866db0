#ifndef CORNELDECK_NODE_CONTROLLOOP_H
#define CORNELDECK_NODE_CONTROLLOOP_H

#include "Base/Timeline.h"
#include "Net/HttpClient.h"
#include "Net/PeerTransport.h"
#include "Node/ControlCore.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace corneldeck::node {

/// Runs the control state of a process, with its sockets, on a thread of its
/// own.
///
/// Request threads get immutable views through the hooks, which run on the
/// control thread. The comment of a member says whether it may be called from
/// any thread or from the control thread only.
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

  /// Sets the hook for messages that ControlCore does not handle.
  void setMessageHook(MessageHook Hook) { m_OnMessage = std::move(Hook); }

  /// Sets the hook for the gossip of other entries, which runs after the gossip
  /// was processed.
  void setGossipHook(MessageHook Hook) { m_OnGossip = std::move(Hook); }

  /// Starts to listen, then starts the thread.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> start();

  /// Stops the thread. Any thread except the control thread.
  void stop();

  /// Runs \p Task on the control thread. Any thread.
  void post(std::function<void()> Task);

  /// Sends a message to a peer address. Any thread.
  void send(const std::string &Address, wire::PeerMessage Message);

  /// Publishes changes; \p Done runs on the control thread. Any thread.
  void publish(catalogue::PublishRequest Request,
               std::function<void(catalogue::PublishResponse)> Done);

  /// Removes this entry from the address lists and notifies the peers. Any
  /// thread.
  void beginLeaving();

  /// \returns the other processes that have sent a message recently. Control
  /// thread only.
  [[nodiscard]] std::vector<PeerStatus> peers() const { return m_Core.peers(); }

  /// Selects entries for a caller in \p Zone. Control thread only.
  membership::AddressList selectAddresses(const std::string &Zone) {
    return m_Core.selectAddresses(Zone);
  }

  /// Records the status of a process that was received outside of gossip, such
  /// as from an agent over its connection. Control thread only.
  void recordNode(const PeerStatus &Status) { m_Core.recordNode(Status); }

  /// \returns the follower. Control thread only.
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Core.follower();
  }

  /// \returns the control state. Control thread only.
  [[nodiscard]] ControlCore &core() { return m_Core; }

  /// \returns when all address lists with this entry have expired, if it was
  /// removed from them at \p LeftAt. Any thread.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt) const {
    return m_Core.serveUntil(LeftAt);
  }

  /// \returns the number of bytes exchanged with the log and the peers. Any
  /// thread.
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
  net::PeerTransport m_Peers;
  ViewHook m_OnView;
  MessageHook m_OnMessage;
  MessageHook m_OnGossip;
  ControlCore m_Core;
  std::thread m_Thread;
};

} // namespace corneldeck::node

#endif

#ifndef CORNELDECK_MEMBERSHIP_LINKMONITOR_H
#define CORNELDECK_MEMBERSHIP_LINKMONITOR_H

#include "Base/Millis.h"

#include <cstdint>

namespace corneldeck::membership {

/// Settings of LinkMonitor. A silent connection is detected after
/// m_SilenceTimeout and replaced within the set-up time of a new one.
struct LinkSettings {
  base::Millis m_HeartbeatInterval = base::Millis(400);
  /// A connection without a message for this long is closed.
  base::Millis m_SilenceTimeout = base::Millis(1000);
  base::Millis m_ConnectTimeout = base::Millis(700);
  /// Delay before a connection attempt after a failed one; doubles with each
  /// failure up to m_MaxRetryDelay.
  base::Millis m_MinRetryDelay = base::Millis(100);
  base::Millis m_MaxRetryDelay = base::seconds(2);
};

/// Actions that the owner of a connection must carry out.
struct LinkActions {
  /// Send a heartbeat with m_Sequence.
  bool m_SendHeartbeat = false;
  std::uint64_t m_Sequence = 0;
  /// Close the connection without waiting for the other end.
  bool m_Close = false;
  /// Set with m_Close if the open connection reached the silence timeout.
  bool m_Silent = false;
  /// Open a new connection.
  bool m_Open = false;
};

/// Monitors one connection that this process opens and keeps open.
///
/// Only application messages count as activity, because a connection can be
/// open in the kernel although neither end receives anything.
class LinkMonitor {
public:
  LinkMonitor(LinkSettings Settings, base::Millis Now);

  /// Handles a connection that is open and has completed its greeting.
  void onOpened(base::Millis Now);
  /// Handles a message that was received on the connection.
  void onMessage(base::Millis Now);
  /// Handles a connection that closed or could not be opened.
  void onClosed(base::Millis Now);

  /// \returns the actions that are due at \p Now; call it about every 50 ms.
  LinkActions tick(base::Millis Now);

  /// \returns whether the connection is open and received a message within the
  /// silence timeout.
  [[nodiscard]] bool alive(base::Millis Now) const;

private:
  enum class Phase { Down, Connecting, Up };

  void scheduleRetry(base::Millis Now);
  void tickUp(base::Millis Now, LinkActions &Actions);

  const LinkSettings m_Settings;
  Phase m_Phase = Phase::Down;
  /// When the pending connection attempt started.
  base::Millis m_ConnectingSince{};
  base::Millis m_LastMessageAt{};
  base::Millis m_LastTick{};
  base::Millis m_NextHeartbeat{};
  base::Millis m_NextConnect{};
  base::Millis m_RetryDelay{};
  std::uint64_t m_Sequence = 0;
};

} // namespace corneldeck::membership

#endif

#ifndef CORNELDECK_MEMBERSHIP_LINKMONITOR_H
#define CORNELDECK_MEMBERSHIP_LINKMONITOR_H

#include "Base/Millis.h"

#include <cstdint>

namespace corneldeck::membership {

/// How connections are watched. A silent one is found after m_SilenceTimeout
/// and its replacement is up within a connection's set-up time after that.
struct LinkSettings {
  base::Millis m_HeartbeatInterval = base::Millis(400);
  base::Millis m_SilenceTimeout = base::Millis(1000);
  base::Millis m_ConnectTimeout = base::Millis(700);
  base::Millis m_MinRetryDelay = base::Millis(100);
  base::Millis m_MaxRetryDelay = base::seconds(2);
};

/// What the owner of a connection is to do.
struct LinkActions {
  /// Send a heartbeat with m_Sequence.
  bool m_SendHeartbeat = false;
  std::uint64_t m_Sequence = 0;
  /// Drop the connection without waiting for the other end.
  bool m_Close = false;
  /// Set with m_Close if the connection was open and silent.
  bool m_Silent = false;
  /// Open a new connection.
  bool m_Open = false;
};

/// Watches one connection that this process opens and keeps open.
///
/// Only messages of the application count as a sign of life: a connection can
/// be open for the kernel and dead for both ends.
class LinkMonitor {
public:
  LinkMonitor(LinkSettings Settings, base::Millis Now);

  /// The connection is open and greeted.
  void onOpened(base::Millis Now);
  /// A message came on the connection.
  void onMessage(base::Millis Now);
  /// The connection closed or could not be opened.
  void onClosed(base::Millis Now);

  /// \returns what is due at \p Now; call it every 50 ms or so.
  LinkActions tick(base::Millis Now);

  /// \returns whether the connection carried a message lately.
  [[nodiscard]] bool alive(base::Millis Now) const;

private:
  enum class Phase { Down, Connecting, Up };

  void scheduleRetry(base::Millis Now);
  void tickUp(base::Millis Now, LinkActions &Actions);

  const LinkSettings m_Settings;
  Phase m_Phase = Phase::Down;
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

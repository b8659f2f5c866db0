#ifndef CORNELDECK_DIRECT_SHUTDOWNPOLICY_H
#define CORNELDECK_DIRECT_SHUTDOWNPOLICY_H

#include "Base/Clock.h"

#include <optional>

namespace corneldeck::direct {

/// Decides which requests a stopping entry still accepts.
///
/// Callers go on using the address of a stopping entry for some time. Requests
/// that arrive soon after the stop was requested are accepted; later ones only
/// if their deadline is before the end of the process.
class ShutdownPolicy {
public:
  /// Starts the shutdown.
  /// \param End when the process ends at the latest.
  void begin(base::Millis Now, base::Millis End) {
    m_AcceptAllUntil = Now + AcceptAllPeriod;
    m_End = End;
  }

  /// Returns whether a request that arrives now is accepted.
  /// \param Deadline the deadline of the request.
  [[nodiscard]] bool accepts(base::Millis Now, base::Millis Deadline) const {
    return !m_End || Now < m_AcceptAllUntil || Deadline <= *m_End;
  }

private:
  /// Period after the start of the shutdown in which all requests are accepted.
  /// Callers learn of the shutdown within a few heartbeats; the platform
  /// requires that requests sent in the first 3 s are served.
  static constexpr base::Millis AcceptAllPeriod{2500};

  base::Millis m_AcceptAllUntil{};
  std::optional<base::Millis> m_End;
};

} // namespace corneldeck::direct

#endif

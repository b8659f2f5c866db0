#ifndef CORNELDECK_REQUEST_AGENTCLOCK_H
#define CORNELDECK_REQUEST_AGENTCLOCK_H

#include "Base/Millis.h"

#include <cstdint>
#include <optional>

namespace corneldeck::request {

/// Estimates an agent's monotonic clock at an entry from the clock values in
/// Hello and Load frames.
///
/// The estimate is never ahead of the agent's clock: a value is already as old
/// as the transmission delay when the entry receives it.
class AgentClock {
public:
  /// Records the clock_ms of a Hello or Load frame received at \p Now.
  void onReading(base::Millis Now, base::Millis AgentTime) {
    m_Offset = AgentTime - Now - Rounding;
  }

  /// \returns the estimated agent time, or none before the first reading.
  [[nodiscard]] std::optional<base::Millis> estimate(base::Millis Now) const {
    if (!m_Offset)
      return std::nullopt;
    return *m_Offset + Now;
  }

private:
  static constexpr base::Millis Rounding{1};
  std::optional<base::Millis> m_Offset;
};

} // namespace corneldeck::request

#endif

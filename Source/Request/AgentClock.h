#ifndef CORNELDECK_REQUEST_AGENTCLOCK_H
#define CORNELDECK_REQUEST_AGENTCLOCK_H

#include "Base/Millis.h"

#include <cstdint>
#include <optional>

namespace corneldeck::request {

/// An entry's view of an agent's monotonic clock, from Hello and Load frames.
///
/// The estimate is never ahead of the agent's clock: a reading is as old as its
/// way to the entry was long.
class AgentClock {
public:
  /// Takes the clock_ms of a Hello or Load frame that came just now.
  void onReading(base::Millis Now, base::Millis AgentTime) {
    m_Offset = AgentTime - Now - Rounding;
  }

  /// \returns the agent's time, or none before the first reading.
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

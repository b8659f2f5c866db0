#ifndef CORNELDECK_BASE_CLOCK_H
#define CORNELDECK_BASE_CLOCK_H

#include "Base/Millis.h"

#include <functional>

namespace corneldeck::base {

/// A monotonic clock whose source can be replaced.
///
/// Daemons use steadyClock(); tests and the bench supply simulated time.
class Clock {
public:
  using Source = std::function<Millis()>;

  /// \param Now returns the current time.
  explicit Clock(Source Now);

  /// \returns the current time, never less than an earlier result.
  [[nodiscard]] Millis now() const { return m_Now(); }

private:
  Source m_Now;
};

/// \returns a Clock that reads this machine's monotonic clock.
Clock steadyClock();

/// \returns the wall time of this machine in milliseconds since 1970. It may
/// jump, so it is used only for the timeline, the creation times of idempotency
/// keys and the incarnations of processes.
Millis wallTime();

} // namespace corneldeck::base

#endif

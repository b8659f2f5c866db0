#ifndef CORNELDECK_BASE_CLOCK_H
#define CORNELDECK_BASE_CLOCK_H

#include "Base/Millis.h"

#include <functional>

namespace corneldeck::base {

/// A monotonic clock whose source can be replaced.
///
/// Daemons use steadyClock(); tests and the bench hand in their own time.
class Clock {
public:
  using Source = std::function<Millis()>;

  /// \param Now returns the current time in milliseconds.
  explicit Clock(Source Now);

  /// \returns the current time, never less than an earlier result.
  [[nodiscard]] Millis now() const { return m_Now(); }

private:
  Source m_Now;
};

/// \returns a clock on the monotonic clock of this machine.
Clock steadyClock();

/// \returns milliseconds since 1970 on this machine's wall clock. It may jump;
/// only the time line and callers' creation times use it.
Millis wallTime();

} // namespace corneldeck::base

#endif

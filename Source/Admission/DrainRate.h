#ifndef CORNELDECK_ADMISSION_DRAINRATE_H
#define CORNELDECK_ADMISSION_DRAINRATE_H

#include "Base/Millis.h"

namespace corneldeck::admission {

/// Measures how fast a queue drains, in work a second, over the spells in
/// which it holds something.
class DrainRate {
public:
  /// \param Window the time over which older spells fade.
  /// \param InitialPerSecond the rate assumed before any was measured.
  DrainRate(base::Millis Window, double InitialPerSecond);

  /// The queue was empty and no longer is.
  void onQueueNonEmpty(base::Millis Now);

  /// \p Work left the queue for a backend server after it had waited.
  void onDequeued(base::Millis Now, double Work);

  /// The queue is empty.
  void onQueueEmpty() { m_NonEmpty = false; }

  /// \returns the rate; it falls while a queue waits and nothing leaves it.
  [[nodiscard]] double perSecond(base::Millis Now) const;

private:
  base::Millis m_Window;
  double m_DecayedWork;
  double m_DecayedSeconds = 1;
  bool m_NonEmpty = false;
  base::Millis m_LastUpdate{};
};

/// Measures how much work comes in a second, over about a window.
class ArrivalRate {
public:
  explicit ArrivalRate(base::Millis Window) : m_Window(Window) {}

  void onArrival(base::Millis Now, double Work);

  [[nodiscard]] double perSecond(base::Millis Now) const;

private:
  base::Millis m_Window;
  double m_PerSecond = 0;
  base::Millis m_LastUpdate{};
};

} // namespace corneldeck::admission

#endif

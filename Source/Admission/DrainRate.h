#ifndef CORNELDECK_ADMISSION_DRAINRATE_H
#define CORNELDECK_ADMISSION_DRAINRATE_H

#include "Base/Millis.h"

namespace corneldeck::admission {

/// Measures the drain rate of a queue, in work per second, over the time in
/// which it is not empty.
///
/// While the queue is empty nothing limits the rate that can be seen, and the
/// rate that was measured before is forgotten: replicas that were lost then may
/// have returned.
class DrainRate {
public:
  /// \param Window time constant of the exponential moving average, and of
  /// forgetting.
  /// \param InitialPerSecond rate assumed without a measurement.
  DrainRate(base::Millis Window, double InitialPerSecond);

  /// Starts measuring when the queue becomes non-empty.
  void onQueueNonEmpty(base::Millis Now);

  /// Records that \p Work was dispatched after waiting in the queue.
  void onDequeued(base::Millis Now, double Work);

  /// Stops measuring when the queue becomes empty.
  void onQueueEmpty(base::Millis Now);

  /// \returns the rate. It falls while the queue is not empty and no work
  /// leaves it.
  [[nodiscard]] double perSecond(base::Millis Now) const;

private:
  /// Returns the part of the measurement that is not forgotten yet.
  [[nodiscard]] double keptPart(base::Millis Now) const;

  base::Millis m_Window;
  double m_InitialPerSecond;
  double m_DecayedWork;
  double m_DecayedSeconds = 1;
  bool m_NonEmpty = false;
  /// Time of the last update, or since when the queue is empty.
  base::Millis m_LastUpdate{};
};

/// Measures the arrival rate, in work per second, as an exponential moving
/// average.
class ArrivalRate {
public:
  /// \param Window time constant of the moving average.
  explicit ArrivalRate(base::Millis Window) : m_Window(Window) {}

  /// Records the arrival of \p Work.
  void onArrival(base::Millis Now, double Work);

  [[nodiscard]] double perSecond(base::Millis Now) const;

private:
  base::Millis m_Window;
  double m_PerSecond = 0;
  base::Millis m_LastUpdate{};
};

} // namespace corneldeck::admission

#endif

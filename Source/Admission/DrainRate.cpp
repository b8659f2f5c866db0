#include "Admission/DrainRate.h"

#include <cmath>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;

double toSeconds(base::Millis Elapsed) {
  return static_cast<double>(Elapsed.count()) / MillisPerSecond;
}

} // namespace

DrainRate::DrainRate(base::Millis Window, double InitialPerSecond)
    : m_Window(Window), m_InitialPerSecond(InitialPerSecond),
      m_DecayedWork(InitialPerSecond) {}

double DrainRate::keptPart(base::Millis Now) const {
  return m_NonEmpty
             ? 1
             : std::exp(-toSeconds(Now - m_LastUpdate) / toSeconds(m_Window));
}

void DrainRate::onQueueNonEmpty(base::Millis Now) {
  const double Kept = keptPart(Now);
  m_DecayedWork = m_DecayedWork * Kept + m_InitialPerSecond * (1 - Kept);
  m_DecayedSeconds = m_DecayedSeconds * Kept + (1 - Kept);
  m_NonEmpty = true;
  m_LastUpdate = Now;
}

void DrainRate::onQueueEmpty(base::Millis Now) {
  m_NonEmpty = false;
  m_LastUpdate = Now;
}

void DrainRate::onDequeued(base::Millis Now, double Work) {
  const double Elapsed = toSeconds(Now - m_LastUpdate);
  const double DecayFactor = std::exp(-Elapsed / toSeconds(m_Window));
  m_DecayedWork = m_DecayedWork * DecayFactor + Work;
  m_DecayedSeconds = m_DecayedSeconds * DecayFactor + Elapsed;
  m_LastUpdate = Now;
}

double DrainRate::perSecond(base::Millis Now) const {
  const double SinceLastUpdate = m_NonEmpty ? toSeconds(Now - m_LastUpdate) : 0;
  const double Kept = keptPart(Now);
  return (m_DecayedWork * Kept + m_InitialPerSecond * (1 - Kept)) /
         ((m_DecayedSeconds + SinceLastUpdate) * Kept + (1 - Kept));
}

void ArrivalRate::onArrival(base::Millis Now, double Work) {
  m_PerSecond = perSecond(Now) + Work / toSeconds(m_Window);
  m_LastUpdate = Now;
}

double ArrivalRate::perSecond(base::Millis Now) const {
  return m_PerSecond *
         std::exp(-toSeconds(Now - m_LastUpdate) / toSeconds(m_Window));
}

} // namespace corneldeck::admission

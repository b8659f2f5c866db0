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
    : m_Window(Window), m_DecayedWork(InitialPerSecond) {}

void DrainRate::onQueueNonEmpty(base::Millis Now) {
  m_NonEmpty = true;
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
  return m_DecayedWork / (m_DecayedSeconds + SinceLastUpdate);
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

#include "Admission/DrainRate.h"

#include <cmath>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;

double toSeconds(base::Millis Span) {
  return static_cast<double>(Span.count()) / MillisPerSecond;
}

} // namespace

DrainRate::DrainRate(base::Millis Window, double Initial)
    : m_Window(Window), m_Work(Initial) {}

void DrainRate::begin(base::Millis Now) {
  m_Waiting = true;
  m_Last = Now;
}

void DrainRate::drained(base::Millis Now, double Work) {
  const double Span = toSeconds(Now - m_Last);
  const double Kept = std::exp(-Span / toSeconds(m_Window));
  m_Work = m_Work * Kept + Work;
  m_Seconds = m_Seconds * Kept + Span;
  m_Last = Now;
}

double DrainRate::perSecond(base::Millis Now) const {
  const double Idle = m_Waiting ? toSeconds(Now - m_Last) : 0;
  return m_Work / (m_Seconds + Idle);
}

void ArrivalRate::arrived(base::Millis Now, double Work) {
  m_PerSecond = perSecond(Now) + Work / toSeconds(m_Window);
  m_Last = Now;
}

double ArrivalRate::perSecond(base::Millis Now) const {
  return m_PerSecond * std::exp(-toSeconds(Now - m_Last) / toSeconds(m_Window));
}

} // namespace corneldeck::admission

#include "Routing/RetryBudget.h"

#include <algorithm>

namespace corneldeck::routing {
namespace {

/// Charges one attempt to a saved budget; returns false if it is too small.
bool tryConsume(double &Saved) {
  if (Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings)
    : m_Settings(Settings) {}

void RetryBudget::onFirstAttempt() {
  const double MaxHedges =
      std::max(1.0, m_Settings.m_MaxSavedRetries * m_Settings.m_HedgeRatio /
                        m_Settings.m_RetryRatio);
  m_SavedRetries = std::min(m_SavedRetries + m_Settings.m_RetryRatio,
                            m_Settings.m_MaxSavedRetries);
  m_SavedHedges = std::min(m_SavedHedges + m_Settings.m_HedgeRatio, MaxHedges);
}

bool RetryBudget::tryConsumeRetry() { return tryConsume(m_SavedRetries); }

bool RetryBudget::tryConsumeHedge() { return tryConsume(m_SavedHedges); }

} // namespace corneldeck::routing

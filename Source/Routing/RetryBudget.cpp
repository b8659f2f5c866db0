#include "Routing/RetryBudget.h"

#include <algorithm>

namespace corneldeck::routing {
namespace {

/// Takes a whole attempt from what is saved.
bool take(double &Saved) {
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
  m_Retries = std::min(m_Retries + m_Settings.m_RetryRatio,
                       m_Settings.m_MaxSavedRetries);
  m_Hedges = std::min(m_Hedges + m_Settings.m_HedgeRatio, MaxHedges);
}

bool RetryBudget::tryConsumeRetry() { return take(m_Retries); }

bool RetryBudget::tryConsumeHedge() { return take(m_Hedges); }

} // namespace corneldeck::routing

#ifndef CORNELDECK_ROUTING_RETRYBUDGET_H
#define CORNELDECK_ROUTING_RETRYBUDGET_H

namespace corneldeck::routing {

/// Settings of a RetryBudget.
struct RetryBudgetSettings {
  /// Retries allowed per first attempt.
  double m_RetryRatio = 0.06;
  /// Hedges allowed per first attempt.
  double m_HedgeRatio = 0.02;
  /// Maximum accumulated retries. The maximum for hedges is proportional, but
  /// at least 1.
  double m_MaxSavedRetries = 10;
};

/// Limits the retries and hedges of one entry in proportion to its requests.
///
/// Each first attempt adds a fraction of a retry and of a hedge to the budget.
/// The budget is empty at the start, so the attempts sent since then never
/// exceed (1 + m_RetryRatio + m_HedgeRatio) times the requests. Over a shorter
/// interval the accumulated budget may be added.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// Adds to the budget for a first attempt.
  void onFirstAttempt();

  /// Charges a retry to the budget.
  /// \returns false if the budget does not allow it.
  bool tryConsumeRetry();

  /// Charges a hedge to the budget.
  /// \returns false if the budget does not allow it.
  bool tryConsumeHedge();

private:
  RetryBudgetSettings m_Settings;
  double m_SavedRetries = 0;
  double m_SavedHedges = 0;
};

} // namespace corneldeck::routing

#endif

#ifndef CORNELDECK_ROUTING_RETRYBUDGET_H
#define CORNELDECK_ROUTING_RETRYBUDGET_H

namespace corneldeck::routing {

/// The parts of the traffic that may be sent a second time.
struct RetryBudgetSettings {
  /// Retries for each first attempt.
  double m_RetryRatio = 0.06;
  /// Hedges for each first attempt.
  double m_HedgeRatio = 0.02;
  /// The most retries saved up; hedges save up a part in proportion.
  double m_MaxSavedRetries = 10;
};

/// Bounds the work sent to a share of the work asked, at one entry.
///
/// Each first attempt adds a part of a retry and of a hedge. Nothing is saved
/// at the start, so since then the attempts sent are at all times at most 1 +
/// m_RetryRatio + m_HedgeRatio times the requests. Over a shorter time they may
/// be more by what was saved up.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// A first attempt is sent.
  void onFirstAttempt();

  /// \returns whether a retry may be sent, and charges it if so.
  bool tryConsumeRetry();

  /// \returns whether a hedge may be sent, and charges it if so.
  bool tryConsumeHedge();

private:
  RetryBudgetSettings m_Settings;
  double m_SavedRetries = 0;
  double m_SavedHedges = 0;
};

} // namespace corneldeck::routing

#endif

#ifndef CORNELDECK_ROUTING_RETRYBUDGET_H
#define CORNELDECK_ROUTING_RETRYBUDGET_H

namespace corneldeck::routing {

/// The parts of the traffic that may be sent a second time.
struct RetryBudgetSettings {
  /// Retries for each first attempt.
  double m_RetryShare = 0.06;
  /// Hedges for each first attempt.
  double m_HedgeShare = 0.02;
  /// The most retries saved up; hedges save up a part in proportion.
  double m_MaxSaved = 10;
};

/// Bounds the work sent to a share of the work asked, at one entry.
///
/// Each first attempt adds a part of a retry and of a hedge. Nothing is saved
/// at the start, so since then the attempts sent are at all times at most 1 +
/// m_RetryShare + m_HedgeShare times the requests. Over a shorter time they may
/// be more by what was saved up.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// A first attempt is sent.
  void firstAttempt();

  /// \returns whether a retry may be sent, and charges it if so.
  bool takeRetry();

  /// \returns whether a hedge may be sent, and charges it if so.
  bool takeHedge();

private:
  RetryBudgetSettings m_Settings;
  double m_Retries = 0;
  double m_Hedges = 0;
};

} // namespace corneldeck::routing

#endif

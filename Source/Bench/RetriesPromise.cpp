#include "Base/Random.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Routing/RetryBudget.h"

#include <algorithm>
#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

constexpr double MostAmplification = 1.1;
constexpr int MaxAttempts = 4;

routing::RetryBudgetSettings budgetFor(const std::string &Plant) {
  routing::RetryBudgetSettings Settings;
  if (Plant == "budget-off") {
    Settings.m_RetryRatio = MaxAttempts;
    Settings.m_MaxSavedRetries = 1e9;
  }
  if (Plant == "hedges-free")
    Settings.m_HedgeRatio = MaxAttempts;
  return Settings;
}

/// Counts what one entry sends for the requests that it is asked.
class BudgetRun {
public:
  explicit BudgetRun(const std::string &Plant)
      : m_Settings(budgetFor(Plant)), m_Budget(m_Settings) {}

  /// \param Failures attempts of this request that fail. \param Hedged whether
  /// the first attempt is slow enough for a hedge.
  void request(int Failures, bool Hedged) {
    m_Budget.onFirstAttempt();
    m_Asked += 1;
    m_Sent += 1;
    if (Hedged && m_Budget.tryConsumeHedge())
      m_Sent += 1;
    for (int Attempt = 1; Attempt < MaxAttempts && Attempt <= Failures;
         ++Attempt)
      if (m_Budget.tryConsumeRetry())
        m_Sent += 1;
    m_SentAfter.push_back(m_Sent);
  }

  /// \returns what was broken, if anything was.
  [[nodiscard]] std::string check() const {
    const routing::RetryBudgetSettings Stated;
    const double Saved = Stated.m_MaxSavedRetries *
                         (1 + Stated.m_HedgeRatio / Stated.m_RetryRatio);
    for (std::size_t Last = 0; Last < m_SentAfter.size(); ++Last) {
      const double Asked = static_cast<double>(Last) + 1;
      if (m_SentAfter[Last] > MostAmplification * Asked + 1e-6)
        return std::to_string(m_SentAfter[Last]) + " sent for " +
               std::to_string(Asked);
      // Any later span may use up what was saved before it.
      const std::size_t First = Last / 2;
      const double Span = static_cast<double>(Last - First);
      const double Sent = m_SentAfter[Last] - m_SentAfter[First];
      if (Sent > MostAmplification * Span + Saved + 1)
        return std::to_string(Sent) + " sent for " + std::to_string(Span) +
               " in a later span";
    }
    return "";
  }

private:
  routing::RetryBudgetSettings m_Settings;
  routing::RetryBudget m_Budget;
  double m_Asked = 0;
  double m_Sent = 0;
  std::vector<double> m_SentAfter;
};

struct RetryFault {
  std::string m_Name;
  double m_FailRatio = 0;
  double m_SlowRatio = 0;
};

MatrixRow runRetryRow(const RetryFault &Fault, const std::string &Step,
                      int CalmRequests, const std::string &Plant) {
  constexpr int FaultRequests = 2'000;
  base::Random Random(1);
  BudgetRun Run(Plant);
  for (int Number = 0; Number < CalmRequests; ++Number)
    Run.request(0, false);
  for (int Number = 0; Number < FaultRequests; ++Number) {
    int Failures = 0;
    while (Failures < MaxAttempts && Random.chance(Fault.m_FailRatio))
      ++Failures;
    Run.request(Failures, Random.chance(Fault.m_SlowRatio));
  }
  const std::string Seen = Run.check();
  return {Fault.m_Name, Step, Seen.empty(), Seen};
}

std::vector<MatrixRow> retriesMatrix(const std::string &Plant) {
  const std::vector<RetryFault> Faults = {{"a-third-fails", 0.34, 0},
                                          {"all-fail", 1, 0},
                                          {"all-slow", 0, 1},
                                          {"all-slow-and-fail", 1, 1}};
  std::vector<MatrixRow> Rows;
  for (const RetryFault &Fault : Faults) {
    Rows.push_back(runRetryRow(Fault, "at-the-start", 0, Plant));
    Rows.push_back(runRetryRow(Fault, "after-100-requests", 100, Plant));
    Rows.push_back(runRetryRow(Fault, "after-a-long-calm", 20'000, Plant));
  }
  return Rows;
}

FuzzReport retriesFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                       const std::string &Plant) {
  constexpr int MaxRequests = 200;
  return runProperty(Schedules, Seed, MaxRequests, [&] {
    // Each number is one request: its failures, and an odd one is slow.
    const auto Requests = *rc::gen::container<std::vector<int>>(rc::gen::resize(
        rc::kNominalSize, rc::gen::inRange(0, 2 * MaxAttempts)));
    BudgetRun Run(Plant);
    for (const int Each : Requests)
      Run.request(Each / 2, Each % 2 == 1);
    const std::string Seen = Run.check();
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise retriesPromise() {
  return {"retries", {"budget-off", "hedges-free"}, retriesMatrix, retriesFuzz};
}

} // namespace corneldeck::bench

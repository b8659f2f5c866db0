#ifndef CORNELDECK_DIRECT_SHAREDRETRYBUDGET_H
#define CORNELDECK_DIRECT_SHAREDRETRYBUDGET_H

#include "Base/Millis.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace corneldeck::direct {

/// Retry budget of one service, shared by all entries.
struct SharedRetryBudgetSettings {
  /// Retries per request within the window.
  double m_Ratio = 0.2;
  base::Millis m_Window = base::seconds(10);
  /// Retries within the window that are allowed in addition to m_Ratio.
  double m_ExtraRetries = 0;
};

/// Limits the number of retries over all entries.
///
/// Each entry uses its share of the budget without communication: the ratio
/// applied to its own requests, and the additional retries divided by the
/// number of entries. An entry that crashes uses nothing of the others' shares.
/// An entry that restarts has lost its count of used retries, so half of the
/// budget is held in reserve.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(SharedRetryBudgetSettings Settings)
      : m_Settings(Settings) {}

  /// Sets the number of live entries, including this one.
  void setEntryCount(std::size_t Entries);

  /// Counts a request that a caller sent for \p Service.
  void recordRequest(const std::string &Service, base::Millis Now);

  /// Charges one retry to the budget.
  /// \returns false, without a charge, if the budget is used up.
  bool tryAcquire(const std::string &Service, base::Millis Now);

private:
  struct Window {
    /// Times within the window, oldest first.
    std::deque<base::Millis> m_Requests;
    std::deque<base::Millis> m_Retries;
  };
  void removeExpired(Window &Recent, base::Millis Now) const;

  const SharedRetryBudgetSettings m_Settings;
  std::size_t m_Entries = 1;
  /// High-water mark of m_Entries; a network partition must not increase this
  /// entry's share.
  std::size_t m_MaxEntries = 1;
  std::map<std::string, Window> m_Windows;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_DIRECT_SHAREDRETRYBUDGET_H
#define CORNELDECK_DIRECT_SHAREDRETRYBUDGET_H

#include "Base/Millis.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace corneldeck::direct {

/// What the operators allow all entries together, for one service.
struct SharedRetryBudgetSettings {
  /// Retries for each request within the window.
  double m_Ratio = 0.2;
  base::Millis m_Window = base::seconds(10);
  /// Retries that are allowed besides.
  double m_ExtraRetries = 0;
};

/// Bounds the requests that are sent to a second backend server.
///
/// All entries share one allowance. Each takes its part without asking: the
/// ratio of its own requests, and an equal share of the extra ones over the
/// entries that it last knew of. An entry that dies uses up nothing of the
/// others' parts, and one that starts again has used nothing, so half of the
/// allowance is kept back for it.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(SharedRetryBudgetSettings Settings)
      : m_Settings(Settings) {}

  /// \param Entries the entries in service, with this one.
  void setEntryCount(std::size_t Entries);

  /// A request for \p Service came from a caller.
  void recordRequest(const std::string &Service, base::Millis Now);

  /// \returns whether a second attempt may go out, and charges it if so.
  bool tryAcquire(const std::string &Service, base::Millis Now);

private:
  struct Window {
    std::deque<base::Millis> m_Requests;
    std::deque<base::Millis> m_Retries;
  };
  void removeExpired(Window &Of, base::Millis Now) const;

  const SharedRetryBudgetSettings m_Settings;
  std::size_t m_Entries = 1;
  /// Most entries at once so far; a partition must not widen this one's part.
  std::size_t m_MaxEntries = 1;
  std::map<std::string, Window> m_Windows;
};

} // namespace corneldeck::direct

#endif

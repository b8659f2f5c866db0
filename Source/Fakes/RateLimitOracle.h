#ifndef CORNELDECK_FAKES_RATELIMITORACLE_H
#define CORNELDECK_FAKES_RATELIMITORACLE_H

#include "Base/Millis.h"

#include <map>
#include <string>
#include <vector>

namespace corneldeck::fakes {

/// What a window of time allows at a server with a rate limit.
struct RateLimitBound {
  base::Millis m_Window = base::seconds(4);
  /// Factor of the requests that the limit allows in the window.
  double m_Factor = 1.5;
  /// Requests that are allowed beyond that.
  double m_Extra = 5;
  /// Time after the server first named a limit in which nothing is checked.
  base::Millis m_SettlingTime = base::seconds(3);
  /// Only arrivals from entries that have forwarded a response with a limit
  /// this long before are counted; if false, all arrivals are.
  bool m_InformedEntriesOnly = true;
  base::Millis m_NoticePeriod = base::Millis(500);
  /// Time for which a limit is still allowed after the server has lowered it.
  base::Millis m_LoweringTime{};
};

/// Records what reaches one server that names rate limits, and compares it with
/// the limits.
class RateLimitOracle {
public:
  /// The server names \p PerSecond from now on.
  void limitNamed(base::Millis Now, double PerSecond);
  /// The server no longer names a limit.
  void limitEnded(base::Millis Now);
  /// A request from \p Entry has reached the server.
  void requestArrived(base::Millis Now, const std::string &Entry);
  /// \p Entry has forwarded a response that names a limit.
  void limitForwarded(base::Millis Now, const std::string &Entry);

  /// The window with the most requests over its bound.
  struct WorstWindow {
    base::Millis m_End{};
    double m_Requests = 0;
    double m_Allowed = 0;

    /// Requests as a fraction of the allowed ones.
    [[nodiscard]] double ratio() const {
      return m_Allowed > 0 ? m_Requests / m_Allowed : 0;
    }
  };
  /// \returns the worst window; one without requests if no window is complete.
  [[nodiscard]] WorstWindow worstWindow(const RateLimitBound &Bound) const;

  /// \returns the requests that arrived from \p Begin to \p End as a fraction
  /// of those that the limits allow in that time.
  [[nodiscard]] double usedRatio(base::Millis Begin, base::Millis End) const;

private:
  struct Arrival {
    base::Millis m_At{};
    std::string m_Entry;
  };
  /// A span of time with one limit.
  struct Period {
    base::Millis m_Begin{};
    base::Millis m_End{};
    double m_PerSecond = 0;
    /// When the server first named any limit without a break.
    base::Millis m_FirstNamedAt{};
  };

  /// \returns the requests that the limits allow.
  /// \param LoweringTime see RateLimitBound.
  [[nodiscard]] double allowedRequests(base::Millis Begin, base::Millis End,
                                       base::Millis LoweringTime) const;
  /// \returns whether all of the time from \p Begin to \p End has a limit that
  /// was first named at least \p SettlingTime before.
  [[nodiscard]] bool isLimited(base::Millis Begin, base::Millis End,
                               base::Millis SettlingTime) const;
  [[nodiscard]] bool isCounted(const Arrival &Each,
                               const RateLimitBound &Bound) const;

  std::vector<Arrival> m_Arrivals;
  std::vector<Period> m_Periods;
  /// When each entry first forwarded a response with a limit.
  std::map<std::string, base::Millis> m_InformedAt;
};

} // namespace corneldeck::fakes

#endif

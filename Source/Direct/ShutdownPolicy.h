#ifndef CORNELDECK_DIRECT_SHUTDOWNPOLICY_H
#define CORNELDECK_DIRECT_SHUTDOWNPOLICY_H

#include "Base/Clock.h"

#include <optional>

namespace corneldeck::direct {

/// Which requests a stopping entry still accepts.
///
/// Answers callers that go on using an entry they were told of before its stop:
/// what comes soon after the order to stop is served to the end, later requests
/// only if they are over before the process ends.
class ShutdownPolicy {
public:
  /// The entry was told to stop.
  /// \param End when the process ends at the latest.
  void begin(base::Millis Now, base::Millis End) {
    m_AcceptAllUntil = Now + AcceptAllPeriod;
    m_End = End;
  }

  /// \param Deadline when the request has its answer at the latest.
  /// \returns whether a request that comes now is taken.
  [[nodiscard]] bool accepts(base::Millis Now, base::Millis Deadline) const {
    return !m_End || Now < m_AcceptAllUntil || Deadline <= *m_End;
  }

private:
  /// Callers learn within some beats that the entry stops; the platform asks
  /// that what is sent in the first 3 s is served.
  static constexpr base::Millis AcceptAllPeriod{2500};

  base::Millis m_AcceptAllUntil{};
  std::optional<base::Millis> m_End;
};

} // namespace corneldeck::direct

#endif

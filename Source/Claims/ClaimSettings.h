#ifndef CORNELDECK_CLAIMS_CLAIMSETTINGS_H
#define CORNELDECK_CLAIMS_CLAIMSETTINGS_H

#include "Base/Millis.h"

#include <cstddef>

namespace corneldeck::claims {

/// Timeouts and limits for the claims at one agent.
struct ClaimSettings {
  /// Time for which a key is kept after it was first claimed.
  base::Millis m_RetentionWindow = base::minutes(10);
  /// Maximum difference between the wall clocks of an agent and of a caller
  /// whose request an entry has accepted.
  base::Millis m_MaxClockSkew = base::seconds(5);
  /// A former home must be fenced until m_RetentionWindow plus this time have
  /// passed since the catalogue moved the key. An agent that is disconnected
  /// from the catalogue stops running keys before this time has passed.
  base::Millis m_MaxDisconnectedTime = base::minutes(10);
  /// A former home that does not reply within this time counts as unavailable.
  base::Millis m_FenceTimeout{500};
  /// New keys are refused at this number of claims; no claim is evicted.
  std::size_t m_MaxClaims = 1'000'000;
  /// Total bytes of stored answers. Beyond this only the fact that a key ran is
  /// kept.
  std::size_t m_MaxAnswerBytes = 64UL * 1024 * 1024;
};

/// Maximum time by which a key's creation time may be ahead of the entry's wall
/// clock.
constexpr base::Millis MaxKeyTimeAhead = base::seconds(2);

} // namespace corneldeck::claims

#endif

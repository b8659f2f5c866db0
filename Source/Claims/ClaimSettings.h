#ifndef CORNELDECK_CLAIMS_CLAIMSETTINGS_H
#define CORNELDECK_CLAIMS_CLAIMSETTINGS_H

#include "Base/Millis.h"

#include <cstddef>

namespace corneldeck::claims {

/// The times and sizes of the claims in one agent.
struct ClaimSettings {
  /// A key is remembered this long after it was first claimed.
  base::Millis m_RetentionWindow = base::minutes(10);
  /// Bound on the difference between the wall clocks of a caller that an entry
  /// let pass and of an agent.
  base::Millis m_MaxClockSkew = base::seconds(5);
  /// A former home is asked until the window and this have passed since the
  /// catalogue moved the key; an agent cut off from the catalogue stops
  /// earlier.
  base::Millis m_MaxDisconnectedTime = base::minutes(10);
  /// A former home that has not answered within this is unavailable.
  base::Millis m_FenceTimeout{500};
  /// New keys are refused above this; none is forgotten early.
  std::size_t m_MaxClaims = 1'000'000;
  /// Answers above this size in total are not kept, only that they ran.
  std::size_t m_MaxAnswerBytes = 64UL * 1024 * 1024;
};

/// How far a caller's creation time of a key may be in an entry's future.
constexpr base::Millis MaxKeyTimeAhead = base::seconds(2);

} // namespace corneldeck::claims

#endif

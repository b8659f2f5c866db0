#ifndef CORNELDECK_DIRECT_RETRYAFTER_H
#define CORNELDECK_DIRECT_RETRYAFTER_H

#include "Base/Millis.h"
#include "Base/Random.h"

#include <cstdint>

namespace corneldeck::direct {

/// Returns the retry-after time of one refused request, drawn between one and
/// two times \p Shortest, so that callers who are refused together do not
/// return together.
inline base::Millis randomizedRetryAfter(base::Millis Shortest,
                                         base::Random &Rng) {
  return Shortest + base::Millis(static_cast<std::int64_t>(Rng.below(
                        static_cast<std::uint64_t>(Shortest.count()) + 1)));
}

} // namespace corneldeck::direct

#endif

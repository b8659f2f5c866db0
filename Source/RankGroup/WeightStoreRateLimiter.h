#ifndef CORNELDECK_RANKGROUP_WEIGHTSTORERATELIMITER_H
#define CORNELDECK_RANKGROUP_WEIGHTSTORERATELIMITER_H

#include "Base/Millis.h"

#include <map>
#include <string>

namespace corneldeck::rankgroup {

/// Shares the load rate of the weight store between groups, with a token bucket
/// for each group.
///
/// Each active group gets an equal part of the rate. The part that a full
/// bucket cannot hold goes to the other groups. The size of a bucket is
/// limited, so that a group does not slow down the others with a large burst
/// after a pause.
class WeightStoreRateLimiter {
public:
  struct Config {
    /// Copies for each second of all groups together.
    double m_CopiesPerSecond = 4;
    /// Size of the bucket of a group, in copies.
    double m_BurstCopies = 16;
    /// Time without a request after which a group gets no part of the rate.
    base::Millis m_IdleTimeout = base::seconds(120);
  };

  explicit WeightStoreRateLimiter(Config Settings) : m_Config(Settings) {}

  /// Requests copies.
  /// \param Requested the number of copies to load.
  /// \param Now the current time.
  /// \returns how many of them the group may start to load now.
  std::size_t grant(const std::string &Group, std::size_t Requested,
                    base::Millis Now);

private:
  struct Bucket {
    double m_Copies = 0;
    base::Millis m_LastRequest{};
  };

  void refill(base::Millis Now);

  Config m_Config;
  std::map<std::string, Bucket> m_Buckets;
  base::Millis m_RefilledAt{};
};

} // namespace corneldeck::rankgroup

#endif

#ifndef CORNELDECK_RANKGROUP_WEIGHTSTORERATELIMITER_H
#define CORNELDECK_RANKGROUP_WEIGHTSTORERATELIMITER_H

#include "Base/Millis.h"

#include <map>
#include <string>

namespace corneldeck::rankgroup {

/// Shares the weight store's rate between the groups that load from it.
///
/// Each group that wants copies gets an equal part of the rate. What a group
/// leaves goes to the others, and a group's unused part is saved up only to a
/// bound, so that a long pause brings no burst that slows the others.
class WeightStoreRateLimiter {
public:
  struct Config {
    /// Copies a second that the store gives to all groups together.
    double m_CopiesPerSecond = 4;
    /// Most copies that one group may save up.
    double m_BurstCopies = 16;
    /// A group that has not asked for so long gets no part.
    base::Millis m_IdleTimeout = base::seconds(120);
  };

  explicit WeightStoreRateLimiter(Config Settings) : m_Config(Settings) {}

  /// Asks for copies.
  /// \param Now the time, in milliseconds. \param Wanted copies to load.
  /// \returns how many of them the group may begin to load now.
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

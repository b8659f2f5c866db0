#ifndef CORNELDECK_DIRECT_GROUPCAPACITY_H
#define CORNELDECK_DIRECT_GROUPCAPACITY_H

#include "Direct/ConcurrencyLimiter.h"
#include "Direct/GroupAvailability.h"
#include "Direct/ServerPool.h"

#include <optional>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Determines the capacity of the engines of a service from the limits of its
/// rank groups.
///
/// A closed group has no capacity, and the requests in flight there do not
/// count. Requests of one group above its limit do not count either: they
/// occupy no capacity of the other groups.
class GroupCapacity {
public:
  /// The objects must outlive this one.
  GroupCapacity(ServerPool &Pool, ConcurrencyLimiter &Limiter,
                const GroupAvailability &Availability)
      : m_Pool(Pool), m_Limiter(Limiter), m_Availability(Availability) {}

  /// Returns the usage of a service, with its capacity limited so that event
  /// intervals stay within \p TargetInterval.
  [[nodiscard]] ServerPool::ServiceUsage usage(const std::string &Service,
                                               const EngineProfile &Engine,
                                               base::Millis TargetInterval,
                                               base::Millis Now) const;

  /// Rates a rank group for one more request. The score of an idle group is its
  /// pass time relative to the target; it rises to 1 at the limit. So slow
  /// groups get fewer requests, and all groups reach their limits together.
  /// \param Engine null if the service has no engine.
  /// \returns nothing if the group is closed.
  [[nodiscard]] std::optional<LoadOption> rate(const RankGroup &Group,
                                               const GroupLoad &Load,
                                               const EngineProfile *Engine,
                                               base::Millis TargetInterval,
                                               base::Millis Now) const;

  /// Records the interval between two events of a stream from the server with
  /// the id \p Server.
  /// \returns see ConcurrencyLimiter::recordInterval().
  double recordInterval(const std::string &Service, const std::string &Server,
                        const EngineProfile &Engine, base::Millis Interval,
                        base::Millis Now);
  /// Records the largest ratio of a stream that has ended.
  void recordStream(const std::string &Service, const std::string &Server,
                    double LargestRatio);

  /// State of one rank group of a service.
  struct GroupState {
    std::string m_Name;
    bool m_IsClosed = false;
    /// Servers that count in the capacity.
    unsigned m_Servers = 0;
    unsigned m_InFlight = 0;
    /// Maximum number of requests for one engine.
    double m_Limit = 0;
  };
  /// Returns the groups of a service, for logs and metrics.
  [[nodiscard]] std::vector<GroupState> states(const std::string &Service,
                                               const EngineProfile &Engine,
                                               base::Millis TargetInterval,
                                               base::Millis Now) const;

private:
  /// Returns the group of a server; nothing if it is not known, since the
  /// server is not listed any more.
  [[nodiscard]] std::optional<RankGroup>
  groupOf(const std::string &Service, const std::string &Server) const;
  /// Lowers the capacity to the limit of \p Group.
  void applyLimit(ServerPool::ServiceUsage &Usage, const RankGroup &Group,
                  const EngineProfile &Engine,
                  base::Millis TargetInterval) const;

  ServerPool &m_Pool;
  ConcurrencyLimiter &m_Limiter;
  const GroupAvailability &m_Availability;
};

} // namespace corneldeck::direct

#endif

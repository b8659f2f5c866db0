#ifndef CORNELDECK_DIRECT_ADMISSIONQUEUE_H
#define CORNELDECK_DIRECT_ADMISSIONQUEUE_H

#include "Base/Error.h"
#include "Direct/ClassShares.h"
#include "Direct/CustomerShares.h"
#include "Direct/ServerPool.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::direct {

/// Settings of AdmissionQueue.
struct AdmissionQueueSettings {
  /// Maximum requests in flight, over all entries, as a fraction of the
  /// capacity of the service. Not above 1, because every pass of a rank group
  /// waits for its slowest rank.
  double m_MaxUtilization = 1.0;
  /// Longest wait in the queue as a fraction of the route's target latency, or
  /// of the time until the request's deadline if that is shorter. The rest is
  /// left for the server's first byte.
  double m_MaxWaitRatio = 0.5;
  /// Smoothing factor of the moving average of the completion rate; one sample
  /// covers at least one second.
  double m_RateSmoothing = 0.4;
  /// Longest wait for a token of a server with a rate limit, by a request that
  /// would be refused otherwise.
  base::Millis m_TokenWait{20};
  /// Bounds of the retry-after time of refused requests.
  base::Millis m_MinRetryAfter{400};
  base::Millis m_MaxRetryAfter{2500};
};

/// Decides which requests of a service are sent at once, which wait in the
/// queue of this entry and which are refused with a retry-after time.
///
/// The queue limits the load on the backend servers to their capacity, counted
/// over all entries. Urgent requests are dequeued first; requests of the same
/// priority are dequeued in the order of arrival, so large requests are not
/// starved. If a service has requests of several priorities, ClassShares
/// decides which of these classes may take a free slot; under overload,
/// CustomerShares decides which customers of a class. Retry-after times are
/// randomized, so that refused callers do not all return at the same time.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionQueueSettings Settings = {});

  /// A request that has arrived.
  struct Arrival {
    std::uint64_t m_Token = 0;
    /// 0 is the most urgent.
    int m_Priority = 0;
    /// The target latency of the route.
    base::Millis m_TargetLatency{};
    base::Millis m_Deadline{};
    /// Empty if unknown.
    std::string m_Customer = {};
  };

  /// A queued request.
  struct Waiting {
    std::uint64_t m_Token = 0;
    int m_Priority = 0;
    /// When the request is refused if it has not been admitted.
    base::Millis m_Deadline{};
    /// See CustomerShares::number().
    std::size_t m_Customer = 0;
  };

  enum class Decision { Admit, Wait, Refuse };

  /// Admits, queues or refuses a request. It is refused at once if its expected
  /// wait is longer than it may wait.
  /// \param Usage the capacity of the service and its requests in flight, over
  /// all entries.
  Decision admit(const std::string &Service, const Arrival &Request,
                 const ServerPool::ServiceUsage &Usage, base::Millis Now);

  /// Removes a queued request whose caller has disconnected or timed out.
  void remove(const std::string &Service, std::uint64_t Token);

  /// Counts a completed request towards the completion rate of the service.
  void recordCompletion(const std::string &Service, base::Millis Now);

  /// Releases the slot of an admitted request that has ended. Ignores requests
  /// that were not admitted.
  void recordEnd(const std::string &Service, std::uint64_t Token,
                 base::Millis Now);

  /// Requests that left the queue, by their tokens.
  struct Dequeued {
    std::vector<std::uint64_t> m_Admitted;
    std::vector<std::uint64_t> m_TimedOut;
  };
  /// Removes the requests that can be admitted now and those that have waited
  /// too long.
  Dequeued dequeue(const std::string &Service, ServerPool::ServiceUsage Usage,
                   base::Millis Now);

  /// Removes all requests of a service that is unavailable.
  /// \returns their tokens.
  std::vector<std::uint64_t> clear(const std::string &Service);

  /// Returns a randomized time after which a refused request may be retried. It
  /// grows with the time needed to empty the queue, and with the interval
  /// between two requests if all servers of the service have a rate limit. It
  /// is not before the end of the first pause if no server wants requests.
  base::Millis retryAfter(const std::string &Service,
                          const ServerPool::ServiceUsage &Usage,
                          base::Random &Rng) const;

  /// Returns the retry-after time of a refused request of \p Priority. If the
  /// classes of the service need more than its capacity, it is the time after
  /// which this class can be served.
  base::Millis retryAfter(const std::string &Service, int Priority,
                          const ServerPool::ServiceUsage &Usage,
                          base::Millis Now, base::Random &Rng);

  /// Returns the number of queued requests of \p Service.
  [[nodiscard]] std::size_t waitingCount(const std::string &Service) const;
  /// Returns the services that have queued requests.
  [[nodiscard]] std::vector<std::string> waitingServices() const;

  /// Returns the division of the capacity between the classes of requests.
  [[nodiscard]] ClassShares &classShares() { return m_ClassShares; }
  /// Returns the classes of \p Service and their parts of the capacity.
  [[nodiscard]] ClassShares::Shares
  shares(const std::string &Service, const ServerPool::ServiceUsage &Usage,
         base::Millis Now);

private:
  /// An admitted request.
  struct Running {
    int m_Priority = 0;
    base::Millis m_StartedAt{};
  };
  struct ServiceQueue {
    std::vector<Waiting> m_Waiting;
    std::unordered_map<std::uint64_t, Running> m_Running;
    /// Moving average of completions per second; 0 until the first sample.
    double m_Rate = 0;
    /// Completions since m_CountStart.
    unsigned m_Count = 0;
    base::Millis m_CountStart{};
  };
  [[nodiscard]] bool hasCapacity(const ServerPool::ServiceUsage &Usage) const;
  [[nodiscard]] ClassShares::Usage
  classUsage(const ServerPool::ServiceUsage &Usage) const;
  /// The division of the capacity of a service between its classes.
  struct Division {
    ClassShares::Shares m_Classes;
    /// Whether the service has requests of several classes.
    bool m_IsShared = false;
    /// Whether clearly less than the capacity of the service is in use.
    bool m_HasSlack = false;
  };
  Division divide(const std::string &Service,
                  const ServerPool::ServiceUsage &Usage, base::Millis Now);
  /// Returns whether the classes leave room for a request of \p Class.
  [[nodiscard]] bool mayStart(const Division &Divided, int Class,
                              const ServerPool::ServiceUsage &Usage) const;
  /// Returns the load of a class, for the shares of its customers.
  static CustomerShares::ClassLoad loadOf(const Division &Divided, int Class);
  /// Decides on a request and queues it if it has to wait.
  /// \param IsWithinShare whether the share of its customer permits it.
  Decision decide(const std::string &Service, const Arrival &Request,
                  std::size_t Customer, bool IsWithinShare,
                  const Division &Divided,
                  const ServerPool::ServiceUsage &Usage, base::Millis Now);
  /// Returns the index of the queued request that starts next, or the number of
  /// queued requests if none may start.
  [[nodiscard]] std::size_t nextToStart(const std::string &Service,
                                        const ServiceQueue &Queue,
                                        const ServerPool::ServiceUsage &Usage,
                                        base::Millis Now);
  void recordStart(const std::string &Service, std::uint64_t Token,
                   int Priority, std::size_t Customer, base::Millis Now);
  /// Adds a sample to the moving average once the sample interval is over.
  void updateRate(ServiceQueue &Queue, base::Millis Now) const;

  const AdmissionQueueSettings m_Settings;
  std::map<std::string, ServiceQueue> m_Queues;
  ClassShares m_ClassShares;
  CustomerShares m_CustomerShares;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_DIRECT_ADMISSIONQUEUE_H
#define CORNELDECK_DIRECT_ADMISSIONQUEUE_H

#include "Base/Error.h"
#include "Direct/ServerPool.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Settings of AdmissionQueue.
struct AdmissionQueueSettings {
  /// Requests in flight over all entries for each place of a service. Every
  /// pass of a rank group waits for its slowest rank, so places are not
  /// overbooked.
  double m_MaxUtilization = 1.0;
  /// The part of a route's target latency that a request may wait here; the
  /// rest is for the server's first byte.
  double m_MaxWaitRatio = 0.5;
  /// Weight of the newest second in the rate of completions.
  double m_RateSmoothing = 0.4;
  /// Bounds of the time to come back.
  base::Millis m_MinRetryAfter{400};
  base::Millis m_MaxRetryAfter{2500};
};

/// Decides which requests of a service go out at once, which wait at this
/// entry and which are refused with a time to come back.
///
/// Answers these loads: more callers than the backend servers have places for,
/// seen over all entries by their reports; herds that come back at once (the
/// times to come back are spread); urgent requests beside others (lower
/// priorities wait longer). Requests of one priority go in the order in which
/// they came, so large ones are not passed over.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionQueueSettings Settings = {});

  /// A request that waits.
  struct Waiting {
    std::uint64_t m_Token = 0;
    int m_Priority = 0;
    /// When it has to go out or be refused.
    base::Millis m_Deadline{};
  };

  enum class Decision { Admit, Wait, Refuse };

  /// \param Usage the service's places and what is in flight, of all entries.
  /// \param TargetLatency the route's target latency.
  /// \returns whether the request \p Token goes, waits or is refused.
  Decision admit(const std::string &Service, std::uint64_t Token, int Priority,
                 base::Millis TargetLatency,
                 const ServerPool::ServiceUsage &Usage, base::Millis Now);

  /// The request left the line by itself, as its caller has gone.
  void remove(const std::string &Service, std::uint64_t Token);

  /// An answer of the service ended here.
  void recordCompletion(const std::string &Service, base::Millis Now);

  /// What became of waitingCount requests.
  struct Dequeued {
    std::vector<std::uint64_t> m_Admitted;
    std::vector<std::uint64_t> m_TimedOut;
  };
  /// Takes out of the line what may go now and what has waited too long.
  Dequeued dequeue(const std::string &Service, ServerPool::ServiceUsage Usage,
                   base::Millis Now);

  /// Takes all out of the line, as the service can't serve them.
  std::vector<std::uint64_t> clear(const std::string &Service);

  /// \returns when a refused request should come back.
  base::Millis retryAfter(const std::string &Service, base::Random &Rng) const;

  [[nodiscard]] std::size_t waitingCount(const std::string &Service) const;
  [[nodiscard]] std::vector<std::string> waitingServices() const;

private:
  struct ServiceQueue {
    std::vector<Waiting> m_Waiting;
    /// Completions a second, averaged, and those of the current second.
    double m_Rate = 0;
    unsigned m_Count = 0;
    base::Millis m_CountStart{};
  };
  [[nodiscard]] bool hasCapacity(const ServerPool::ServiceUsage &Usage) const;
  void updateRate(ServiceQueue &Of, base::Millis Now) const;

  const AdmissionQueueSettings m_Settings;
  std::map<std::string, ServiceQueue> m_Queues;
};

} // namespace corneldeck::direct

#endif

#include "Direct/AdmissionQueue.h"

#include "Direct/RetryAfter.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

constexpr base::Millis RateInterval = base::seconds(1);
constexpr double MillisPerSecond = 1000;
/// Maximum number of queued requests while the completion rate is unknown.
constexpr std::size_t MaxWaitingWithoutRate = 8;

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueSettings Settings)
    : m_Settings(Settings) {}

bool AdmissionQueue::hasCapacity(const ServerPool::ServiceUsage &Usage) const {
  return Usage.m_InFlight < Usage.m_Capacity * m_Settings.m_MaxUtilization +
                                Usage.m_LimitedCapacity;
}

AdmissionQueue::Decision
AdmissionQueue::admit(const std::string &Service, const Arrival &Request,
                      const ServerPool::ServiceUsage &Usage, base::Millis Now) {
  ServiceQueue &Queue = m_Queues[Service];
  updateRate(Queue, Now);
  if (Queue.m_Waiting.empty() && hasCapacity(Usage))
    return Decision::Admit;
  const auto Ahead = static_cast<std::size_t>(
      std::count_if(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                    [&Request](const Waiting &Each) {
                      return Each.m_Priority <= Request.m_Priority;
                    }));
  const base::Millis TimeLeft =
      std::min(Request.m_TargetLatency, Request.m_Deadline - Now);
  double LongestWait =
      static_cast<double>(TimeLeft.count()) * m_Settings.m_MaxWaitRatio;
  const bool TooLong =
      Queue.m_Rate > 0
          ? static_cast<double>(Ahead + 1) / Queue.m_Rate * MillisPerSecond >
                LongestWait
          : Ahead >= MaxWaitingWithoutRate;
  if (TooLong) {
    const bool MayGetToken =
        Usage.m_LimitedServers > 0 && Ahead < MaxWaitingWithoutRate;
    if (!MayGetToken)
      return Decision::Refuse;
    LongestWait = std::min(LongestWait,
                           static_cast<double>(m_Settings.m_TokenWait.count()));
  }
  const auto Position =
      std::find_if(Queue.m_Waiting.begin(), Queue.m_Waiting.end(),
                   [&Request](const Waiting &Each) {
                     return Each.m_Priority > Request.m_Priority;
                   });
  Queue.m_Waiting.insert(
      Position, {Request.m_Token, Request.m_Priority,
                 Now + base::Millis(static_cast<std::int64_t>(LongestWait))});
  return Decision::Wait;
}

void AdmissionQueue::remove(const std::string &Service, std::uint64_t Token) {
  std::erase_if(m_Queues[Service].m_Waiting,
                [Token](const Waiting &Each) { return Each.m_Token == Token; });
}

void AdmissionQueue::recordCompletion(const std::string &Service,
                                      base::Millis Now) {
  ServiceQueue &Queue = m_Queues[Service];
  updateRate(Queue, Now);
  ++Queue.m_Count;
}

AdmissionQueue::Dequeued AdmissionQueue::dequeue(const std::string &Service,
                                                 ServerPool::ServiceUsage Usage,
                                                 base::Millis Now) {
  Dequeued Result;
  ServiceQueue &Queue = m_Queues[Service];
  while (!Queue.m_Waiting.empty() && hasCapacity(Usage)) {
    Result.m_Admitted.push_back(Queue.m_Waiting.front().m_Token);
    Queue.m_Waiting.erase(Queue.m_Waiting.begin());
    ++Usage.m_InFlight;
  }
  std::erase_if(Queue.m_Waiting, [&Result, Now](const Waiting &Each) {
    if (Each.m_Deadline > Now)
      return false;
    Result.m_TimedOut.push_back(Each.m_Token);
    return true;
  });
  return Result;
}

std::vector<std::uint64_t> AdmissionQueue::clear(const std::string &Service) {
  std::vector<std::uint64_t> All;
  for (const Waiting &Each : m_Queues[Service].m_Waiting)
    All.push_back(Each.m_Token);
  m_Queues[Service].m_Waiting.clear();
  return All;
}

base::Millis AdmissionQueue::retryAfter(const std::string &Service,
                                        const ServerPool::ServiceUsage &Usage,
                                        base::Random &Rng) const {
  double Wait = static_cast<double>(m_Settings.m_MinRetryAfter.count());
  if (const auto Found = m_Queues.find(Service);
      Found != m_Queues.end() && Found->second.m_Rate > 0)
    Wait += static_cast<double>(Found->second.m_Waiting.size()) /
            Found->second.m_Rate * MillisPerSecond;
  if (Usage.isRateLimited())
    Wait = std::max(
        Wait, Usage.m_LimitPerSecond > 0
                  ? MillisPerSecond / Usage.m_LimitPerSecond
                  : static_cast<double>(m_Settings.m_MaxRetryAfter.count()));
  const base::Millis PauseRemaining =
      Usage.isUnwanted() ? Usage.m_PauseRemaining : base::Millis(0);
  // The bound applies before the time is randomized: otherwise all times above
  // it would be the same.
  return PauseRemaining +
         randomizedRetryAfter(
             std::min(base::Millis(static_cast<std::int64_t>(Wait)),
                      m_Settings.m_MaxRetryAfter / 2),
             Rng);
}

std::size_t AdmissionQueue::waitingCount(const std::string &Service) const {
  const auto Found = m_Queues.find(Service);
  return Found == m_Queues.end() ? 0 : Found->second.m_Waiting.size();
}

std::vector<std::string> AdmissionQueue::waitingServices() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Queue] : m_Queues)
    if (!Queue.m_Waiting.empty())
      Names.push_back(Name);
  return Names;
}

void AdmissionQueue::updateRate(ServiceQueue &Queue, base::Millis Now) const {
  const base::Millis Elapsed = Now - Queue.m_CountStart;
  if (Elapsed < RateInterval)
    return;
  const double Rate =
      Queue.m_Count * MillisPerSecond / static_cast<double>(Elapsed.count());
  Queue.m_Rate = Queue.m_Rate <= 0 ? Rate
                                   : Queue.m_Rate + m_Settings.m_RateSmoothing *
                                                        (Rate - Queue.m_Rate);
  Queue.m_Count = 0;
  Queue.m_CountStart = Now;
}

} // namespace corneldeck::direct

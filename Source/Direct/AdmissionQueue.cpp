#include "Direct/AdmissionQueue.h"

#include "Direct/RetryAfter.h"

#include <algorithm>
#include <optional>

namespace corneldeck::direct {

namespace {

constexpr base::Millis RateInterval = base::seconds(1);
constexpr double MillisPerSecond = 1000;
/// Maximum number of queued requests while the completion rate is unknown.
constexpr std::size_t MaxWaitingWithoutRate = 8;
/// A service that uses less than this fraction of its capacity has slack. Under
/// overload, reservations and reports that are out of date leave up to 8% free.
constexpr double MaxUseWithSlack = 0.9;

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueSettings Settings)
    : m_Settings(Settings) {}

bool AdmissionQueue::hasCapacity(const ServerPool::ServiceUsage &Usage) const {
  return Usage.m_InFlight < Usage.m_Capacity * m_Settings.m_MaxUtilization +
                                Usage.m_LimitedCapacity;
}

ClassShares::Usage
AdmissionQueue::classUsage(const ServerPool::ServiceUsage &Usage) const {
  return {Usage.m_Capacity * m_Settings.m_MaxUtilization +
              Usage.m_LimitedCapacity,
          static_cast<double>(Usage.m_InFlight)};
}

ClassShares::Shares
AdmissionQueue::shares(const std::string &Service,
                       const ServerPool::ServiceUsage &Usage,
                       base::Millis Now) {
  return m_ClassShares.shares(Service, classUsage(Usage), Now);
}

AdmissionQueue::Division
AdmissionQueue::divide(const std::string &Service,
                       const ServerPool::ServiceUsage &Usage,
                       base::Millis Now) {
  const ClassShares::Usage Given = classUsage(Usage);
  return {m_ClassShares.shares(Service, Given, Now),
          m_ClassShares.isShared(Service, Now),
          Given.m_InFlight < MaxUseWithSlack * Given.m_Capacity};
}

bool AdmissionQueue::mayStart(const Division &Divided, int Class,
                              const ServerPool::ServiceUsage &Usage) const {
  return Divided.m_IsShared ? ClassShares::mayStart(Divided.m_Classes, Class,
                                                    classUsage(Usage))
                            : hasCapacity(Usage);
}

CustomerShares::ClassLoad AdmissionQueue::loadOf(const Division &Divided,
                                                 int Class) {
  for (const ClassShares::Share &Each : Divided.m_Classes)
    if (Each.m_Class == Class && Each.m_Allocated > 0 && Each.m_Need > 0)
      return {Each.m_Allocated / Each.m_Need, Divided.m_HasSlack};
  return {};
}

AdmissionQueue::Decision
AdmissionQueue::admit(const std::string &Service, const Arrival &Request,
                      const ServerPool::ServiceUsage &Usage, base::Millis Now) {
  updateRate(m_Queues[Service], Now);
  const std::size_t Customer = m_CustomerShares.number(Request.m_Customer);
  m_ClassShares.recordArrival(Service, Request.m_Priority, Now);
  const Division Divided = divide(Service, Usage, Now);
  const bool IsWithinShare =
      m_CustomerShares.recordArrival(Service, Request.m_Priority, Customer,
                                     loadOf(Divided, Request.m_Priority), Now);
  const Decision Result =
      decide(Service, Request, Customer, IsWithinShare, Divided, Usage, Now);
  switch (Result) {
  case Decision::Admit:
    recordStart(Service, Request.m_Token, Request.m_Priority, Customer, Now);
    break;
  case Decision::Wait:
    m_ClassShares.recordWaiting(Service, Request.m_Priority, 1);
    break;
  case Decision::Refuse:
    m_ClassShares.recordRefusal(Service, Request.m_Priority, Now);
    if (IsWithinShare)
      m_CustomerShares.recordRefusal(Service, Request.m_Priority);
    break;
  }
  return Result;
}

AdmissionQueue::Decision AdmissionQueue::decide(
    const std::string &Service, const Arrival &Request, std::size_t Customer,
    bool IsWithinShare, const Division &Divided,
    const ServerPool::ServiceUsage &Usage, base::Millis Now) {
  if (!IsWithinShare)
    return Decision::Refuse;
  ServiceQueue &Queue = m_Queues[Service];
  std::size_t Ahead = 0;
  std::size_t OfCustomer = 0;
  for (const Waiting &Each : Queue.m_Waiting) {
    Ahead += Each.m_Priority <= Request.m_Priority ? 1 : 0;
    OfCustomer +=
        Each.m_Priority == Request.m_Priority && Each.m_Customer == Customer
            ? 1
            : 0;
  }
  // Only less urgent requests may be passed.
  if (Ahead == 0 && (Divided.m_IsShared || Queue.m_Waiting.empty()) &&
      mayStart(Divided, Request.m_Priority, Usage))
    return Decision::Admit;
  const base::Millis TimeLeft =
      std::min(Request.m_TargetLatency, Request.m_Deadline - Now);
  double LongestWait =
      static_cast<double>(TimeLeft.count()) * m_Settings.m_MaxWaitRatio;
  std::optional<double> Expected;
  const auto ClassWait =
      Divided.m_IsShared
          ? ClassShares::expectedWait(Divided.m_Classes, Request.m_Priority)
          : std::nullopt;
  if (ClassWait)
    Expected = static_cast<double>(ClassWait->count());
  else if (Queue.m_Rate > 0)
    Expected = static_cast<double>(Ahead + 1) / Queue.m_Rate * MillisPerSecond;
  const bool TooLong =
      Expected ? *Expected > LongestWait : Ahead >= MaxWaitingWithoutRate;
  if (TooLong && !m_CustomerShares.isPreferred(Service, Request.m_Priority,
                                               Customer, OfCustomer)) {
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
      Position,
      {Request.m_Token, Request.m_Priority,
       Now + base::Millis(static_cast<std::int64_t>(LongestWait)), Customer});
  return Decision::Wait;
}

void AdmissionQueue::recordStart(const std::string &Service,
                                 std::uint64_t Token, int Priority,
                                 std::size_t Customer, base::Millis Now) {
  m_Queues[Service].m_Running[Token] = {Priority, Now};
  m_ClassShares.recordStart(Service, Priority);
  m_CustomerShares.recordStart(Service, Priority, Customer, Now);
}

void AdmissionQueue::recordEnd(const std::string &Service, std::uint64_t Token,
                               base::Millis Now) {
  ServiceQueue &Queue = m_Queues[Service];
  const auto Found = Queue.m_Running.find(Token);
  if (Found == Queue.m_Running.end())
    return;
  m_ClassShares.recordEnd(Service, Found->second.m_Priority,
                          Now - Found->second.m_StartedAt);
  Queue.m_Running.erase(Found);
}

void AdmissionQueue::remove(const std::string &Service, std::uint64_t Token) {
  std::erase_if(m_Queues[Service].m_Waiting, [&](const Waiting &Each) {
    if (Each.m_Token != Token)
      return false;
    m_ClassShares.recordWaiting(Service, Each.m_Priority, -1);
    return true;
  });
}

void AdmissionQueue::recordCompletion(const std::string &Service,
                                      base::Millis Now) {
  ServiceQueue &Queue = m_Queues[Service];
  updateRate(Queue, Now);
  ++Queue.m_Count;
}

std::size_t AdmissionQueue::nextToStart(const std::string &Service,
                                        const ServiceQueue &Queue,
                                        const ServerPool::ServiceUsage &Usage,
                                        base::Millis Now) {
  const Division Divided = divide(Service, Usage, Now);
  const std::size_t None = Queue.m_Waiting.size();
  std::size_t Begin = 0;
  while (Begin < None) {
    const int Class = Queue.m_Waiting[Begin].m_Priority;
    const bool ClassMayStart = mayStart(Divided, Class, Usage);
    std::size_t Best = Begin;
    std::size_t Index = Begin;
    for (; Index < None && Queue.m_Waiting[Index].m_Priority == Class; ++Index)
      if (ClassMayStart &&
          m_CustomerShares.precedes(Service, Class,
                                    Queue.m_Waiting[Index].m_Customer,
                                    Queue.m_Waiting[Best].m_Customer))
        Best = Index;
    if (ClassMayStart)
      return Best;
    Begin = Index;
  }
  return None;
}

AdmissionQueue::Dequeued AdmissionQueue::dequeue(const std::string &Service,
                                                 ServerPool::ServiceUsage Usage,
                                                 base::Millis Now) {
  Dequeued Result;
  ServiceQueue &Queue = m_Queues[Service];
  while (!Queue.m_Waiting.empty() && hasCapacity(Usage)) {
    const std::size_t Index = nextToStart(Service, Queue, Usage, Now);
    if (Index == Queue.m_Waiting.size())
      break;
    const Waiting Admitted = Queue.m_Waiting[Index];
    Result.m_Admitted.push_back(Admitted.m_Token);
    Queue.m_Waiting.erase(Queue.m_Waiting.begin() +
                          static_cast<std::ptrdiff_t>(Index));
    m_ClassShares.recordWaiting(Service, Admitted.m_Priority, -1);
    recordStart(Service, Admitted.m_Token, Admitted.m_Priority,
                Admitted.m_Customer, Now);
    ++Usage.m_InFlight;
  }
  std::erase_if(Queue.m_Waiting, [&](const Waiting &Each) {
    if (Each.m_Deadline > Now)
      return false;
    Result.m_TimedOut.push_back(Each.m_Token);
    m_ClassShares.recordWaiting(Service, Each.m_Priority, -1);
    m_ClassShares.recordRefusal(Service, Each.m_Priority, Now);
    m_CustomerShares.recordRefusal(Service, Each.m_Priority);
    return true;
  });
  return Result;
}

std::vector<std::uint64_t> AdmissionQueue::clear(const std::string &Service) {
  std::vector<std::uint64_t> All;
  for (const Waiting &Each : m_Queues[Service].m_Waiting) {
    All.push_back(Each.m_Token);
    m_ClassShares.recordWaiting(Service, Each.m_Priority, -1);
  }
  m_Queues[Service].m_Waiting.clear();
  return All;
}

base::Millis AdmissionQueue::retryAfter(const std::string &Service,
                                        int Priority,
                                        const ServerPool::ServiceUsage &Usage,
                                        base::Millis Now, base::Random &Rng) {
  const ClassShares::Shares All = m_ClassShares.isShared(Service, Now)
                                      ? shares(Service, Usage, Now)
                                      : ClassShares::Shares();
  if (!ClassShares::isOverloaded(All) || Usage.isRateLimited() ||
      Usage.isUnwanted())
    return retryAfter(Service, Usage, Rng);
  return m_ClassShares.retryAfter(Service, All, Priority, Rng.uniform(), Now);
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

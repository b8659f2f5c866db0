#include "Admission/AdmissionControl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;
/// Keeps predictions finite while nothing leaves the queue.
constexpr double MinWorkPerSecond = 1e-3;

} // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings &Settings)
    : m_Settings(Settings),
      m_Rate(Settings.m_RateWindow, Settings.m_InitialWorkRate) {}

EnqueueResult AdmissionControl::enqueue(base::Millis Now, QueuedRequest New) {
  EnqueueResult Outcome;
  New.m_EnqueuedAt = Now;
  const base::Millis Wait =
      predictWait(Now, New.m_Class, New.m_Customer, New.m_Work);
  if (m_Places.contains(New.m_Request)) {
    Outcome.m_Refusal =
        base::Error{base::ResultCode::BadRequest,
                    "This request is queued already; wait for its answer.",
                    m_Settings.m_MinRetryAfter};
    return Outcome;
  }
  if (Now + Wait + New.m_ExpectedRunTime > New.m_Deadline) {
    Outcome.m_Refusal = refuse(Now, New, Wait);
    return Outcome;
  }
  if (m_Places.size() >= m_Settings.m_MaxQueued) {
    const std::optional<QueuedRequest> Loser = displace(New);
    if (!Loser) {
      Outcome.m_Refusal = refuse(Now, New, Wait);
      return Outcome;
    }
    Outcome.m_Displaced.push_back(
        {Loser->m_Request,
         refuse(Now, *Loser, waitFor(Now, Loser->m_Class, queuedWork()))});
  }
  if (m_Places.empty())
    m_Rate.begin(Now);
  m_Places[New.m_Request] = {New.m_Class, New.m_Customer};
  ClassQueue &Own = classQueue(New.m_Class);
  Own.m_Arrivals.arrived(Now, New.m_Work);
  Own.m_Queue.push(std::move(New));
  return Outcome;
}

std::optional<QueuedRequest>
AdmissionControl::displace(const QueuedRequest &New) {
  const auto Lowest =
      std::find_if(m_Classes.rbegin(), m_Classes.rend(), [](const auto &Item) {
        return Item.second.m_Queue.size() > 0;
      });
  if (Lowest == m_Classes.rend() || Lowest->first < New.m_Class)
    return std::nullopt;
  if (Lowest->first == New.m_Class) {
    // Within a class room is made only at the cost of a larger customer.
    const double Mine =
        Lowest->second.m_Queue.workOf(New.m_Customer) + New.m_Work;
    if (Lowest->second.m_Queue.largestWork() <= Mine)
      return std::nullopt;
  }
  std::optional<QueuedRequest> Loser =
      Lowest->second.m_Queue.removeLastOfLargest();
  if (Loser)
    forget(*Loser);
  return Loser;
}

std::vector<const QueuedRequest *>
AdmissionControl::peek(std::size_t Count) const {
  std::vector<const QueuedRequest *> Order;
  for (const auto &[Class, Queue] : m_Classes) {
    const auto Part = Queue.m_Queue.peek(Count - Order.size());
    Order.insert(Order.end(), Part.begin(), Part.end());
  }
  return Order;
}

std::optional<QueuedRequest>
AdmissionControl::dequeue(base::Millis Now, const std::string &Request) {
  const auto Found = m_Places.find(Request);
  if (Found == m_Places.end())
    return std::nullopt;
  const Place Where = Found->second;
  std::optional<QueuedRequest> Taken =
      classQueue(Where.m_Class).m_Queue.dequeue(Request, Where.m_Customer);
  if (!Taken)
    return std::nullopt;
  // One that found room at once says nothing of the rate under load.
  if (Taken->m_EnqueuedAt < Now)
    m_Rate.drained(Now, Taken->m_Work);
  forget(*Taken);
  return Taken;
}

bool AdmissionControl::cancel(base::Millis Now, const std::string &Request) {
  fadeReturning(Now);
  const auto Found = m_Places.find(Request);
  if (Found == m_Places.end())
    return false;
  const Place Where = Found->second;
  const std::optional<QueuedRequest> Gone =
      classQueue(Where.m_Class).m_Queue.remove(Request, Where.m_Customer);
  if (Gone)
    forget(*Gone);
  return Gone.has_value();
}

void AdmissionControl::forget(const QueuedRequest &Gone) {
  m_Places.erase(Gone.m_Request);
  if (m_Places.empty())
    m_Rate.end();
}

std::vector<Refusal> AdmissionControl::expire(base::Millis Now) {
  std::vector<Refusal> Given;
  double Ahead = 0;
  for (auto &[Class, Own] : m_Classes) {
    FairQueue &Queue = Own.m_Queue;
    const std::uint32_t Of = Class;
    const auto Misses = [&](const QueuedRequest &Each, double Through) {
      const base::Millis Wait = waitFor(Now, Of, Ahead + Through - Each.m_Work);
      return Now + Wait + Each.m_ExpectedRunTime > Each.m_Deadline;
    };
    for (const QueuedRequest &Gone : Queue.removeIf(Misses)) {
      forget(Gone);
      const base::Millis Wait = waitFor(Now, Of, Ahead + Queue.work());
      Given.push_back({Gone.m_Request, refuse(Now, Gone, Wait)});
    }
    Ahead += Queue.work();
  }
  return Given;
}

base::Millis AdmissionControl::predictWait(base::Millis Now,
                                           std::uint32_t Class,
                                           const std::string &Customer,
                                           double Work) const {
  double Ahead = workAhead(Class);
  const auto Own = m_Classes.find(Class);
  if (Own != m_Classes.end())
    Ahead += Own->second.m_Queue.workUntilServed(Customer, Work) - Work;
  return waitFor(Now, Class, Ahead);
}

double AdmissionControl::workAhead(std::uint32_t Class) const {
  double Sum = 0;
  for (auto Item = m_Classes.begin();
       Item != m_Classes.end() && Item->first < Class; ++Item)
    Sum += Item->second.m_Queue.work();
  return Sum;
}

double AdmissionControl::queuedWork() const {
  double Sum = 0;
  for (const auto &[Class, Queue] : m_Classes)
    Sum += Queue.m_Queue.work();
  return Sum;
}

AdmissionControl::ClassQueue &
AdmissionControl::classQueue(std::uint32_t Class) {
  const auto [Item, IsNew] = m_Classes.try_emplace(
      Class, ClassQueue{FairQueue(), ArrivalRate(m_Settings.m_RateWindow)});
  return Item->second;
}

/// \returns the rate left for a class by the arrivals of those before it.
double AdmissionControl::rateFor(base::Millis Now, std::uint32_t Class) const {
  const double All = m_Rate.perSecond(Now);
  double Left = All;
  for (auto Item = m_Classes.begin();
       Item != m_Classes.end() && Item->first < Class; ++Item)
    Left -= Item->second.m_Arrivals.perSecond(Now);
  return std::max({Left, All * m_Settings.m_MinClassShare, MinWorkPerSecond});
}

base::Millis AdmissionControl::waitFor(base::Millis Now, std::uint32_t Class,
                                       double Work) const {
  const double Rate = rateFor(Now, Class);
  const double Wait = std::ceil(Work / Rate * MillisPerSecond);
  const auto Longest = static_cast<double>(base::minutes(60).count());
  return base::Millis(static_cast<std::int64_t>(std::min(Wait, Longest)));
}

base::Error AdmissionControl::refuse(base::Millis Now, const QueuedRequest &Of,
                                     base::Millis Wait) {
  fadeReturning(Now);
  const base::Millis Room = Of.m_Deadline - Now - Of.m_ExpectedRunTime;
  // Those refused before come back before this one does.
  const base::Millis Returning = waitFor(Now, Of.m_Class, m_Returning);
  m_Returning += Of.m_Work;
  const base::Millis Excess = Wait - std::max(Room, base::Millis(0));
  const base::Millis RetryAfter =
      std::clamp(std::max(Excess, base::Millis(0)) + Returning,
                 m_Settings.m_MinRetryAfter, m_Settings.m_MaxRetryAfter);
  if (Room < base::Millis(0))
    return {base::ResultCode::DeadlineTooShort,
            "The deadline is shorter than the run; ask with a longer one.",
            RetryAfter};
  return {base::ResultCode::Overloaded,
          "The deadline can't be met under the present load; ask again after "
          "the time given.",
          RetryAfter};
}

void AdmissionControl::fadeReturning(base::Millis Now) {
  const auto Span = static_cast<double>((Now - m_ReturningSince).count());
  const double Drained = m_Rate.perSecond(Now) * Span / MillisPerSecond;
  m_Returning = std::max(0.0, m_Returning - Drained);
  m_ReturningSince = Now;
}

} // namespace corneldeck::admission

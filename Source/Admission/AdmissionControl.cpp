#include "Admission/AdmissionControl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneldeck::admission {
namespace {

constexpr double MillisPerSecond = 1'000;
/// Keeps predicted waits finite while nothing leaves the queue.
constexpr double MinWorkPerSecond = 1e-3;

} // namespace

AdmissionControl::AdmissionControl(const AdmissionSettings &Settings)
    : m_Settings(Settings),
      m_DrainRate(Settings.m_RateWindow, Settings.m_InitialWorkRate) {}

EnqueueResult AdmissionControl::enqueue(base::Millis Now, QueuedRequest New) {
  EnqueueResult Outcome;
  New.m_EnqueuedAt = Now;
  const base::Millis Wait =
      predictWait(Now, New.m_Class, New.m_Customer, New.m_Work);
  if (m_Positions.contains(New.m_Request)) {
    Outcome.m_Refusal = base::Error{
        base::ResultCode::BadRequest,
        "A request with this ID is already queued; wait for its answer.",
        m_Settings.m_MinRetryAfter};
    return Outcome;
  }
  if (Now + Wait + New.m_ExpectedRunTime > New.m_Deadline) {
    Outcome.m_Refusal = makeRefusal(Now, New, Wait);
    return Outcome;
  }
  if (m_Positions.size() >= m_Settings.m_MaxQueued) {
    const std::optional<QueuedRequest> Displaced = displace(New);
    if (!Displaced) {
      Outcome.m_Refusal = makeRefusal(Now, New, Wait);
      return Outcome;
    }
    Outcome.m_Displaced.push_back(
        {Displaced->m_Request,
         makeRefusal(Now, *Displaced,
                     timeToDrain(Now, Displaced->m_Class, queuedWork()))});
  }
  if (m_Positions.empty())
    m_DrainRate.onQueueNonEmpty(Now);
  m_Positions[New.m_Request] = {New.m_Class, New.m_Customer};
  ClassQueue &OwnClass = classQueue(New.m_Class);
  OwnClass.m_Arrivals.onArrival(Now, New.m_Work);
  OwnClass.m_Queue.push(std::move(New));
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
    // Within a class, only a customer with more queued work is displaced.
    const double OwnWork =
        Lowest->second.m_Queue.workOf(New.m_Customer) + New.m_Work;
    if (Lowest->second.m_Queue.largestWork() <= OwnWork)
      return std::nullopt;
  }
  std::optional<QueuedRequest> Displaced =
      Lowest->second.m_Queue.removeLastOfLargest();
  if (Displaced)
    onRemoved(New.m_EnqueuedAt, *Displaced);
  return Displaced;
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
  const auto Found = m_Positions.find(Request);
  if (Found == m_Positions.end())
    return std::nullopt;
  const QueuePosition Position = Found->second;
  std::optional<QueuedRequest> Dequeued =
      classQueue(Position.m_Class)
          .m_Queue.dequeue(Request, Position.m_Customer);
  if (!Dequeued)
    return std::nullopt;
  // A request dispatched at once is a sample of the drain rate only if others
  // wait meanwhile; rateFor() deducts the arrivals of higher classes.
  if (Dequeued->m_EnqueuedAt < Now || m_Positions.size() > 1)
    m_DrainRate.onDequeued(Now, Dequeued->m_Work);
  onRemoved(Now, *Dequeued);
  return Dequeued;
}

bool AdmissionControl::cancel(base::Millis Now, const std::string &Request) {
  decayRetryWork(Now);
  const auto Found = m_Positions.find(Request);
  if (Found == m_Positions.end())
    return false;
  const QueuePosition Position = Found->second;
  const std::optional<QueuedRequest> Removed =
      classQueue(Position.m_Class).m_Queue.remove(Request, Position.m_Customer);
  if (Removed)
    onRemoved(Now, *Removed);
  return Removed.has_value();
}

void AdmissionControl::onRemoved(base::Millis Now,
                                 const QueuedRequest &Removed) {
  m_Positions.erase(Removed.m_Request);
  if (m_Positions.empty())
    m_DrainRate.onQueueEmpty(Now);
}

std::vector<Refusal> AdmissionControl::expire(base::Millis Now) {
  std::vector<Refusal> Refusals;
  double WorkBefore = 0;
  for (auto &[Class, OwnClass] : m_Classes) {
    FairQueue &Queue = OwnClass.m_Queue;
    const std::uint32_t ClassNumber = Class;
    const auto MissesDeadline = [&](const QueuedRequest &Each,
                                    double WorkThrough) {
      const base::Millis Wait =
          timeToDrain(Now, ClassNumber, WorkBefore + WorkThrough - Each.m_Work);
      return Now + Wait + Each.m_ExpectedRunTime > Each.m_Deadline;
    };
    for (const QueuedRequest &Removed : Queue.removeIf(MissesDeadline)) {
      onRemoved(Now, Removed);
      const base::Millis Wait =
          timeToDrain(Now, ClassNumber, WorkBefore + Queue.work());
      Refusals.push_back({Removed.m_Request, makeRefusal(Now, Removed, Wait)});
    }
    WorkBefore += Queue.work();
  }
  return Refusals;
}

base::Millis AdmissionControl::predictWait(base::Millis Now,
                                           std::uint32_t Class,
                                           const std::string &Customer,
                                           double Work) const {
  double WorkBefore = workAhead(Class);
  const auto OwnClass = m_Classes.find(Class);
  if (OwnClass != m_Classes.end())
    WorkBefore +=
        OwnClass->second.m_Queue.workUntilServed(Customer, Work) - Work;
  return timeToDrain(Now, Class, WorkBefore);
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

/// \returns the drain rate, in work per second, that remains for a class after
/// the arrivals of the higher classes.
double AdmissionControl::rateFor(base::Millis Now, std::uint32_t Class) const {
  const double All = m_DrainRate.perSecond(Now);
  double Left = All;
  for (auto Item = m_Classes.begin();
       Item != m_Classes.end() && Item->first < Class; ++Item)
    Left -= Item->second.m_Arrivals.perSecond(Now);
  return std::max({Left, All * m_Settings.m_MinClassShare, MinWorkPerSecond});
}

base::Millis AdmissionControl::timeToDrain(base::Millis Now,
                                           std::uint32_t Class,
                                           double Work) const {
  const double Rate = rateFor(Now, Class);
  const double Wait = std::ceil(Work / Rate * MillisPerSecond);
  const auto MaxWait = static_cast<double>(base::minutes(60).count());
  return base::Millis(static_cast<std::int64_t>(std::min(Wait, MaxWait)));
}

base::Error AdmissionControl::makeRefusal(base::Millis Now,
                                          const QueuedRequest &Request,
                                          base::Millis Wait) {
  decayRetryWork(Now);
  const base::Millis Slack =
      Request.m_Deadline - Now - Request.m_ExpectedRunTime;
  // Requests refused earlier are expected to retry first.
  const base::Millis RetryDelay =
      timeToDrain(Now, Request.m_Class, m_ExpectedRetryWork);
  m_ExpectedRetryWork += Request.m_Work;
  const base::Millis Excess = Wait - std::max(Slack, base::Millis(0));
  const base::Millis RetryAfter =
      std::clamp(std::max(Excess, base::Millis(0)) + RetryDelay,
                 m_Settings.m_MinRetryAfter, m_Settings.m_MaxRetryAfter);
  if (Slack < base::Millis(0))
    return {base::ResultCode::DeadlineTooShort,
            "The deadline is shorter than the expected run time; retry with a "
            "longer one.",
            RetryAfter};
  return {base::ResultCode::Overloaded,
          "The deadline cannot be met under the current load; retry after the "
          "given time.",
          RetryAfter};
}

void AdmissionControl::decayRetryWork(base::Millis Now) {
  const auto Span = static_cast<double>((Now - m_RetryWorkUpdatedAt).count());
  const double Drained = m_DrainRate.perSecond(Now) * Span / MillisPerSecond;
  m_ExpectedRetryWork = std::max(0.0, m_ExpectedRetryWork - Drained);
  m_RetryWorkUpdatedAt = Now;
}

} // namespace corneldeck::admission

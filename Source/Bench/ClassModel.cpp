#include "Bench/ClassModel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace corneldeck::bench {

namespace {

using base::Millis;

const std::string Service = "service";
constexpr Millis ReportInterval(200);
constexpr Millis MinReportDelay(20);
constexpr std::uint64_t ReportDelayRange = 180;
constexpr Millis QueueInterval(25);
constexpr Millis RequestTimeout = base::seconds(20);
constexpr double MillisPerSecond = 1000;
/// Targets for the first event, by class; a request waits for half of it.
constexpr std::array<std::int64_t, 3> TargetMillis = {400, 400, 1000};
constexpr double LargeFraction = 0.1;
/// Time for which a large request holds its place, relative to the others.
constexpr double LargeHoldFactor = 1.5;
constexpr double HoldSpread = 0.2;
/// What the users require for each class, relative to all classes.
constexpr double MinServedShare = 0.25;
constexpr double SchedulerTimeConstant = 4000;

Millis target(std::size_t Class) {
  return Millis(TargetMillis[std::min(Class, TargetMillis.size() - 1)]);
}

} // namespace

ClassModel::ClassModel(ClassModelOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
  m_Time.runUntil(base::seconds(100));
  for (std::size_t Index = 0; Index < m_Options.m_Customers; ++Index) {
    const double Weight =
        1 / std::pow(static_cast<double>(Index + 1), m_Options.m_Skew);
    m_CustomerWeights.push_back(Index == m_Options.m_LargeCustomer
                                    ? Weight * m_Options.m_LargeFactor
                                    : Weight);
  }
  const std::size_t Classes = m_Options.m_Rates.size();
  m_Scheduler.m_Waiting.resize(Classes);
  m_Scheduler.m_Arrivals.resize(Classes);
  m_Scheduler.m_Starts.resize(Classes);
  m_Scheduler.m_CustomerStarts.assign(
      Classes, std::vector<double>(m_Options.m_Customers));
  resetOutcomes();
  for (std::size_t Index = 0; Index < m_Options.m_Entries; ++Index) {
    m_Entries.push_back(std::make_unique<Entry>());
    m_Entries.back()->m_Reported.resize(m_Options.m_Entries);
    if (m_Options.m_Mode != ClassMode::NoReservation)
      m_Entries.back()->m_Queue.classShares().setEntries(
          static_cast<unsigned>(m_Options.m_Entries));
    m_Time.after(Millis(static_cast<std::int64_t>(m_Random.below(
                     static_cast<std::uint64_t>(ReportInterval.count())))),
                 [this, Index] { sendReport(Index); });
  }
  for (std::size_t Class = 0; Class < Classes; ++Class)
    scheduleArrival(Class);
}

void ClassModel::runFor(Millis Duration) {
  m_Time.runUntil(m_Time.now() + Duration);
}

void ClassModel::resetOutcomes() {
  m_Outcomes.assign(m_Options.m_Rates.size(), {});
  for (ClassOutcome &Each : m_Outcomes)
    Each.m_Customers.resize(m_Options.m_Customers);
  changeInFlight(0);
  m_ResetAt = m_Time.now();
  m_InFlightTime = 0;
  m_ExcessTime = 0;
}

double ClassModel::utilization() const {
  return m_InFlightTime / m_Options.m_Capacity /
         static_cast<double>((m_ChangedAt - m_ResetAt).count());
}

double ClassModel::excess() const {
  return m_ExcessTime / m_Options.m_Capacity /
         static_cast<double>((m_ChangedAt - m_ResetAt).count());
}

void ClassModel::changeInFlight(int Change) {
  const auto Elapsed =
      static_cast<double>((m_Time.now() - m_ChangedAt).count());
  m_InFlightTime += Elapsed * m_InFlight;
  m_ExcessTime += Elapsed * (m_InFlight > m_Options.m_Capacity
                                 ? m_InFlight - m_Options.m_Capacity
                                 : 0);
  m_ChangedAt = m_Time.now();
  m_InFlight = static_cast<unsigned>(static_cast<int>(m_InFlight) + Change);
}

void ClassModel::scheduleArrival(std::size_t Class) {
  double Rate = m_Options.m_Rates[Class];
  const Millis Elapsed = m_Time.now() - base::seconds(100);
  for (const ClassBurst &Each : m_Options.m_Bursts)
    if (Each.m_Class == Class && Elapsed >= Each.m_Begin &&
        Elapsed < Each.m_Begin + Each.m_Duration)
      Rate *= Each.m_Factor;
  const double Wait = m_Random.exponential(MillisPerSecond / Rate);
  m_Time.after(Millis(static_cast<std::int64_t>(Wait + m_Random.uniform())),
               [this, Class] {
                 Request New;
                 New.m_Token = m_NextToken++;
                 New.m_Class = Class;
                 New.m_Customer = drawCustomer();
                 New.m_IsLarge = m_Random.chance(LargeFraction);
                 arrive(New);
                 scheduleArrival(Class);
               });
}

std::size_t ClassModel::drawCustomer() {
  const double Sum =
      std::accumulate(m_CustomerWeights.begin(), m_CustomerWeights.end(), 0.0);
  double Left = m_Random.uniform() * Sum;
  for (std::size_t Index = 0; Index < m_CustomerWeights.size(); ++Index) {
    Left -= m_CustomerWeights[Index];
    if (Left < 0)
      return Index;
  }
  return m_CustomerWeights.size() - 1;
}

void ClassModel::arrive(Request New) {
  New.m_Entry = m_Random.below(m_Options.m_Entries);
  New.m_WaitsUntil = m_Time.now() + target(New.m_Class) / 2;
  if (m_Options.m_Mode != ClassMode::CompleteInformation) {
    admitAtEntry(New);
    return;
  }
  schedule();
  m_Scheduler.m_Arrivals[New.m_Class] += 1;
  m_Scheduler.m_Waiting[New.m_Class].push_back(New);
  schedule();
  m_Time.after(target(New.m_Class) / 2, [this] { schedule(); });
}

direct::ServerPool::ServiceUsage ClassModel::usage(const Entry &At) const {
  return {1, m_Options.m_Capacity, At.m_InFlight + At.m_ReportedSum};
}

void ClassModel::admitAtEntry(const Request &New) {
  using Decision = direct::AdmissionQueue::Decision;
  Entry &At = *m_Entries[New.m_Entry];
  const std::string Customer =
      m_Options.m_Mode == ClassMode::NoCustomers
          ? std::string()
          : "customer " + std::to_string(New.m_Customer);
  switch (At.m_Queue.admit(Service,
                           {New.m_Token, static_cast<int>(New.m_Class),
                            target(New.m_Class), m_Time.now() + RequestTimeout,
                            Customer},
                           usage(At), m_Time.now())) {
  case Decision::Admit:
    start(New);
    return;
  case Decision::Wait:
    At.m_Waiting[New.m_Token] = New;
    armTimer(New.m_Entry);
    return;
  case Decision::Refuse:
    refused(New);
    return;
  }
}

void ClassModel::armTimer(std::size_t Index) {
  if (std::exchange(m_Entries[Index]->m_TimerArmed, true))
    return;
  m_Time.after(QueueInterval, [this, Index] {
    m_Entries[Index]->m_TimerArmed = false;
    processQueue(Index);
  });
}

void ClassModel::processQueue(std::size_t Index) {
  Entry &At = *m_Entries[Index];
  const auto Left = At.m_Queue.dequeue(Service, usage(At), m_Time.now());
  for (const std::uint64_t Token : Left.m_Admitted)
    start(At.m_Waiting.extract(Token).mapped());
  for (const std::uint64_t Token : Left.m_TimedOut)
    refused(At.m_Waiting.extract(Token).mapped());
  if (!At.m_Waiting.empty())
    armTimer(Index);
}

void ClassModel::start(const Request &Started) {
  count(Started, true);
  changeInFlight(1);
  ++m_Entries[Started.m_Entry]->m_InFlight;
  const double Hold = static_cast<double>(m_Options.m_HoldTime.count()) *
                      (Started.m_IsLarge ? LargeHoldFactor : 1) *
                      (1 - HoldSpread + 2 * HoldSpread * m_Random.uniform());
  m_Time.after(Millis(static_cast<std::int64_t>(Hold)),
               [this, Started] { end(Started); });
}

void ClassModel::end(const Request &Ended) {
  changeInFlight(-1);
  Entry &At = *m_Entries[Ended.m_Entry];
  --At.m_InFlight;
  if (m_Options.m_Mode == ClassMode::CompleteInformation) {
    schedule();
    return;
  }
  At.m_Queue.recordEnd(Service, Ended.m_Token, m_Time.now());
  At.m_Queue.recordCompletion(Service, m_Time.now());
  processQueue(Ended.m_Entry);
}

void ClassModel::refused(const Request &Refused) {
  count(Refused, false);
  if (!m_Options.m_CallersReturn || Refused.m_HasReturned ||
      m_Options.m_Mode == ClassMode::CompleteInformation)
    return;
  Entry &At = *m_Entries[Refused.m_Entry];
  const Millis Wait =
      At.m_Queue.retryAfter(Service, static_cast<int>(Refused.m_Class),
                            usage(At), m_Time.now(), m_Random);
  Request Again = Refused;
  Again.m_HasReturned = true;
  m_Time.after(Wait, [this, Again] {
    Request New = Again;
    New.m_Token = m_NextToken++;
    arrive(New);
  });
}

void ClassModel::count(const Request &Counted, bool IsServed) {
  ClassOutcome &Outcome = m_Outcomes[Counted.m_Class];
  const auto Add = [IsServed](Tally &Changed) {
    ++Changed.m_Offered;
    Changed.m_Served += IsServed ? 1 : 0;
  };
  if (Counted.m_HasReturned) {
    Add(Outcome.m_Returned);
    return;
  }
  Add(Outcome.m_All);
  Add(Outcome.m_Customers[Counted.m_Customer]);
  if (Counted.m_IsLarge)
    Add(Outcome.m_Large);
}

void ClassModel::sendReport(std::size_t Index) {
  Entry &From = *m_Entries[Index];
  const auto Report = std::make_shared<const direct::ClassReport>(
      From.m_Queue.classShares().localReport(m_Time.now()));
  const Millis Delay =
      MinReportDelay +
      Millis(static_cast<std::int64_t>(m_Random.below(ReportDelayRange)));
  const Millis SentAt = m_Time.now();
  m_Time.after(Delay,
               [this, Index, Report, InFlight = From.m_InFlight, SentAt] {
                 for (std::size_t To = 0; To < m_Entries.size(); ++To) {
                   if (To == Index)
                     continue;
                   Entry &At = *m_Entries[To];
                   At.m_ReportedSum += InFlight - At.m_Reported[Index];
                   At.m_Reported[Index] = InFlight;
                   if (m_Options.m_Mode == ClassMode::Shared ||
                       m_Options.m_Mode == ClassMode::NoCustomers)
                     At.m_Queue.classShares().setPeerReport(
                         std::to_string(Index), *Report, SentAt);
                 }
               });
  m_Time.after(ReportInterval, [this, Index] { sendReport(Index); });
}

std::optional<std::size_t> ClassModel::nextClass() const {
  const double Arrivals = std::accumulate(m_Scheduler.m_Arrivals.begin(),
                                          m_Scheduler.m_Arrivals.end(), 0.0);
  const double Starts = std::accumulate(m_Scheduler.m_Starts.begin(),
                                        m_Scheduler.m_Starts.end(), 0.0);
  std::optional<std::size_t> Next;
  for (std::size_t Class = 0; Class < m_Scheduler.m_Waiting.size(); ++Class) {
    if (m_Scheduler.m_Waiting[Class].empty())
      continue;
    if (m_Scheduler.m_Starts[Class] * Arrivals <
        MinServedShare * Starts * m_Scheduler.m_Arrivals[Class])
      return Class;
    if (!Next)
      Next = Class;
  }
  return Next;
}

void ClassModel::schedule() {
  const Millis Now = m_Time.now();
  const double Factor =
      std::exp(-static_cast<double>((Now - m_Scheduler.m_DecayedAt).count()) /
               SchedulerTimeConstant);
  m_Scheduler.m_DecayedAt = Now;
  for (std::size_t Class = 0; Class < m_Scheduler.m_Waiting.size(); ++Class) {
    m_Scheduler.m_Arrivals[Class] *= Factor;
    m_Scheduler.m_Starts[Class] *= Factor;
    for (double &Each : m_Scheduler.m_CustomerStarts[Class])
      Each *= Factor;
  }
  while (m_InFlight < m_Options.m_Capacity) {
    const auto Class = nextClass();
    if (!Class)
      break;
    std::vector<Request> &Waiting = m_Scheduler.m_Waiting[*Class];
    std::vector<double> &Starts = m_Scheduler.m_CustomerStarts[*Class];
    const auto Next =
        std::min_element(Waiting.begin(), Waiting.end(),
                         [&Starts](const Request &A, const Request &B) {
                           return Starts[A.m_Customer] < Starts[B.m_Customer];
                         });
    const Request Chosen = *Next;
    Waiting.erase(Next);
    m_Scheduler.m_Starts[*Class] += 1;
    Starts[Chosen.m_Customer] += 1;
    start(Chosen);
  }
  for (std::vector<Request> &Waiting : m_Scheduler.m_Waiting)
    std::erase_if(Waiting, [&](const Request &Each) {
      if (Each.m_WaitsUntil > Now)
        return false;
      refused(Each);
      return true;
    });
}

} // namespace corneldeck::bench

#include "Direct/ClassShares.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace corneldeck::direct {

namespace {

constexpr double MillisPerSecond = 1000;
constexpr std::int64_t BucketMillis = 100;

} // namespace

void ClassShares::Sum::add(const ClassCounts &Added, int Sign) {
  m_Reports += static_cast<unsigned>(Sign);
  m_InFlight += Sign * static_cast<std::int64_t>(Added.m_InFlight);
  m_Arrivals += Sign * static_cast<std::int64_t>(Added.m_Arrivals);
  m_Refused += Sign * static_cast<std::int64_t>(Added.m_Refused);
  m_Waiting += Sign * static_cast<std::int64_t>(Added.m_Waiting);
  if (Added.m_HoldTime <= base::Millis(0))
    return;
  const std::int64_t Weight = std::max(Added.m_Arrivals, 1U);
  m_HoldTimes += Sign * Weight * Added.m_HoldTime.count();
  m_HoldWeights += Sign * Weight;
}

ClassCounts ClassShares::Sum::counts() const {
  ClassCounts Result;
  Result.m_InFlight = static_cast<unsigned>(m_InFlight);
  Result.m_Arrivals = static_cast<unsigned>(m_Arrivals);
  Result.m_Refused = static_cast<unsigned>(m_Refused);
  Result.m_Waiting = static_cast<unsigned>(m_Waiting);
  if (m_HoldWeights > 0)
    Result.m_HoldTime = base::Millis(m_HoldTimes / m_HoldWeights);
  return Result;
}

void ClassShares::Window::advance(base::Millis Now) {
  const std::int64_t Bucket = Now.count() / BucketMillis;
  if (Bucket - m_Last >= static_cast<std::int64_t>(Buckets)) {
    m_Counts = {};
    m_Sum = 0;
    m_Last = Bucket;
  }
  while (m_Last < Bucket) {
    ++m_Last;
    unsigned &Oldest = m_Counts[static_cast<std::size_t>(m_Last) % Buckets];
    m_Sum -= Oldest;
    Oldest = 0;
  }
}

void ClassShares::Window::add(base::Millis Now) {
  advance(Now);
  ++m_Counts[static_cast<std::size_t>(m_Last) % Buckets];
  ++m_Sum;
}

unsigned ClassShares::Window::count(base::Millis Now) {
  advance(Now);
  return m_Sum;
}

ClassShares::ClassShares(ClassSharesSettings Settings) : m_Settings(Settings) {}

ClassShares::LocalClass &ClassShares::local(const std::string &Service,
                                            int Class) {
  return m_Local[Service][Class];
}

void ClassShares::recordArrival(const std::string &Service, int Class,
                                base::Millis Now) {
  LocalClass &Counted = local(Service, Class);
  Counted.m_Arrivals.add(Now);
  Counted.m_LastArrival = Now;
}

void ClassShares::recordWaiting(const std::string &Service, int Class,
                                int Change) {
  LocalClass &Counted = local(Service, Class);
  Counted.m_Waiting = static_cast<unsigned>(
      std::max(0, static_cast<int>(Counted.m_Waiting) + Change));
}

void ClassShares::recordStart(const std::string &Service, int Class) {
  ++local(Service, Class).m_InFlight;
}

void ClassShares::recordEnd(const std::string &Service, int Class,
                            base::Millis Held) {
  LocalClass &Counted = local(Service, Class);
  if (Counted.m_InFlight > 0)
    --Counted.m_InFlight;
  const auto Time = static_cast<double>(Held.count());
  Counted.m_HoldTime +=
      Counted.m_HoldTime <= 0
          ? Time
          : m_Settings.m_HoldTimeSmoothing * (Time - Counted.m_HoldTime);
}

void ClassShares::recordRefusal(const std::string &Service, int Class,
                                base::Millis Now) {
  local(Service, Class).m_Refused.add(Now);
}

void ClassShares::setEntries(unsigned Entries) {
  m_Entries = std::max(1U, Entries);
}

void ClassShares::setPeerReport(const std::string &Peer, ClassReport Report,
                                base::Millis ReportedAt, unsigned Entries) {
  removePeer(Peer);
  PeerReport &Added = m_Peers[Peer];
  Added = {std::move(Report), ReportedAt, Entries};
  countReport(Added, 1);
}

void ClassShares::removePeer(const std::string &Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  countReport(Found->second, -1);
  m_Peers.erase(Found);
}

void ClassShares::keepOnlyPeer(const std::string &Peer) {
  std::erase_if(m_Peers, [&](const auto &Each) {
    if (Each.first == Peer)
      return false;
    countReport(Each.second, -1);
    return true;
  });
}

void ClassShares::countReport(const PeerReport &Report, int Sign) {
  m_ReportingEntries += static_cast<unsigned>(Sign) * Report.m_Entries;
  for (const auto &[Service, Classes] : Report.m_Report) {
    std::map<int, Sum> &Sums = m_PeerSums[Service];
    for (const auto &[Class, Counted] : Classes) {
      Sum &Changed = Sums[Class];
      Changed.add(Counted, Sign);
      if (Changed.m_Reports == 0)
        Sums.erase(Class);
    }
  }
}

void ClassShares::dropExpired(base::Millis Now) {
  if (Now < m_NextExpiry)
    return;
  const base::Millis Oldest = Now - m_Settings.m_ReportLifetime;
  m_NextExpiry = Now + m_Settings.m_ReportLifetime / 10;
  std::erase_if(m_Peers, [&](const auto &Each) {
    if (Each.second.m_ReportedAt >= Oldest)
      return false;
    countReport(Each.second, -1);
    return true;
  });
  for (auto &[Service, Classes] : m_Local)
    std::erase_if(Classes, [&](const auto &Each) {
      const LocalClass &Counted = Each.second;
      return Counted.m_InFlight == 0 && Counted.m_Waiting == 0 &&
             Now - Counted.m_LastArrival > m_Settings.m_ClassLifetime;
    });
}

ClassCounts ClassShares::counts(LocalClass &Counted, base::Millis Now) const {
  ClassCounts Result;
  Result.m_InFlight = Counted.m_InFlight;
  Result.m_Waiting = Counted.m_Waiting;
  Result.m_Arrivals = Counted.m_Arrivals.count(Now);
  Result.m_Refused = Counted.m_Refused.count(Now);
  Result.m_HoldTime = base::Millis(std::llround(Counted.m_HoldTime));
  return Result;
}

ClassReport ClassShares::localReport(base::Millis Now) {
  dropExpired(Now);
  ClassReport Report;
  for (auto &[Service, Classes] : m_Local) {
    std::map<int, Sum> Merged;
    for (auto &[Class, Counted] : Classes) {
      const bool IsFull = Merged.size() == MaxClasses;
      Sum &Target = IsFull ? std::prev(Merged.end())->second : Merged[Class];
      Target.add(counts(Counted, Now));
    }
    for (const auto &[Class, Each] : Merged)
      Report[Service][Class] = Each.counts();
  }
  return Report;
}

bool ClassShares::isShared(const std::string &Service, base::Millis Now) {
  dropExpired(Now);
  const auto Local = m_Local.find(Service);
  const auto Others = m_PeerSums.find(Service);
  const std::size_t LocalCount =
      Local == m_Local.end() ? 0 : Local->second.size();
  const std::size_t OtherCount =
      Others == m_PeerSums.end() ? 0 : Others->second.size();
  if (LocalCount > 1 || OtherCount > 1)
    return true;
  return LocalCount == 1 && OtherCount == 1 &&
         Local->second.begin()->first != Others->second.begin()->first;
}

ClassShares::Shares ClassShares::shares(const std::string &Service, Usage Given,
                                        base::Millis Now) {
  dropExpired(Now);
  std::map<int, Sum> Sums;
  if (const auto Found = m_PeerSums.find(Service); Found != m_PeerSums.end())
    Sums = Found->second;
  if (const auto Found = m_Local.find(Service); Found != m_Local.end())
    for (auto &[Class, Counted] : Found->second)
      Sums[Class].add(counts(Counted, Now));
  // Entries that send no reports are assumed to have the same requests.
  const double Scale =
      static_cast<double>(std::max(m_Entries, m_ReportingEntries + 1)) /
      (m_ReportingEntries + 1);
  double Counted = 0;
  for (const auto &[Class, Each] : Sums)
    Counted += static_cast<double>(Each.m_InFlight);
  // The pool counts the requests in flight of all entries, also of those that
  // do not report their classes.
  const double InFlightScale = Counted > 0 ? Given.m_InFlight / Counted : 0;
  Shares All;
  All.reserve(Sums.size());
  for (const auto &[Class, Summed] : Sums) {
    const ClassCounts Each = Summed.counts();
    Share &Added = All.emplace_back();
    Added.m_Class = Class;
    Added.m_InFlight = Each.m_InFlight * InFlightScale;
    Added.m_Waiting = Each.m_Waiting * Scale;
    Added.m_Arrivals = Each.m_Arrivals * Scale;
    Added.m_Refused = Each.m_Refused * Scale;
    const base::Millis HoldTime = Each.m_HoldTime > base::Millis(0)
                                      ? Each.m_HoldTime
                                      : m_Settings.m_InitialHoldTime;
    Added.m_HoldSeconds =
        static_cast<double>(HoldTime.count()) / MillisPerSecond;
    Added.m_Need = Added.m_Arrivals * Added.m_HoldSeconds;
  }
  allocate(All, Given.m_Capacity,
           static_cast<double>(m_Settings.m_ReactionTime.count()) /
               MillisPerSecond,
           m_Settings.m_MinServedShare);
  return All;
}

void ClassShares::allocate(Shares &All, double Capacity, double ReactionSeconds,
                           double MinServedShare) {
  double Needed = 0;
  double Margins = 0;
  for (const Share &Each : All) {
    Needed += Each.m_Need;
    // Nothing has to be kept free for the least urgent class.
    if (&Each != &All.back())
      Margins += Each.m_Arrivals * ReactionSeconds;
  }
  if (Needed <= 0 || Needed + Margins <= Capacity)
    return;
  const double ServedRatio = std::min(1.0, Capacity / Needed);
  double Left = Capacity;
  for (Share &Each : All) {
    Each.m_Minimum = MinServedShare * ServedRatio * Each.m_Need;
    Left -= Each.m_Minimum;
  }
  for (Share &Each : All) {
    const double Wanted = Each.m_Need + Each.m_Arrivals * ReactionSeconds;
    const double Added = std::clamp(Wanted - Each.m_Minimum, 0.0, Left);
    Left -= Added;
    Each.m_Allocated = Each.m_Minimum + Added;
    Each.m_Reserved = std::max(0.0, Each.m_Allocated - Each.m_InFlight);
  }
}

bool ClassShares::isOverloaded(const Shares &All) {
  return std::any_of(All.begin(), All.end(),
                     [](const Share &Each) { return Each.m_Allocated > 0; });
}

bool ClassShares::mayStart(const Shares &All, int Class, Usage Given) {
  const double Free = Given.m_Capacity - Given.m_InFlight;
  if (Free <= 0)
    return false;
  double Reserved = 0;
  for (const Share &Each : All) {
    if (Each.m_Class == Class && Each.m_InFlight < Each.m_Minimum)
      return true;
    if (Each.m_Class < Class)
      Reserved += Each.m_Reserved;
    else if (Each.m_Class > Class)
      Reserved += std::max(0.0, Each.m_Minimum - Each.m_InFlight);
  }
  return Free > Reserved;
}

std::optional<base::Millis> ClassShares::expectedWait(const Shares &All,
                                                      int Class) {
  const bool Overloaded = isOverloaded(All);
  // Slots become free at this rate for those that wait.
  double PerSecond = 0;
  double Ahead = 1;
  for (const Share &Each : All) {
    // Under overload the more urgent classes have slots of their own.
    if (Overloaded ? Each.m_Class == Class : Each.m_Class <= Class)
      Ahead += Each.m_Waiting;
    if (Each.m_Class == Class || !Overloaded)
      PerSecond += (Overloaded ? Each.m_Allocated : Each.m_InFlight) /
                   std::max(Each.m_HoldSeconds, 1 / MillisPerSecond);
  }
  if (PerSecond <= 0)
    return std::nullopt;
  return base::Millis(std::llround(Ahead / PerSecond * MillisPerSecond));
}

base::Millis ClassShares::retryAfter(const std::string &Service,
                                     const Shares &All, int Class,
                                     double Spread, base::Millis Now) {
  const auto Found =
      std::find_if(All.begin(), All.end(), [Class](const Share &Each) {
        return Each.m_Class == Class;
      });
  const double Min = static_cast<double>(m_Settings.m_MinRetryAfter.count());
  const double Max = static_cast<double>(m_Settings.m_MaxRetryAfter.count());
  // Time until the class has served one more request of this entry.
  double Interval = 0;
  if (Found != All.end() && Found->m_Allocated > 0)
    Interval =
        Found->m_HoldSeconds / Found->m_Allocated * m_Entries * MillisPerSecond;
  LocalClass &Refused = local(Service, Class);
  const double Earliest = static_cast<double>(
      std::max(Refused.m_LastReturn - Now, base::Millis(0)).count());
  double Time = std::max(Min, Earliest) + Interval * (1 + Spread) / 2;
  // Beyond the bound the order cannot be kept; the times are spread instead.
  if (Time > Max)
    Time = Max * (1 + Spread) / 2;
  else if (Interval <= 0)
    Time = Min * (1 + Spread);
  const base::Millis Result(std::llround(Time));
  Refused.m_LastReturn = std::max(Refused.m_LastReturn, Now + Result);
  return Result;
}

} // namespace corneldeck::direct

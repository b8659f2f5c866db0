#include "Direct/AdmissionGate.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

constexpr base::Millis RateSpan = base::seconds(1);
constexpr double MillisPerSecond = 1000;
/// Requests that may wait while no completion rate is known yet.
constexpr std::size_t WaitingWithoutRate = 8;

} // namespace

AdmissionGate::AdmissionGate(AdmissionSettings Settings)
    : m_Settings(Settings) {}

bool AdmissionGate::hasRoom(const ServerPool::ServiceRoom &Room) const {
  return Room.m_InFlight < Room.m_Capacity * m_Settings.m_FillRatio;
}

AdmissionGate::Verdict
AdmissionGate::arrive(const std::string &Service, std::uint64_t Token,
                      int Priority, base::Millis Target,
                      const ServerPool::ServiceRoom &Room, base::Millis Now) {
  Line &Of = m_Lines[Service];
  roll(Of, Now);
  if (Of.m_Waiting.empty() && hasRoom(Room))
    return Verdict::Go;
  const auto Before = static_cast<std::size_t>(std::count_if(
      Of.m_Waiting.begin(), Of.m_Waiting.end(),
      [Priority](const Waiting &Each) { return Each.m_Priority <= Priority; }));
  const double LongestWait =
      static_cast<double>(Target.count()) * m_Settings.m_WaitShare;
  const bool TooLong = Of.m_Rate > 0 ? static_cast<double>(Before + 1) /
                                               Of.m_Rate * MillisPerSecond >
                                           LongestWait
                                     : Before >= WaitingWithoutRate;
  if (TooLong)
    return Verdict::Refuse;
  const auto Place = std::find_if(
      Of.m_Waiting.begin(), Of.m_Waiting.end(),
      [Priority](const Waiting &Each) { return Each.m_Priority > Priority; });
  Of.m_Waiting.insert(
      Place, {Token, Priority,
              Now + base::Millis(static_cast<std::int64_t>(LongestWait))});
  return Verdict::Wait;
}

void AdmissionGate::leave(const std::string &Service, std::uint64_t Token) {
  std::erase_if(m_Lines[Service].m_Waiting,
                [Token](const Waiting &Each) { return Each.m_Token == Token; });
}

void AdmissionGate::completed(const std::string &Service, base::Millis Now) {
  Line &Of = m_Lines[Service];
  roll(Of, Now);
  ++Of.m_Count;
}

AdmissionGate::Moves AdmissionGate::advance(const std::string &Service,
                                            ServerPool::ServiceRoom Room,
                                            base::Millis Now) {
  Moves Result;
  Line &Of = m_Lines[Service];
  while (!Of.m_Waiting.empty() && hasRoom(Room)) {
    Result.m_Go.push_back(Of.m_Waiting.front().m_Token);
    Of.m_Waiting.erase(Of.m_Waiting.begin());
    ++Room.m_InFlight;
  }
  std::erase_if(Of.m_Waiting, [&Result, Now](const Waiting &Each) {
    if (Each.m_Until > Now)
      return false;
    Result.m_Refuse.push_back(Each.m_Token);
    return true;
  });
  return Result;
}

std::vector<std::uint64_t> AdmissionGate::clear(const std::string &Service) {
  std::vector<std::uint64_t> All;
  for (const Waiting &Each : m_Lines[Service].m_Waiting)
    All.push_back(Each.m_Token);
  m_Lines[Service].m_Waiting.clear();
  return All;
}

base::Millis AdmissionGate::retryAfter(const std::string &Service,
                                       base::Random &Draw) const {
  double Wait = static_cast<double>(m_Settings.m_LeastRetryAfter.count());
  if (const auto Found = m_Lines.find(Service);
      Found != m_Lines.end() && Found->second.m_Rate > 0)
    Wait += static_cast<double>(Found->second.m_Waiting.size()) /
            Found->second.m_Rate * MillisPerSecond;
  // Spread over twice the wait, so that a herd does not come back as one.
  Wait *= 1 + Draw.uniform();
  return std::min(base::Millis(static_cast<std::int64_t>(Wait)),
                  m_Settings.m_MostRetryAfter);
}

std::size_t AdmissionGate::waiting(const std::string &Service) const {
  const auto Found = m_Lines.find(Service);
  return Found == m_Lines.end() ? 0 : Found->second.m_Waiting.size();
}

std::vector<std::string> AdmissionGate::services() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Of] : m_Lines)
    if (!Of.m_Waiting.empty())
      Names.push_back(Name);
  return Names;
}

void AdmissionGate::roll(Line &Of, base::Millis Now) const {
  const base::Millis Past = Now - Of.m_CountSince;
  if (Past < RateSpan)
    return;
  const double Rate =
      Of.m_Count * MillisPerSecond / static_cast<double>(Past.count());
  Of.m_Rate = Of.m_Rate <= 0
                  ? Rate
                  : Of.m_Rate + m_Settings.m_NewestRate * (Rate - Of.m_Rate);
  Of.m_Count = 0;
  Of.m_CountSince = Now;
}

} // namespace corneldeck::direct

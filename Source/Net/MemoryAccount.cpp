#include "Net/MemoryAccount.h"

#include <algorithm>
#include <array>

namespace corneldeck::net {

namespace {

/// Added to the time for which bytes are held, so that the size alone decides
/// between those that arrive in the same moment. A body on a usual link takes
/// about as long.
constexpr base::Millis MinHoldTime{100};

struct LimitName {
  CallerLimit m_Limit;
  std::string_view m_Name;
};

constexpr std::array<LimitName, 5> LimitNames{{
    {CallerLimit::Memory, "memory"},
    {CallerLimit::Connections, "connections"},
    {CallerLimit::HeadBytes, "max-header-bytes"},
    {CallerLimit::BodyBytes, "max-body-bytes"},
    {CallerLimit::FramingBytes, "trailers-or-chunk-extension"},
}};

} // namespace

std::string_view name(CallerLimit Limit) {
  return std::find_if(
             LimitNames.begin(), LimitNames.end(),
             [Limit](const LimitName &Each) { return Each.m_Limit == Limit; })
      ->m_Name;
}

void MemoryAccount::recordCutOff(const CallerCutOff &Cut) const {
  if (m_OnCutOff)
    m_OnCutOff(Cut);
}

void MemoryAccount::setResponseBytes(std::size_t Bytes) {
  m_Total = m_Total - m_ResponseBytes + Bytes;
  m_ResponseBytes = Bytes;
}

void MemoryAccount::reduce(base::Millis Now) {
  while (isExceeded()) {
    MemoryHolder *Worst = worstHolder(Now);
    if (!Worst)
      return;
    Worst->m_CutOff();
  }
}

MemoryHolder *MemoryAccount::worstHolder(base::Millis Now) const {
  MemoryHolder *Worst = nullptr;
  double Largest = 0;
  for (MemoryHolder *Each : m_Holders) {
    const base::Millis Time = Now - Each->m_HeldSince + MinHoldTime;
    const double Score =
        static_cast<double>(Each->m_Bytes) * static_cast<double>(Time.count());
    if (Worst && Score <= Largest)
      continue;
    Worst = Each;
    Largest = Score;
  }
  return Worst;
}

MemoryHolder::~MemoryHolder() { set(0, base::Millis(0)); }

void MemoryHolder::set(std::size_t Bytes, base::Millis Now) {
  if (Bytes == m_Bytes)
    return;
  if (m_Bytes == 0) {
    m_HeldSince = Now;
    m_Account.m_Holders.insert(this);
  }
  m_Account.m_Total = m_Account.m_Total - m_Bytes + Bytes;
  m_Bytes = Bytes;
  if (m_Bytes == 0)
    m_Account.m_Holders.erase(this);
}

} // namespace corneldeck::net

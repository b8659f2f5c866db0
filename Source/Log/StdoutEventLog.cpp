#include "Log/StdoutEventLog.h"

#include "Log/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace corneldeck::log {

namespace {

constexpr double MillisPerSecond = 1000;

std::string formatLine(const base::TimelineEvent &Event) {
  return "ms=" + std::to_string(base::wallTime().count()) +
         " node=" + Event.m_Node + " " + formatEvent(Event);
}

} // namespace

StdoutEventLog::StdoutEventLog(StdoutEventLogOptions Options, base::Clock Time)
    : m_Options(Options), m_Clock(std::move(Time)),
      m_Tokens(Options.m_BurstLines), m_RefilledAt(m_Clock.now()) {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void StdoutEventLog::attach(base::Timeline &Events) {
  Events.setSink(
      [this](const base::TimelineEvent &Event) { write(formatLine(Event)); });
}

void StdoutEventLog::write(const std::string &Line) {
  if (!takeToken() ||
      m_Pending.size() + Line.size() > m_Options.m_MaxPendingBytes) {
    ++m_Dropped;
    ++m_UnreportedDrops;
    return;
  }
  m_Pending += Line;
  if (m_UnreportedDrops > 0)
    m_Pending += " lines_dropped=" + std::to_string(m_UnreportedDrops);
  m_UnreportedDrops = 0;
  m_Pending += '\n';
  flush();
}

bool StdoutEventLog::takeToken() {
  const base::Millis Now = m_Clock.now();
  const auto Elapsed = static_cast<double>((Now - m_RefilledAt).count());
  m_RefilledAt = Now;
  m_Tokens = std::min(m_Options.m_BurstLines,
                      m_Tokens + Elapsed * m_Options.m_LinesPerSecond /
                                     MillisPerSecond);
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

void StdoutEventLog::flush() {
  while (!m_Pending.empty()) {
    const ssize_t Count =
        ::write(STDOUT_FILENO, m_Pending.data(), m_Pending.size());
    if (Count <= 0)
      return;
    m_Pending.erase(0, static_cast<std::size_t>(Count));
  }
}

} // namespace corneldeck::log

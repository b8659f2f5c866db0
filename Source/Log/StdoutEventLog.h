#ifndef CORNELDECK_LOG_STDOUTEVENTLOG_H
#define CORNELDECK_LOG_STDOUTEVENTLOG_H

#include "Base/Clock.h"
#include "Base/Timeline.h"

#include <cstddef>
#include <string>

namespace corneldeck::log {

/// Settings of StdoutEventLog.
struct StdoutEventLogOptions {
  /// Long-term rate limit. Allows several lines for each request at the highest
  /// request rate of one entry.
  double m_LinesPerSecond = 300;
  /// Most lines that may be written in one burst.
  double m_BurstLines = 600;
  /// Most bytes that are buffered while standard output accepts no data.
  std::size_t m_MaxPendingBytes = 256UL * 1024;
};

/// Writes each event of a process as one line to standard output.
///
/// Never blocks: lines that exceed the rate limit or do not fit into the buffer
/// are dropped. The next line that is written contains their number.
class StdoutEventLog {
public:
  explicit StdoutEventLog(StdoutEventLogOptions Options = {},
                          base::Clock Time = base::steadyClock());

  /// Writes all future events of \p Events; this log must outlive it.
  void attach(base::Timeline &Events);

  /// Writes \p Line, which has no line end, or drops it.
  void write(const std::string &Line);

  [[nodiscard]] std::uint64_t dropped() const { return m_Dropped; }

private:
  /// Takes a token of the rate limit. \returns whether one was available.
  bool takeToken();
  void flush();

  const StdoutEventLogOptions m_Options;
  const base::Clock m_Clock;
  double m_Tokens;
  base::Millis m_RefilledAt{};
  std::string m_Pending;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_UnreportedDrops = 0;
};

} // namespace corneldeck::log

#endif

#ifndef CORNELDECK_LOG_STDOUTEVENTLOG_H
#define CORNELDECK_LOG_STDOUTEVENTLOG_H

#include "Base/Clock.h"
#include "Base/Timeline.h"

#include <cstddef>
#include <string>

namespace corneldeck::log {

/// Settings of StdoutEventLog.
struct StdoutEventLogOptions {
  /// Lines a second in the long run, and saved up at most. Several lines for
  /// each request at the highest rate of one entry.
  double m_LinesPerSecond = 300;
  double m_BurstLines = 600;
  /// Bytes that wait for a reader of standard output that does not keep up.
  std::size_t m_MaxPendingBytes = 256UL * 1024;
};

/// Writes each event of a process as one line on standard output.
///
/// It never blocks: lines over the rate, or that find no room, are dropped and
/// counted, and the next line that is written says how many.
class StdoutEventLog {
public:
  explicit StdoutEventLog(StdoutEventLogOptions Options = {},
                          base::Clock Time = base::steadyClock());

  /// Writes each event of \p Events from now on; this log must outlive it.
  void attach(base::Timeline &Events);

  /// Takes one line without its end.
  void write(const std::string &Line);

  [[nodiscard]] std::uint64_t dropped() const { return m_Dropped; }

private:
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

#ifndef CORNELDECK_LOG_DECISIONLOG_H
#define CORNELDECK_LOG_DECISIONLOG_H

#include "Base/Clock.h"
#include "Base/Timeline.h"

#include <cstddef>
#include <string>

namespace corneldeck::log {

/// Settings of DecisionLog.
struct DecisionLogOptions {
  /// Lines a second in the long run, and saved up at most. Several lines for
  /// each request at the highest rate of one entry.
  double m_LinesPerSecond = 300;
  double m_MaxSaved = 600;
  /// Bytes that wait for a reader of standard output that does not keep up.
  std::size_t m_MaxPendingBytes = 256UL * 1024;
};

/// Writes each event of a process as one line on standard output.
///
/// It never blocks: lines over the rate, or that find no room, are dropped and
/// counted, and the next line that is written says how many.
class DecisionLog {
public:
  explicit DecisionLog(DecisionLogOptions Options = {},
                       base::Clock Time = base::steadyClock());

  /// Writes each event of \p Events from now on; this log must outlive it.
  void attach(base::Timeline &Events);

  /// Takes one line without its end.
  void write(const std::string &Line);

  [[nodiscard]] std::uint64_t dropped() const { return m_Dropped; }

private:
  bool takeToken();
  void flush();

  const DecisionLogOptions m_Options;
  const base::Clock m_Clock;
  double m_Tokens;
  base::Millis m_FilledAt{};
  std::string m_Pending;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_DroppedSince = 0;
};

} // namespace corneldeck::log

#endif

#ifndef CORNELDECK_BASE_TIMELINE_H
#define CORNELDECK_BASE_TIMELINE_H

#include "Base/Clock.h"
#include "Base/Events.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::base {

/// One named value of an event, such as {"request", "r-17"}.
using EventField = std::pair<std::string, std::string>;

/// One event of one process.
struct TimelineEvent {
  /// Hybrid logical time: wall milliseconds in the upper 48 bits, a counter in
  /// the lower 16, moved past every stamp that was received.
  std::uint64_t m_Stamp = 0;
  std::string m_Node;
  EventId m_Id = EventId::ProcessStarted;
  std::vector<EventField> m_Fields;
};

/// A bounded record of the newest events of one process.
///
/// Stamps are hybrid logical times: a message carries its sender's stamp and
/// the receiver moves past it, so that causes sort before effects even where
/// clocks differ. All members may be called from any thread.
class Timeline {
public:
  using WallClock = std::function<Millis()>;
  /// Called with each event, such as to write it to the log.
  using Sink = std::function<void(const TimelineEvent &)>;

  /// \param Node the name of this process.
  /// \param Capacity the number of events kept; older ones are dropped.
  /// \param Wall returns wall time in milliseconds.
  Timeline(std::string Node, std::size_t Capacity, WallClock Wall = wallTime);

  /// Sets a hook that is called with each new event.
  void setSink(Sink EventSink);

  /// Adds an event.
  void record(EventId Id, std::vector<EventField> Fields = {});

  /// \returns a stamp to send with a message, later than all before it.
  std::uint64_t stamp();

  /// Moves this process's time past \p Stamp, which came with a message.
  void observe(std::uint64_t Stamp);

  /// \returns the kept events, oldest first.
  [[nodiscard]] std::vector<TimelineEvent> events() const;

private:
  std::uint64_t advance();

  const std::string m_Node;
  const std::size_t m_Capacity;
  const WallClock m_Wall;
  mutable std::mutex m_Mutex;
  Sink m_Sink;
  std::uint64_t m_Last = 0;
  std::deque<TimelineEvent> m_Events;
};

/// Merges the events of several processes by their stamps.
///
/// \returns all events of \p Parts, causes before effects.
std::vector<TimelineEvent>
mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Parts);

} // namespace corneldeck::base

#endif

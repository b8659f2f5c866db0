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

/// A name and a value, such as {"request", "r-17"}.
using EventField = std::pair<std::string, std::string>;

/// An event recorded by a process.
struct TimelineEvent {
  /// Hybrid logical timestamp: wall time in milliseconds in the upper 48 bits,
  /// a counter in the lower 16 bits. Always later than every received
  /// timestamp.
  std::uint64_t m_Stamp = 0;
  std::string m_Node;
  EventId m_Id = EventId::ProcessStarted;
  std::vector<EventField> m_Fields;
};

/// A bounded buffer of the newest events of one process.
///
/// Events carry hybrid logical timestamps. Each message contains the sender's
/// timestamp, and the receiver advances its own clock past it, so that causes
/// sort before effects even if the wall clocks differ. All members are
/// thread-safe.
class Timeline {
public:
  using WallClock = std::function<Millis()>;
  /// Receives each event, for example to write it to the log.
  using Sink = std::function<void(const TimelineEvent &)>;

  /// \param Node the name of this process.
  /// \param Capacity the maximum number of events; the oldest are removed
  /// first.
  /// \param Wall returns the wall time.
  Timeline(std::string Node, std::size_t Capacity, WallClock Wall = wallTime);

  /// Sets the sink for new events. It runs while the timeline is locked, so it
  /// must not call the timeline.
  void setSink(Sink EventSink);

  /// Records an event with a new timestamp.
  void record(EventId Id, std::vector<EventField> Fields = {});

  /// \returns a timestamp for an outgoing message, later than all earlier ones.
  std::uint64_t stamp();

  /// Advances the logical clock past \p Stamp of a received message.
  void observe(std::uint64_t Stamp);

  /// \returns the events in the buffer, oldest first.
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

/// Merges the events of several processes by their timestamps.
///
/// \returns all events of \p Parts in the order of their timestamps.
std::vector<TimelineEvent>
mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Parts);

} // namespace corneldeck::base

#endif

#include "Base/Timeline.h"

#include <algorithm>

namespace corneldeck::base {

namespace {
constexpr unsigned CounterBits = 16;
} // namespace

Timeline::Timeline(std::string Node, std::size_t Capacity, WallClock Wall)
    : m_Node(std::move(Node)), m_Capacity(Capacity), m_Wall(std::move(Wall)) {}

void Timeline::setSink(Sink EventSink) {
  const std::lock_guard Lock(m_Mutex);
  m_Sink = std::move(EventSink);
}

std::uint64_t Timeline::advance() {
  const auto Wall = static_cast<std::uint64_t>(m_Wall().count()) << CounterBits;
  m_Last = std::max(m_Last + 1, Wall);
  return m_Last;
}

void Timeline::record(EventId Id, std::vector<EventField> Fields) {
  const std::lock_guard Lock(m_Mutex);
  m_Events.push_back({advance(), m_Node, Id, std::move(Fields)});
  if (m_Events.size() > m_Capacity)
    m_Events.pop_front();
  if (m_Sink)
    m_Sink(m_Events.back());
}

std::uint64_t Timeline::stamp() {
  const std::lock_guard Lock(m_Mutex);
  return advance();
}

void Timeline::observe(std::uint64_t Stamp) {
  const std::lock_guard Lock(m_Mutex);
  m_Last = std::max(m_Last, Stamp);
}

std::vector<TimelineEvent> Timeline::events() const {
  const std::lock_guard Lock(m_Mutex);
  return {m_Events.begin(), m_Events.end()};
}

std::vector<TimelineEvent>
mergeTimelines(const std::vector<std::vector<TimelineEvent>> &Parts) {
  std::vector<TimelineEvent> Merged;
  for (const std::vector<TimelineEvent> &Part : Parts)
    Merged.insert(Merged.end(), Part.begin(), Part.end());
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     if (A.m_Stamp != B.m_Stamp)
                       return A.m_Stamp < B.m_Stamp;
                     return A.m_Node < B.m_Node;
                   });
  return Merged;
}

} // namespace corneldeck::base

#ifndef CORNELDECK_DIRECT_EVENTSPLITTER_H
#define CORNELDECK_DIRECT_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::direct {

/// Splits a stream of server-sent events, received in arbitrary pieces, into
/// complete events. A stream that breaks within an event can thus be resumed at
/// another server after its last complete event.
class EventSplitter {
public:
  /// \param MaxEventBytes the maximum size of one event.
  explicit EventSplitter(std::size_t MaxEventBytes = 1024UL * 1024)
      : m_MaxEventBytes(MaxEventBytes) {}

  /// Appends the next piece of the stream.
  /// \returns the events that the piece completes, unchanged, without those
  /// whose id is not higher than one already returned. Nothing if an event
  /// exceeds the maximum size.
  std::optional<std::string> append(std::string_view Piece);

  /// Returns whether the input ends within an event.
  [[nodiscard]] bool hasPartialEvent() const { return !m_Partial.empty(); }

  /// Discards an incomplete event, before the stream is resumed at another
  /// server.
  void discardPartialEvent() { m_Partial.clear(); }

  /// Returns the id of the last returned event, or an empty string.
  [[nodiscard]] const std::string &lastEventId() const { return m_LastEventId; }

private:
  /// Records the id of \p Event.
  /// \returns false if the event was returned before.
  bool acceptEvent(std::string_view Event);

  const std::size_t m_MaxEventBytes;
  std::string m_Partial;
  std::string m_LastEventId;
  std::optional<std::uint64_t> m_LastEventNumber;
};

} // namespace corneldeck::direct

#endif

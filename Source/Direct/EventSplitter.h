#ifndef CORNELDECK_DIRECT_EVENTSPLITTER_H
#define CORNELDECK_DIRECT_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::direct {

/// Cuts a stream of server-sent events, which comes in arbitrary pieces, at
/// the ends of events, so that a stream that breaks within an event can go on
/// elsewhere after the last whole one.
class EventSplitter {
public:
  /// \param MaxEventBytes the most bytes that one event may have.
  explicit EventSplitter(std::size_t MaxEventBytes = 1024UL * 1024)
      : m_MaxEventBytes(MaxEventBytes) {}

  /// Takes the next piece.
  /// \returns the whole events that it completes, unchanged; events whose id
  /// was handed out before are left out. None if an event is over the bound.
  std::optional<std::string> append(std::string_view Piece);

  /// \returns whether the stream is within an event.
  [[nodiscard]] bool hasPartialEvent() const { return !m_Partial.empty(); }

  /// Drops a partial event; the next piece comes from another server.
  void discardPartialEvent() { m_Partial.clear(); }

  /// \returns the id of the last event handed out, empty if none.
  [[nodiscard]] const std::string &lastEventId() const { return m_LastEventId; }

private:
  bool acceptEvent(std::string_view Event);

  const std::size_t m_MaxEventBytes;
  std::string m_Partial;
  std::string m_LastEventId;
  std::optional<std::uint64_t> m_LastEventNumber;
};

} // namespace corneldeck::direct

#endif

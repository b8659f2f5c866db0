#ifndef CORNELDECK_DIRECT_EVENTCUTTER_H
#define CORNELDECK_DIRECT_EVENTCUTTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::direct {

/// Cuts a stream of server-sent events, which comes in arbitrary pieces, at
/// the ends of events, so that a stream that breaks within an event can go on
/// elsewhere after the last whole one.
class EventCutter {
public:
  /// \param MaxEventBytes the most bytes that one event may have.
  explicit EventCutter(std::size_t MaxEventBytes = 1024UL * 1024)
      : m_MaxEventBytes(MaxEventBytes) {}

  /// Takes the next piece.
  /// \returns the whole events that it completes, unchanged; events whose id
  /// was handed out before are left out. None if an event is over the bound.
  std::optional<std::string> feed(std::string_view Piece);

  /// \returns whether the stream is within an event.
  [[nodiscard]] bool isPartial() const { return !m_Partial.empty(); }

  /// Drops a partial event; the next piece comes from another server.
  void dropPartial() { m_Partial.clear(); }

  /// \returns the id of the last event handed out, empty if none.
  [[nodiscard]] const std::string &lastId() const { return m_LastId; }

private:
  bool take(std::string_view Event);

  const std::size_t m_MaxEventBytes;
  std::string m_Partial;
  std::string m_LastId;
  std::optional<std::uint64_t> m_LastNumber;
};

} // namespace corneldeck::direct

#endif

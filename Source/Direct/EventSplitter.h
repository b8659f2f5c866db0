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
  /// that the same server repeats. Nothing if an event exceeds the maximum
  /// size, or if the stream of another server does not continue the one that
  /// was interrupted: an event without an id, with the id of an event already
  /// returned, or not with the next id if the ids are consecutive.
  std::optional<std::string> append(std::string_view Piece);

  /// Returns the memory that the incomplete event needs, in bytes.
  [[nodiscard]] std::size_t partialBytes() const {
    return m_Partial.capacity();
  }

  /// Returns whether the input ends within an event.
  [[nodiscard]] bool hasPartialEvent() const { return !m_Partial.empty(); }

  /// Discards an incomplete event. If events have been returned, the stream of
  /// the next server has to continue after them.
  void beginAttempt();

  /// Returns the id of the last returned event, or an empty string.
  [[nodiscard]] const std::string &lastEventId() const { return m_LastEventId; }

private:
  enum class Verdict { Return, Omit, Reject };

  /// Decides on a complete event and records its id.
  Verdict checkEvent(std::string_view Event);
  /// Returns whether an event with the number \p Number may follow.
  [[nodiscard]] bool continuesStream(std::optional<std::uint64_t> Number) const;
  void recordNumber(std::uint64_t Number);

  const std::size_t m_MaxEventBytes;
  std::string m_Partial;
  std::string m_LastEventId;
  std::optional<std::uint64_t> m_LastEventNumber;
  /// Whether the ids so far were consecutive numbers.
  bool m_IsConsecutive = true;
  /// Number of events with numbers as ids.
  std::size_t m_NumberedEvents = 0;
  /// Whether the stream was interrupted after an event with an id.
  bool m_IsResumed = false;
};

} // namespace corneldeck::direct

#endif

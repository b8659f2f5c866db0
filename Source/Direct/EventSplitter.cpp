#include "Direct/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace corneldeck::direct {

namespace {

/// Memory that is kept for the next events of a stream.
constexpr std::size_t MaxRetainedBytes = 16UL * 1024;

/// Returns the end of the first event of \p Text whose terminating blank line
/// is found at or after \p From, or npos.
std::size_t eventEnd(std::string_view Text, std::size_t From) {
  for (std::size_t At = Text.find('\n', From); At != std::string_view::npos;
       At = Text.find('\n', At + 1)) {
    std::size_t Next = At + 1;
    if (Next < Text.size() && Text[Next] == '\r')
      ++Next;
    if (Next < Text.size() && Text[Next] == '\n')
      return Next + 1;
  }
  return std::string_view::npos;
}

/// Returns the value of the event's id field, or an empty string.
std::string_view eventId(std::string_view Event) {
  constexpr std::string_view Name = "id:";
  std::size_t Start = 0;
  while (Start < Event.size()) {
    std::size_t End = Event.find('\n', Start);
    if (End == std::string_view::npos)
      End = Event.size();
    std::string_view Line = Event.substr(Start, End - Start);
    Start = End + 1;
    if (!Line.starts_with(Name))
      continue;
    Line.remove_prefix(Name.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
      Line.remove_suffix(1);
    return Line;
  }
  return {};
}

/// Returns whether all lines of \p Event are comments.
bool isComment(std::string_view Event) {
  while (!Event.empty()) {
    const char First = Event.front();
    if (First != ':' && First != '\r' && First != '\n')
      return false;
    Event.remove_prefix(std::min(Event.find('\n'), Event.size() - 1) + 1);
  }
  return true;
}

/// Returns the number, or nothing if \p Text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

} // namespace

std::optional<std::string> EventSplitter::append(std::string_view Piece) {
  // The blank line may be split across two pieces.
  constexpr std::size_t Overlap = 3;
  std::size_t SearchFrom =
      m_Partial.size() > Overlap ? m_Partial.size() - Overlap : 0;
  m_Partial.append(Piece);
  std::string CompleteEvents;
  std::size_t Start = 0;
  while (true) {
    const std::size_t End = eventEnd(m_Partial, std::max(Start, SearchFrom));
    if (End == std::string::npos)
      break;
    const std::string_view Event =
        std::string_view(m_Partial).substr(Start, End - Start);
    const Verdict Checked = checkEvent(Event);
    if (Checked == Verdict::Reject)
      return std::nullopt;
    if (Checked == Verdict::Return)
      CompleteEvents.append(Event);
    Start = End;
  }
  m_Partial.erase(0, Start);
  if (m_Partial.capacity() > MaxRetainedBytes &&
      m_Partial.size() <= MaxRetainedBytes)
    m_Partial.shrink_to_fit();
  if (m_Partial.size() > m_MaxEventBytes)
    return std::nullopt;
  return CompleteEvents;
}

void EventSplitter::beginAttempt() {
  m_Partial = {};
  m_IsResumed = !m_LastEventId.empty();
}

EventSplitter::Verdict EventSplitter::checkEvent(std::string_view Event) {
  if (isComment(Event))
    return Verdict::Return;
  const std::string_view Id = eventId(Event);
  const std::optional<std::uint64_t> Number = parseNumber(Id);
  if (m_IsResumed && !continuesStream(Number))
    return Verdict::Reject;
  if (Id.empty())
    return Verdict::Return;
  if (Number) {
    if (m_LastEventNumber && *Number <= *m_LastEventNumber)
      return Verdict::Omit;
    recordNumber(*Number);
  }
  m_LastEventId = std::string(Id);
  return Verdict::Return;
}

bool EventSplitter::continuesStream(std::optional<std::uint64_t> Number) const {
  // Without numbers, only the server knows which event is the next.
  if (!m_LastEventNumber)
    return true;
  if (!Number || *Number <= *m_LastEventNumber)
    return false;
  const bool HasPattern = m_IsConsecutive && m_NumberedEvents > 1;
  return !HasPattern || *Number == *m_LastEventNumber + 1;
}

void EventSplitter::recordNumber(std::uint64_t Number) {
  if (m_LastEventNumber && Number != *m_LastEventNumber + 1)
    m_IsConsecutive = false;
  m_LastEventNumber = Number;
  ++m_NumberedEvents;
}

} // namespace corneldeck::direct

#include "Direct/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace corneldeck::direct {

namespace {

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
    if (acceptEvent(Event))
      CompleteEvents.append(Event);
    Start = End;
  }
  m_Partial.erase(0, Start);
  if (m_Partial.size() > m_MaxEventBytes)
    return std::nullopt;
  return CompleteEvents;
}

bool EventSplitter::acceptEvent(std::string_view Event) {
  const std::string_view Id = eventId(Event);
  if (Id.empty())
    return true;
  std::uint64_t Number = 0;
  const auto Parsed = std::from_chars(Id.data(), Id.data() + Id.size(), Number);
  if (Parsed.ec == std::errc() && Parsed.ptr == Id.data() + Id.size()) {
    if (m_LastEventNumber && Number <= *m_LastEventNumber)
      return false;
    m_LastEventNumber = Number;
  }
  m_LastEventId = std::string(Id);
  return true;
}

} // namespace corneldeck::direct

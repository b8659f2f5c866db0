#include "Net/ServerSentEventParser.h"

#include <algorithm>

namespace corneldeck::net {

namespace {
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";
} // namespace

ServerSentEventParser::ServerSentEventParser(Sink OnEvent,
                                             std::size_t MaxEventBytes)
    : m_OnEvent(std::move(OnEvent)), m_MaxEventBytes(MaxEventBytes) {}

bool ServerSentEventParser::feed(std::string_view Piece) {
  std::string Kept;
  if (!m_Partial.empty()) {
    m_Partial.append(Piece);
    Kept.swap(m_Partial);
    Piece = Kept;
  }
  for (std::size_t End = Piece.find(EventEnd); End != std::string_view::npos;
       End = Piece.find(EventEnd)) {
    handleEvent(Piece.substr(0, End));
    Piece.remove_prefix(End + EventEnd.size());
  }
  if (Piece.size() > m_MaxEventBytes)
    return false;
  m_Partial.assign(Piece);
  return true;
}

void ServerSentEventParser::handleEvent(std::string_view Event) {
  // Most events have a single line, which is passed on without a copy.
  const bool OneLine = Event.find('\n') == std::string_view::npos;
  m_Joined.clear();
  bool Found = false;
  while (!Event.empty()) {
    std::string_view Line = Event.substr(0, Event.find('\n'));
    Event.remove_prefix(std::min(Event.size(), Line.size() + 1));
    if (!Line.starts_with(DataField))
      continue;
    Line.remove_prefix(DataField.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (OneLine) {
      m_OnEvent(Line);
      return;
    }
    if (Found)
      m_Joined += '\n';
    m_Joined += Line;
    Found = true;
  }
  if (Found)
    m_OnEvent(m_Joined);
}

} // namespace corneldeck::net

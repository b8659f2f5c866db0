#include "Ctl/TimelineView.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <ostream>

namespace corneldeck::ctl {

namespace {

constexpr unsigned CounterBits = 16;
constexpr std::int64_t MillisPerSecond = 1000;

bool hasField(const base::TimelineEvent &Event, std::string_view Key,
              const std::optional<std::string> &Value) {
  if (!Value)
    return true;
  return std::any_of(Event.m_Fields.begin(), Event.m_Fields.end(),
                     [&](const base::EventField &Field) {
                       return Field.first == Key && Field.second == *Value;
                     });
}

std::string formatTime(std::uint64_t Stamp) {
  const std::int64_t Millis = wallTimeOf(Stamp).count();
  const std::time_t Seconds = Millis / MillisPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  const std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::string Fraction = std::to_string(Millis % MillisPerSecond);
  Fraction.insert(0, 3 - std::min<std::size_t>(Fraction.size(), 3), '0');
  return std::string(Text.data(), Length) + "." + Fraction + "Z";
}

std::string joinFields(const base::TimelineEvent &Event) {
  std::string Text;
  for (const auto &[Key, Value] : Event.m_Fields) {
    if (!Text.empty())
      Text += ' ';
    Text += Key;
    Text += '=';
    for (const char Byte : Value)
      Text += static_cast<unsigned char>(Byte) < ' ' ? ' ' : Byte;
  }
  return Text;
}

std::string escapeHtml(const std::string &Text) {
  std::string Out;
  for (const char Byte : Text) {
    switch (Byte) {
    case '&':
      Out += "&amp;";
      break;
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '"':
      Out += "&quot;";
      break;
    case '\'':
      Out += "&#39;";
      break;
    default:
      Out += Byte;
    }
  }
  return Out;
}

/// Sizes of the picture in pixels.
constexpr double LaneHeight = 28;
constexpr double LabelWidth = 160;
constexpr double PictureWidth = 1200;
constexpr double Margin = 20;

/// Places events by their process and time.
class Lanes {
public:
  explicit Lanes(const std::vector<base::TimelineEvent> &Events) {
    for (const base::TimelineEvent &Event : Events)
      m_Rows.emplace(Event.m_Node, 0);
    double Row = 0;
    for (auto &[Node, Index] : m_Rows)
      Index = Row++;
    if (Events.empty())
      return;
    m_First = Events.front().m_Stamp;
    m_Span = std::max<double>(
        1, static_cast<double>(Events.back().m_Stamp - m_First));
  }

  [[nodiscard]] double x(const base::TimelineEvent &Event) const {
    const double Share = static_cast<double>(Event.m_Stamp - m_First) / m_Span;
    return LabelWidth + Share * (PictureWidth - LabelWidth - Margin);
  }
  [[nodiscard]] double y(const std::string &Node) const {
    return (m_Rows.at(Node) + 1) * LaneHeight;
  }
  [[nodiscard]] double height() const {
    return (static_cast<double>(m_Rows.size()) + 1) * LaneHeight;
  }
  [[nodiscard]] const std::map<std::string, double> &rows() const {
    return m_Rows;
  }

private:
  std::map<std::string, double> m_Rows;
  std::uint64_t m_First = 0;
  double m_Span = 1;
};

/// \returns a colour for the hundred that the event's number is in.
std::string_view colourOf(base::EventId Id) {
  constexpr std::array<std::string_view, 7> Colours{
      "#666666", "#1f77b4", "#2ca02c", "#d62728",
      "#9467bd", "#ff7f0e", "#17becf"};
  constexpr int FirstNumber = 1000;
  constexpr int GroupSize = 100;
  const int Group = (static_cast<int>(Id) - FirstNumber) / GroupSize;
  const bool Known = Group >= 0 && Group < static_cast<int>(Colours.size());
  return Colours[Known ? static_cast<std::size_t>(Group) : 0];
}

void writeLanes(const std::vector<base::TimelineEvent> &Events,
                std::ostream &Out) {
  const Lanes Place(Events);
  Out << "<svg viewBox=\"0 0 " << PictureWidth << " " << Place.height()
      << "\" width=\"100%\">\n";
  for (const auto &[Node, Row] : Place.rows()) {
    const double Y = Place.y(Node);
    Out << "<text x=\"4\" y=\"" << Y + 4 << "\">" << escapeHtml(Node)
        << "</text><line x1=\"" << LabelWidth << "\" x2=\""
        << PictureWidth - Margin << "\" y1=\"" << Y << "\" y2=\"" << Y
        << "\"/>\n";
  }
  for (const base::TimelineEvent &Event : Events)
    Out << "<circle class=\"event\" cx=\"" << Place.x(Event) << "\" cy=\""
        << Place.y(Event.m_Node) << "\" r=\"5\" fill=\"" << colourOf(Event.m_Id)
        << "\"><title>" << formatTime(Event.m_Stamp) << ' '
        << escapeHtml(Event.m_Node) << ' ' << base::name(Event.m_Id) << ' '
        << escapeHtml(joinFields(Event)) << "</title></circle>\n";
  Out << "</svg>\n";
}

void writeTable(const std::vector<base::TimelineEvent> &Events,
                std::ostream &Out) {
  Out << "<table><thead><tr><th>time</th><th>process</th><th>number</th>"
         "<th>event</th><th>fields</th></tr></thead><tbody>\n";
  for (const base::TimelineEvent &Event : Events)
    Out << "<tr class=\"event\"><td>" << formatTime(Event.m_Stamp)
        << "</td><td>" << escapeHtml(Event.m_Node) << "</td><td>"
        << static_cast<int>(Event.m_Id) << "</td><td>" << base::name(Event.m_Id)
        << "</td><td>" << escapeHtml(joinFields(Event)) << "</td></tr>\n";
  Out << "</tbody></table>\n";
}

constexpr std::string_view PageHead =
    R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>corneldeck time line</title>
<style>
body { font-family: sans-serif; margin: 16px; }
svg { border: 1px solid #ccc; }
svg text { font-size: 12px; }
svg line { stroke: #ccc; }
table { border-collapse: collapse; font-size: 13px; margin-top: 12px; }
td, th { text-align: left; padding: 2px 10px 2px 0; white-space: nowrap; }
.hidden { display: none; }
</style></head><body>
<h1>Time line</h1>
<p>Causes stand before effects. Point at an event for its fields, or filter:
<input id="filter" size="40" placeholder="request, node, event"></p>
)";

constexpr std::string_view PageEnd =
    R"(<script>
const box = document.getElementById('filter');
box.addEventListener('input', () => {
  for (const item of document.querySelectorAll('.event'))
    item.classList.toggle('hidden', !item.textContent.includes(box.value));
});
</script></body></html>
)";

} // namespace

bool TimelineFilter::lets(const base::TimelineEvent &Event) const {
  return hasField(Event, "request", m_Request) &&
         hasField(Event, "group", m_Group) &&
         hasField(Event, "offset", m_Offset) &&
         (!m_Node || Event.m_Node == *m_Node);
}

base::Millis wallTimeOf(std::uint64_t Stamp) {
  return base::Millis(static_cast<std::int64_t>(Stamp >> CounterBits));
}

void writeTimelineText(const std::vector<base::TimelineEvent> &Events,
                       std::ostream &Out) {
  for (const base::TimelineEvent &Event : Events)
    Out << formatTime(Event.m_Stamp) << ' ' << Event.m_Node << ' '
        << static_cast<int>(Event.m_Id) << ' ' << base::name(Event.m_Id) << ' '
        << joinFields(Event) << '\n';
  Out.flush();
}

void writeTimelineHtml(const std::vector<base::TimelineEvent> &Events,
                       std::ostream &Out) {
  Out << PageHead;
  writeLanes(Events, Out);
  writeTable(Events, Out);
  Out << PageEnd;
}

} // namespace corneldeck::ctl

#include "Catalogue/YamlFields.h"

#include "Base/Format.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <set>

namespace corneldeck::catalogue {

namespace {

int lineOf(const YAML::Node &Node) {
  return Node.IsDefined() ? Node.Mark().line + 1 : 0;
}

std::string join(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words) {
    if (!Text.empty())
      Text += ", ";
    Text += Word;
  }
  return Text;
}

template <typename T> std::optional<T> parseNumber(const std::string &Text) {
  T Value{};
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string Problem::text() const {
  return m_File + ":" + std::to_string(m_Line) + ": " + m_Key + ": expected " +
         m_Expected + "; " + m_Remedy;
}

bool isAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Host, Failed);
  const auto Port =
      parseNumber<std::uint16_t>(std::string(Text.substr(Colon + 1)));
  return !Failed && Port && *Port != 0;
}

YamlFields::YamlFields(const YAML::Node &Map, std::string File,
                       std::string Path, std::vector<Problem> &Problems)
    : m_Map(Map), m_File(std::move(File)), m_Path(std::move(Path)),
      m_Problems(&Problems) {}

std::string YamlFields::pathOf(const std::string &Key) const {
  if (m_Path.empty())
    return Key;
  return Key.empty() ? m_Path : m_Path + "." + Key;
}

bool YamlFields::has(const std::string &Key) const {
  return m_Map[Key].IsDefined();
}

YAML::Node YamlFields::find(const std::string &Key) {
  m_KnownKeys.push_back(Key);
  const YAML::Node &Map = m_Map;
  return Map[Key];
}

void YamlFields::addProblem(const std::string &Key, std::string Expected,
                            std::string Remedy) {
  const YAML::Node &Map = m_Map;
  int Line = lineOf(Map);
  if (!Key.empty() && Map[Key].IsDefined())
    Line = lineOf(Map[Key]);
  m_Problems->push_back(
      {m_File, Line, pathOf(Key), std::move(Expected), std::move(Remedy)});
}

std::string YamlFields::scalar(const std::string &Key,
                               const std::string &Expected) {
  const YAML::Node Node = find(Key);
  if (!Node.IsDefined())
    return {};
  if (!Node.IsScalar() || Node.Scalar().empty()) {
    addProblem(Key, Expected, "set a single value");
    return {};
  }
  return Node.Scalar();
}

std::string YamlFields::requiredText(const std::string &Key) {
  if (!has(Key)) {
    m_KnownKeys.push_back(Key);
    addProblem(Key, "a text", "add the key");
    return {};
  }
  return scalar(Key, "a text");
}

std::string YamlFields::text(const std::string &Key,
                             const std::string &Default) {
  std::string Value = scalar(Key, "a text");
  return Value.empty() ? Default : Value;
}

std::string YamlFields::requiredAddress(const std::string &Key) {
  std::string Value = requiredText(Key);
  if (!Value.empty() && !isAddress(Value))
    addProblem(Key, "an IP address and a port",
               "write it as 10.0.0.1:7100; host names are not resolved");
  return Value;
}

double YamlFields::number(const std::string &Key, double Default, double Min,
                          double Max) {
  const std::string Expected = "a number from " + base::formatDecimal(Min) +
                               " to " + base::formatDecimal(Max);
  const std::string Value = scalar(Key, Expected);
  if (Value.empty())
    return Default;
  const auto Parsed = parseNumber<double>(Value);
  if (Parsed && std::isfinite(*Parsed) && *Parsed >= Min && *Parsed <= Max)
    return *Parsed;
  addProblem(Key, Expected, "correct '" + Value + "'");
  return Default;
}

std::int64_t YamlFields::integer(const std::string &Key, std::int64_t Default,
                                 std::int64_t Min, std::int64_t Max) {
  const std::string Expected = "a whole number from " + std::to_string(Min) +
                               " to " + std::to_string(Max);
  const std::string Value = scalar(Key, Expected);
  if (Value.empty())
    return Default;
  const auto Parsed = parseNumber<std::int64_t>(Value);
  if (Parsed && *Parsed >= Min && *Parsed <= Max)
    return *Parsed;
  addProblem(Key, Expected, "correct '" + Value + "'");
  return Default;
}

bool YamlFields::boolean(const std::string &Key, bool Default) {
  const std::string Value = scalar(Key, "true or false");
  if (Value.empty())
    return Default;
  if (Value == "true" || Value == "false")
    return Value == "true";
  addProblem(Key, "true or false", "correct '" + Value + "'");
  return Default;
}

std::string YamlFields::choice(const std::string &Key,
                               const std::vector<std::string> &Allowed) {
  std::string Value = requiredText(Key);
  if (std::find(Allowed.begin(), Allowed.end(), Value) != Allowed.end())
    return Value;
  if (!Value.empty())
    addProblem(Key, "one of " + join(Allowed), "correct '" + Value + "'");
  return Allowed.front();
}

std::vector<std::string> YamlFields::texts(const std::string &Key) {
  std::vector<std::string> Values;
  const YAML::Node List = find(Key);
  if (!List.IsDefined())
    return Values;
  if (!List.IsSequence()) {
    addProblem(Key, "a list of texts",
               "write one text per line, each after '- '");
    return Values;
  }
  for (const YAML::Node &Item : List) {
    if (Item.IsScalar() && !Item.Scalar().empty())
      Values.push_back(Item.Scalar());
    else
      addProblem(Key, "a list of texts", "make every item a text");
  }
  return Values;
}

std::optional<YamlFields> YamlFields::mapping(const std::string &Key) {
  const YAML::Node Node = find(Key);
  if (!Node.IsDefined())
    return std::nullopt;
  if (Node.IsMap())
    return YamlFields(Node, m_File, pathOf(Key), *m_Problems);
  addProblem(Key, "a mapping", "write its keys below it, indented");
  return std::nullopt;
}

std::vector<YamlFields> YamlFields::mappings(const std::string &Key) {
  std::vector<YamlFields> Items;
  const YAML::Node List = find(Key);
  if (!List.IsDefined())
    return Items;
  if (!List.IsSequence()) {
    addProblem(Key, "a list of mappings", "start each item with '- '");
    return Items;
  }
  std::size_t Index = 0;
  for (const YAML::Node &Item : List) {
    const std::string Path = Key + "[" + std::to_string(Index++) + "]";
    if (Item.IsMap())
      Items.emplace_back(Item, m_File, pathOf(Path), *m_Problems);
    else
      m_Problems->push_back({m_File, lineOf(Item), pathOf(Path), "a mapping",
                             "write its keys below the '- ', indented"});
  }
  return Items;
}

void YamlFields::reportUnknownKeys() {
  std::set<std::string> Seen;
  for (const auto &Pair : m_Map) {
    const std::string Key = Pair.first.IsScalar() ? Pair.first.Scalar() : "?";
    if (!Seen.insert(Key).second)
      m_Problems->push_back({m_File, lineOf(Pair.first), pathOf(Key),
                             "each key once", "remove one of them"});
    if (std::find(m_KnownKeys.begin(), m_KnownKeys.end(), Key) ==
        m_KnownKeys.end())
      m_Problems->push_back({m_File, lineOf(Pair.first), pathOf(Key),
                             "one of " + join(m_KnownKeys),
                             "remove the key or correct its name"});
  }
}

} // namespace corneldeck::catalogue

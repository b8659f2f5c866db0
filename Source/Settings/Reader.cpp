#include "Settings/Reader.h"

#include "Base/Format.h"
#include "Settings/Document.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>

namespace corneldeck::settings {

namespace {

constexpr std::string_view CorrectValue = "correct the value";

/// \returns \p Text as a number, or none if any part of it is not a number.
template <typename T> std::optional<T> parseNumber(const std::string &Text) {
  T Value{};
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

bool isAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  std::string Host = Text.substr(0, Colon);
  if (Host.starts_with('[') && Host.ends_with(']'))
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Code;
  boost::asio::ip::make_address(Host, Code);
  return Port.has_value() && !Code;
}

std::string listNames(std::span<const std::string_view> Names) {
  std::string List;
  for (const std::string_view Name : Names) {
    if (!List.empty())
      List += ", ";
    List += Name;
  }
  return List;
}

} // namespace

std::string Problem::describe() const {
  std::string Text = m_File;
  if (m_Line > 0)
    Text += ":" + std::to_string(m_Line);
  if (!m_Key.empty())
    Text += ": " + m_Key;
  Text += ": expected " + m_Expected;
  if (!m_Found.empty())
    Text += ", found " + m_Found;
  return Text + "; " + m_Remedy;
}

Reader::Reader(std::shared_ptr<File> SettingsFile,
               std::shared_ptr<Section> Target)
    : m_File(std::move(SettingsFile)), m_Section(std::move(Target)) {}

Reader Reader::fromFile(const std::string &Path) {
  auto SettingsFile = std::make_shared<File>();
  SettingsFile->m_Name = Path;
  const std::optional<std::string> Text = readFile(Path);
  if (Text)
    return fromText(*Text, Path);
  SettingsFile->m_Problems.push_back({Path, 0, "", "a readable file", "none",
                                      "check the path and its permissions"});
  return {SettingsFile,
          SettingsFile->addSection(YAML::Node(YAML::NodeType::Map), "")};
}

Reader Reader::fromText(const std::string &Text, const std::string &Name) {
  auto SettingsFile = std::make_shared<File>();
  SettingsFile->m_Name = Name;
  const YAML::Node Root = SettingsFile->parse(Text);
  return {SettingsFile, SettingsFile->addSection(Root, "")};
}

void Reader::recordProblem(std::string_view Key, std::string Expected,
                           std::string Found, std::string Remedy) {
  m_File->m_Problems.push_back({m_File->m_Name, m_Section->lineOf(Key),
                                m_Section->pathOf(Key), std::move(Expected),
                                std::move(Found), std::move(Remedy)});
}

void Reader::addProblem(std::string_view Key, const std::string &Expected,
                        const std::string &Remedy) {
  recordProblem(Key, Expected, describeNode(m_Section->find(Key)), Remedy);
}

bool Reader::has(std::string_view Key) {
  const YAML::Node Node = m_Section->find(Key);
  return Node.IsDefined() && !Node.IsNull();
}

std::optional<std::string> Reader::scalar(std::string_view Key, bool HasDefault,
                                          const std::string &Expected) {
  const YAML::Node Node = m_Section->find(Key);
  if (!Node.IsDefined()) {
    if (!HasDefault)
      recordProblem(Key, Expected, "nothing", "add the key");
    return std::nullopt;
  }
  if (!Node.IsScalar()) {
    recordProblem(Key, Expected, describeNode(Node), std::string(CorrectValue));
    return std::nullopt;
  }
  return Node.Scalar();
}

std::string Reader::text(std::string_view Key,
                         const std::optional<std::string> &Default) {
  const auto Value = scalar(Key, Default.has_value(), "a text");
  if (Value && Value->empty())
    addProblem(Key, "a non-empty text", std::string(CorrectValue));
  return Value ? *Value : Default.value_or("");
}

std::int64_t Reader::integer(std::string_view Key, Range Allowed,
                             std::optional<std::int64_t> Default) {
  const std::string Expected = "a whole number from " +
                               std::to_string(Allowed.m_Min) + " to " +
                               std::to_string(Allowed.m_Max);
  const std::int64_t Fallback = Default.value_or(Allowed.m_Min);
  const auto Value = scalar(Key, Default.has_value(), Expected);
  if (!Value)
    return Fallback;
  const auto Number = parseNumber<std::int64_t>(*Value);
  if (Number && *Number >= Allowed.m_Min && *Number <= Allowed.m_Max)
    return *Number;
  addProblem(Key, Expected, std::string(CorrectValue));
  return Fallback;
}

double Reader::number(std::string_view Key, RealRange Allowed,
                      std::optional<double> Default) {
  const std::string Expected = "a number from " +
                               base::formatDecimal(Allowed.m_Min) + " to " +
                               base::formatDecimal(Allowed.m_Max);
  const double Fallback = Default.value_or(Allowed.m_Min);
  const auto Value = scalar(Key, Default.has_value(), Expected);
  if (!Value)
    return Fallback;
  const auto Number = parseNumber<double>(*Value);
  if (Number && *Number >= Allowed.m_Min && *Number <= Allowed.m_Max)
    return *Number;
  addProblem(Key, Expected, std::string(CorrectValue));
  return Fallback;
}

bool Reader::boolean(std::string_view Key, std::optional<bool> Default) {
  const auto Value = scalar(Key, Default.has_value(), "true or false");
  if (!Value)
    return Default.value_or(false);
  if (*Value != "true" && *Value != "false")
    addProblem(Key, "true or false", std::string(CorrectValue));
  return *Value == "true";
}

base::Millis Reader::millis(std::string_view Key, Range Allowed,
                            std::optional<base::Millis> Default) {
  std::optional<std::int64_t> Count;
  if (Default)
    Count = Default->count();
  return base::Millis(integer(Key, Allowed, Count));
}

std::string Reader::address(std::string_view Key,
                            const std::optional<std::string> &Default) {
  const std::string Expected = "an address ip:port";
  const auto Value = scalar(Key, Default.has_value(), Expected);
  if (!Value)
    return Default.value_or("");
  if (!isAddress(*Value))
    addProblem(Key, Expected, "use an IP address, not a host name, and a port");
  return *Value;
}

std::size_t Reader::choice(std::string_view Key,
                           std::span<const std::string_view> Names,
                           std::optional<std::size_t> Default) {
  const std::string Expected = "one of " + listNames(Names);
  const auto Value = scalar(Key, Default.has_value(), Expected);
  if (!Value)
    return Default.value_or(0);
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names[Index] == *Value)
      return Index;
  addProblem(Key, Expected, std::string(CorrectValue));
  return Default.value_or(0);
}

std::vector<std::string> Reader::scalars(std::string_view Key,
                                         const std::string &Expected) {
  const YAML::Node Node = m_Section->find(Key);
  if (!Node.IsDefined())
    return {};
  if (!Node.IsSequence()) {
    recordProblem(Key, Expected, describeNode(Node), "write a list");
    return {};
  }
  std::vector<std::string> Values;
  for (const YAML::Node &Item : Node) {
    if (Item.IsScalar())
      Values.push_back(Item.Scalar());
    else
      recordProblem(Key, Expected, describeNode(Item),
                    std::string(CorrectValue));
  }
  return Values;
}

std::vector<std::string> Reader::texts(std::string_view Key) {
  return scalars(Key, "a list of texts");
}

std::vector<std::string> Reader::addresses(std::string_view Key) {
  const std::string Expected = "a list of addresses ip:port";
  std::vector<std::string> Values = scalars(Key, Expected);
  for (const std::string &Value : Values)
    if (!isAddress(Value))
      recordProblem(Key, Expected, "\"" + Value + "\"",
                    "use IP addresses, not host names, and ports");
  return Values;
}

Reader Reader::section(std::string_view Key) {
  const YAML::Node Node = m_Section->find(Key);
  const std::string Path = m_Section->pathOf(Key);
  const bool IsMap = Node.IsDefined() && Node.IsMap();
  if (IsMap)
    return {m_File, m_File->addSection(Node, Path)};
  if (Node.IsDefined() && !Node.IsNull())
    recordProblem(Key, "a section of keys", describeNode(Node),
                  "indent its keys below it");
  return {m_File, m_File->addSection(YAML::Node(YAML::NodeType::Map), Path)};
}

std::vector<Reader> Reader::sections(std::string_view Key) {
  const YAML::Node Node = m_Section->find(Key);
  std::vector<Reader> Readers;
  if (!Node.IsDefined() || Node.IsNull())
    return Readers;
  if (!Node.IsSequence()) {
    recordProblem(Key, "a list of sections", describeNode(Node),
                  "write a list");
    return Readers;
  }
  for (std::size_t Index = 0; Index < Node.size(); ++Index) {
    const std::string Path =
        m_Section->pathOf(Key) + "[" + std::to_string(Index) + "]";
    if (Node[Index].IsMap()) {
      Readers.push_back(Reader(m_File, m_File->addSection(Node[Index], Path)));
      continue;
    }
    recordProblem(Key, "a section of keys in each item",
                  describeNode(Node[Index]), std::string(CorrectValue));
  }
  return Readers;
}

std::vector<Problem> Reader::problems() const { return m_File->allProblems(); }

base::Result<void> Reader::validate() const {
  std::string Text;
  for (const Problem &Found : problems()) {
    if (!Text.empty())
      Text += "\n";
    Text += Found.describe();
  }
  if (Text.empty())
    return {};
  return base::failure(base::ResultCode::BadSettings, Text);
}

} // namespace corneldeck::settings

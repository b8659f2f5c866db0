#include "Settings/Document.h"

#include "Settings/Documents.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace corneldeck::settings {

namespace {

constexpr std::size_t MaxFileBytes = 1024UL * 1024;
constexpr std::size_t MaxShownBytes = 60;

int lineOfMark(const YAML::Mark &Mark) {
  return Mark.is_null() ? 0 : Mark.line + 1;
}

/// \returns \p Text without control characters, truncated to MaxShownBytes.
std::string shorten(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(), [](unsigned char Byte) { return Byte < ' '; },
      ' ');
  if (Text.size() <= MaxShownBytes)
    return Text;
  return Text.substr(0, MaxShownBytes) + "...";
}

} // namespace

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Input(Path, std::ios::binary);
  if (!Input)
    return std::nullopt;
  std::string Text;
  Text.resize(MaxFileBytes + 1);
  Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (Input.bad() || (Input.fail() && !Input.eof()))
    return std::nullopt;
  Text.resize(static_cast<std::size_t>(Input.gcount()));
  return Text;
}

std::string describeNode(const YAML::Node &Node) {
  if (!Node.IsDefined() || Node.IsNull())
    return "nothing";
  if (Node.IsSequence())
    return "a list";
  if (Node.IsMap())
    return "a section";
  return "\"" + shorten(Node.Scalar()) + "\"";
}

YAML::Node Reader::Section::find(std::string_view Key) {
  m_KnownKeys.emplace(Key);
  // Unlike the const one, the mutable operator[] would insert the key.
  const YAML::Node &ConstNode = m_Node;
  return ConstNode[std::string(Key)];
}

int Reader::Section::lineOf(std::string_view Key) const {
  const YAML::Node Value = m_Node[std::string(Key)];
  return lineOfMark(Value.IsDefined() ? Value.Mark() : m_Node.Mark());
}

std::string Reader::Section::pathOf(std::string_view Key) const {
  return m_Path.empty() ? std::string(Key) : m_Path + "." + std::string(Key);
}

YAML::Node Reader::File::parse(const std::string &Text) {
  const YAML::Node Empty(YAML::NodeType::Map);
  if (Text.size() > MaxFileBytes) {
    m_Problems.push_back({m_Name, 0, "", "a file of at most 1 MiB",
                          "a larger one",
                          "check that it is the intended file"});
    return Empty;
  }
  try {
    if (countDocuments(Text, 1) > 1) {
      m_Problems.push_back({m_Name, 0, "", "one YAML document", "more of them",
                            "correct the syntax, or split the file"});
      return Empty;
    }
    YAML::Node Root = YAML::Load(Text);
    if (Root.IsMap())
      return Root;
    m_Problems.push_back({m_Name, lineOfMark(Root.Mark()), "",
                          "keys with values", describeNode(Root),
                          "write one \"key: value\" per line"});
  } catch (const YAML::Exception &Failure) {
    m_Problems.push_back({m_Name, lineOfMark(Failure.mark), "", "YAML",
                          shorten(Failure.msg), "correct the syntax"});
  }
  return Empty;
}

std::shared_ptr<Reader::Section>
Reader::File::addSection(const YAML::Node &Node, const std::string &Path) {
  auto Target = std::make_shared<Section>();
  Target->m_Node.reset(Node);
  Target->m_Path = Path;
  m_Sections.push_back(Target);
  return Target;
}

void Reader::File::addKeyProblems(const Section &Target,
                                  std::vector<Problem> &Problems) const {
  std::set<std::string, std::less<>> Seen;
  for (const auto &Item : Target.m_Node) {
    const std::string Key =
        Item.first.IsScalar() ? Item.first.Scalar() : "(a list or section)";
    const int Line = lineOfMark(Item.first.Mark());
    if (!Seen.insert(Key).second)
      Problems.push_back({m_Name, Line, Target.pathOf(shorten(Key)),
                          "each key once", "a second one",
                          "remove one of them"});
    else if (!Target.m_KnownKeys.contains(Key))
      Problems.push_back({m_Name, Line, Target.pathOf(shorten(Key)),
                          "a known key", "an unknown one",
                          "correct its spelling or remove it"});
  }
}

std::vector<Problem> Reader::File::allProblems() const {
  std::vector<Problem> Problems = m_Problems;
  for (const auto &Target : m_Sections)
    addKeyProblems(*Target, Problems);
  std::stable_sort(
      Problems.begin(), Problems.end(),
      [](const Problem &A, const Problem &B) { return A.m_Line < B.m_Line; });
  return Problems;
}

} // namespace corneldeck::settings

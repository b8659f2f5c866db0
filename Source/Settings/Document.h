#ifndef CORNELDECK_SETTINGS_DOCUMENT_H
#define CORNELDECK_SETTINGS_DOCUMENT_H

#include "Settings/Reader.h"

#include <set>
#include <yaml-cpp/yaml.h>

namespace corneldeck::settings {

/// \returns the content of a file of bounded size, or none if it can't be read.
std::optional<std::string> readFile(const std::string &Path);

/// \returns what \p Node is, for a message, cut to a short text.
std::string describeNode(const YAML::Node &Node);

/// One section of the file with the keys that were asked for.
struct Reader::Section {
  YAML::Node m_Node;
  std::string m_Path;
  std::set<std::string, std::less<>> m_KnownKeys;

  /// \returns the value at \p Key, undefined if there is none; the key counts
  /// as known from now on.
  YAML::Node find(std::string_view Key);
  /// \returns the line of the value at \p Key, or else of the section.
  [[nodiscard]] int lineOf(std::string_view Key) const;
  [[nodiscard]] std::string pathOf(std::string_view Key) const;
};

/// The file, its sections that were opened, and its problems.
struct Reader::File {
  std::string m_Name;
  std::vector<Problem> m_Problems;
  std::vector<std::shared_ptr<Section>> m_Sections;

  /// \returns the top section, which is empty if \p Text is not a YAML map.
  YAML::Node parse(const std::string &Text);
  std::shared_ptr<Section> addSection(const YAML::Node &Node,
                                      const std::string &Path);
  /// \returns the noted problems and those of unknown and repeated keys, in
  /// the order of their lines.
  [[nodiscard]] std::vector<Problem> allProblems() const;

private:
  void addKeyProblems(const Section &Target,
                      std::vector<Problem> &Problems) const;
};

} // namespace corneldeck::settings

#endif

#ifndef CORNELDECK_SETTINGS_DOCUMENT_H
#define CORNELDECK_SETTINGS_DOCUMENT_H

#include "Settings/Reader.h"

#include <set>
#include <yaml-cpp/yaml.h>

namespace corneldeck::settings {

/// \returns the content of a file, or none if it can't be read. Of a file that
/// is larger than the limit for settings, only the start is returned.
std::optional<std::string> readFile(const std::string &Path);

/// \returns a short description of \p Node for messages.
std::string describeNode(const YAML::Node &Node);

/// A section of the file and the keys that were read from it.
struct Reader::Section {
  YAML::Node m_Node;
  std::string m_Path;
  std::set<std::string, std::less<>> m_KnownKeys;

  /// Adds \p Key to the known keys.
  /// \returns its value, which is undefined if the key is missing.
  YAML::Node find(std::string_view Key);
  /// \returns the line of the value at \p Key, or of the section if the key is
  /// missing.
  [[nodiscard]] int lineOf(std::string_view Key) const;
  [[nodiscard]] std::string pathOf(std::string_view Key) const;
};

/// The file, the sections that were read, and the problems.
struct Reader::File {
  std::string m_Name;
  std::vector<Problem> m_Problems;
  std::vector<std::shared_ptr<Section>> m_Sections;

  /// \returns the root section, which is empty if \p Text is not a YAML
  /// mapping.
  YAML::Node parse(const std::string &Text);
  std::shared_ptr<Section> addSection(const YAML::Node &Node,
                                      const std::string &Path);
  /// \returns the recorded problems and those with unknown and repeated keys,
  /// in the order of their lines.
  [[nodiscard]] std::vector<Problem> allProblems() const;

private:
  void addKeyProblems(const Section &Target,
                      std::vector<Problem> &Problems) const;
};

} // namespace corneldeck::settings

#endif

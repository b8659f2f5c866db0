#ifndef CORNELDECK_CATALOGUE_YAMLFIELDS_H
#define CORNELDECK_CATALOGUE_YAMLFIELDS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace corneldeck::catalogue {

/// A problem in a YAML file.
struct Problem {
  std::string m_File;
  /// Line number, starting at 1.
  int m_Line = 0;
  /// Path of the key, such as "customers[2].requests_per_s".
  std::string m_Key;
  std::string m_Expected;
  std::string m_Remedy;

  /// \returns the problem as one line of text.
  [[nodiscard]] std::string text() const;

  bool operator==(const Problem &) const = default;
};

/// Reads the keys of one YAML mapping and collects all problems.
///
/// Call a getter for each known key, then reportUnknownKeys().
class YamlFields {
public:
  /// \param Map the mapping.
  /// \param File the file name for problems.
  /// \param Path the path of the mapping in the file; empty for the root.
  /// \param Problems receives the problems; it must outlive this object.
  YamlFields(const YAML::Node &Map, std::string File, std::string Path,
             std::vector<Problem> &Problems);

  /// \returns a required text that must not be empty; "" after a problem.
  std::string requiredText(const std::string &Key);
  std::string text(const std::string &Key, const std::string &Default);
  /// \returns a required address of the form "IP:PORT".
  std::string requiredAddress(const std::string &Key);
  double number(const std::string &Key, double Default, double Min, double Max);
  std::int64_t integer(const std::string &Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  bool boolean(const std::string &Key, bool Default);
  /// \returns a required text that is one of \p Allowed; the first of them
  /// after a problem.
  std::string choice(const std::string &Key,
                     const std::vector<std::string> &Allowed);
  std::vector<std::string> texts(const std::string &Key);
  /// \returns the mapping at \p Key, or none if the key is missing.
  std::optional<YamlFields> mapping(const std::string &Key);
  /// \returns the mappings in the list at \p Key; empty if the key is missing.
  std::vector<YamlFields> mappings(const std::string &Key);
  [[nodiscard]] bool has(const std::string &Key) const;

  /// Adds a problem with \p Key, or with the whole mapping if \p Key is empty.
  void addProblem(const std::string &Key, std::string Expected,
                  std::string Remedy);

  /// Adds a problem for every repeated key and every key that no getter read.
  void reportUnknownKeys();

private:
  YAML::Node find(const std::string &Key);
  [[nodiscard]] std::string pathOf(const std::string &Key) const;
  std::string scalar(const std::string &Key, const std::string &Expected);

  YAML::Node m_Map;
  std::string m_File;
  std::string m_Path;
  std::vector<Problem> *m_Problems;
  std::vector<std::string> m_KnownKeys;
};

/// \returns whether \p Text is an IP address and a port, such as "10.0.0.1:80".
bool isAddress(std::string_view Text);

} // namespace corneldeck::catalogue

#endif

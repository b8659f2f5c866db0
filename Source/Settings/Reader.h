#ifndef CORNELDECK_SETTINGS_READER_H
#define CORNELDECK_SETTINGS_READER_H

#include "Base/Error.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::settings {

/// One thing that is wrong in a settings file.
struct Problem {
  std::string m_File;
  /// Counts from 1; zero if the whole file is meant.
  int m_Line = 0;
  /// The path of the key, such as "limits.rate".
  std::string m_Key;
  std::string m_Expected;
  std::string m_Found;
  std::string m_Remedy;

  /// \returns the problem on one line: file, line, key, what was expected and
  /// found, and what to do.
  [[nodiscard]] std::string describe() const;
};

/// The allowed values of a whole number, with both ends.
struct Range {
  std::int64_t m_Min = 0;
  std::int64_t m_Max = 0;
};

/// The allowed values of a fraction, with both ends.
struct RealRange {
  double m_Min = 0;
  double m_Max = 0;
};

/// Reads the keys of one section of a YAML file and checks them.
///
/// A getter gives the key's value, or on a problem the default or an empty
/// value; it notes the problem, so that one run reports all of them. A key
/// without a default is required. validate() also reports the keys that no
/// getter asked for. Sections share their problems with the reader they came
/// from.
class Reader {
public:
  /// Reads a file.
  static Reader fromFile(const std::string &Path);

  /// Reads \p Text; \p Name stands for the file in messages.
  static Reader fromText(const std::string &Text, const std::string &Name);

  std::string text(std::string_view Key,
                   const std::optional<std::string> &Default = std::nullopt);
  std::int64_t integer(std::string_view Key, Range Allowed,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, RealRange Allowed,
                std::optional<double> Default = std::nullopt);
  bool boolean(std::string_view Key,
               std::optional<bool> Default = std::nullopt);
  /// Reads a whole number of milliseconds.
  base::Millis millis(std::string_view Key, Range Allowed,
                      std::optional<base::Millis> Default = std::nullopt);
  /// Reads "ip:port"; a host name is refused.
  std::string address(std::string_view Key,
                      const std::optional<std::string> &Default = std::nullopt);
  /// Reads one of \p Names and gives its index.
  std::size_t choice(std::string_view Key,
                     std::span<const std::string_view> Names,
                     std::optional<std::size_t> Default = std::nullopt);
  /// Reads a list of texts; empty if the key is missing.
  std::vector<std::string> texts(std::string_view Key);
  /// Reads a list of "ip:port"; empty if the key is missing.
  std::vector<std::string> addresses(std::string_view Key);

  /// \returns the reader of the section at \p Key. If it is missing, the
  /// section reads as empty.
  Reader section(std::string_view Key);
  /// \returns a reader for each item of the list at \p Key; none if missing.
  std::vector<Reader> sections(std::string_view Key);

  /// \returns whether the key is present, and counts it as known.
  bool has(std::string_view Key);

  /// Notes a problem of the caller's own finding with \p Key.
  void addProblem(std::string_view Key, const std::string &Expected,
                  const std::string &Remedy);

  /// \returns all problems of the file, unknown keys among them.
  [[nodiscard]] std::vector<Problem> problems() const;

  /// \returns an error BadSettings that describes all problems, one a line.
  [[nodiscard]] base::Result<void> validate() const;

private:
  struct File;
  struct Section;

  Reader(std::shared_ptr<File> SettingsFile, std::shared_ptr<Section> Target);

  void recordProblem(std::string_view Key, std::string Expected,
                     std::string Found, std::string Remedy);
  std::optional<std::string> scalar(std::string_view Key, bool HasDefault,
                                    const std::string &Expected);
  std::vector<std::string> scalars(std::string_view Key,
                                   const std::string &Expected);

  std::shared_ptr<File> m_File;
  std::shared_ptr<Section> m_Section;
};

} // namespace corneldeck::settings

#endif

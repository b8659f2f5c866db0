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

/// A problem in a settings file.
struct Problem {
  std::string m_File;
  /// Line number, starting at 1; 0 for the whole file.
  int m_Line = 0;
  /// The path of the key, such as "limits.rate".
  std::string m_Key;
  std::string m_Expected;
  std::string m_Found;
  std::string m_Remedy;

  /// \returns the problem on one line: file, line, key, expected and found
  /// value, and remedy.
  [[nodiscard]] std::string describe() const;
};

/// An inclusive range of integers.
struct Range {
  std::int64_t m_Min = 0;
  std::int64_t m_Max = 0;
};

/// An inclusive range of real numbers.
struct RealRange {
  double m_Min = 0;
  double m_Max = 0;
};

/// Reads and validates the keys of one section of a YAML file.
///
/// A getter returns the value of its key. After a problem it records the
/// problem and returns the default or an empty value, so that one run reports
/// all problems. A key without a default is required. validate() also reports
/// keys that no getter has read. The readers of all sections of a file share
/// their problems.
class Reader {
public:
  /// Reads a file.
  static Reader fromFile(const std::string &Path);

  /// Reads \p Text; \p Name is the file name in messages.
  static Reader fromText(const std::string &Text, const std::string &Name);

  std::string text(std::string_view Key,
                   const std::optional<std::string> &Default = std::nullopt);
  std::int64_t integer(std::string_view Key, Range Allowed,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, RealRange Allowed,
                std::optional<double> Default = std::nullopt);
  bool boolean(std::string_view Key,
               std::optional<bool> Default = std::nullopt);
  /// Reads a duration as an integer in milliseconds.
  base::Millis millis(std::string_view Key, Range Allowed,
                      std::optional<base::Millis> Default = std::nullopt);
  /// Reads an address "ip:port"; a host name is a problem.
  std::string address(std::string_view Key,
                      const std::optional<std::string> &Default = std::nullopt);
  /// Reads one of \p Names and returns its index.
  std::size_t choice(std::string_view Key,
                     std::span<const std::string_view> Names,
                     std::optional<std::size_t> Default = std::nullopt);
  /// Reads a list of texts; empty if the key is missing.
  std::vector<std::string> texts(std::string_view Key);
  /// Reads a list of addresses "ip:port"; empty if the key is missing.
  std::vector<std::string> addresses(std::string_view Key);

  /// \returns the reader of the section at \p Key, which is empty if the key is
  /// missing.
  Reader section(std::string_view Key);
  /// \returns a reader for each item of the list at \p Key; empty if the key is
  /// missing.
  std::vector<Reader> sections(std::string_view Key);

  /// Adds \p Key to the known keys.
  /// \returns whether it has a value.
  bool has(std::string_view Key);

  /// Records a problem with the value of \p Key that the caller found.
  void addProblem(std::string_view Key, const std::string &Expected,
                  const std::string &Remedy);

  /// \returns all problems of the file, including unknown keys.
  [[nodiscard]] std::vector<Problem> problems() const;

  /// \returns nothing, or BadSettings with all problems, one per line.
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

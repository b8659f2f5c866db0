#ifndef CORNELDECK_CTL_TEXTTABLE_H
#define CORNELDECK_CTL_TEXTTABLE_H

#include <iosfwd>
#include <string>
#include <vector>

namespace corneldeck::ctl {

/// Rows of text, printed in aligned columns.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header);

  /// Adds a row with a cell for each column.
  void add(std::vector<std::string> Row);

  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace corneldeck::ctl

#endif

#include "Ctl/TextTable.h"

#include <algorithm>
#include <ostream>

namespace corneldeck::ctl {

TextTable::TextTable(std::vector<std::string> Header) {
  m_Rows.push_back(std::move(Header));
}

void TextTable::add(std::vector<std::string> Row) {
  m_Rows.push_back(std::move(Row));
}

void TextTable::print(std::ostream &Out) const {
  constexpr std::size_t Gap = 2;
  std::vector<std::size_t> Widths(m_Rows.front().size());
  for (const auto &Row : m_Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  for (const auto &Row : m_Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + Gap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << '\n';
  }
}

} // namespace corneldeck::ctl

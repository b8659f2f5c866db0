#ifndef CORNELDECK_CATALOGUE_ENTRYPARSER_H
#define CORNELDECK_CATALOGUE_ENTRYPARSER_H

#include "Base/Error.h"
#include "Catalogue/Entry.h"
#include "Catalogue/YamlFields.h"

#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// One entry of a file with its own YAML text.
struct ParsedEntry {
  Entry m_Entry;
  /// The text of this entry's document alone.
  std::string m_Body;
};

/// What a file of entries holds.
struct ParsedFile {
  std::vector<ParsedEntry> m_Entries;
  /// All that is wrong; the entries may be used only if this is empty.
  std::vector<Problem> m_Problems;
};

/// Reads and checks a file of one or more YAML documents, an entry each.
///
/// \param File the name that problems give.
ParsedFile parseEntries(const std::string &Text, const std::string &File);

/// Reads and checks one entry.
///
/// \returns the entry, or RejectedInvalid with every problem, one a line.
base::Result<Entry> parseEntry(const std::string &Text,
                               const std::string &File);

} // namespace corneldeck::catalogue

#endif

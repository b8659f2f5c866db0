#ifndef CORNELDECK_CATALOGUE_ENTRYPARSER_H
#define CORNELDECK_CATALOGUE_ENTRYPARSER_H

#include "Base/Error.h"
#include "Catalogue/Entry.h"
#include "Catalogue/YamlFields.h"

#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// An entry of a file and its YAML text.
struct ParsedEntry {
  Entry m_Entry;
  /// The YAML document of this entry, without the other entries of the file.
  std::string m_Body;
};

/// The result of parsing a file of entries.
struct ParsedFile {
  std::vector<ParsedEntry> m_Entries;
  /// All problems; the entries may be used only if there are none.
  std::vector<Problem> m_Problems;
};

/// Parses and validates YAML documents with one entry each.
///
/// \param Text the documents.
/// \param File the file name for problems.
ParsedFile parseEntries(const std::string &Text, const std::string &File);

/// Parses and validates one entry.
///
/// \returns the entry, or RejectedInvalid with all problems, one per line.
base::Result<Entry> parseEntry(const std::string &Text,
                               const std::string &File);

} // namespace corneldeck::catalogue

#endif

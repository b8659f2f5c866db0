#ifndef CORNELDECK_SETTINGS_DOCUMENTS_H
#define CORNELDECK_SETTINGS_DOCUMENTS_H

#include <cstddef>
#include <string>

namespace corneldeck::settings {

/// Counts the YAML documents of \p Text without keeping them.
///
/// yaml-cpp's LoadAll never ends on some texts: after the first document it
/// gives an empty one again and again without reading on. So texts from
/// outside are counted first.
///
/// \param Most stops the count.
/// \returns the number of documents, at most \p Most + 1.
/// \throws YAML::Exception if the syntax is wrong.
std::size_t countDocuments(const std::string &Text, std::size_t Limit);

} // namespace corneldeck::settings

#endif

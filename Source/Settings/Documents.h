#ifndef CORNELDECK_SETTINGS_DOCUMENTS_H
#define CORNELDECK_SETTINGS_DOCUMENTS_H

#include <cstddef>
#include <string>

namespace corneldeck::settings {

/// Counts the YAML documents of \p Text without loading them.
///
/// On some texts yaml-cpp's LoadAll does not terminate: after the first
/// document it returns empty documents without consuming any input. Therefore,
/// count the documents of untrusted text before it is loaded.
///
/// \param Limit the count stops after this number is exceeded.
/// \returns the number of documents, at most \p Limit + 1.
/// \throws YAML::Exception if the syntax is wrong.
std::size_t countDocuments(const std::string &Text, std::size_t Limit);

} // namespace corneldeck::settings

#endif

#ifndef CORNELDECK_NET_BASE64_H
#define CORNELDECK_NET_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// \returns \p Bytes encoded as padded base64.
std::string encodeBase64(std::string_view Bytes);

/// \returns the decoded bytes, or none if \p Text is not padded base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace corneldeck::net

#endif

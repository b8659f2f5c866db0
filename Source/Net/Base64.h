#ifndef CORNELDECK_NET_BASE64_H
#define CORNELDECK_NET_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// \returns \p Bytes in base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// \returns the bytes of \p Text, or none if it is not base64 with padding.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace corneldeck::net

#endif

#ifndef CORNELDECK_NET_HTTP_H
#define CORNELDECK_NET_HTTP_H

#include "Base/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::net {

/// Number of bytes in a kibibyte and in a mebibyte.
inline constexpr std::size_t KiB = 1024;
inline constexpr std::size_t MiB = 1024 * KiB;

/// One header field of a request or a response.
struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The response header with the number of the result code.
inline constexpr std::string_view ResultCodeHeader = "X-Corneldeck-Code";
/// The response header that states whether the request ran at a backend server:
/// yes, no or unknown.
inline constexpr std::string_view RanHeader = "X-Corneldeck-Ran";

/// A complete response.
struct HttpResponse {
  int m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// \returns the value of the first field named \p Name (case-insensitive), or
/// an empty string.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// \returns whether \p Text consists of printable ASCII characters only, as
/// required for texts in messages to other processes.
bool isPrintable(std::string_view Text);

/// \returns a response with the JSON text \p Body.
HttpResponse jsonResponse(std::string Body, int Status = 200);

/// Builds the error response for callers: a JSON body and the headers
/// X-Corneldeck-Code, X-Corneldeck-Ran and Retry-After.
///
/// \param Failure the code, the message and the time after which to retry.
/// \param Value whether the request ran; by default the value from the table of
/// result codes.
HttpResponse errorResponse(const base::Error &Failure,
                           std::optional<base::Ran> Value = std::nullopt);

} // namespace corneldeck::net

#endif

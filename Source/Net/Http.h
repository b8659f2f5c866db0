#ifndef CORNELDECK_NET_HTTP_H
#define CORNELDECK_NET_HTTP_H

#include "Base/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::net {

/// Bytes in a kibibyte and a mebibyte.
inline constexpr std::size_t KiB = 1024;
inline constexpr std::size_t MiB = 1024 * KiB;

/// One header field of a request or an answer.
struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The header that carries the number of the result code.
inline constexpr std::string_view ResultCodeHeader = "X-Corneldeck-Code";
/// The header that says whether the request ran: yes, no or unknown.
inline constexpr std::string_view RanHeader = "X-Corneldeck-Ran";

/// A whole answer.
struct HttpResponse {
  int m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// \returns the value of the first field named \p Name, whose case does not
/// matter, or an empty text.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// \returns whether \p Text is printable ASCII, as messages to other processes
/// carry it.
bool isPrintable(std::string_view Text);

/// \returns an answer with \p Body and the content type of JSON.
HttpResponse jsonResponse(std::string Body, int Status = 200);

/// Describes a failure as the answer that callers get: a JSON body and the
/// headers X-Corneldeck-Code, X-Corneldeck-Ran and Retry-After.
///
/// \param Failure the code, message and time to come back.
/// \param Value whether the request ran; the code's own value if not given.
HttpResponse errorResponse(const base::Error &Failure,
                           std::optional<base::Ran> Value = std::nullopt);

} // namespace corneldeck::net

#endif

#ifndef CORNELDECK_ENTRY_CALLERREQUEST_H
#define CORNELDECK_ENTRY_CALLERREQUEST_H

#include "Base/Error.h"
#include "Catalogue/View.h"
#include "Net/HttpExchange.h"
#include "Request/RequestTypes.h"

#include <memory>
#include <string_view>

namespace corneldeck::entry {

/// Paths of the HTTP interface for callers.
inline constexpr std::string_view ChatPath = "/v1/chat/completions";
inline constexpr std::string_view ServicesPath = "/services/";
inline constexpr std::string_view AddressesPath = "/v1/addresses";

/// The request header with the key of a request that must not run twice.
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// A caller's request, validated against the catalogue.
struct CallerRequest {
  std::shared_ptr<const catalogue::Entry> m_Entry;
  /// Complete except for the request identifier.
  request::RequestSpec m_Spec;
  std::uint32_t m_PromptTokens = 0;
  /// Maximum number of tokens of the response; 0 if the caller set no limit.
  std::uint32_t m_MaxTokens = 0;
};

/// Parses and validates a request to ChatPath or below ServicesPath.
///
/// \param Now the entry's monotonic time, from which the deadline is computed.
/// \param Wall the wall time, to check the creation time of an idempotency key.
/// \returns the request, or BadRequest, UnknownService or Unauthorized.
base::Result<CallerRequest> readCallerRequest(net::HttpExchange &Exchange,
                                              const catalogue::View &View,
                                              base::Millis Now,
                                              base::Millis Wall);

} // namespace corneldeck::entry

#endif

#ifndef CORNELDECK_ENTRY_CALLERREQUEST_H
#define CORNELDECK_ENTRY_CALLERREQUEST_H

#include "Base/Error.h"
#include "Catalogue/View.h"
#include "Net/HttpExchange.h"
#include "Request/RequestTypes.h"

#include <memory>
#include <string_view>

namespace corneldeck::entry {

/// Paths of the callers' interface.
inline constexpr std::string_view ChatPath = "/v1/chat/completions";
inline constexpr std::string_view ServicesPath = "/services/";
inline constexpr std::string_view AddressesPath = "/v1/addresses";

/// The header that marks a request that must not run twice.
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// A caller's request, checked against the catalogue.
struct CallerRequest {
  std::shared_ptr<const catalogue::Entry> m_Entry;
  /// All but the identifier.
  request::RequestSpec m_Spec;
  std::uint32_t m_PromptTokens = 0;
  /// The most tokens of the answer; 0 if the caller set no bound.
  std::uint32_t m_MaxTokens = 0;
};

/// Reads a request to ChatPath or below ServicesPath.
///
/// \param Now the entry's monotonic time, from which the deadline counts.
/// \param Wall wall time, for the creation time of an idempotency key.
/// \returns the request, or the refusal: BadRequest, UnknownService,
/// Unauthorized.
base::Result<CallerRequest> readCallerRequest(net::HttpExchange &Exchange,
                                              const catalogue::View &View,
                                              base::Millis Now,
                                              base::Millis Wall);

} // namespace corneldeck::entry

#endif

#ifndef CORNELDECK_BASE_ERROR_H
#define CORNELDECK_BASE_ERROR_H

#include "Base/Millis.h"
#include "Base/ResultCode.h"

#include <string>
#include <tl/expected.hpp>

namespace corneldeck::base {

/// A failure: the numbered result code and a message for the caller or
/// operator.
struct Error {
  ResultCode m_Code = ResultCode::Internal;
  std::string m_Message;
  /// Time after which to retry; zero if unknown.
  Millis m_RetryAfter{};

  bool operator==(const Error &) const = default;
};

/// A value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// \returns an Error that converts to the return value of any function that
/// returns a Result.
inline tl::unexpected<Error> failure(ResultCode Code, std::string Message,
                                     Millis RetryAfter = Millis(0)) {
  return tl::unexpected<Error>(Error{Code, std::move(Message), RetryAfter});
}

} // namespace corneldeck::base

#endif

#ifndef CORNELDECK_BASE_ERROR_H
#define CORNELDECK_BASE_ERROR_H

#include "Base/Millis.h"
#include "Base/ResultCode.h"

#include <string>
#include <tl/expected.hpp>

namespace corneldeck::base {

/// A failure with its numbered code and a message that says what to do next.
struct Error {
  ResultCode m_Code = ResultCode::Internal;
  std::string m_Message;
  /// When to come back; zero if no time can be named.
  Millis m_RetryAfter{};

  bool operator==(const Error &) const = default;
};

/// A value or an Error.
template <typename T> using Result = tl::expected<T, Error>;

/// \returns an Error ready to be returned from a function that gives a Result.
inline tl::unexpected<Error> failure(ResultCode Code, std::string Message,
                                     Millis RetryAfter = Millis(0)) {
  return tl::unexpected<Error>(Error{Code, std::move(Message), RetryAfter});
}

} // namespace corneldeck::base

#endif

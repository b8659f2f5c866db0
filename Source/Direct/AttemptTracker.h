#ifndef CORNELDECK_DIRECT_ATTEMPTTRACKER_H
#define CORNELDECK_DIRECT_ATTEMPTTRACKER_H

#include "Base/Error.h"
#include "Direct/Configuration.h"
#include "Direct/ServerPool.h"

#include <functional>
#include <string_view>

namespace corneldeck::direct {

/// How one attempt at a backend server ended.
enum class AttemptOutcome {
  Complete,     ///< A whole answer that is the caller's to have.
  ServerError,  ///< A whole answer with a status of 500 or more.
  NotRun,       ///< The server said that it did not run the request.
  WrongServer,  ///< Another server has the address; it did not run either.
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< The connection ended early.
  Garbled,      ///< Not an answer to this request.
  Silent        ///< No byte for too long.
};

/// \returns the name of \p End, such as "not-run".
std::string_view name(AttemptOutcome End);

/// \returns what \p End says of the server's health.
ServerOutcome serverOutcome(AttemptOutcome End);

/// What follows the end of an attempt.
enum class NextAction {
  ForwardResponse, ///< The caller gets the server's answer.
  Retry,           ///< One more backend server is asked.
  Resume, ///< The stream goes on at another server, after its last event.
  Refuse, ///< The caller is told that the request did not run.
  Fail,   ///< The caller is told that the outcome is unknown.
  Abort   ///< The answer was begun and can't be completed.
};

/// \returns the name of \p Step, such as "retry".
std::string_view name(NextAction Step);

/// Decides what follows each attempt of one request.
///
/// The promises: a request that must not run twice is sent again only after
/// its server said "not run" or got no byte; "not run" is answered only if
/// every server that got the request said so; no more servers are asked than
/// the route allows, nor after the time is up.
class AttemptTracker {
public:
  /// What is fixed for one request.
  struct Limits {
    RetryPolicy m_RetryPolicy = RetryPolicy::AtMostOnce;
    unsigned m_MaxAttempts = 1;
    /// When the caller must have its answer.
    base::Millis m_Deadline{};
  };

  explicit AttemptTracker(Limits Given) : m_Limits(Given) {}

  /// An attempt goes out; it counts against the route's attempts.
  void attemptSent() { ++m_Attempts; }

  /// A piece of the answer was passed on, so it can't be replaced.
  void responseStarted() { m_ResponseStarted = true; }

  /// \param End how the attempt ended.
  /// \param AcquireRetry asked once, only if a retry is otherwise possible;
  /// charges the shared allowance and returns whether it had room.
  NextAction attemptEnded(AttemptOutcome End, base::Millis Now,
                          const std::function<bool()> &AcquireRetry);

  /// The caller's time is up.
  [[nodiscard]] NextAction deadlineReached() const;

  /// No backend server can be asked now.
  [[nodiscard]] NextAction noServerAvailable() const;

  /// \returns whether a server may have run the request.
  [[nodiscard]] bool mayHaveRun() const { return m_MayHaveRun; }
  [[nodiscard]] unsigned attempts() const { return m_Attempts; }
  [[nodiscard]] const Limits &limits() const { return m_Limits; }

private:
  [[nodiscard]] bool isRepeatable(AttemptOutcome End) const;
  [[nodiscard]] NextAction finalAction() const;

  const Limits m_Limits;
  unsigned m_Attempts = 0;
  bool m_ResponseStarted = false;
  bool m_MayHaveRun = false;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_DIRECT_ATTEMPTTRACKER_H
#define CORNELDECK_DIRECT_ATTEMPTTRACKER_H

#include "Base/Error.h"
#include "Direct/Configuration.h"
#include "Direct/ServerPool.h"

#include <functional>
#include <string_view>

namespace corneldeck::direct {

/// Outcome of one attempt at a backend server.
enum class AttemptOutcome {
  Complete,     ///< A complete response for the caller.
  ServerError,  ///< A complete response with a status of 500 or more.
  NotRun,       ///< The server reported that it did not run the request.
  WrongServer,  ///< Another server has the address; not run either.
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< The connection ended early.
  Garbled,      ///< A malformed response, or one to another request.
  Silent,       ///< No byte within the timeout.
  ServerEnded,  ///< The server ended, possibly because of the request.
  Withdrawn     ///< Cancelled, since the request may end the server.
};

/// Returns the name of \p Outcome, such as "not-run".
std::string_view name(AttemptOutcome Outcome);

/// Returns the outcome for the health tracking of the server.
ServerOutcome serverOutcome(AttemptOutcome Outcome);

/// The action that follows an attempt.
enum class NextAction {
  ForwardResponse, ///< Forward the server's response to the caller.
  Retry,           ///< Send the request to another backend server.
  Resume, ///< Resume the stream at another server after its last event.
  Refuse, ///< Report to the caller that the request did not run.
  Fail,   ///< Report to the caller that the outcome is unknown.
  Abort   ///< Cut off a response that has begun and can't be completed.
};

/// Returns the name of \p Action, such as "retry".
std::string_view name(NextAction Action);

/// Tracks the attempts of one request and decides on the action after each.
///
/// Guarantees: a request that must not run twice is retried only if its server
/// reported "not run" or received no byte; "not run" is reported to the caller
/// only if every server that received the request reported it; the request is
/// sent to no more servers than the route allows, and not after its deadline;
/// a request that may have ended its server is not sent to another one.
class AttemptTracker {
public:
  /// Retry policy and limits of the request.
  struct Limits {
    RetryPolicy m_RetryPolicy = RetryPolicy::AtMostOnce;
    unsigned m_MaxAttempts = 1;
    /// When the response has to be complete.
    base::Millis m_Deadline{};
  };

  explicit AttemptTracker(Limits Given) : m_Limits(Given) {}

  /// Counts an attempt against the limit of the route.
  void attemptSent() { ++m_Attempts; }

  /// Records that part of the response was forwarded, so the request can only
  /// be resumed, not restarted.
  void responseStarted() { m_ResponseStarted = true; }

  /// Records that a server may have run the request, before its outcome is
  /// known.
  void recordPossibleRun() { m_MayHaveRun = true; }

  /// Returns the action after an attempt with \p Outcome.
  /// \param AcquireRetry charges the retry budget and returns whether it allows
  /// a retry; called once, only if all other conditions for a retry are met.
  NextAction attemptEnded(AttemptOutcome Outcome, base::Millis Now,
                          const std::function<bool()> &AcquireRetry);

  /// Returns the action when the deadline passes.
  [[nodiscard]] NextAction deadlineReached() const;

  /// Returns the action when no backend server is available.
  [[nodiscard]] NextAction noServerAvailable() const;

  /// Returns whether a server may have run the request.
  [[nodiscard]] bool mayHaveRun() const { return m_MayHaveRun; }
  [[nodiscard]] unsigned attempts() const { return m_Attempts; }
  [[nodiscard]] const Limits &limits() const { return m_Limits; }

private:
  [[nodiscard]] bool isRepeatable(AttemptOutcome Outcome) const;
  /// Returns the action when there is no further attempt.
  [[nodiscard]] NextAction finalAction() const;

  const Limits m_Limits;
  unsigned m_Attempts = 0;
  bool m_ResponseStarted = false;
  bool m_MayHaveRun = false;
};

} // namespace corneldeck::direct

#endif

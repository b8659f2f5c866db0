#ifndef CORNELDECK_DIRECT_FORWARDFLOW_H
#define CORNELDECK_DIRECT_FORWARDFLOW_H

#include "Base/Error.h"
#include "Direct/Configuration.h"
#include "Direct/ServerPool.h"

#include <functional>
#include <string_view>

namespace corneldeck::direct {

/// How one attempt at a backend server ended.
enum class AttemptEnd {
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
std::string_view name(AttemptEnd End);

/// \returns what \p End says of the server's health.
ServerOutcome outcomeOf(AttemptEnd End);

/// What follows the end of an attempt.
enum class NextStep {
  PassOn, ///< The caller gets the server's answer.
  Retry,  ///< One more backend server is asked.
  Resume, ///< The stream goes on at another server, after its last event.
  Refuse, ///< The caller is told that the request did not run.
  Fail,   ///< The caller is told that the outcome is unknown.
  Abort   ///< The answer was begun and can't be completed.
};

/// \returns the name of \p Step, such as "retry".
std::string_view name(NextStep Step);

/// Decides what follows each attempt of one request.
///
/// The promises: a request that must not run twice is sent again only after
/// its server said "not run" or got no byte; "not run" is answered only if
/// every server that got the request said so; no more servers are asked than
/// the route allows, nor after the time is up.
class ForwardFlow {
public:
  /// What is fixed for one request.
  struct Terms {
    RepeatPolicy m_Repeat = RepeatPolicy::AtMostOnce;
    unsigned m_MaxAttempts = 1;
    /// When the caller must have its answer.
    base::Millis m_Due{};
  };

  explicit ForwardFlow(Terms Given) : m_Terms(Given) {}

  /// An attempt goes out; it counts against the route's attempts.
  void attemptSent() { ++m_Sent; }

  /// A piece of the answer was passed on, so it can't be replaced.
  void answerBegun() { m_AnswerBegun = true; }

  /// \param End how the attempt ended.
  /// \param TakeRetry asked once, only if a retry is otherwise possible;
  /// charges the shared allowance and returns whether it had room.
  NextStep attemptEnded(AttemptEnd End, base::Millis Now,
                        const std::function<bool()> &TakeRetry);

  /// The caller's time is up.
  [[nodiscard]] NextStep timeUp() const;

  /// No backend server can be asked now.
  [[nodiscard]] NextStep noServer() const;

  /// \returns whether a server may have run the request.
  [[nodiscard]] bool mayHaveRun() const { return m_MayHaveRun; }
  [[nodiscard]] unsigned attempts() const { return m_Sent; }
  [[nodiscard]] const Terms &terms() const { return m_Terms; }

private:
  [[nodiscard]] bool isRepeatable(AttemptEnd End) const;
  [[nodiscard]] NextStep giveUp() const;

  const Terms m_Terms;
  unsigned m_Sent = 0;
  bool m_AnswerBegun = false;
  bool m_MayHaveRun = false;
};

} // namespace corneldeck::direct

#endif

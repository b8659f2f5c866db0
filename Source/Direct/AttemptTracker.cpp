#include "Direct/AttemptTracker.h"

namespace corneldeck::direct {

namespace {

/// Minimum time before the deadline for a retry; a shorter one would time out
/// at the server.
constexpr base::Millis MinTimeForRetry{30};

bool isNotRun(AttemptOutcome Outcome) {
  return Outcome == AttemptOutcome::NotRun ||
         Outcome == AttemptOutcome::WrongServer ||
         Outcome == AttemptOutcome::NotConnected;
}

} // namespace

std::string_view name(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Complete:
    return "complete";
  case AttemptOutcome::ServerError:
    return "server-error";
  case AttemptOutcome::NotRun:
    return "not-run";
  case AttemptOutcome::WrongServer:
    return "wrong-server";
  case AttemptOutcome::NotConnected:
    return "not-connected";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::Garbled:
    return "garbled";
  case AttemptOutcome::Silent:
    return "silent";
  case AttemptOutcome::ServerEnded:
    return "server-ended";
  case AttemptOutcome::Withdrawn:
    return "withdrawn";
  }
  return "unknown";
}

std::string_view name(NextAction Action) {
  switch (Action) {
  case NextAction::ForwardResponse:
    return "pass-on";
  case NextAction::Retry:
    return "retry";
  case NextAction::Resume:
    return "resume";
  case NextAction::Refuse:
    return "refuse";
  case NextAction::Fail:
    return "fail";
  case NextAction::Abort:
    return "abort";
  }
  return "unknown";
}

ServerOutcome serverOutcome(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Complete:
    return ServerOutcome::Served;
  case AttemptOutcome::NotRun:
    return ServerOutcome::Refused;
  case AttemptOutcome::WrongServer:
  case AttemptOutcome::NotConnected:
    return ServerOutcome::Unreachable;
  case AttemptOutcome::Silent:
    return ServerOutcome::Silent;
  case AttemptOutcome::ServerError:
  case AttemptOutcome::Broken:
  case AttemptOutcome::Garbled:
  case AttemptOutcome::ServerEnded:
  case AttemptOutcome::Withdrawn:
    return ServerOutcome::Failed;
  }
  return ServerOutcome::Failed;
}

NextAction
AttemptTracker::attemptEnded(AttemptOutcome Outcome, base::Millis Now,
                             const std::function<bool()> &AcquireRetry) {
  if (Outcome == AttemptOutcome::Complete) {
    m_MayHaveRun = true;
    return NextAction::ForwardResponse;
  }
  if (!isNotRun(Outcome))
    m_MayHaveRun = true;
  const bool InTime = Now + MinTimeForRetry < m_Limits.m_Deadline;
  const bool MayRepeat =
      isRepeatable(Outcome) && m_Attempts < m_Limits.m_MaxAttempts && InTime;
  if (MayRepeat && AcquireRetry())
    return m_ResponseStarted ? NextAction::Resume : NextAction::Retry;
  if (Outcome == AttemptOutcome::ServerError && !m_ResponseStarted)
    return NextAction::ForwardResponse;
  return finalAction();
}

NextAction AttemptTracker::deadlineReached() const { return finalAction(); }

NextAction AttemptTracker::noServerAvailable() const { return finalAction(); }

bool AttemptTracker::isRepeatable(AttemptOutcome Outcome) const {
  if (Outcome == AttemptOutcome::ServerEnded ||
      Outcome == AttemptOutcome::Withdrawn)
    return false;
  if (m_ResponseStarted)
    return m_Limits.m_RetryPolicy == RetryPolicy::Resumable &&
           Outcome != AttemptOutcome::ServerError;
  if (isNotRun(Outcome) && !m_MayHaveRun)
    return true;
  return m_Limits.m_RetryPolicy != RetryPolicy::AtMostOnce;
}

NextAction AttemptTracker::finalAction() const {
  if (m_ResponseStarted)
    return NextAction::Abort;
  return m_MayHaveRun ? NextAction::Fail : NextAction::Refuse;
}

} // namespace corneldeck::direct

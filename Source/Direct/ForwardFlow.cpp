#include "Direct/ForwardFlow.h"

namespace corneldeck::direct {

namespace {

/// A retry with less time left would only be cut off at the server.
constexpr base::Millis LeastTimeForRetry{30};

bool meansNotRun(AttemptEnd End) {
  return End == AttemptEnd::NotRun || End == AttemptEnd::WrongServer ||
         End == AttemptEnd::NotConnected;
}

} // namespace

std::string_view name(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Complete:
    return "complete";
  case AttemptEnd::ServerError:
    return "server-error";
  case AttemptEnd::NotRun:
    return "not-run";
  case AttemptEnd::WrongServer:
    return "wrong-server";
  case AttemptEnd::NotConnected:
    return "not-connected";
  case AttemptEnd::Broken:
    return "broken";
  case AttemptEnd::Garbled:
    return "garbled";
  case AttemptEnd::Silent:
    return "silent";
  }
  return "unknown";
}

std::string_view name(NextStep Step) {
  switch (Step) {
  case NextStep::PassOn:
    return "pass-on";
  case NextStep::Retry:
    return "retry";
  case NextStep::Resume:
    return "resume";
  case NextStep::Refuse:
    return "refuse";
  case NextStep::Fail:
    return "fail";
  case NextStep::Abort:
    return "abort";
  }
  return "unknown";
}

ServerOutcome outcomeOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Complete:
    return ServerOutcome::Served;
  case AttemptEnd::NotRun:
    return ServerOutcome::Refused;
  case AttemptEnd::WrongServer:
  case AttemptEnd::NotConnected:
    return ServerOutcome::Unreachable;
  case AttemptEnd::Silent:
    return ServerOutcome::Silent;
  case AttemptEnd::ServerError:
  case AttemptEnd::Broken:
  case AttemptEnd::Garbled:
    return ServerOutcome::Failed;
  }
  return ServerOutcome::Failed;
}

NextStep ForwardFlow::attemptEnded(AttemptEnd End, base::Millis Now,
                                   const std::function<bool()> &TakeRetry) {
  if (End == AttemptEnd::Complete) {
    m_MayHaveRun = true;
    return NextStep::PassOn;
  }
  if (!meansNotRun(End))
    m_MayHaveRun = true;
  const bool InTime = Now + LeastTimeForRetry < m_Terms.m_Due;
  const bool MayRepeat =
      isRepeatable(End) && m_Sent < m_Terms.m_MaxAttempts && InTime;
  if (MayRepeat && TakeRetry())
    return m_AnswerBegun ? NextStep::Resume : NextStep::Retry;
  if (End == AttemptEnd::ServerError && !m_AnswerBegun)
    return NextStep::PassOn;
  return giveUp();
}

NextStep ForwardFlow::timeUp() const { return giveUp(); }

NextStep ForwardFlow::noServer() const { return giveUp(); }

bool ForwardFlow::isRepeatable(AttemptEnd End) const {
  if (m_AnswerBegun)
    return m_Terms.m_Repeat == RepeatPolicy::Resumable &&
           End != AttemptEnd::ServerError;
  if (meansNotRun(End) && !m_MayHaveRun)
    return true;
  return m_Terms.m_Repeat != RepeatPolicy::AtMostOnce;
}

NextStep ForwardFlow::giveUp() const {
  if (m_AnswerBegun)
    return NextStep::Abort;
  return m_MayHaveRun ? NextStep::Fail : NextStep::Refuse;
}

} // namespace corneldeck::direct

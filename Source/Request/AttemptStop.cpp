// End of runs: cancellation, deadlines, lost connections and draining.
#include "Request/AttemptTable.h"

#include <algorithm>

namespace corneldeck::request {

using base::Millis;
using base::ResultCode;

namespace {

wire::End unknownOutcomeEnd(ResultCode Code) {
  wire::End End;
  End.set_code(static_cast<std::uint32_t>(Code));
  End.set_ran(wire::RAN_UNKNOWN);
  return End;
}

bool isOk(const wire::End &End) {
  return End.code() == static_cast<std::uint32_t>(ResultCode::Ok);
}

} // namespace

void AttemptTable::updateClaim(Millis Now, Run &Ended) {
  const claims::ClaimKey Key = *Ended.m_Key;
  const bool NotRun = Ended.m_End.ran() == wire::RAN_NO;
  if (NotRun || Ended.m_State == RunState::Fencing) {
    m_Claims.release(Key);
    if (NotRun)
      m_Claims.recordNotRun(Now, Key);
    return;
  }
  if (!isOk(Ended.m_End)) {
    m_Claims.markOutcomeUnknown(Key);
    return;
  }
  wire::End Stored = Ended.m_End;
  if (Ended.m_Start.stream()) {
    std::string Text;
    for (const wire::Chunk &Chunk : Ended.m_BufferedChunks)
      Text += Chunk.data();
    Stored.set_body(std::move(Text));
  }
  if (Ended.m_FirstBufferedToken > Ended.m_Start.resume_from()) {
    Stored = unknownOutcomeEnd(ResultCode::AnswerNotKept);
    Stored.set_ran(wire::RAN_YES);
  }
  m_Claims.markFinished(Key, Stored);
}

void AttemptTable::finishRun(Millis Now, Run &Ended, wire::End End) {
  if (!isOk(End) && End.retry_after_ms() == 0)
    End.set_retry_after_ms(
        static_cast<std::uint32_t>(m_Settings.m_DefaultRetryAfter.count()));
  Ended.m_End = std::move(End);
  if (Ended.m_Key)
    updateClaim(Now, Ended);
  Ended.m_State = RunState::Finished;
  m_Active.erase(Ended.m_Id);
  Ended.m_Start.clear_body();
  deliverToAll(Now, Ended);
  if (Ended.m_Attempts.empty())
    m_Runs.erase(Ended.m_Id);
}

void AttemptTable::stopRun(Millis Now, Run &Stopped, ResultCode Code) {
  m_Actions.emplace_back(CancelBackendRun{Stopped.m_Id});
  wire::End End = unknownOutcomeEnd(Code);
  End.set_tokens(Stopped.m_NextToken);
  finishRun(Now, Stopped, std::move(End));
}

void AttemptTable::moveRun(Millis Now, Run &Moved,
                           const std::string &Location) {
  wire::End End = unknownOutcomeEnd(ResultCode::Stopping);
  End.set_moved(true);
  End.set_tokens(Moved.m_NextToken);
  End.set_kv_location(Location);
  finishRun(Now, Moved, std::move(End));
}

void AttemptTable::moveOrStopRun(Millis Now, Run &Ended) {
  const bool MayMove =
      !Ended.m_Key && Ended.m_Start.stream() && Ended.m_Start.idempotent();
  if (!MayMove) {
    stopRun(Now, Ended, ResultCode::OutcomeUnknown);
    return;
  }
  m_Actions.emplace_back(CancelBackendRun{Ended.m_Id});
  moveRun(Now, Ended, "");
}

void AttemptTable::abandonAttempt(Millis Now, const AttemptKey &Key,
                                  Attempt &Abandoned, ResultCode Code) {
  Run *AttemptRun = findRun(Abandoned.m_Run);
  if (AttemptRun == nullptr)
    return;
  if (AttemptRun->m_Key) {
    // The run continues: a later request with the key gets its answer.
    endAttempt(Now, Key, Abandoned, unknownOutcomeEnd(Code));
    return;
  }
  stopRun(Now, *AttemptRun, Code);
}

AttemptActions AttemptTable::onLinkClosed(Millis Now, LinkId Link) {
  const auto Closed = m_Links.extract(Link);
  if (Closed.empty())
    return {};
  for (const AttemptKey &Key : Closed.mapped()) {
    Attempt &Detached = m_Attempts[Key];
    Detached.m_Link = 0;
    Detached.m_DetachedAt = Now;
    if (!Detached.m_End)
      m_DetachTimeouts.push_back({Now + m_Settings.m_DetachGracePeriod, Key});
  }
  return releaseActions();
}

AttemptActions AttemptTable::onBackendExported(Millis Now, RunId Run,
                                               const std::string &Location) {
  auto *Exported = findRun(Run);
  if (Exported != nullptr && Exported->m_State == RunState::Sent &&
      Exported->m_Exporting)
    moveRun(Now, *Exported, Location);
  return releaseActions();
}

AttemptActions AttemptTable::beginDrain(Millis Now, Millis StopDeadline) {
  if (!m_StopDeadline)
    m_ExportAt = Now + (StopDeadline - Now) / 2;
  m_StopDeadline = StopDeadline;
  m_StopRunsAt = StopDeadline;
  advanceDrain(Now);
  return releaseActions();
}

AttemptActions AttemptTable::setOutOfService(Millis Now, bool Out) {
  m_OutOfService = Out;
  if (!Out)
    return {};
  const std::set<RunId> Active = m_Active;
  for (const RunId Id : Active) {
    Run *Lost = findRun(Id);
    if (Lost->m_State == RunState::Sent)
      moveOrStopRun(Now, *Lost);
  }
  return releaseActions();
}

void AttemptTable::advanceDrain(Millis Now) {
  const std::set<RunId> Active = m_Active;
  if (m_ExportAt && Now >= *m_ExportAt) {
    m_ExportAt.reset();
    for (const RunId Id : Active) {
      Run *Running = findRun(Id);
      if (Running->m_Key || !Running->m_Start.stream())
        continue;
      Running->m_Exporting = true;
      m_Actions.emplace_back(ExportBackendStream{Id});
    }
  }
  if (!m_StopRunsAt || Now < *m_StopRunsAt)
    return;
  m_StopRunsAt.reset();
  for (const RunId Id : Active) {
    Run *Running = findRun(Id);
    if (Running == nullptr || Running->m_State == RunState::Finished)
      continue;
    if (Running->m_State == RunState::Sent) {
      moveOrStopRun(Now, *Running);
      continue;
    }
    m_FenceRounds.cancel(Id);
    finishRun(Now, *Running, unknownOutcomeEnd(ResultCode::Stopping));
  }
}

AttemptActions AttemptTable::onTimer(Millis Now) {
  for (const claims::FenceResult &Result : m_FenceRounds.expire(Now))
    onFenceResult(Now, Result);
  expireDeadlines(Now);
  expireDetached(Now);
  advanceDrain(Now);
  expireAttempts(Now);
  m_Claims.expire(Now);
  return releaseActions();
}

void AttemptTable::expireDeadlines(Millis Now) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Now) {
    const AttemptKey Key = m_Deadlines.begin()->second;
    m_Deadlines.erase(m_Deadlines.begin());
    Attempt &Late = m_Attempts[Key];
    Late.m_Deadline.reset();
    abandonAttempt(Now, Key, Late, ResultCode::DeadlineExceeded);
  }
  while (!m_RunDeadlines.empty() && m_RunDeadlines.begin()->first <= Now) {
    Run *Late = findRun(m_RunDeadlines.begin()->second);
    m_RunDeadlines.erase(m_RunDeadlines.begin());
    if (Late != nullptr && Late->m_State == RunState::Sent)
      stopRun(Now, *Late, ResultCode::OutcomeUnknown);
  }
}

void AttemptTable::expireDetached(Millis Now) {
  while (!m_DetachTimeouts.empty() && m_DetachTimeouts.front().m_At <= Now) {
    const TimedAttempt Oldest = m_DetachTimeouts.front();
    m_DetachTimeouts.pop_front();
    Attempt *Lost = findAttempt(Oldest.m_Key);
    const bool StillLost =
        Lost != nullptr && Lost->m_Link == 0 && !Lost->m_End &&
        Lost->m_DetachedAt + m_Settings.m_DetachGracePeriod <= Now;
    if (StillLost)
      abandonAttempt(Now, Oldest.m_Key, *Lost, ResultCode::Cancelled);
  }
}

void AttemptTable::expireAttempts(Millis Now) {
  while (!m_AttemptExpiries.empty() && m_AttemptExpiries.front().m_At <= Now) {
    const AttemptKey Key = m_AttemptExpiries.front().m_Key;
    m_AttemptExpiries.pop_front();
    Attempt &Oldest = m_Attempts[Key];
    const bool Keep =
        !Oldest.m_End || Oldest.m_EndedAt + m_Settings.m_AttemptRetention > Now;
    if (Keep) {
      m_AttemptExpiries.push_back({Now + m_Settings.m_AttemptRetention, Key});
      continue;
    }
    if (Run *AttemptRun = findRun(Oldest.m_Run)) {
      AttemptRun->m_Attempts.erase(Key);
      if (AttemptRun->m_Attempts.empty() &&
          AttemptRun->m_State == RunState::Finished)
        m_Runs.erase(AttemptRun->m_Id);
    }
    setLink(Key, Oldest, 0);
    m_Attempts.erase(Key);
  }
}

std::optional<Millis> AttemptTable::nextTimer() const {
  std::optional<Millis> Next = m_FenceRounds.nextTimer();
  const auto Add = [&Next](Millis At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  if (!m_Deadlines.empty())
    Add(m_Deadlines.begin()->first);
  if (!m_RunDeadlines.empty())
    Add(m_RunDeadlines.begin()->first);
  if (!m_DetachTimeouts.empty())
    Add(m_DetachTimeouts.front().m_At);
  if (!m_AttemptExpiries.empty())
    Add(m_AttemptExpiries.front().m_At);
  if (m_ExportAt)
    Add(*m_ExportAt);
  if (m_StopRunsAt)
    Add(*m_StopRunsAt);
  return Next;
}

std::uint32_t AttemptTable::running() const {
  return static_cast<std::uint32_t>(m_Active.size());
}

bool AttemptTable::drained(Millis Now) const {
  if (!m_Active.empty())
    return false;
  return std::none_of(
      m_Attempts.begin(), m_Attempts.end(), [&](const auto &Entry) {
        const Attempt &Each = Entry.second;
        return Each.m_End && !Each.m_EndSent &&
               Each.m_EndedAt + m_Settings.m_DetachGracePeriod > Now;
      });
}

} // namespace corneldeck::request

#ifndef CORNELDECK_REQUEST_ATTEMPTTABLE_H
#define CORNELDECK_REQUEST_ATTEMPTTABLE_H

#include "Claims/ClaimTable.h"
#include "Claims/FenceRounds.h"
#include "Claims/HomeResolver.h"
#include "Request/AttemptTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace corneldeck::request {

/// Tracks the attempts received by one agent, the runs that serve them, and
/// their results.
///
/// An attempt is run at most once by one incarnation, and an idempotency key at
/// most once by any agent. "Not run" is reported only if the attempt stays
/// recorded as refused, or if a delayed Start would be refused because of its
/// age. After each event the caller of this class must schedule onTimer() for
/// nextTimer().
class AttemptTable {
public:
  /// \param Now start time of this process on the monotonic clock that is sent
  /// in Hello and Load frames.
  AttemptTable(AgentIdentity Identity, AttemptSettings Settings,
               AttemptHooks Hooks, base::Millis Now);

  AttemptTable(const AttemptTable &) = delete;
  AttemptTable &operator=(const AttemptTable &) = delete;

  /// Processes a Start, Attach or Cancel frame; ignores other frames.
  AttemptActions onFrame(base::Millis Now, LinkId Link,
                         const wire::LinkFrame &Frame);

  /// Handles a connection that was closed or has timed out.
  AttemptActions onLinkClosed(base::Millis Now, LinkId Link);

  /// Handles the backend server's acceptance of the request.
  AttemptActions onBackendBegan(base::Millis Now, RunId Run);

  /// Handles the next part of a streamed answer from the backend server.
  AttemptActions onBackendChunk(base::Millis Now, RunId Run,
                                std::uint32_t Tokens, const std::string &Data);

  /// Handles the end of a run at the backend server.
  AttemptActions onBackendEnd(base::Millis Now, RunId Run,
                              const BackendEnd &End);

  /// Handles the export of a stream's KV cache. The engine has stopped the
  /// stream after the chunks received so far.
  ///
  /// \param Location address to import the KV cache from; empty if the export
  /// failed.
  AttemptActions onBackendExported(base::Millis Now, RunId Run,
                                   const std::string &Location);

  /// Applies an accepted change of a catalogue entry.
  void onPlacement(base::Millis Now, const std::string &Service,
                   std::uint64_t Offset, std::vector<std::string> Servers);

  /// Records that the platform has permanently removed a backend server's VM.
  ///
  /// \param Wall wall time by which the VM no longer existed.
  void onServerRemoved(const std::string &Server, base::Millis Wall);

  /// Answers another agent's fence request for a key. This agent does not run
  /// the key afterwards, unless it has refused the fence because it knows a
  /// newer catalogue offset.
  ///
  /// \param Server the backend server that sent the fence request.
  /// \param Actions receives the refusals of requests that waited for the key.
  wire::ClaimFenceReply onFence(base::Millis Now, const std::string &Server,
                                const wire::ClaimFence &Fence,
                                AttemptActions &Actions);

  /// Handles a former home's reply to a fence request.
  AttemptActions onFenceReply(base::Millis Now, const std::string &Server,
                              const wire::ClaimFenceReply &Reply);

  /// Refuses new work from now on. Halfway to \p StopDeadline the streams still
  /// running are moved to other replicas; at \p StopDeadline all remaining runs
  /// are stopped.
  AttemptActions beginDrain(base::Millis Now, base::Millis StopDeadline);

  /// Sets whether the backend server or its rank group is unable to run
  /// requests. Taking it out of service ends all runs; idempotent streams
  /// resume at another replica.
  AttemptActions setOutOfService(base::Millis Now, bool Out);

  /// Handles all timeouts that are due at \p Now.
  AttemptActions onTimer(base::Millis Now);

  /// \returns when to call onTimer().
  [[nodiscard]] std::optional<base::Millis> nextTimer() const;

  /// \returns the number of runs that have not finished.
  [[nodiscard]] std::uint32_t running() const;

  [[nodiscard]] bool draining() const { return m_StopDeadline.has_value(); }
  [[nodiscard]] bool outOfService() const { return m_OutOfService; }

  /// \returns whether no run is active and every result was sent, or has waited
  /// for a connection for the detach grace period.
  [[nodiscard]] bool drained(base::Millis Now) const;

  [[nodiscard]] const claims::ClaimTable &claimTable() const {
    return m_Claims;
  }

private:
  enum class RunState {
    Fencing, ///< Waits for the former homes of its key.
    Sent,    ///< Was sent to the backend server.
    Finished ///< m_End is set.
  };

  struct Run {
    RunId m_Id = 0;
    RunState m_State = RunState::Fencing;
    wire::Start m_Start;
    std::optional<claims::ClaimKey> m_Key;
    std::uint64_t m_PlacementOffset = 0;
    std::uint32_t m_FirstBufferedToken = 0;
    std::uint32_t m_NextToken = 0;
    std::deque<wire::Chunk> m_BufferedChunks;
    std::size_t m_BufferedBytes = 0;
    bool m_Exporting = false;
    wire::End m_End;
    std::set<AttemptKey> m_Attempts;
  };

  using DeadlineQueue = std::multimap<base::Millis, AttemptKey>;

  struct Attempt {
    /// The run that serves this attempt; 0 if it was refused.
    RunId m_Run = 0;
    /// Set once the attempt has ended. The frame was sent or is sent after an
    /// Attach.
    std::optional<wire::End> m_End;
    LinkId m_Link = 0;
    std::uint32_t m_NextToken = 0;
    bool m_Stream = false;
    /// Whether m_End is the end of the run, to be sent after the run's chunks.
    bool m_EndIsFromRun = false;
    bool m_EndSent = false;
    base::Millis m_EndedAt;
    base::Millis m_DetachedAt;
    std::optional<DeadlineQueue::iterator> m_Deadline;
  };

  struct TimedAttempt {
    base::Millis m_At;
    AttemptKey m_Key;
  };

  using Refusal = std::pair<base::ResultCode, base::Ran>;

  // Starting of runs.
  void onStart(base::Millis Now, LinkId Link, const wire::Start &Start);
  std::optional<Refusal> checkFreshness(base::Millis Now,
                                        const wire::Start &Start) const;
  std::optional<base::ResultCode> checkCanRun(base::Millis Now,
                                              const wire::Start &Start) const;
  void onKeyedStart(base::Millis Now, const AttemptKey &Key,
                    const wire::Start &Start);
  void onUnknownKey(base::Millis Now, const AttemptKey &Key,
                    const wire::Start &Start, const claims::ClaimKey &Claim);
  void joinClaimedRun(base::Millis Now, const AttemptKey &Key,
                      const wire::Start &Start, const claims::Claim &Known);
  claims::HomeDecision resolveHome(base::Millis Now, const wire::Start &Start,
                                   const claims::ClaimKey &Claim) const;
  Run &addRun(const AttemptKey &Key, const wire::Start &Start);
  void startRun(base::Millis Now, Run &Started);
  void onFenceResult(base::Millis Now, const claims::FenceResult &Result);
  void onFormerHomeAnswer(base::Millis Now, Run &Pending,
                          const wire::ClaimFenceReply &Reply);
  void onFenceClear(base::Millis Now, Run &Pending);

  // Delivery of results.
  void onAttach(base::Millis Now, LinkId Link, const wire::Attach &Attach);
  void onCancel(base::Millis Now, LinkId Link, const wire::Cancel &Cancel);
  Attempt &addAttempt(base::Millis Now, const AttemptKey &Key, LinkId Link);
  void setLink(const AttemptKey &Key, Attempt &Moved, LinkId Link);
  void refuseUnknownAttempt(base::Millis Now, LinkId Link,
                            const AttemptKey &Key, std::uint64_t Incarnation,
                            base::Millis Issued, base::ResultCode Code);
  void refuse(base::Millis Now, const AttemptKey &Key, Refusal Reason,
              base::Millis RetryAfter = base::Millis(0));
  void endAttempt(base::Millis Now, const AttemptKey &Key, Attempt &Ended,
                  wire::End End);
  void sendEnd(const AttemptKey &Key, Attempt &Ended);
  void deliverToAll(base::Millis Now, Run &Delivered);
  void deliverTo(base::Millis Now, Run &Delivered, const AttemptKey &Key,
                 Attempt &To);

  // End of runs.
  void finishRun(base::Millis Now, Run &Ended, wire::End End);
  void updateClaim(base::Millis Now, Run &Ended);
  void stopRun(base::Millis Now, Run &Stopped, base::ResultCode Code);
  void moveRun(base::Millis Now, Run &Moved, const std::string &Location);
  void moveOrStopRun(base::Millis Now, Run &Ended);
  void abandonAttempt(base::Millis Now, const AttemptKey &Key,
                      Attempt &Abandoned, base::ResultCode Code);

  // Timeouts.
  void expireAttempts(base::Millis Now);
  void expireDetached(base::Millis Now);
  void expireDeadlines(base::Millis Now);
  void advanceDrain(base::Millis Now);

  Run *findRun(RunId Id);
  Attempt *findAttempt(const AttemptKey &Key);
  AttemptActions releaseActions();

  const AgentIdentity m_Identity;
  const AttemptSettings m_Settings;
  const AttemptHooks m_Hooks;
  claims::HomeResolver m_HomeResolver;
  claims::ClaimTable m_Claims;
  claims::FenceRounds m_FenceRounds;
  RunId m_LastRun = 0;
  std::map<RunId, Run> m_Runs;
  std::set<RunId> m_Active;
  std::map<AttemptKey, Attempt> m_Attempts;
  std::deque<TimedAttempt> m_AttemptExpiries;
  std::deque<TimedAttempt> m_DetachTimeouts;
  DeadlineQueue m_Deadlines;
  std::multimap<base::Millis, RunId> m_RunDeadlines;
  std::map<LinkId, std::set<AttemptKey>> m_Links;
  std::optional<base::Millis> m_ExportAt;
  std::optional<base::Millis> m_StopRunsAt;
  std::optional<base::Millis> m_StopDeadline;
  bool m_OutOfService = false;
  AttemptActions m_Actions;
};

} // namespace corneldeck::request

#endif

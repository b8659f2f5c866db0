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

/// All requests of one agent: what was asked, what runs, and what was answered.
///
/// An attempt is run at most once by one incarnation, a key at most once by any
/// agent. "Not run" is said only where the attempt is remembered as barred, or
/// where a late Start would be refused by its age. After each event the caller
/// of this class arms its timer for nextTimer().
class AttemptTable {
public:
  /// \param Now this process's start on the monotonic clock that Hello and Load
  /// frames tell.
  AttemptTable(AgentIdentity Identity, AttemptSettings Settings,
               AttemptHooks Hooks, base::Millis Now);

  AttemptTable(const AttemptTable &) = delete;
  AttemptTable &operator=(const AttemptTable &) = delete;

  /// Takes a Start, Attach or Cancel frame.
  AttemptActions onFrame(base::Millis Now, LinkId Link,
                         const wire::LinkFrame &Frame);

  /// A connection was closed or is silent.
  AttemptActions onLinkClosed(base::Millis Now, LinkId Link);

  /// The backend server took the request.
  AttemptActions onBackendBegan(base::Millis Now, RunId Run);

  /// The backend server gave the next part of a stream.
  AttemptActions onBackendChunk(base::Millis Now, RunId Run,
                                std::uint32_t Tokens, const std::string &Data);

  AttemptActions onBackendEnd(base::Millis Now, RunId Run,
                              const BackendEnd &End);

  /// The engine stopped the stream after all chunks given so far and exported
  /// its KV cache.
  ///
  /// \param Location where it can be imported from; empty if the export failed.
  AttemptActions onBackendExported(base::Millis Now, RunId Run,
                                   const std::string &Location);

  /// Takes over an accepted change of a catalogue entry.
  void onPlacement(base::Millis Now, const std::string &Service,
                   std::uint64_t Offset, std::vector<std::string> Servers);

  /// The platform removed a backend server's VM for good.
  ///
  /// \param Wall wall time by which it was gone.
  void onServerRemoved(const std::string &Server, base::Millis Wall);

  /// Answers another agent's question for a key, which this agent will not run
  /// from then on.
  ///
  /// \param Server the asking backend server.
  /// \param Actions gets the refusals of requests that waited for the key.
  wire::ClaimFenceReply onFence(base::Millis Now, const std::string &Server,
                                const wire::ClaimFence &Fence,
                                AttemptActions &Actions);

  AttemptActions onFenceReply(base::Millis Now, const std::string &Server,
                              const wire::ClaimFenceReply &Reply);

  /// Takes no new work. Streams still running after half of the time are moved;
  /// at \p StopDeadline what still runs is ended.
  AttemptActions beginDrain(base::Millis Now, base::Millis StopDeadline);

  /// The backend server or its rank group can't run requests, or can again.
  /// What runs is ended; idempotent streams go on elsewhere.
  AttemptActions setOutOfService(base::Millis Now, bool Out);

  AttemptActions onTimer(base::Millis Now);

  /// \returns when to call onTimer().
  [[nodiscard]] std::optional<base::Millis> nextTimer() const;

  /// \returns the number of requests at the backend server or on their way.
  [[nodiscard]] std::uint32_t running() const;

  [[nodiscard]] bool draining() const { return m_StopDeadline.has_value(); }
  [[nodiscard]] bool outOfService() const { return m_OutOfService; }

  /// \returns whether nothing runs and every answer was handed to a connection.
  [[nodiscard]] bool drained(base::Millis Now) const;

  [[nodiscard]] const claims::ClaimTable &claimTable() const {
    return m_Claims;
  }

private:
  enum class RunState {
    Fencing, ///< The former homes of its key are being asked.
    Sent,    ///< It was handed to the backend server.
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
    /// AttemptRun run; 0 if it was refused.
    RunId m_Run = 0;
    /// Set once it is over; the End was sent or waits for an Attach.
    std::optional<wire::End> m_End;
    LinkId m_Link = 0;
    std::uint32_t m_NextToken = 0;
    bool m_Stream = false;
    /// m_End is that of its run, whose chunks go before it.
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

  // Starts.
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

  // Answers.
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

  // Ends of runs.
  void finishRun(base::Millis Now, Run &Ended, wire::End End);
  void updateClaim(base::Millis Now, Run &Ended);
  void stopRun(base::Millis Now, Run &Stopped, base::ResultCode Code);
  void moveRun(base::Millis Now, Run &Moved, const std::string &Location);
  void moveOrStopRun(base::Millis Now, Run &Ended);
  void abandonAttempt(base::Millis Now, const AttemptKey &Key,
                      Attempt &Abandoned, base::ResultCode Code);

  // Time.
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
  claims::HomeResolver m_Home;
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

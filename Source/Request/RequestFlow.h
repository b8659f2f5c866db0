#ifndef CORNELDECK_REQUEST_REQUESTFLOW_H
#define CORNELDECK_REQUEST_REQUESTFLOW_H

#include "Request/RequestTypes.h"

#include <optional>

namespace corneldeck::request {

/// Runs one request at an entry from admission to its single final answer:
/// attempts, retries, hedges, reattachment and resumption.
///
/// Each event returns the actions that the caller must perform in order. After
/// each event the caller of this class must schedule onTimer() for nextTimer().
class RequestFlow {
public:
  using Actions = std::vector<FlowAction>;

  RequestFlow(RequestSpec Spec, FlowSettings Settings, FlowHooks Hooks);

  /// Chooses an agent and sends the first attempt.
  Actions begin(base::Millis Now);

  /// Processes a Chunk or End frame; ignores other frames and other requests.
  Actions onFrame(base::Millis Now, const std::string &Agent,
                  const wire::LinkFrame &Frame);

  /// Handles a connection to an agent that was closed or has timed out.
  Actions onLinkClosed(base::Millis Now, const std::string &Agent);

  /// Handles a new connection to an agent: reattaches the open attempts there.
  Actions onLinkUp(base::Millis Now, const std::string &Agent,
                   std::uint64_t Incarnation);

  /// Ends the request after its caller has disconnected. Cancels the attempts
  /// unless the request has an idempotency key.
  Actions onCallerDisconnected(base::Millis Now);

  /// Handles the deadline, the reattach timeouts and the hedge delay.
  Actions onTimer(base::Millis Now);

  /// \returns when to call onTimer(); none once finished.
  [[nodiscard]] std::optional<base::Millis> nextTimer() const;

  [[nodiscard]] bool finished() const { return m_Finished; }

  /// \returns the number of the newest attempt; 0 before the first.
  [[nodiscard]] std::uint32_t lastAttempt() const {
    return static_cast<std::uint32_t>(m_Attempts.size());
  }

  /// \returns the agent of the newest attempt; empty before the first.
  [[nodiscard]] std::string lastAgent() const {
    return m_Attempts.empty() ? "" : m_Attempts.back().m_Target.m_Agent;
  }

  [[nodiscard]] const RequestSpec &spec() const { return m_Spec; }

private:
  enum class AttemptState { Open, Detached, Closed };

  struct Attempt {
    std::uint32_t m_Number = 0;
    Target m_Target;
    AttemptState m_State = AttemptState::Open;
    /// Cleared once the agent has reported that the attempt did not and will
    /// not run.
    bool m_MayHaveRun = true;
    base::Millis m_DetachedAt{};
    /// Start token of the last Attach sent for missing tokens.
    std::optional<std::uint32_t> m_LastAttachToken;
  };

  bool keyed() const { return !m_Spec.m_Key.empty(); }
  Attempt *findAttempt(std::uint32_t Number);
  bool hasUnclosedAttempt() const;
  bool mayHaveRun() const;

  void startAttempt(base::Millis Now);
  wire::Start makeStartFrame(const Attempt &Sent) const;
  void sendAttach(Attempt &Lost);
  void sendCancel(const Attempt &Ended);
  void closeAllExcept(std::uint32_t Except);
  void closeAll();

  void onChunk(Attempt &From, const wire::Chunk &Chunk);
  void onEnd(base::Millis Now, Attempt &From, const wire::End &End);
  void onAnswer(Attempt &From, const wire::End &End);
  void onMoved(base::Millis Now, Attempt &From, const wire::End &End);
  void onNotRun(base::Millis Now, Attempt &From, const wire::End &End);
  void onFailed(base::Millis Now, Attempt &From, const wire::End &End);
  bool requestMissingTokens(Attempt &From, std::uint32_t UpTo);
  void abandonAttempt(base::Millis Now, Attempt &Lost);
  bool retry(base::Millis Now);
  void finish(Outcome Final);
  void fail(base::ResultCode Code, base::Ran Ran, std::string Message,
            base::Millis RetryAfter);
  base::Ran ranOnFailure(bool KeyNotRun) const;
  Actions releaseActions();

  const RequestSpec m_Spec;
  const FlowSettings m_Settings;
  const FlowHooks m_Hooks;
  std::vector<Attempt> m_Attempts;
  std::vector<std::string> m_Excluded;
  /// The attempt whose tokens are delivered to the caller; 0 before the first
  /// token.
  std::uint32_t m_DeliveringAttempt = 0;
  std::uint32_t m_NextToken = 0;
  std::string m_Text;
  std::string m_KvLocation;
  std::optional<base::Millis> m_HedgeAt;
  bool m_Finished = false;
  Actions m_Actions;
};

} // namespace corneldeck::request

#endif

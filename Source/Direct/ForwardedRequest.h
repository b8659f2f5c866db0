#ifndef CORNELDECK_DIRECT_FORWARDEDREQUEST_H
#define CORNELDECK_DIRECT_FORWARDEDREQUEST_H

#include "Direct/EventSplitter.h"
#include "Direct/RequestForwarder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// Handles one caller's request from its arrival to the end of its response.
///
/// Performs the actions that AttemptTracker chooses: sends the attempts,
/// forwards events as they arrive, and responds exactly once. RequestForwarder
/// owns it until the request has ended.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  /// Properties of the request, set by RequestForwarder.
  struct Parameters {
    std::uint64_t m_Token = 0;
    CallerRequest m_Request;
    std::shared_ptr<const RouteTable> m_Routes;
    const Route *m_Route = nullptr;
    std::string m_Service;
    std::string m_Customer;
    int m_Priority = 0;
    base::Millis m_ArrivalTime{};
    base::Millis m_Deadline{};
  };

  ForwardedRequest(RequestForwarder &Forwarder,
                   std::shared_ptr<net::HttpExchange> Exchange,
                   Parameters Given);

  /// Registers for the disconnection of the caller and starts the deadline
  /// timer.
  void watchCaller();
  /// Sends the first attempt, once the request is admitted.
  void start();
  /// Refuses the request because the service has no capacity, with a
  /// retry-after time.
  void refuseOverloaded();
  /// Refuses the request because the service's rank group is unavailable, with
  /// a retry-after time.
  void refuseUnavailable();

  /// Refuses the request because of a part of its prompt.
  void refuseQuarantined(std::uint64_t Part, base::Millis RetryAfter);
  /// Waits until the other entries know of the trial of a quarantined part, and
  /// sends the request if this entry still makes the trial.
  void beginTrial(std::uint64_t Part);
  /// Refuses or withdraws the request, unless it has begun to run or is the
  /// trial of the part.
  void stopQuarantined(std::uint64_t Part);
  /// Ends the response because all together need too much memory.
  void cutOffResponse();
  /// Answers the request as the process ends, unless its response has begun.
  void answerBeforeExit();

  [[nodiscard]] const Parameters &parameters() const { return m_Parameters; }

private:
  void startAttempt();
  void onResponseHead(const net::HttpResponseHead &Head);
  void onResponseData(std::string_view Data);
  void onResponseEnd(const base::Result<void> &Result);
  void forwardEvents(const std::string &Events);
  [[nodiscard]] AttemptOutcome classify(const base::Result<void> &Result) const;
  /// Returns whether the response may continue the stream that the caller has
  /// received a part of.
  [[nodiscard]] bool continuesStream() const;
  /// Returns whether a response that ends with its connection has no event. It
  /// may have been cut off.
  [[nodiscard]] bool endedBeforeFirstEvent() const;
  /// Returns whether the response ends with its connection.
  [[nodiscard]] bool isUnframed() const;
  void refuseStopping();
  void attemptEnded(AttemptOutcome Outcome);
  /// Decides what follows an attempt, once it is known whether its server has
  /// ended.
  void decide(AttemptOutcome Outcome);
  /// Records that the server runs the request and has not ended.
  void recordServed();
  /// Returns whether the server of the attempt may have ended because of this
  /// request: its connection broke, and the server had hardly begun to write
  /// the response.
  [[nodiscard]] bool mayHaveEndedServer(AttemptOutcome Outcome) const;
  /// Finds out whether the server of a complete response that ended with its
  /// connection has ended, too.
  void checkUnframed();
  /// Returns whether the server had written events for long enough to show that
  /// the request is not the cause if it has ended.
  [[nodiscard]] bool hasBeenServed() const;
  void recordServerEnded(ServerLife Life, bool IsSuspect);
  /// Records the result of the check of the server whose connection broke.
  void serverChecked(AttemptOutcome Outcome, ServerLife Life);
  void perform(NextAction Next, AttemptOutcome Outcome);
  void releaseAttempt(AttemptOutcome Outcome);
  /// Records how much memory the response needs, and ends it if that is too
  /// much.
  void holdResponse(std::size_t Bytes);
  /// Closes the connection of a response that cannot be used.
  void endResponse(const std::string &Why);
  /// Removes the buffered response.
  void releaseBody();
  void forwardResponse();
  [[nodiscard]] base::Millis noServerRetryAfter() const;
  void sendError(base::ResultCode Code, const std::string &Message,
                 base::Millis RetryAfter);
  void onCallerClosed();
  void deadlineReached();
  void armTimer();
  void checkSilence();
  [[nodiscard]] base::Millis silenceDeadline() const;
  void finish(base::EventId Event, int Status, std::string_view Outcome);
  [[nodiscard]] base::Millis now() const { return m_Forwarder.m_Clock.now(); }

  RequestForwarder &m_Forwarder;
  std::shared_ptr<net::HttpExchange> m_Exchange;
  const Parameters m_Parameters;
  AttemptTracker m_Tracker;
  const std::shared_ptr<const std::string> m_Body;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_TrialTimer;

  // State of the current attempt.
  std::string m_Server;
  std::string m_ServerAddress;
  std::uint64_t m_ServerStartTime = 0;
  net::HttpCallHandle m_Cancel;
  net::HttpResponseHead m_Head;
  ResponseInfo m_ResponseInfo;
  bool m_HasHead = false;
  bool m_AttemptActive = false;
  std::string m_ResponseBody;
  /// Bytes of a response without a signature.
  std::size_t m_DiscardedBytes = 0;
  double m_UnprocessedPromptTokens = 0;
  base::Millis m_SentAt{};
  base::Millis m_LastByteAt{};
  /// When the first event of this attempt arrived.
  std::optional<base::Millis> m_FirstEventAt;
  /// When events were last forwarded to the caller.
  base::Millis m_LastForwardedAt{};

  EventSplitter m_EventSplitter;
  std::vector<std::string> m_TriedServers;
  bool m_HeadForwarded = false;
  /// Time from the arrival to the first event of a stream, and the longest time
  /// between two writes of events.
  base::Millis m_FirstEventDelay{};
  base::Millis m_LongestPause{};
  /// Largest pass time ratio of its intervals; 0 if there are none.
  double m_LargestRatio = 0;
  /// Media type of the stream whose head was forwarded.
  std::string m_MediaType;
  bool m_Finished = false;
  bool m_Queued = true;
  base::Millis m_AdmittedAt{};
  std::string m_LastFailure;
  /// The quarantined part that the request tries.
  std::optional<std::uint64_t> m_TriedPart;
  bool m_IsServedRecorded = false;
  /// Whether an attempt ended because its server did not respond in time. Idle
  /// connections to the other servers may be broken too.
  bool m_WasSilent = false;
};

} // namespace corneldeck::direct

#endif

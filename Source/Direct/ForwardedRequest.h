#ifndef CORNELDECK_DIRECT_FORWARDEDREQUEST_H
#define CORNELDECK_DIRECT_FORWARDEDREQUEST_H

#include "Direct/EventSplitter.h"
#include "Direct/RequestForwarder.h"

#include <memory>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// One caller's request from its admission to the end of its answer.
///
/// It carries out what AttemptTracker decides: sends attempts, passes events on
/// as they arrive, and answers exactly once. It is deleted by its front.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
  /// What the front has found out about the request.
  struct Facts {
    std::uint64_t m_Token = 0;
    CallerRequest m_Request;
    std::shared_ptr<const RouteTable> m_Routes;
    const Route *m_Route = nullptr;
    std::string m_Service;
    std::string m_Customer;
    int m_Priority = 0;
    base::Millis m_Arrived{};
    base::Millis m_Deadline{};
  };

  ForwardedRequest(RequestForwarder &Forwarder,
                   std::shared_ptr<net::HttpExchange> Exchange, Facts Known);

  /// Watches the caller and the time that it waits.
  void watchCaller();
  /// Sends the first attempt.
  void start();
  /// Answers that there is no place, and when to come back.
  void refuseFull();
  /// Answers that the service's rank group is closed, and when to come back.
  void refuseClosed();

  [[nodiscard]] const Facts &facts() const { return m_Facts; }

private:
  void startAttempt();
  void onResponseHead(const net::HttpResponseHead &Head);
  void onResponseData(std::string_view Data);
  void onResponseEnd(const base::Result<void> &Outcome);
  void forwardEvents(const std::string &Events);
  [[nodiscard]] AttemptOutcome
  classify(const base::Result<void> &Outcome) const;
  void attemptEnded(AttemptOutcome End);
  void perform(NextAction Next, AttemptOutcome End);
  void endAttempt(AttemptOutcome End);
  void forwardResponse();
  void answerError(base::ResultCode Code, const std::string &Message,
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
  const Facts m_Facts;
  AttemptTracker m_Tracker;
  const std::string m_Body;
  boost::asio::steady_timer m_Timer;

  // The attempt under way.
  std::string m_Server;
  net::HttpCallHandle m_Cancel;
  net::HttpResponseHead m_Head;
  ResponseInfo m_ResponseInfo;
  bool m_HasHead = false;
  bool m_AttemptActive = false;
  std::string m_ResponseBody;
  double m_UnprocessedPromptTokens = 0;
  base::Millis m_SentAt{};
  base::Millis m_LastByteAt{};
  /// When events were last passed on.
  base::Millis m_LastForwardedAt{};

  EventSplitter m_EventSplitter;
  std::vector<std::string> m_Tried;
  bool m_HeadForwarded = false;
  bool m_Finished = false;
  bool m_Waiting = true;
  base::Millis m_AdmittedAt{};
  std::string m_LastFailure;
};

} // namespace corneldeck::direct

#endif

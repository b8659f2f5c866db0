#ifndef CORNELDECK_DIRECT_FORWARDCALL_H
#define CORNELDECK_DIRECT_FORWARDCALL_H

#include "Direct/EventCutter.h"
#include "Direct/ForwardFront.h"

#include <memory>
#include <string>
#include <vector>

namespace corneldeck::direct {

/// One caller's request from its admission to the end of its answer.
///
/// It carries out what ForwardFlow decides: sends attempts, passes events on
/// as they arrive, and answers exactly once. It is deleted by its front.
class ForwardCall : public std::enable_shared_from_this<ForwardCall> {
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
    base::Millis m_Due{};
  };

  ForwardCall(ForwardFront &Front, std::shared_ptr<net::HttpExchange> Exchange,
              Facts Known);

  /// Watches the caller and the time that it waits.
  void watch();
  /// Sends the first attempt.
  void go();
  /// Answers that there is no place, and when to come back.
  void refuseFull();
  /// Answers that the service's rank group is closed, and when to come back.
  void refuseClosed();

  [[nodiscard]] const Facts &facts() const { return m_Facts; }

private:
  void startAttempt();
  void gotHead(const net::HttpResponseHead &Head);
  void gotData(std::string_view Data);
  void gotEnd(const base::Result<void> &Outcome);
  void passEvents(const std::string &Events);
  [[nodiscard]] AttemptEnd classify(const base::Result<void> &Outcome) const;
  void attemptEnded(AttemptEnd End);
  void step(NextStep Next, AttemptEnd End);
  void endAttempt(AttemptEnd End);
  void passWhole();
  void answerError(base::ResultCode Code, const std::string &Message,
                   base::Millis RetryAfter);
  void callerGone();
  void timeUp();
  void armTimer();
  void checkSilence();
  [[nodiscard]] base::Millis silenceBound() const;
  void finish(base::EventId Event, int Status, std::string_view Outcome);
  [[nodiscard]] base::Millis now() const { return m_Front.m_Clock.now(); }

  ForwardFront &m_Front;
  std::shared_ptr<net::HttpExchange> m_Exchange;
  const Facts m_Facts;
  ForwardFlow m_Flow;
  const std::string m_Body;
  boost::asio::steady_timer m_Timer;

  // The attempt under way.
  std::string m_Server;
  net::HttpCallHandle m_Cancel;
  net::HttpResponseHead m_Head;
  AnswerFacts m_Answer;
  bool m_HasHead = false;
  bool m_Active = false;
  std::string m_Whole;
  double m_UnreadPrompt = 0;
  base::Millis m_SentAt{};
  base::Millis m_LastByte{};
  /// When events were last passed on.
  base::Millis m_PassedAt{};

  EventCutter m_Cutter;
  std::vector<std::string> m_Tried;
  bool m_HeadPassed = false;
  bool m_Finished = false;
  bool m_Waiting = true;
  base::Millis m_WentAt{};
  std::string m_LastEnd;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_ENTRY_REQUESTHANDLER_H
#define CORNELDECK_ENTRY_REQUESTHANDLER_H

#include "Base/Timeline.h"
#include "Catalogue/View.h"
#include "Entry/AgentLinks.h"
#include "Entry/CallerRequest.h"
#include "Entry/CustomerLimits.h"
#include "Entry/ServiceState.h"
#include "Metrics/Registry.h"
#include "Net/HttpExchange.h"
#include "Request/RequestFlow.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace corneldeck::entry {

/// Handles callers' requests: validates and queues them, sends attempts to
/// agents, and returns exactly one final response for each.
class RequestHandler {
public:
  /// \param Entries the number of entries that share a customer's limit.
  RequestHandler(boost::asio::io_context &Loop, std::string Node,
                 std::string Zone, std::uint64_t Incarnation,
                 std::uint32_t Entries, base::Timeline &Events,
                 metrics::Registry &Metrics);
  RequestHandler(const RequestHandler &) = delete;
  RequestHandler &operator=(const RequestHandler &) = delete;

  /// Applies a new view of the catalogue.
  /// \param Ready false if requests must be refused, since the view is stale.
  void onView(const catalogue::ViewPtr &View, bool Ready);

  /// Handles a request to ChatPath or below ServicesPath.
  void handle(const std::shared_ptr<net::HttpExchange> &Exchange);

  /// \returns the limits of customers, whose use the entries exchange.
  [[nodiscard]] CustomerLimits &limits() { return m_Limits; }

  [[nodiscard]] std::size_t inFlight() const { return m_Active.size(); }

  [[nodiscard]] const AgentLinks &links() const { return m_Links; }

private:
  struct ActiveRequest {
    std::shared_ptr<net::HttpExchange> m_Exchange;
    std::shared_ptr<ServiceState> m_Service;
    std::unique_ptr<request::RequestFlow> m_Flow;
    routing::ChoiceQuery m_Query;
    /// The replica that the dispatcher selected for the first attempt.
    std::optional<routing::Choice> m_Dispatched;
    bool m_Queued = false;
    bool m_StreamStarted = false;
    base::Millis m_StartedAt{};
    base::Millis m_TimerDue{};
  };
  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  AgentLinksHooks linkHooks();
  void refuse(net::HttpExchange &Exchange, const base::Error &Error);
  void begin(const std::shared_ptr<net::HttpExchange> &Exchange,
             CallerRequest Request);
  void enqueue(const ActiveRequestPtr &New);
  void dispatch(ServiceState &Service);
  void refuseQueued(const std::string &Attempt, const base::Error &Error);
  void cancelQueued(const ActiveRequestPtr &Request);
  void scheduleQueueCheck();
  request::FlowHooks flowHooks(const std::weak_ptr<ActiveRequest> &Request);
  base::Result<request::Target>
  choose(ActiveRequest &Request, base::Millis Now,
         const std::vector<std::string> &Excluded);
  base::Result<request::Target> target(const std::string &Agent) const;
  void onFrame(const std::string &Agent, const wire::LinkFrame &Frame);
  void reportAttemptProgress(ActiveRequest &Request,
                             const wire::LinkFrame &Frame);
  void execute(const ActiveRequestPtr &Request,
               const request::RequestFlow::Actions &Actions);
  void send(ActiveRequest &Request, const request::SendFrame &Action);
  void deliver(ActiveRequest &Request, const request::DeliverChunk &Chunk);
  void finish(const ActiveRequestPtr &Request, const request::Outcome &Outcome);
  void sendResponse(ActiveRequest &Request, const request::Outcome &Outcome);
  void endStream(ActiveRequest &Request, const request::Outcome &Outcome);
  void forEachFlow(
      const std::function<request::RequestFlow::Actions(request::RequestFlow &)>
          &Notify);
  void setTimer(const ActiveRequestPtr &Request);
  void clearTimer(const ActiveRequest &Request);
  void armTimer();
  void onTimer();
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  const std::string m_Node;
  const std::string m_Zone;
  const std::uint64_t m_Incarnation;
  const base::Clock m_Clock;
  base::Timeline &m_Events;
  AgentLinks m_Links;
  catalogue::ViewPtr m_View;
  CustomerLimits m_Limits;
  bool m_Ready = false;
  std::uint64_t m_LastRequest = 0;
  std::map<std::string, std::shared_ptr<ServiceState>> m_Services;
  std::unordered_map<std::string, ActiveRequestPtr> m_Active;
  std::set<std::pair<base::Millis, std::string>> m_Timers;
  base::Millis m_TimerArmedFor{};
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_QueueTimer;
  bool m_QueueTimerArmed = false;
  metrics::Counter &m_Accepted;
  metrics::Counter &m_Refused;
  metrics::Counter &m_Failed;
  metrics::Histogram &m_Latency;
};

} // namespace corneldeck::entry

#endif

#ifndef CORNELDECK_RANKAGENT_GROUPAGENT_H
#define CORNELDECK_RANKAGENT_GROUPAGENT_H

#include "Base/Clock.h"
#include "Base/Timeline.h"
#include "RankGroup/GroupPlanner.h"
#include "RankGroup/RankDriver.h"
#include "RankGroup/ReportCollector.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace corneldeck::rankagent {

/// Settings of GroupAgent.
struct GroupAgentSettings {
  /// Address of this agent for messages.
  std::string m_Address;
  std::string m_Zone;
  /// Maximum intervals between two polls of the engine's state, when idle and
  /// during a switch.
  base::Millis m_IdlePollInterval = base::Millis(100);
  base::Millis m_SwitchPollInterval = base::Millis(30);
  rankgroup::CollectorSettings m_Collector;
};

/// Connects one engine to its rank group.
///
/// It executes the commands of the planner on its engine, forwards them to the
/// agents that the planner names, and combines their reports with its own.
/// While it is the planner, it also owns the GroupPlanner and sends its
/// commands. It owns no socket and no timer.
class GroupAgent {
public:
  /// Callbacks. All are required.
  struct Hooks {
    /// Sends a message to the agent at an address; it may be lost.
    std::function<void(const std::string &Address, const wire::Datagram &)>
        m_Send;
    /// Calls a function after the current event has been handled.
    std::function<void(std::function<void()>)> m_Post;
    /// Calls tick() at the given time at the latest.
    std::function<void(base::Millis)> m_WakeAt;
    /// Called when the epoch of the group or its availability has changed.
    std::function<void()> m_OnGroupChanged;
  };

  GroupAgent(GroupAgentSettings Settings, rankgroup::EnginePort Engine,
             base::Clock Time, base::Timeline &Events, Hooks Callbacks);

  /// Polls the engine, sends reports and advances the planner as far as due.
  void tick();

  void onCommand(const wire::RankCommand &Command);
  void onReport(const wire::GroupReport &Report);

  /// Starts to plan for the group.
  /// \param Term the fencing number of this planner.
  void startPlanner(std::uint64_t Term,
                    const rankgroup::PlannerSettings &Settings);

  /// \returns the planner if this agent is the planner of its group.
  [[nodiscard]] const rankgroup::GroupPlanner *planner() const {
    return m_Planner.get();
  }
  [[nodiscard]] const rankgroup::RankDriver &driver() const { return m_Driver; }

  /// \returns an announcement of this planner to agents that do not follow it
  /// yet.
  [[nodiscard]] wire::RankCommand announcement() const;

private:
  void pollState();
  void onState(const base::Result<rankgroup::RankState> &State);
  void requestCounts();
  void requestExperts();
  void recordEngineFailure(const char *Request, const base::Error &Cause);
  void sendNextOrder();
  /// Reports the state of this rank if it has changed, or if a report was
  /// requested.
  void report(const std::vector<std::uint64_t> &Chosen);
  void sendDueReports();
  void beginRound(const wire::RankCommand &Request);
  void forward(const wire::RankCommand &Command);
  void send(const wire::RankCommand &Command,
            const rankgroup::RelayBranch &Branch);
  void tickPlanner();
  void dropPlanner();
  [[nodiscard]] bool isSwitchOpen() const;
  [[nodiscard]] bool hasCurrentExperts() const;

  const GroupAgentSettings m_Settings;
  const rankgroup::EnginePort m_Engine;
  const base::Clock m_Clock;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  rankgroup::RankDriver m_Driver;
  rankgroup::ReportCollector m_Collector;
  std::unique_ptr<rankgroup::GroupPlanner> m_Planner;
  rankgroup::RankExperts m_RankExperts;
  bool m_HasRankExperts = false;
  rankgroup::ExpertCountTracker m_CountTracker;
  /// Address to which reports are sent.
  std::string m_ReplyTo;
  /// Number of the latest request for reports in the current term.
  std::uint64_t m_Round = 0;
  /// Number of the latest request that was answered.
  std::uint64_t m_AnsweredRound = 0;
  bool m_ExpertsRequested = false;
  /// Whether the next report is sent even if nothing has changed.
  bool m_ReportRequested = false;
  /// Whether relays must send the next report on at once.
  bool m_IsReportUrgent = false;
  /// Last report of this rank.
  wire::RankReport m_LastReport;
  bool m_PlannerTickPosted = false;
  bool m_StateInFlight = false;
  /// Whether the state has to be polled again after the poll in flight.
  bool m_PollAgain = false;
  bool m_OrderInFlight = false;
  bool m_CountsInFlight = false;
  bool m_ExpertsInFlight = false;
  bool m_EngineReachable = true;
  base::Millis m_StateRequestedAt{};
};

} // namespace corneldeck::rankagent

#endif

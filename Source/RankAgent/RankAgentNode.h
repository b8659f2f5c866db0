#ifndef CORNELDECK_RANKAGENT_RANKAGENTNODE_H
#define CORNELDECK_RANKAGENT_RANKAGENTNODE_H

#include "Direct/Configuration.h"
#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"
#include "Net/HttpServer.h"
#include "RankAgent/PlannerElection.h"
#include "RankGroup/GroupPlanner.h"
#include "RankGroup/RankDriver.h"

#include <map>
#include <memory>
#include <string>

namespace corneldeck::rankagent {

/// Settings of RankAgentNode.
struct RankAgentSettings {
  fleet::FleetSettings m_Fleet;
  /// Service that the engine belongs to.
  std::string m_Service;
  ElectionSettings m_Election;
  /// Intervals between two polls of the engine's state, when idle and during a
  /// switch.
  base::Millis m_IdlePollInterval = base::Millis(100);
  base::Millis m_SwitchPollInterval = base::Millis(30);
  /// Minimum interval between two requests for the expert counts.
  base::Millis m_CountsInterval = base::Millis(100);
  /// Interval at which unchanged commands are repeated to the agents.
  base::Millis m_CommandRepeatInterval = base::Millis(400);
};

/// Agent of one engine.
///
/// It polls the engine, reports its state to the planner and executes the
/// commands of the planner. While it is the elected planner it also plans for
/// the whole group.
class RankAgentNode {
public:
  /// Reads the published configuration, which contains the numbers of layer
  /// sets, experts and slots.
  using ReadConfiguration = std::function<void(
      std::function<void(base::Result<direct::Configuration>)>)>;

  RankAgentNode(boost::asio::io_context &Context, RankAgentSettings Settings,
                const feed::KeyedLogClient &Log, rankgroup::EnginePort Engine,
                ReadConfiguration Reader, base::Timeline &Events,
                metrics::Registry &Metrics);

  base::Result<void> start();
  void beginStop(const std::function<void()> &Done);

private:
  void tick();
  void pollState();
  void onState(const base::Result<rankgroup::RankState> &State);
  void fillBeat(wire::FleetBeat &Beat) const;
  void requestCounts();
  void recordEngineFailure(const char *Request, const base::Error &Cause);
  void requestExperts();
  void sendNextOrder();
  void sendReport(const std::vector<std::uint64_t> &Chosen);
  void onCommand(const wire::RankCommand &Command);
  void onRankReport(const wire::RankReport &Report);
  void onElected(std::uint64_t Term);
  void startPlanner(std::uint64_t Term,
                    const base::Result<direct::Configuration> &Published);
  void tickPlanner();
  /// Stops planning because another agent has a later term.
  void dropPlanner();
  void sendCommands(const std::vector<wire::RankCommand> &Commands);
  void announcePlanner();
  [[nodiscard]] bool isSwitchOpen() const;

  const RankAgentSettings m_Settings;
  const rankgroup::EnginePort m_Engine;
  const ReadConfiguration m_ReadConfiguration;
  base::Timeline &m_Events;
  metrics::Registry &m_Metrics;
  const base::Clock m_Clock = base::steadyClock();
  rankgroup::RankDriver m_Driver;
  std::unique_ptr<rankgroup::GroupPlanner> m_Planner;
  PlannerElection m_Election;
  fleet::FleetNode m_Fleet;
  net::HttpServer m_MetricsServer;
  boost::asio::steady_timer m_Timer;
  metrics::Histogram &m_PlanningTime;
  std::size_t m_ExpertsPerSet = 0;
  rankgroup::RankExperts m_RankExperts;
  bool m_HasRankExperts = false;
  rankgroup::ExpertCountTracker m_CountTracker;
  bool m_PlannerTickPosted = false;
  bool m_StateInFlight = false;
  bool m_OrderInFlight = false;
  bool m_CountsInFlight = false;
  bool m_ExpertsInFlight = false;
  bool m_EngineReachable = true;
  base::Millis m_StartedAt{};
  base::Millis m_StateRequestedAt{};
  base::Millis m_CountsRequestedAt{};
  base::Millis m_CommandsRepeatedAt{};
  base::Millis m_AnnouncedAt{};
};

} // namespace corneldeck::rankagent

#endif

#ifndef CORNELDECK_RANKAGENT_RANKAGENTNODE_H
#define CORNELDECK_RANKAGENT_RANKAGENTNODE_H

#include "Fleet/FleetNode.h"
#include "Metrics/Registry.h"
#include "Net/HttpServer.h"
#include "RankAgent/EngineProfileReader.h"
#include "RankAgent/GroupAgent.h"
#include "RankAgent/PlannerElection.h"

#include <string>

namespace corneldeck::rankagent {

/// Settings of RankAgentNode.
struct RankAgentSettings {
  fleet::FleetSettings m_Fleet;
  /// Service that the engine belongs to.
  std::string m_Service;
  /// Address of the engine, as in the record of its backend server.
  std::string m_EngineAddress;
  ElectionSettings m_Election;
  rankgroup::TrafficLimits m_Traffic;
};

/// Agent of one engine: a GroupAgent with its network, timers and metrics, and
/// the election of the planner.
class RankAgentNode {
public:
  RankAgentNode(boost::asio::io_context &Context, RankAgentSettings Settings,
                const feed::KeyedLogClient &Log, rankgroup::EnginePort Engine,
                EngineProfileReader::ReadConfiguration Reader,
                base::Timeline &Events, metrics::Registry &Metrics);

  base::Result<void> start();
  void beginStop(const std::function<void()> &Done);

private:
  [[nodiscard]] GroupAgent::Hooks agentHooks();
  void tick();
  void wakeAt(base::Millis Time);
  void fillBeat(wire::FleetBeat &Beat) const;
  void onElected(std::uint64_t Term);
  /// Starts the planner for which this node was elected.
  void startPlanner(const direct::EngineProfile &Profile);
  void announcePlanner();

  const RankAgentSettings m_Settings;
  base::Timeline &m_Events;
  metrics::Registry &m_Metrics;
  const base::Clock m_Clock = base::steadyClock();
  GroupAgent m_Agent;
  PlannerElection m_Election;
  /// Term of the last election of this node.
  std::uint64_t m_ElectedTerm = 0;
  fleet::FleetNode m_Fleet;
  net::HttpClient m_EntryClient;
  EngineProfileReader m_ProfileReader;
  net::HttpServer m_MetricsServer;
  boost::asio::steady_timer m_Timer;
  /// Expires when the agent has a report to send.
  boost::asio::steady_timer m_WakeTimer;
  base::Millis m_WakeAt{};
  bool m_IsWakeArmed = false;
  metrics::Histogram &m_PlanningTime;
  base::Millis m_StartedAt{};
  base::Millis m_AnnouncedAt{};
};

} // namespace corneldeck::rankagent

#endif

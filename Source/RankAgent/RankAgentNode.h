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
  /// The service that the engine belongs to.
  std::string m_Service;
  ElectionSettings m_Election;
  /// Between two looks at the engine, at rest and while a switch is open.
  base::Millis m_RestPeriod = base::Millis(100);
  base::Millis m_SwitchPeriod = base::Millis(30);
  base::Millis m_CountsPeriod = base::Millis(100);
  /// Between two commands to an agent that say nothing new.
  base::Millis m_PlannerBeat = base::Millis(400);
};

/// The process beside one engine: it drives its rank, and plans for the whole
/// group while it holds the lease.
class RankAgentNode {
public:
  /// Reads the published configuration, for the shape of the group's maps.
  using ReadConfiguration = std::function<void(
      std::function<void(base::Result<direct::Configuration>)>)>;

  RankAgentNode(boost::asio::io_context &Context, RankAgentSettings Settings,
                const feed::KeyedLogClient &Log, rankgroup::EnginePort Engine,
                ReadConfiguration Read, base::Timeline &Events,
                metrics::Registry &Metrics);

  base::Result<void> start();
  void beginStop(const std::function<void()> &Done);

private:
  void tick();
  void look();
  void sawState(const base::Result<rankgroup::RankState> &State);
  void fillBeat(wire::FleetBeat &Beat) const;
  void askCounts();
  void engineFailed(const char *Asked, const base::Error &Why);
  void askLists();
  void giveOrder();
  void report(const std::vector<std::uint64_t> &Chosen);
  void takeCommand(const wire::RankCommand &Command);
  void takeReport(const wire::RankReport &Report);
  void wonLease(std::uint64_t Term);
  void startPlanner(std::uint64_t Term,
                    const base::Result<direct::Configuration> &Published);
  void stepPlanner();
  void sendCommands(const std::vector<wire::RankCommand> &Commands);
  void findAgents();
  [[nodiscard]] bool switchOpen() const;

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
  net::HttpServer m_Pages;
  boost::asio::steady_timer m_Timer;
  std::size_t m_Experts = 0;
  rankgroup::RankExperts m_Lists;
  bool m_HasLists = false;
  rankgroup::ExpertCountTracker m_CountTracker;
  bool m_StepPosted = false;
  bool m_Looking = false;
  bool m_Ordering = false;
  bool m_AskingCounts = false;
  bool m_AskingLists = false;
  bool m_EngineAnswers = true;
  base::Millis m_Started{};
  base::Millis m_LookedAt{};
  base::Millis m_CountsAt{};
  base::Millis m_CommandsAt{};
  base::Millis m_FoundAt{};
};

} // namespace corneldeck::rankagent

#endif

#include "RankAgent/RankAgentNode.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

namespace corneldeck::rankagent {

namespace {

constexpr base::Millis TickInterval{30};
/// Interval between two announcements of the planner to the agents that have
/// not reported to it.
constexpr base::Millis AnnounceInterval{500};
constexpr int HttpOk = 200;

net::HttpClientOptions entryClientOptions() {
  net::HttpClientOptions Options;
  Options.m_ConnectTimeout = base::Millis(300);
  // The next request is that of another election.
  Options.m_MaxIdleConnectionsPerAddress = 0;
  return Options;
}

EngineProfileReaderSettings
profileReaderSettings(const RankAgentSettings &Settings) {
  EngineProfileReaderSettings Reader;
  Reader.m_Service = Settings.m_Service;
  Reader.m_Zone = Settings.m_Fleet.m_Zone;
  Reader.m_Seed = Settings.m_Fleet.m_Incarnation ^
                  std::hash<std::string>()(Settings.m_Fleet.m_Node);
  return Reader;
}

} // namespace

RankAgentNode::RankAgentNode(boost::asio::io_context &Context,
                             RankAgentSettings Settings,
                             const feed::KeyedLogClient &Log,
                             rankgroup::EnginePort Engine,
                             EngineProfileReader::ReadConfiguration Reader,
                             base::Timeline &Events, metrics::Registry &Metrics)
    : m_Settings(std::move(Settings)), m_Events(Events), m_Metrics(Metrics),
      m_Agent({.m_Address = m_Settings.m_Fleet.m_PeerAddress,
               .m_Zone = m_Settings.m_Fleet.m_Zone,
               .m_Collector = {}},
              std::move(Engine), m_Clock, Events, agentHooks()),
      m_Election(Log, m_Settings.m_Election, m_Settings.m_Fleet.m_Node,
                 [this](std::uint64_t Term) { onElected(Term); }),
      m_Fleet(Context, m_Settings.m_Fleet, Events, Metrics,
              {[this](wire::FleetBeat &Beat) { fillBeat(Beat); },
               {},
               [this](const wire::GroupReport &Report) {
                 m_Agent.onReport(Report);
               },
               [this](const wire::RankCommand &Command) {
                 m_Agent.onCommand(Command);
               },
               {},
               {},
               {}}),
      m_EntryClient(Context, entryClientOptions()),
      m_ProfileReader(
          Context, m_EntryClient, profileReaderSettings(m_Settings), Events,
          {[this] { return m_Fleet.liveEntries(); }, std::move(Reader),
           [this](const direct::EngineProfile &Profile) {
             startPlanner(Profile);
           }}),
      m_MetricsServer(
          Context, {},
          [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
            Exchange->respond(HttpOk,
                              {{"Content-Type", "text/plain; version=0.0.4"}},
                              m_Metrics.expose());
          }),
      m_Timer(Context), m_WakeTimer(Context),
      m_PlanningTime(Metrics.histogram(
          "corneldeck_planner_ms",
          "Time that one activation of the planner occupies the process.",
          metrics::latencyBounds())),
      m_StartedAt(m_Clock.now()) {}

GroupAgent::Hooks RankAgentNode::agentHooks() {
  GroupAgent::Hooks Hooks;
  Hooks.m_Send = [this](const std::string &Address,
                        const wire::Datagram &Message) {
    m_Fleet.send(Address, Message);
  };
  Hooks.m_Post = [this](std::function<void()> Function) {
    boost::asio::post(
        m_Timer.get_executor(), [this, Function = std::move(Function)] {
          const base::Millis StartedAt = m_Clock.now();
          Function();
          m_PlanningTime.record(
              static_cast<double>((m_Clock.now() - StartedAt).count()));
        });
  };
  Hooks.m_WakeAt = [this](base::Millis Time) { wakeAt(Time); };
  Hooks.m_OnGroupChanged = [this] {
    m_Fleet.setGroup(m_Agent.driver().engineState()->m_Group);
    m_Fleet.announce();
  };
  return Hooks;
}

base::Result<void> RankAgentNode::start() {
  if (auto Listening = m_MetricsServer.listen(m_Settings.m_Fleet.m_PeerAddress);
      !Listening)
    return tl::make_unexpected(Listening.error());
  if (auto Started = m_Fleet.start(); !Started)
    return Started;
  tick();
  return {};
}

void RankAgentNode::beginStop(const std::function<void()> &Done) {
  m_Events.record(base::EventId::ProcessStopping,
                  {{"planner", m_Agent.planner() ? "true" : "false"}});
  m_Fleet.leave();
  Done();
}

void RankAgentNode::tick() {
  m_Agent.tick();
  const base::Millis Now = m_Clock.now();
  const rankgroup::RankDriver &Driver = m_Agent.driver();
  if (m_ProfileReader.isActive() && Driver.term() > m_ElectedTerm)
    m_ProfileReader.cancel();
  if (!m_Agent.planner()) {
    if (const auto &Engine = Driver.engineState();
        Engine && !Engine->m_Group.empty())
      m_Election.tick(Engine->m_Group, Engine->m_Rank,
                      std::max(Driver.lastPlannerContact(), m_StartedAt),
                      Driver.term(), Now);
  } else if (m_Agent.planner()->phase() == rankgroup::SwitchPhase::Gather &&
             Now - m_AnnouncedAt >= AnnounceInterval) {
    announcePlanner();
  }
  m_Timer.expires_after(std::chrono::milliseconds(TickInterval.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      tick();
  });
}

void RankAgentNode::wakeAt(base::Millis Time) {
  if (m_IsWakeArmed && m_WakeAt <= Time)
    return;
  m_IsWakeArmed = true;
  m_WakeAt = Time;
  const base::Millis Wait = std::max(Time - m_Clock.now(), base::Millis(1));
  m_WakeTimer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_WakeTimer.async_wait([this](const boost::system::error_code &Code) {
    if (Code)
      return;
    m_IsWakeArmed = false;
    m_Agent.tick();
  });
}

void RankAgentNode::fillBeat(wire::FleetBeat &Beat) const {
  const auto &Engine = m_Agent.driver().engineState();
  if (!Engine || Engine->m_Group.empty())
    return;
  wire::GroupNews &News = *Beat.mutable_group();
  News.set_service(m_Settings.m_Service);
  News.set_group(Engine->m_Group);
  News.set_epoch(Engine->m_Epoch);
  News.set_open(Engine->m_Open);
  News.set_server_address(m_Settings.m_EngineAddress);
}

void RankAgentNode::onElected(std::uint64_t Term) {
  m_ElectedTerm = Term;
  m_ProfileReader.start();
}

void RankAgentNode::startPlanner(const direct::EngineProfile &Profile) {
  rankgroup::PlannerSettings Settings;
  Settings.m_LayerSets = Profile.m_LayerSets;
  Settings.m_Experts = Profile.m_Experts;
  Settings.m_Placement.m_SlotsPerRank = Profile.m_SlotsPerSet;
  Settings.m_Placement.m_MaxNewPerRank = Profile.m_MaxNewExperts;
  Settings.m_CopyTime = Profile.copyTime();
  Settings.m_Traffic = m_Settings.m_Traffic;
  m_Agent.startPlanner(m_ElectedTerm, Settings);
}

void RankAgentNode::announcePlanner() {
  m_AnnouncedAt = m_Clock.now();
  wire::Datagram Message;
  *Message.mutable_command() = m_Agent.announcement();
  for (const wire::NodeNews &Each : m_Fleet.agents())
    if (!m_Agent.planner()->knows(Each.peer_address()))
      m_Fleet.send(Each.peer_address(), Message);
}

} // namespace corneldeck::rankagent

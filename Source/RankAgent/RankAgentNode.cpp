#include "RankAgent/RankAgentNode.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::rankagent {

namespace {

constexpr base::Millis TickInterval{30};
/// Interval between two announcements of the planner to all agents of the fleet
/// while not all ranks of the group follow it.
constexpr base::Millis AnnounceInterval{500};
constexpr int HttpOk = 200;

} // namespace

RankAgentNode::RankAgentNode(boost::asio::io_context &Context,
                             RankAgentSettings Settings,
                             const feed::KeyedLogClient &Log,
                             rankgroup::EnginePort Engine,
                             ReadConfiguration Reader, base::Timeline &Events,
                             metrics::Registry &Metrics)
    : m_Settings(std::move(Settings)), m_Engine(std::move(Engine)),
      m_ReadConfiguration(std::move(Reader)), m_Events(Events),
      m_Metrics(Metrics),
      m_Election(Log, m_Settings.m_Election, m_Settings.m_Fleet.m_Node,
                 [this](std::uint64_t Term) { onElected(Term); }),
      m_Fleet(Context, m_Settings.m_Fleet, Events, Metrics,
              {[this](wire::FleetBeat &Beat) { fillBeat(Beat); },
               {},
               [this](const wire::RankReport &Report) { onRankReport(Report); },
               [this](const wire::RankCommand &Command) { onCommand(Command); },
               {}}),
      m_MetricsServer(
          Context, {},
          [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
            Exchange->respond(HttpOk,
                              {{"Content-Type", "text/plain; version=0.0.4"}},
                              m_Metrics.expose());
          }),
      m_Timer(Context),
      m_PlanningTime(Metrics.histogram(
          "corneldeck_planner_ms",
          "Time that one activation of the planner occupies the process.",
          metrics::latencyBounds())),
      m_StartedAt(m_Clock.now()) {}

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
                  {{"planner", m_Planner ? "true" : "false"}});
  m_Fleet.leave();
  Done();
}

bool RankAgentNode::isSwitchOpen() const {
  using rankgroup::SwitchPhase;
  if (m_Planner)
    return m_Planner->phase() != SwitchPhase::Idle;
  const auto &Engine = m_Driver.engineState();
  return Engine && (Engine->m_ArmedVersion != 0 || Engine->m_HeldStep != 0 ||
                    Engine->m_PreparedVersion > Engine->m_MapVersion);
}

void RankAgentNode::tick() {
  const base::Millis Now = m_Clock.now();
  const base::Millis Interval = isSwitchOpen() ? m_Settings.m_SwitchPollInterval
                                               : m_Settings.m_IdlePollInterval;
  if (!m_StateInFlight && Now - m_StateRequestedAt >= Interval)
    pollState();
  if (m_Planner)
    tickPlanner();
  else if (const auto &Engine = m_Driver.engineState();
           Engine && !Engine->m_Group.empty())
    m_Election.tick(Engine->m_Group, Engine->m_Rank,
                    std::max(m_Driver.lastPlannerContact(), m_StartedAt),
                    m_Driver.term(), Now);
  m_Timer.expires_after(std::chrono::milliseconds(TickInterval.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      tick();
  });
}

void RankAgentNode::pollState() {
  m_StateInFlight = true;
  m_StateRequestedAt = m_Clock.now();
  m_Engine.m_GetState([this](const base::Result<rankgroup::RankState> &State) {
    m_StateInFlight = false;
    onState(State);
  });
}

void RankAgentNode::onState(const base::Result<rankgroup::RankState> &State) {
  if (State.has_value() != m_EngineReachable) {
    m_EngineReachable = State.has_value();
    m_Events.record(State ? base::EventId::DependencyBack
                          : base::EventId::DependencyLost,
                    {{"on", "engine"},
                     {"why", State ? std::string() : State.error().m_Message}});
  }
  if (!State || State->m_Group.empty())
    return;
  const auto &Previous = m_Driver.engineState();
  const bool MapChanged = !Previous || Previous->m_Epoch != State->m_Epoch ||
                          Previous->m_MapVersion != State->m_MapVersion;
  const bool GroupChanged = !Previous || Previous->m_Open != State->m_Open ||
                            Previous->m_Epoch != State->m_Epoch;
  if (GroupChanged)
    m_Events.record(State->m_Open ? base::EventId::GroupBack
                                  : base::EventId::GroupOut,
                    {{"group", State->m_Group},
                     {"epoch", std::to_string(State->m_Epoch)},
                     {"rank", std::to_string(State->m_Rank)},
                     {"step", std::to_string(State->m_Step)}});
  m_Driver.updateState(*State);
  if (GroupChanged)
    m_Fleet.announce();
  if (MapChanged)
    m_HasRankExperts = false;
  if (!m_HasRankExperts && !m_ExpertsInFlight)
    requestExperts();
  sendNextOrder();
  if (m_Clock.now() - m_CountsRequestedAt >= m_Settings.m_CountsInterval &&
      !m_CountsInFlight && State->m_Step != m_CountTracker.last().m_Step)
    requestCounts();
  else
    sendReport({});
}

void RankAgentNode::fillBeat(wire::FleetBeat &Beat) const {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Engine->m_Group.empty())
    return;
  wire::GroupNews &News = *Beat.mutable_group();
  News.set_service(m_Settings.m_Service);
  News.set_group(Engine->m_Group);
  News.set_epoch(Engine->m_Epoch);
  News.set_open(Engine->m_Open);
}

void RankAgentNode::requestCounts() {
  m_CountsInFlight = true;
  m_CountsRequestedAt = m_Clock.now();
  m_Engine.m_GetCounts([this](base::Result<rankgroup::ExpertCounts> Counts) {
    m_CountsInFlight = false;
    // The planner needs the rank's state even if the counts are missing.
    if (!Counts) {
      recordEngineFailure("counts", Counts.error());
      sendReport({});
      return;
    }
    sendReport(m_CountTracker.update(std::move(*Counts)));
  });
}

void RankAgentNode::recordEngineFailure(const char *Request,
                                        const base::Error &Cause) {
  m_Events.record(
      base::EventId::DependencyLost,
      {{"on", "engine"}, {"asked", Request}, {"why", Cause.m_Message}});
}

void RankAgentNode::requestExperts() {
  m_ExpertsInFlight = true;
  m_Engine.m_GetExperts([this](base::Result<rankgroup::RankExperts> Experts) {
    m_ExpertsInFlight = false;
    if (!Experts) {
      recordEngineFailure("lists", Experts.error());
      return;
    }
    m_RankExperts = std::move(*Experts);
    m_HasRankExperts = true;
  });
}

void RankAgentNode::sendNextOrder() {
  if (m_OrderInFlight)
    return;
  const std::size_t Sets = m_RankExperts.m_ExpertsBySet.size();
  if (const std::size_t CountSize = m_CountTracker.last().m_Counts.size();
      Sets > 0 && CountSize > 0)
    m_ExpertsPerSet = CountSize / Sets;
  const auto Order = m_Driver.nextOrder(m_Clock.now(), m_ExpertsPerSet);
  if (!Order)
    return;
  m_OrderInFlight = true;
  const base::Millis StartedAt = m_Clock.now();
  m_Engine.m_SendOrder(
      *Order, [this, Order = *Order,
               StartedAt](const base::Result<rankgroup::OrderResult> &Result) {
        m_OrderInFlight = false;
        const base::Millis Now = m_Clock.now();
        std::string Outcome = "no answer";
        if (Result)
          Outcome = *Result == rankgroup::OrderResult::Accepted ? "accepted"
                                                                : "unfit";
        m_Events.record(base::EventId::EngineOrdered,
                        {{"order", std::string(rankgroup::name(Order.m_Kind))},
                         {"version", std::to_string(Order.m_Version)},
                         {"step", std::to_string(Order.m_Step)},
                         {"epoch", std::to_string(Order.m_Epoch)},
                         {"term", std::to_string(m_Driver.term())},
                         {"outcome", Outcome},
                         {"ms", std::to_string((Now - StartedAt).count())}});
        m_Driver.onOrderResult(Result, Now);
        if (!m_StateInFlight)
          pollState();
      });
}

void RankAgentNode::sendReport(const std::vector<std::uint64_t> &Chosen) {
  wire::Datagram Message;
  wire::RankReport &Report = *Message.mutable_report();
  m_Driver.fillReport(Report);
  Report.set_agent(m_Settings.m_Fleet.m_PeerAddress);
  const auto &Engine = m_Driver.engineState();
  const bool ExpertsCurrent =
      m_HasRankExperts && Engine && m_RankExperts.m_Epoch == Engine->m_Epoch &&
      m_RankExperts.m_MapVersion == Engine->m_MapVersion;
  if (m_HasRankExperts && !ExpertsCurrent)
    m_HasRankExperts = false;
  if (ExpertsCurrent)
    for (const auto &Set : m_RankExperts.m_ExpertsBySet) {
      Report.add_held(static_cast<std::uint32_t>(Set.size()));
      for (const std::uint32_t Each : Set)
        Report.add_held(Each);
    }
  for (const std::uint64_t Each : Chosen)
    Report.add_chosen(Each);
  if (m_Planner)
    onRankReport(Report);
  else if (!m_Driver.planner().empty())
    m_Fleet.send(m_Driver.planner(), Message);
}

void RankAgentNode::onCommand(const wire::RankCommand &Command) {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Engine->m_Group != Command.group())
    return;
  const bool IsNewPlanner = Command.planner_term() != m_Driver.term();
  if (!m_Driver.acceptCommand(Command, m_Clock.now()))
    return;
  if (IsNewPlanner)
    m_Events.record(base::EventId::PlannerChanged,
                    {{"group", Command.group()},
                     {"planner", Command.planner()},
                     {"term", std::to_string(Command.planner_term())}});
  if (m_Planner && m_Planner->term() < Command.planner_term())
    dropPlanner();
  sendNextOrder();
  if (IsNewPlanner && !m_StateInFlight)
    pollState();
}

void RankAgentNode::onRankReport(const wire::RankReport &Report) {
  const auto &Engine = m_Driver.engineState();
  if (!m_Planner || !Engine || Report.group() != Engine->m_Group)
    return;
  m_Planner->onReport(Report, m_Clock.now());
  // Processes all reports that arrive together in one tick of the planner.
  if (m_PlannerTickPosted)
    return;
  m_PlannerTickPosted = true;
  boost::asio::post(m_Timer.get_executor(), [this] {
    m_PlannerTickPosted = false;
    if (m_Planner)
      tickPlanner();
  });
}

void RankAgentNode::onElected(std::uint64_t Term) {
  m_ReadConfiguration(
      [this, Term](const base::Result<direct::Configuration> &Published) {
        startPlanner(Term, Published);
      });
}

void RankAgentNode::startPlanner(
    std::uint64_t Term, const base::Result<direct::Configuration> &Published) {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Term < m_Driver.term())
    return;
  const direct::Service *Service =
      Published ? Published->findService(m_Settings.m_Service) : nullptr;
  if (!Service || !Service->m_Engine || Service->m_Engine->m_LayerSets == 0) {
    m_Events.record(
        base::EventId::RecordUnreadable,
        {{"feed", "configuration"},
         {"service", m_Settings.m_Service},
         {"why", Published ? "the service has no engine with experts"
                           : Published.error().m_Message}});
    return;
  }
  const direct::EngineProfile &Profile = *Service->m_Engine;
  rankgroup::PlannerSettings Settings;
  Settings.m_LayerSets = Profile.m_LayerSets;
  Settings.m_Experts = Profile.m_Experts;
  Settings.m_Placement.m_SlotsPerRank = Profile.m_SlotsPerSet;
  Settings.m_Placement.m_MaxNewPerRank = Profile.m_MaxNewExperts;
  m_ExpertsPerSet = Profile.m_Experts;
  m_Planner = std::make_unique<rankgroup::GroupPlanner>(
      Engine->m_Group, m_Settings.m_Fleet.m_PeerAddress, Term, Settings,
      m_Events);
  wire::RankCommand Announcement;
  Announcement.set_group(Engine->m_Group);
  Announcement.set_planner(m_Settings.m_Fleet.m_PeerAddress);
  Announcement.set_planner_term(Term);
  onCommand(Announcement);
}

void RankAgentNode::tickPlanner() {
  const base::Millis Now = m_Clock.now();
  const bool Repeat =
      Now - m_CommandsRepeatedAt >= m_Settings.m_CommandRepeatInterval;
  if (Repeat)
    m_CommandsRepeatedAt = Now;
  const auto Commands = m_Planner->tick(Now, Repeat);
  m_PlanningTime.record(static_cast<double>((m_Clock.now() - Now).count()));
  if (m_Planner->isSuperseded()) {
    dropPlanner();
    return;
  }
  sendCommands(Commands);
  if (m_Planner && m_Planner->phase() == rankgroup::SwitchPhase::Gather &&
      Now - m_AnnouncedAt >= AnnounceInterval)
    announcePlanner();
}

void RankAgentNode::dropPlanner() {
  m_Events.record(base::EventId::PlannerChanged,
                  {{"term", std::to_string(m_Planner->term())},
                   {"why", "superseded by a newer planner"},
                   {"phase", std::string(name(m_Planner->phase()))},
                   {"reports", m_Planner->describeReports(m_Clock.now())}});
  m_Planner.reset();
}

void RankAgentNode::sendCommands(
    const std::vector<wire::RankCommand> &Commands) {
  for (const wire::RankCommand &Command : Commands) {
    if (!m_Planner)
      return;
    const std::string Agent = m_Planner->agentAddress(Command.rank());
    if (Agent == m_Settings.m_Fleet.m_PeerAddress) {
      onCommand(Command);
      continue;
    }
    wire::Datagram Message;
    *Message.mutable_command() = Command;
    m_Fleet.send(Agent, Message);
  }
}

void RankAgentNode::announcePlanner() {
  m_AnnouncedAt = m_Clock.now();
  wire::Datagram Message;
  wire::RankCommand &Announcement = *Message.mutable_command();
  Announcement.set_group(m_Driver.engineState()->m_Group);
  Announcement.set_planner(m_Settings.m_Fleet.m_PeerAddress);
  Announcement.set_planner_term(m_Planner->term());
  for (const wire::NodeNews &Each : m_Fleet.agents())
    m_Fleet.send(Each.peer_address(), Message);
}

} // namespace corneldeck::rankagent

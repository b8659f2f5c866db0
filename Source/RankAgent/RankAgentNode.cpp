#include "RankAgent/RankAgentNode.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::rankagent {

namespace {

constexpr base::Millis TickPeriod{30};
/// Between two calls for the agents of a group whose ranks are not all known.
constexpr base::Millis FindPeriod{500};
constexpr int Ok = 200;

} // namespace

RankAgentNode::RankAgentNode(boost::asio::io_context &Context,
                             RankAgentSettings Settings,
                             const feed::KeyedLogClient &Log,
                             rankgroup::EnginePort Engine,
                             ReadConfiguration Read, base::Timeline &Events,
                             metrics::Registry &Metrics)
    : m_Settings(std::move(Settings)), m_Engine(std::move(Engine)),
      m_ReadConfiguration(std::move(Read)), m_Events(Events),
      m_Metrics(Metrics),
      m_Election(Log, m_Settings.m_Election, m_Settings.m_Fleet.m_Node,
                 [this](std::uint64_t Term) { wonLease(Term); }),
      m_Fleet(
          Context, m_Settings.m_Fleet, Events,
          {[this](wire::FleetBeat &Beat) { fillBeat(Beat); },
           {},
           [this](const wire::RankReport &Report) { takeReport(Report); },
           [this](const wire::RankCommand &Command) { takeCommand(Command); },
           {}}),
      m_Pages(Context, {},
              [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
                Exchange->respond(
                    Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                    m_Metrics.expose());
              }),
      m_Timer(Context), m_Started(m_Clock.now()) {}

base::Result<void> RankAgentNode::start() {
  if (auto Listening = m_Pages.listen(m_Settings.m_Fleet.m_PeerAddress);
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

bool RankAgentNode::switchOpen() const {
  using rankgroup::SwitchPhase;
  if (m_Planner)
    return m_Planner->phase() != SwitchPhase::Idle;
  const auto &Engine = m_Driver.engineState();
  return Engine && (Engine->m_ArmedVersion != 0 || Engine->m_HeldStep != 0 ||
                    Engine->m_PreparedVersion > Engine->m_MapVersion);
}

void RankAgentNode::tick() {
  const base::Millis Now = m_Clock.now();
  const base::Millis Period =
      switchOpen() ? m_Settings.m_SwitchPeriod : m_Settings.m_RestPeriod;
  if (!m_Looking && Now - m_LookedAt >= Period)
    look();
  if (m_Planner)
    stepPlanner();
  else if (const auto &Engine = m_Driver.engineState();
           Engine && !Engine->m_Group.empty())
    m_Election.tick(Engine->m_Group, Engine->m_Rank,
                    std::max(m_Driver.lastPlannerContact(), m_Started),
                    m_Driver.term(), Now);
  m_Timer.expires_after(std::chrono::milliseconds(TickPeriod.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      tick();
  });
}

void RankAgentNode::look() {
  m_Looking = true;
  m_LookedAt = m_Clock.now();
  m_Engine.m_GetState([this](const base::Result<rankgroup::RankState> &State) {
    m_Looking = false;
    sawState(State);
  });
}

void RankAgentNode::sawState(const base::Result<rankgroup::RankState> &State) {
  if (State.has_value() != m_EngineAnswers) {
    m_EngineAnswers = State.has_value();
    m_Events.record(State ? base::EventId::DependencyBack
                          : base::EventId::DependencyLost,
                    {{"on", "engine"},
                     {"why", State ? std::string() : State.error().m_Message}});
  }
  if (!State || State->m_Group.empty())
    return;
  const auto &Before = m_Driver.engineState();
  const bool OtherMap = !Before || Before->m_Epoch != State->m_Epoch ||
                        Before->m_MapVersion != State->m_MapVersion;
  const bool OtherGroup = !Before || Before->m_Open != State->m_Open ||
                          Before->m_Epoch != State->m_Epoch;
  if (OtherGroup)
    m_Events.record(State->m_Open ? base::EventId::GroupBack
                                  : base::EventId::GroupOut,
                    {{"group", State->m_Group},
                     {"epoch", std::to_string(State->m_Epoch)},
                     {"rank", std::to_string(State->m_Rank)},
                     {"step", std::to_string(State->m_Step)}});
  m_Driver.updateState(*State);
  if (OtherGroup)
    m_Fleet.announce();
  if (OtherMap)
    m_HasLists = false;
  if (!m_HasLists && !m_AskingLists)
    askLists();
  giveOrder();
  if (m_Clock.now() - m_CountsAt >= m_Settings.m_CountsPeriod &&
      !m_AskingCounts && State->m_Step != m_CountTracker.last().m_Step)
    askCounts();
  else
    report({});
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

void RankAgentNode::askCounts() {
  m_AskingCounts = true;
  m_CountsAt = m_Clock.now();
  m_Engine.m_GetCounts([this](base::Result<rankgroup::ExpertCounts> Counts) {
    m_AskingCounts = false;
    // The planner needs the rank's state also without counts.
    if (!Counts) {
      engineFailed("counts", Counts.error());
      report({});
      return;
    }
    report(m_CountTracker.update(std::move(*Counts)));
  });
}

void RankAgentNode::engineFailed(const char *Asked, const base::Error &Why) {
  m_Events.record(base::EventId::DependencyLost,
                  {{"on", "engine"}, {"asked", Asked}, {"why", Why.m_Message}});
}

void RankAgentNode::askLists() {
  m_AskingLists = true;
  m_Engine.m_GetExperts([this](base::Result<rankgroup::RankExperts> Lists) {
    m_AskingLists = false;
    if (!Lists) {
      engineFailed("lists", Lists.error());
      return;
    }
    m_Lists = std::move(*Lists);
    m_HasLists = true;
  });
}

void RankAgentNode::giveOrder() {
  if (m_Ordering)
    return;
  const std::size_t Sets = m_Lists.m_ExpertsBySet.size();
  if (const std::size_t Counted = m_CountTracker.last().m_Counts.size();
      Sets > 0 && Counted > 0)
    m_Experts = Counted / Sets;
  const auto Order = m_Driver.nextOrder(m_Clock.now(), m_Experts);
  if (!Order)
    return;
  m_Ordering = true;
  const base::Millis Begun = m_Clock.now();
  m_Engine.m_SendOrder(
      *Order, [this, Order = *Order,
               Begun](const base::Result<rankgroup::OrderResult> &Answer) {
        m_Ordering = false;
        const base::Millis Now = m_Clock.now();
        std::string Outcome = "no answer";
        if (Answer)
          Outcome = *Answer == rankgroup::OrderResult::Accepted ? "accepted"
                                                                : "unfit";
        m_Events.record(base::EventId::EngineOrdered,
                        {{"order", std::string(rankgroup::name(Order.m_Kind))},
                         {"version", std::to_string(Order.m_Version)},
                         {"step", std::to_string(Order.m_Step)},
                         {"epoch", std::to_string(Order.m_Epoch)},
                         {"term", std::to_string(m_Driver.term())},
                         {"outcome", Outcome},
                         {"ms", std::to_string((Now - Begun).count())}});
        m_Driver.onOrderResult(Answer, Now);
        if (!m_Looking)
          look();
      });
}

void RankAgentNode::report(const std::vector<std::uint64_t> &Chosen) {
  wire::Datagram Message;
  wire::RankReport &Report = *Message.mutable_report();
  m_Driver.fillReport(Report);
  Report.set_agent(m_Settings.m_Fleet.m_PeerAddress);
  const auto &Engine = m_Driver.engineState();
  const bool ListsFit = m_HasLists && Engine &&
                        m_Lists.m_Epoch == Engine->m_Epoch &&
                        m_Lists.m_MapVersion == Engine->m_MapVersion;
  if (m_HasLists && !ListsFit)
    m_HasLists = false;
  if (ListsFit)
    for (const auto &Set : m_Lists.m_ExpertsBySet) {
      Report.add_held(static_cast<std::uint32_t>(Set.size()));
      for (const std::uint32_t Each : Set)
        Report.add_held(Each);
    }
  for (const std::uint64_t Each : Chosen)
    Report.add_chosen(Each);
  if (m_Planner)
    takeReport(Report);
  else if (!m_Driver.planner().empty())
    m_Fleet.send(m_Driver.planner(), Message);
}

void RankAgentNode::takeCommand(const wire::RankCommand &Command) {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Engine->m_Group != Command.group())
    return;
  const bool IsNew = Command.planner_term() != m_Driver.term();
  if (!m_Driver.acceptCommand(Command, m_Clock.now()))
    return;
  if (IsNew)
    m_Events.record(base::EventId::PlannerChanged,
                    {{"group", Command.group()},
                     {"planner", Command.planner()},
                     {"term", std::to_string(Command.planner_term())}});
  if (m_Planner && m_Planner->term() < Command.planner_term())
    m_Planner.reset();
  giveOrder();
  if (IsNew && !m_Looking)
    look();
}

void RankAgentNode::takeReport(const wire::RankReport &Report) {
  const auto &Engine = m_Driver.engineState();
  if (!m_Planner || !Engine || Report.group() != Engine->m_Group)
    return;
  m_Planner->onReport(Report, m_Clock.now());
  // Reports that are read together are answered together.
  if (m_StepPosted)
    return;
  m_StepPosted = true;
  boost::asio::post(m_Timer.get_executor(), [this] {
    m_StepPosted = false;
    if (m_Planner)
      stepPlanner();
  });
}

void RankAgentNode::wonLease(std::uint64_t Term) {
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
  m_Experts = Profile.m_Experts;
  m_Planner = std::make_unique<rankgroup::GroupPlanner>(
      Engine->m_Group, m_Settings.m_Fleet.m_PeerAddress, Term, Settings,
      m_Events);
  wire::RankCommand Follow;
  Follow.set_group(Engine->m_Group);
  Follow.set_planner(m_Settings.m_Fleet.m_PeerAddress);
  Follow.set_planner_term(Term);
  takeCommand(Follow);
}

void RankAgentNode::stepPlanner() {
  const base::Millis Now = m_Clock.now();
  const bool Repeat = Now - m_CommandsAt >= m_Settings.m_PlannerBeat;
  if (Repeat)
    m_CommandsAt = Now;
  const auto Commands = m_Planner->tick(Now, Repeat);
  if (m_Planner->isSuperseded()) {
    m_Events.record(base::EventId::PlannerChanged,
                    {{"term", std::to_string(m_Planner->term())},
                     {"why", "a later planner was seen"}});
    m_Planner.reset();
    return;
  }
  sendCommands(Commands);
  if (m_Planner && m_Planner->phase() == rankgroup::SwitchPhase::Gather &&
      Now - m_FoundAt >= FindPeriod)
    findAgents();
}

void RankAgentNode::sendCommands(
    const std::vector<wire::RankCommand> &Commands) {
  for (const wire::RankCommand &Command : Commands) {
    if (!m_Planner)
      return;
    const std::string Agent = m_Planner->agentAddress(Command.rank());
    if (Agent == m_Settings.m_Fleet.m_PeerAddress) {
      takeCommand(Command);
      continue;
    }
    wire::Datagram Message;
    *Message.mutable_command() = Command;
    m_Fleet.send(Agent, Message);
  }
}

void RankAgentNode::findAgents() {
  m_FoundAt = m_Clock.now();
  wire::Datagram Message;
  wire::RankCommand &Follow = *Message.mutable_command();
  Follow.set_group(m_Driver.engineState()->m_Group);
  Follow.set_planner(m_Settings.m_Fleet.m_PeerAddress);
  Follow.set_planner_term(m_Planner->term());
  for (const wire::NodeNews &Each : m_Fleet.agents())
    m_Fleet.send(Each.peer_address(), Message);
}

} // namespace corneldeck::rankagent

#include "RankAgent/GroupAgent.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace corneldeck::rankagent {

namespace {

/// \returns the fields of a report whose change the planner waits for.
auto switchState(const wire::RankReport &Report) {
  return std::tuple(Report.epoch(), Report.open(), Report.map_version(),
                    Report.prepared_version(), Report.armed_version(),
                    Report.armed_step(), Report.held_step(),
                    Report.planner_term(), Report.command(),
                    Report.command_result());
}

} // namespace

GroupAgent::GroupAgent(GroupAgentSettings Settings,
                       rankgroup::EnginePort Engine, base::Clock Time,
                       base::Timeline &Events, Hooks Callbacks)
    : m_Settings(std::move(Settings)), m_Engine(std::move(Engine)),
      m_Clock(std::move(Time)), m_Events(Events), m_Hooks(std::move(Callbacks)),
      m_Collector(m_Settings.m_Collector) {}

void GroupAgent::tick() {
  const base::Millis Interval = isSwitchOpen() ? m_Settings.m_SwitchPollInterval
                                               : m_Settings.m_IdlePollInterval;
  if (!m_StateInFlight && m_Clock.now() - m_StateRequestedAt >= Interval)
    pollState();
  if (m_Planner)
    tickPlanner();
  sendDueReports();
}

bool GroupAgent::isSwitchOpen() const {
  if (m_Planner)
    return m_Planner->phase() != rankgroup::SwitchPhase::Idle;
  const auto &Engine = m_Driver.engineState();
  return Engine && (Engine->m_ArmedVersion != 0 || Engine->m_HeldStep != 0 ||
                    Engine->m_PreparedVersion > Engine->m_MapVersion ||
                    m_Driver.isPreparing());
}

void GroupAgent::pollState() {
  if (m_StateInFlight) {
    m_PollAgain = true;
    return;
  }
  m_StateInFlight = true;
  m_PollAgain = false;
  m_StateRequestedAt = m_Clock.now();
  m_Engine.m_GetState([this](const base::Result<rankgroup::RankState> &State) {
    m_StateInFlight = false;
    onState(State);
    if (m_PollAgain)
      pollState();
  });
}

void GroupAgent::onState(const base::Result<rankgroup::RankState> &State) {
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
    m_Hooks.m_OnGroupChanged();
  if (MapChanged)
    m_HasRankExperts = false;
  if (!m_HasRankExperts && !m_ExpertsInFlight)
    requestExperts();
  sendNextOrder();
  if (m_Round > m_AnsweredRound && !m_CountsInFlight &&
      State->m_Step != m_CountTracker.last().m_Step)
    requestCounts();
  else
    report({});
}

void GroupAgent::requestCounts() {
  m_CountsInFlight = true;
  m_Engine.m_GetCounts([this](base::Result<rankgroup::ExpertCounts> Counts) {
    m_CountsInFlight = false;
    // The planner needs the rank's state even if the counts are missing.
    if (!Counts) {
      recordEngineFailure("counts", Counts.error());
      report({});
      return;
    }
    report(m_CountTracker.update(std::move(*Counts)));
  });
}

void GroupAgent::recordEngineFailure(const char *Request,
                                     const base::Error &Cause) {
  m_Events.record(
      base::EventId::DependencyLost,
      {{"on", "engine"}, {"asked", Request}, {"why", Cause.m_Message}});
}

void GroupAgent::requestExperts() {
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

bool GroupAgent::hasCurrentExperts() const {
  const auto &Engine = m_Driver.engineState();
  return m_HasRankExperts && Engine &&
         m_RankExperts.m_Epoch == Engine->m_Epoch &&
         m_RankExperts.m_MapVersion == Engine->m_MapVersion;
}

void GroupAgent::sendNextOrder() {
  if (m_OrderInFlight)
    return;
  const auto Order = m_Driver.nextOrder(m_Clock.now());
  if (!Order)
    return;
  m_OrderInFlight = true;
  const base::Millis StartedAt = m_Clock.now();
  m_Engine.m_SendOrder(
      *Order, [this, Kind = Order->m_Kind, Version = Order->m_Version,
               Step = Order->m_Step, Epoch = Order->m_Epoch,
               StartedAt](const base::Result<rankgroup::OrderResult> &Result) {
        m_OrderInFlight = false;
        const base::Millis Now = m_Clock.now();
        std::string Outcome = "no answer";
        if (Result)
          Outcome = *Result == rankgroup::OrderResult::Accepted ? "accepted"
                                                                : "unfit";
        m_Events.record(base::EventId::EngineOrdered,
                        {{"order", std::string(rankgroup::name(Kind))},
                         {"version", std::to_string(Version)},
                         {"step", std::to_string(Step)},
                         {"epoch", std::to_string(Epoch)},
                         {"term", std::to_string(m_Driver.term())},
                         {"outcome", Outcome},
                         {"ms", std::to_string((Now - StartedAt).count())}});
        m_Driver.onOrderResult(Result, Now);
        pollState();
      });
}

void GroupAgent::report(const std::vector<std::uint64_t> &Chosen) {
  const auto &Engine = m_Driver.engineState();
  wire::GroupReport Message;
  Message.set_group(Engine->m_Group);
  Message.set_sender(Engine->m_Rank);
  wire::RankReport &Report = *Message.add_ranks();
  m_Driver.fillReport(Report);
  Report.set_agent(m_Settings.m_Address);
  Report.set_zone(m_Settings.m_Zone);
  Report.set_round(m_Round);
  if (m_HasRankExperts && !hasCurrentExperts())
    m_HasRankExperts = false;
  const bool WithExperts = m_ExpertsRequested && hasCurrentExperts();
  const bool StateChanged = switchState(Report) != switchState(m_LastReport);
  const bool IsReply = m_Round > m_AnsweredRound && !m_CountsInFlight;
  if (!StateChanged && !IsReply && !m_ReportRequested && Chosen.empty() &&
      !m_Planner)
    return;
  m_ReportRequested = false;
  if (!IsReply)
    Report.set_round(m_AnsweredRound);
  m_AnsweredRound = std::max(m_AnsweredRound, Report.round());
  m_LastReport = Report;
  if (WithExperts) {
    m_ExpertsRequested = false;
    for (const auto &Set : m_RankExperts.m_ExpertsBySet) {
      Report.add_held(static_cast<std::uint32_t>(Set.size()));
      for (const std::uint32_t Each : Set)
        Report.add_held(Each);
    }
  }
  Message.mutable_chosen()->Add(Chosen.begin(), Chosen.end());
  Message.set_urgent(StateChanged || std::exchange(m_IsReportUrgent, false));
  onReport(Message);
}

void GroupAgent::onReport(const wire::GroupReport &Report) {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Report.group() != Engine->m_Group)
    return;
  if (!m_Planner) {
    m_Collector.add(Report, m_Clock.now());
    sendDueReports();
    return;
  }
  m_Planner->onReport(Report, m_Clock.now());
  // Processes all reports that arrive together in one tick of the planner.
  if (m_PlannerTickPosted)
    return;
  m_PlannerTickPosted = true;
  m_Hooks.m_Post([this] {
    m_PlannerTickPosted = false;
    if (m_Planner)
      tickPlanner();
  });
}

void GroupAgent::sendDueReports() {
  if (m_ReplyTo.empty() || m_Planner)
    return;
  if (auto Due = m_Collector.takeDue(m_Clock.now())) {
    const auto &Engine = m_Driver.engineState();
    Due->set_group(Engine->m_Group);
    Due->set_sender(Engine->m_Rank);
    wire::Datagram Message;
    Message.mutable_report()->Swap(&*Due);
    m_Hooks.m_Send(m_ReplyTo, Message);
  } else if (const auto DueAt = m_Collector.dueAt()) {
    m_Hooks.m_WakeAt(*DueAt);
  }
}

void GroupAgent::onCommand(const wire::RankCommand &Command) {
  // A relay forwards even if its own engine does not respond.
  if (Command.planner_term() >= m_Driver.term())
    forward(Command);
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Engine->m_Group != Command.group())
    return;
  const bool IsNewPlanner = Command.planner_term() != m_Driver.term();
  if (!m_Driver.acceptCommand(Command, m_Clock.now()))
    return;
  if (IsNewPlanner) {
    m_Round = 0;
    m_AnsweredRound = 0;
    m_Events.record(base::EventId::PlannerChanged,
                    {{"group", Command.group()},
                     {"planner", Command.planner()},
                     {"term", std::to_string(Command.planner_term())}});
  }
  if (m_Planner && m_Planner->term() < Command.planner_term())
    dropPlanner();
  m_ReplyTo = Command.reply_to();
  m_ExpertsRequested = m_ExpertsRequested || Command.with_experts();
  const bool IsAnnouncement = Command.command() == 0 && Command.round() == 0;
  // The planner repeats a command if the report that confirms it was lost.
  const bool IsRepeated = Command.command() != 0 &&
                          Command.command() <= m_Driver.completedCommand();
  m_ReportRequested = m_ReportRequested || IsAnnouncement || IsRepeated;
  m_IsReportUrgent = m_IsReportUrgent || IsRepeated;
  if (Command.round() > m_Round)
    beginRound(Command);
  sendNextOrder();
  if (IsNewPlanner || IsAnnouncement || IsRepeated)
    pollState();
}

void GroupAgent::beginRound(const wire::RankCommand &Request) {
  m_Round = Request.round();
  m_Collector.beginRound(m_Round,
                         static_cast<std::size_t>(Request.forward_size()) + 1);
  pollState();
}

void GroupAgent::forward(const wire::RankCommand &Command) {
  if (Command.forward().empty())
    return;
  wire::RankCommand Forwarded = Command;
  Forwarded.clear_forward();
  for (const rankgroup::RelayBranch &Each : rankgroup::divideIntoBranches(
           {Command.forward().begin(), Command.forward().end()},
           Command.fanout()))
    send(Forwarded, Each);
}

void GroupAgent::send(const wire::RankCommand &Command,
                      const rankgroup::RelayBranch &Branch) {
  wire::Datagram Message;
  wire::RankCommand &Copy = *Message.mutable_command();
  Copy = Command;
  Copy.mutable_forward()->Add(Branch.m_Descendants.begin(),
                              Branch.m_Descendants.end());
  Copy.set_reply_to(m_Settings.m_Address);
  if (Branch.m_Relay.agent() == m_Settings.m_Address)
    onCommand(Copy);
  else
    m_Hooks.m_Send(Branch.m_Relay.agent(), Message);
}

void GroupAgent::startPlanner(std::uint64_t Term,
                              const rankgroup::PlannerSettings &Settings) {
  const auto &Engine = m_Driver.engineState();
  if (!Engine || Term < m_Driver.term())
    return;
  m_Planner = std::make_unique<rankgroup::GroupPlanner>(
      Engine->m_Group, m_Settings.m_Address, Term, Settings, m_Events);
  onCommand(announcement());
}

wire::RankCommand GroupAgent::announcement() const {
  wire::RankCommand Announcement;
  const auto &Engine = m_Driver.engineState();
  if (!m_Planner || !Engine)
    return Announcement;
  Announcement.set_group(Engine->m_Group);
  Announcement.set_planner(m_Settings.m_Address);
  Announcement.set_planner_term(m_Planner->term());
  Announcement.set_with_experts(true);
  Announcement.set_reply_to(m_Settings.m_Address);
  return Announcement;
}

void GroupAgent::tickPlanner() {
  const base::Millis Now = m_Clock.now();
  const auto Commands = m_Planner->tick(Now);
  if (m_Planner->isSuperseded()) {
    dropPlanner();
    return;
  }
  for (const rankgroup::AddressedCommand &Each : Commands) {
    if (!m_Planner)
      return;
    wire::RankCommand Command = Each.m_Command;
    Command.set_fanout(
        static_cast<std::uint32_t>(m_Planner->fanout(Each.m_Command)));
    for (const rankgroup::RelayBranch &Branch : m_Planner->route(Each, Now))
      send(Command, Branch);
  }
}

void GroupAgent::dropPlanner() {
  m_Events.record(base::EventId::PlannerChanged,
                  {{"term", std::to_string(m_Planner->term())},
                   {"why", "superseded by a newer planner"},
                   {"phase", std::string(name(m_Planner->phase()))},
                   {"reports", m_Planner->describeReports(m_Clock.now())}});
  m_Planner.reset();
}

} // namespace corneldeck::rankagent

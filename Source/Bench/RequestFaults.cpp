#include "Bench/RequestFaults.h"

#include <algorithm>
#include <array>

namespace corneldeck::bench {

using base::Millis;

namespace {

constexpr Millis StallTime{2500};
constexpr Millis MessageDelay{3000};
constexpr Millis RestartTime{1000};
constexpr Millis PauseTime{3000};
constexpr Millis CutTime{3000};
constexpr Millis CatalogueLag{4000};
constexpr Millis LogOutTime{8000};
constexpr Millis MoveBackTime{700};
constexpr Millis DrainTime{2000};
constexpr Millis OutTime{2000};

struct FaultName {
  RequestFault m_Fault;
  std::string_view m_Name;
};

constexpr std::array FaultNames{
    FaultName{RequestFault::EngineStall, "engine-stall"},
    FaultName{RequestFault::MessageLate, "message-late"},
    FaultName{RequestFault::MessageDuplicate, "message-duplicate"},
    FaultName{RequestFault::MessageLost, "message-lost"},
    FaultName{RequestFault::AgentDeath, "agent-death"},
    FaultName{RequestFault::VmReplaced, "vm-replaced"},
    FaultName{RequestFault::EntryDeath, "entry-death"},
    FaultName{RequestFault::EntryPause, "entry-pause"},
    FaultName{RequestFault::AgentPause, "agent-pause"},
    FaultName{RequestFault::LinkSilent, "link-silent"},
    FaultName{RequestFault::LinkCut, "link-cut"},
    FaultName{RequestFault::HomeMoves, "home-moves"},
    FaultName{RequestFault::HomeMovesAndBack, "home-moves-and-back"},
    FaultName{RequestFault::HomeMovesEntryBehind, "home-moves-entry-behind"},
    FaultName{RequestFault::HomeMovesAgentBehind, "home-moves-agent-behind"},
    FaultName{RequestFault::HomeMovesFormerCut, "home-moves-former-cut"},
    FaultName{RequestFault::LogOut, "log-out"},
    FaultName{RequestFault::CallerRetries, "caller-retries"},
    FaultName{RequestFault::AgentDrains, "agent-drains"},
    FaultName{RequestFault::OutOfService, "out-of-service"},
};

constexpr std::array StepNames{
    std::string_view("at-entry"),    std::string_view("start-sent"),
    std::string_view("run-ordered"), std::string_view("backend-began"),
    std::string_view("first-token"), std::string_view("backend-ended"),
    std::string_view("end-sent"),    std::string_view("answered"),
};

/// \returns all agents but \p Without.
std::vector<std::size_t> agentsBut(RequestWorld &World, std::size_t Without) {
  std::vector<std::size_t> Agents;
  for (std::size_t Agent = 0; Agent < World.agents(); ++Agent)
    if (Agent != Without)
      Agents.push_back(Agent);
  return Agents;
}

std::vector<std::size_t> allAgents(RequestWorld &World) {
  return agentsBut(World, World.agents());
}

void strikeProcess(RequestWorld &World, RequestFault Fault, std::size_t Entry,
                   std::size_t Agent) {
  fakes::VirtualTime &Time = World.time();
  switch (Fault) {
  case RequestFault::EngineStall:
    World.stall(Agent, StallTime);
    return;
  case RequestFault::AgentDeath:
  case RequestFault::VmReplaced:
    World.killAgent(Agent, Fault == RequestFault::VmReplaced);
    Time.after(RestartTime, [&World, Agent] { World.startAgent(Agent); });
    return;
  case RequestFault::EntryDeath:
    World.killEntry(Entry);
    Time.after(RestartTime, [&World, Entry] { World.startEntry(Entry); });
    return;
  case RequestFault::EntryPause:
    World.pauseEntry(Entry);
    Time.after(PauseTime, [&World, Entry] { World.resumeEntry(Entry); });
    return;
  case RequestFault::AgentPause:
    World.pauseAgent(Agent);
    Time.after(PauseTime, [&World, Agent] { World.resumeAgent(Agent); });
    return;
  case RequestFault::AgentDrains:
    World.drain(Agent, DrainTime);
    return;
  case RequestFault::OutOfService:
    World.setOutOfService(Agent, true);
    Time.after(OutTime,
               [&World, Agent] { World.setOutOfService(Agent, false); });
    return;
  default:
    return;
  }
}

void strikeNetwork(RequestWorld &World, RequestFault Fault, std::size_t Entry,
                   std::size_t Agent) {
  switch (Fault) {
  case RequestFault::MessageLate:
    World.faultNextFrame(FrameFault::Late, MessageDelay);
    return;
  case RequestFault::MessageDuplicate:
    World.faultNextFrame(FrameFault::Duplicate, MessageDelay);
    return;
  case RequestFault::MessageLost:
    World.faultNextFrame(FrameFault::Lost, MessageDelay);
    return;
  case RequestFault::LinkSilent:
    World.silence(Entry, Agent);
    return;
  case RequestFault::LinkCut:
    World.setCut(Entry, Agent, true);
    World.time().after(
        CutTime, [&World, Entry, Agent] { World.setCut(Entry, Agent, false); });
    return;
  default:
    return;
  }
}

void strikeCatalogue(RequestWorld &World, RequestFault Fault, std::size_t Entry,
                     std::size_t Agent) {
  fakes::VirtualTime &Time = World.time();
  switch (Fault) {
  case RequestFault::HomeMovesEntryBehind:
    World.setEntryLag(Entry, CatalogueLag);
    break;
  case RequestFault::HomeMovesAgentBehind:
    World.setAgentLag(Agent, CatalogueLag);
    break;
  case RequestFault::HomeMovesFormerCut:
    for (const std::size_t Other : agentsBut(World, Agent))
      World.setAgentsCut(Agent, Other, true);
    break;
  case RequestFault::HomeMovesAndBack:
    Time.after(MoveBackTime, [&World] { World.publish(allAgents(World)); });
    break;
  case RequestFault::LogOut:
    // A change is accepted just before; nobody can read it.
    World.publish(agentsBut(World, Agent));
    World.setLogOut(true);
    Time.after(LogOutTime, [&World] { World.setLogOut(false); });
    return;
  case RequestFault::HomeMoves:
    break;
  default:
    return;
  }
  World.publish(agentsBut(World, Agent));
}

} // namespace

std::span<const RequestFault> requestFaults() {
  static const auto Faults = [] {
    std::array<RequestFault, FaultNames.size()> All{};
    std::transform(FaultNames.begin(), FaultNames.end(), All.begin(),
                   [](const FaultName &Each) { return Each.m_Fault; });
    return All;
  }();
  return Faults;
}

std::span<const Step> requestSteps() {
  static constexpr std::array Steps{Step::AtEntry,    Step::StartSent,
                                    Step::RunOrdered, Step::BackendBegan,
                                    Step::FirstToken, Step::BackendEnded,
                                    Step::EndSent,    Step::Answered};
  return Steps;
}

std::string_view name(RequestFault Fault) {
  return FaultNames[static_cast<std::size_t>(Fault)].m_Name;
}

std::string_view name(Step At) {
  return StepNames[static_cast<std::size_t>(At)];
}

void inject(RequestWorld &World, RequestFault Fault, const Call &About,
            std::size_t Agent) {
  const std::size_t Entry = About.m_Entry;
  if (Fault == RequestFault::CallerRetries) {
    // The other entry gets the same request while the first one has it.
    World.submit(About.m_Kind, (Entry + 1) % World.entries(), About.m_Key,
                 About.m_Deadline - About.m_SubmittedAt);
    return;
  }
  strikeProcess(World, Fault, Entry, Agent);
  strikeNetwork(World, Fault, Entry, Agent);
  strikeCatalogue(World, Fault, Entry, Agent);
}

} // namespace corneldeck::bench

// The calls of a RequestWorld: flows at entries, tables at agents.
#include "Base/RendezvousHash.h"
#include "Bench/RequestWorld.h"
#include "Claims/ClaimKey.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;
using base::ResultCode;

namespace {

constexpr Millis CallerDelay{1};
constexpr Millis BackendDelay{1};
constexpr Millis GiveUpAfter{100};

bool keyed(CallKind Kind) {
  return Kind == CallKind::KeyedPlain || Kind == CallKind::KeyedStream;
}

bool streamed(CallKind Kind) {
  return Kind == CallKind::IdempotentStream || Kind == CallKind::KeyedStream;
}

const std::string &requestOf(const wire::LinkFrame &Frame) {
  if (Frame.has_chunk())
    return Frame.chunk().request();
  return Frame.has_end() ? Frame.end().request() : Frame.begun().request();
}

} // namespace

std::size_t RequestWorld::submit(CallKind Kind, std::size_t Entry,
                                 const std::string &Key, Millis Patience,
                                 int Retries) {
  const std::size_t Index = m_Calls.size();
  Call New;
  New.m_Id = "r" + std::to_string(Index);
  New.m_Kind = Kind;
  New.m_Entry = Entry;
  New.m_Key = keyed(Kind) ? Key : "";
  New.m_Content = New.m_Id;
  if (keyed(Kind))
    New.m_Content = (streamed(Kind) ? "stream of " : "answer of ") + Key;
  New.m_SubmittedAt = m_Time.now();
  New.m_Deadline = m_Time.now() + Patience;
  New.m_RetriesLeft = keyed(Kind) ? Retries : 0;
  const Process &To = m_Entries[Entry].m_Process;
  New.m_EntryFailed = !To.m_Alive || To.m_Paused;
  m_CallIndex[New.m_Id] = Index;
  m_CreatedOf.try_emplace(Key, wall());
  m_Calls.push_back(std::move(New));
  post(m_Entries[Entry].m_Process, CallerDelay,
       [this, Entry, Index, Patience] { begin(Entry, Index, Patience); });
  m_Time.after(Patience + GiveUpAfter, [this, Index] {
    if (!m_Calls[Index].m_Outcome)
      retryElsewhere(Index, Millis(0));
  });
  return Index;
}

void RequestWorld::retryElsewhere(std::size_t Index, Millis Wait) {
  const Call &Old = m_Calls[Index];
  if (Old.m_RetriesLeft == 0)
    return;
  m_Time.after(Wait, [this, Index] {
    const Call Again = m_Calls[Index];
    submit(Again.m_Kind, (Again.m_Entry + 1) % m_Entries.size(), Again.m_Key,
           Again.m_Deadline - Again.m_SubmittedAt, Again.m_RetriesLeft - 1);
  });
}

base::Result<request::Target>
RequestWorld::choose(std::size_t Entry, const request::RequestSpec &Spec,
                     const std::vector<std::string> &No) {
  const EntryNode &Node = m_Entries[Entry];
  const auto TargetAt = [&](std::size_t Agent) {
    const EntryLink &Link = Node.m_Links[Agent];
    return request::Target{m_Agents[Agent].m_Process.m_Name, Link.m_Incarnation,
                           *Link.m_Clock.estimate(m_Time.now())};
  };
  if (!Spec.m_Key.empty()) {
    const std::size_t Home = agentIndex(
        claims::homeOf(claims::claimKey("s", "c", Spec.m_Key), Node.m_Servers));
    if (Node.m_Links[Home].m_Up)
      return TargetAt(Home);
    return base::failure(ResultCode::ClaimHomeUnavailable, "");
  }
  const std::size_t First = base::hash64(Spec.m_Id) % Node.m_Servers.size();
  for (std::size_t Next = 0; Next < Node.m_Servers.size(); ++Next) {
    const std::string &Name =
        Node.m_Servers[(First + Next) % Node.m_Servers.size()];
    const std::size_t Agent = agentIndex(Name);
    const bool Excluded = std::find(No.begin(), No.end(), Name) != No.end();
    const EntryLink &Link = Node.m_Links[Agent];
    if (!Excluded && Link.m_Up && !Link.m_Leaving)
      return TargetAt(Agent);
  }
  return base::failure(ResultCode::NoReplica, "");
}

void RequestWorld::begin(std::size_t Entry, std::size_t Index,
                         Millis Patience) {
  const Call &Begun = m_Calls[Index];
  const std::string Id = Begun.m_Id;
  request::RequestSpec Spec;
  Spec.m_Id = Id;
  Spec.m_Service = "s";
  Spec.m_Customer = "c";
  Spec.m_Deadline = m_Time.now() + Patience - CallerDelay;
  Spec.m_Idempotent = Begun.m_Kind == CallKind::IdempotentStream ||
                      m_Options.m_Plant == "retry-after-silence";
  Spec.m_Key = Begun.m_Key;
  if (m_Options.m_TellCreated && !Begun.m_Key.empty())
    Spec.m_KeyCreated = m_CreatedOf[Begun.m_Key];
  Spec.m_CatalogueOffset = m_Entries[Entry].m_Offset;
  Spec.m_Body = Begun.m_Content;
  Spec.m_Stream = streamed(Begun.m_Kind);
  request::FlowHooks Hooks;
  Hooks.m_ChooseAgent = [this, Entry,
                         Spec](Millis, const std::vector<std::string> &No) {
    return choose(Entry, Spec, No);
  };
  Hooks.m_TryConsumeRetry = [] { return true; };
  auto Flow = std::make_unique<request::RequestFlow>(Spec, m_Options.m_Flow,
                                                     std::move(Hooks));
  request::RequestFlow &Its = *Flow;
  m_Entries[Entry].m_Flows[Id] = std::move(Flow);
  const std::uint64_t Incarnation = m_Entries[Entry].m_Process.m_Incarnation;
  reach(Step::AtEntry, Id, agentFor(Its.spec()));
  // The fault may have struck this entry; a pause begins after this event.
  const Process &Here = m_Entries[Entry].m_Process;
  if (Here.m_Alive && Here.m_Incarnation == Incarnation)
    apply(Entry, Id, Its.begin(m_Time.now()));
}

std::size_t RequestWorld::agentFor(const request::RequestSpec &Spec) const {
  if (!Spec.m_Key.empty())
    return homeOf(Spec.m_Key);
  return agentIndex(m_Servers[base::hash64(Spec.m_Id) % m_Servers.size()]);
}

void RequestWorld::apply(std::size_t Entry, const std::string &Request,
                         const request::RequestFlow::Actions &Actions) {
  EntryNode &Node = m_Entries[Entry];
  const std::uint64_t Incarnation = Node.m_Process.m_Incarnation;
  for (const request::FlowAction &Each : Actions) {
    const bool Dead =
        !Node.m_Process.m_Alive || Node.m_Process.m_Incarnation != Incarnation;
    if (Dead)
      return;
    if (const auto *Send = std::get_if<request::SendFrame>(&Each)) {
      const std::size_t Agent = agentIndex(Send->m_Agent);
      toAgent(Entry, Agent, Send->m_Frame);
      if (Send->m_Frame.has_start())
        reach(Step::StartSent, Request, Agent);
    } else if (const auto *Chunk = std::get_if<request::DeliverChunk>(&Each)) {
      deliver(m_Calls[m_CallIndex[Request]], *Chunk);
    } else {
      finish(Entry, m_CallIndex[Request],
             std::get<request::Finish>(Each).m_Outcome);
    }
  }
  armFlow(Entry, Request);
}

void RequestWorld::armFlow(std::size_t Entry, const std::string &Request) {
  EntryNode &Node = m_Entries[Entry];
  const auto Found = Node.m_Flows.find(Request);
  if (Found == Node.m_Flows.end())
    return;
  const auto Next = Found->second->nextTimer();
  if (!Next) {
    Node.m_Flows.erase(Found);
    return;
  }
  post(Node.m_Process, *Next - m_Time.now(), [this, Entry, Request] {
    EntryNode &Here = m_Entries[Entry];
    const auto Still = Here.m_Flows.find(Request);
    if (Still == Here.m_Flows.end())
      return;
    const auto Due = Still->second->nextTimer();
    if (Due && *Due <= m_Time.now())
      apply(Entry, Request, Still->second->onTimer(m_Time.now()));
  });
}

void RequestWorld::deliver(Call &To, const request::DeliverChunk &Chunk) {
  To.m_Broken = To.m_Broken || Chunk.m_FirstToken != To.m_NextToken;
  To.m_NextToken += Chunk.m_Tokens;
  To.m_Text += Chunk.m_Data;
}

void RequestWorld::finish(std::size_t Entry, std::size_t Index,
                          const request::Outcome &Outcome) {
  Call &Told = m_Calls[Index];
  ++Told.m_Finishes;
  Told.m_Outcome = Outcome;
  Told.m_AnsweredAt = m_Time.now();
  const std::string Id = Told.m_Id;
  if (Outcome.m_Code != ResultCode::Ok)
    retryElsewhere(Index, Outcome.m_RetryAfter);
  reach(Step::Answered, Id, agentFor(m_Entries[Entry].m_Flows[Id]->spec()));
}

void RequestWorld::toAgent(std::size_t Entry, std::size_t Agent,
                           const wire::LinkFrame &Frame) {
  Process &Here = m_Entries[Entry].m_Process;
  const EntryLink &Link = m_Entries[Entry].m_Links[Agent];
  if (!Link.m_Up)
    return;
  const auto SendNow = [this, Entry, Agent, Frame, &Here](request::LinkId Id) {
    send(Here, m_Agents[Agent].m_Process, Id, [this, Agent, Id, Frame] {
      AgentNode &Node = m_Agents[Agent];
      const auto Found = Node.m_Links.find(Id);
      if (Found == Node.m_Links.end())
        return;
      Found->second.m_HeardAt = m_Time.now();
      apply(Agent, Node.m_Table->onFrame(m_Time.now(), Id, Frame));
    });
  };
  const FrameFault Fault = std::exchange(m_FrameFault, FrameFault::None);
  if (Fault == FrameFault::Late)
    m_Time.after(m_FrameDelay, [SendNow, Id = Link.m_Id] { SendNow(Id); });
  else if (Fault != FrameFault::Lost)
    SendNow(Link.m_Id);
  if (Fault == FrameFault::Duplicate)
    m_Time.after(m_FrameDelay, [this, SendNow, Entry, Agent] {
      SendNow(m_Entries[Entry].m_Links[Agent].m_Id);
    });
}

wire::LinkFrame RequestWorld::plantFrame(const request::RequestFlow &Flow,
                                         wire::LinkFrame Frame) const {
  if (m_Options.m_Plant != "drop-attempt")
    return Frame;
  if (Frame.has_chunk())
    Frame.mutable_chunk()->set_attempt(Flow.lastAttempt());
  if (Frame.has_end())
    Frame.mutable_end()->set_attempt(Flow.lastAttempt());
  return Frame;
}

void RequestWorld::toEntry(std::size_t Agent, request::LinkId Link,
                           const wire::LinkFrame &Frame) {
  AgentNode &Node = m_Agents[Agent];
  const auto Found = Node.m_Links.find(Link);
  if (Found == Node.m_Links.end())
    return;
  const std::size_t Entry = Found->second.m_Entry;
  Process &There = m_Entries[Entry].m_Process;
  const auto SendNow = [this, Entry, Agent, Link, Frame, &There] {
    send(m_Agents[Agent].m_Process, There, Link,
         [this, Entry, Agent, Frame] { onFrameAtEntry(Entry, Agent, Frame); });
  };
  const FrameFault Fault = std::exchange(m_FrameFault, FrameFault::None);
  if (Fault == FrameFault::Late || Fault == FrameFault::Duplicate)
    m_Time.after(m_FrameDelay, SendNow);
  if (Fault == FrameFault::None || Fault == FrameFault::Duplicate)
    SendNow();
}

void RequestWorld::onFrameAtEntry(std::size_t Entry, std::size_t Agent,
                                  const wire::LinkFrame &Frame) {
  EntryNode &Node = m_Entries[Entry];
  Node.m_Links[Agent].m_HeardAt = m_Time.now();
  const std::string &Request = requestOf(Frame);
  const auto Found = Node.m_Flows.find(Request);
  if (Found == Node.m_Flows.end())
    return;
  const wire::LinkFrame Seen = plantFrame(*Found->second, Frame);
  std::string Name = m_Agents[Agent].m_Process.m_Name;
  if (m_Options.m_Plant == "drop-attempt")
    Name = Found->second->lastAgent();
  apply(Entry, Request, Found->second->onFrame(m_Time.now(), Name, Seen));
}

void RequestWorld::loseLink(std::size_t Entry, std::size_t Agent) {
  EntryNode &Node = m_Entries[Entry];
  EntryLink &Link = Node.m_Links[Agent];
  const std::string Name = m_Agents[Agent].m_Process.m_Name;
  const request::LinkId Old = Link.m_Id;
  if (Link.m_Up)
    ++m_LinksLost;
  Link.m_Up = false;
  send(Node.m_Process, m_Agents[Agent].m_Process, Old,
       [this, Agent, Old] { closeAgentLink(Agent, Old); });
  connect(Entry, Agent);
  for (const std::string &Request : flowsOf(Entry)) {
    const auto Found = Node.m_Flows.find(Request);
    if (Found == Node.m_Flows.end())
      continue;
    apply(Entry, Request, Found->second->onLinkClosed(m_Time.now(), Name));
    if (m_Options.m_Plant != "no-for-unknown")
      continue;
    wire::LinkFrame Frame;
    Frame.mutable_end()->set_request(Request);
    Frame.mutable_end()->set_attempt(Found->second->lastAttempt());
    Frame.mutable_end()->set_code(
        static_cast<std::uint32_t>(ResultCode::Overloaded));
    apply(Entry, Request, Found->second->onFrame(m_Time.now(), Name, Frame));
  }
}

std::vector<std::string> RequestWorld::flowsOf(std::size_t Entry) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Flow] : m_Entries[Entry].m_Flows)
    Names.push_back(Name);
  return Names;
}

void RequestWorld::onHello(std::size_t Entry, std::size_t Agent,
                           request::LinkId Link, std::uint64_t Incarnation,
                           Millis Clock) {
  EntryNode &Node = m_Entries[Entry];
  EntryLink &Its = Node.m_Links[Agent];
  if (Its.m_Id != Link)
    return;
  Its.m_Up = true;
  Its.m_Leaving = false;
  Its.m_Incarnation = Incarnation;
  Its.m_HeardAt = m_Time.now();
  Its.m_Clock.onReading(m_Time.now(), Clock);
  const std::string Name = m_Agents[Agent].m_Process.m_Name;
  for (const std::string &Request : flowsOf(Entry)) {
    const auto Found = Node.m_Flows.find(Request);
    if (Found != Node.m_Flows.end())
      apply(Entry, Request,
            Found->second->onLinkUp(m_Time.now(), Name, Incarnation));
  }
  if (m_OnLinkUp)
    m_OnLinkUp(Entry, Agent);
}

void RequestWorld::reach(Step At, const std::string &Request,
                         std::size_t Agent) {
  if (!m_OnStep)
    return;
  const auto Found = m_CallIndex.find(Request);
  if (Found != m_CallIndex.end())
    m_OnStep(At, m_Calls[Found->second], Agent);
}

void RequestWorld::connectBackend(std::size_t Agent) {
  Process &Here = m_Agents[Agent].m_Process;
  const auto Events = [this, Agent, &Here](auto Event) {
    post(Here, BackendDelay, [this, Agent, Event] {
      apply(Agent, Event(*m_Agents[Agent].m_Table));
    });
  };
  fakes::FakeBackend::Hooks Hooks;
  Hooks.m_Began = [this, Events](std::uint64_t Run) {
    Events([this, Run](request::AttemptTable &Table) {
      return Table.onBackendBegan(m_Time.now(), Run);
    });
  };
  Hooks.m_Chunk = [this, Events](std::uint64_t Run, std::uint32_t Tokens,
                                 const std::string &Data) {
    Events([this, Run, Tokens, Data](request::AttemptTable &Table) {
      return Table.onBackendChunk(m_Time.now(), Run, Tokens, Data);
    });
  };
  Hooks.m_End = [this, Events](std::uint64_t Run, bool Ok,
                               const std::string &Body) {
    request::BackendEnd End;
    End.m_Code = Ok ? ResultCode::Ok : ResultCode::BackendFailed;
    End.m_Ran = Ok ? base::Ran::Yes : base::Ran::No;
    End.m_Body = Body;
    Events([this, Run, End](request::AttemptTable &Table) {
      return Table.onBackendEnd(m_Time.now(), Run, End);
    });
  };
  Hooks.m_Exported = [this, Events](std::uint64_t Run,
                                    const std::string &Location) {
    Events([this, Run, Location](request::AttemptTable &Table) {
      return Table.onBackendExported(m_Time.now(), Run, Location);
    });
  };
  m_Agents[Agent].m_Connection =
      m_Agents[Agent].m_Backend->connect(std::move(Hooks));
}

void RequestWorld::order(std::size_t Agent,
                         const request::StartBackendRun &Run) {
  AgentNode &Node = m_Agents[Agent];
  fakes::BackendCall Call;
  Call.m_Run = Run.m_Run;
  Call.m_Request = Run.m_Start.request();
  Call.m_Attempt = Run.m_Start.attempt();
  Call.m_Key = Run.m_Start.key();
  Call.m_Content = Run.m_Start.body();
  Call.m_Stream = Run.m_Start.stream();
  Call.m_ResumeFrom = Run.m_Start.resume_from();
  Call.m_ResumeText = Run.m_Start.resume_text();
  Call.m_KvLocation = Run.m_Start.kv_location();
  const std::uint64_t Connection = Node.m_Connection;
  fakes::FakeBackend *Backend = Node.m_Backend.get();
  m_Time.after(BackendDelay, [this, Agent, Backend, Connection, Call] {
    Backend->run(Connection, Call);
    reach(Step::BackendBegan, Call.m_Request, Agent);
  });
  reach(Step::RunOrdered, Call.m_Request, Agent);
}

void RequestWorld::apply(std::size_t Agent,
                         const request::AttemptActions &Actions) {
  AgentNode &Node = m_Agents[Agent];
  const std::uint64_t Incarnation = Node.m_Process.m_Incarnation;
  for (const request::AttemptAction &Each : Actions) {
    const bool Dead =
        !Node.m_Process.m_Alive || Node.m_Process.m_Incarnation != Incarnation;
    if (Dead)
      return;
    if (const auto *Run = std::get_if<request::StartBackendRun>(&Each))
      order(Agent, *Run);
    else if (const auto *Stop = std::get_if<request::CancelBackendRun>(&Each))
      Node.m_Backend->cancel(Stop->m_Run);
    else if (const auto *Export =
                 std::get_if<request::ExportBackendStream>(&Each))
      Node.m_Backend->exportCache(Export->m_Run);
    else if (const auto *Fence = std::get_if<request::SendFence>(&Each))
      sendFence(Agent, *Fence);
    else
      sendOnLink(Agent, std::get<request::SendOnLink>(Each));
  }
  if (Node.m_Process.m_Alive && Node.m_Process.m_Incarnation == Incarnation)
    armTable(Agent);
}

void RequestWorld::sendOnLink(std::size_t Agent,
                              const request::SendOnLink &Send) {
  const wire::LinkFrame &Frame = Send.m_Frame;
  const std::string Request = requestOf(Frame);
  const bool First = Frame.has_chunk() && Frame.chunk().first_token() == 0;
  if (First)
    reach(Step::FirstToken, Request, Agent);
  if (Frame.has_end())
    reach(Step::BackendEnded, Request, Agent);
  toEntry(Agent, Send.m_Link, Frame);
  if (Frame.has_end())
    reach(Step::EndSent, Request, Agent);
}

void RequestWorld::sendFence(std::size_t Agent,
                             const request::SendFence &Fence) {
  const std::size_t Other = agentIndex(Fence.m_Server);
  Process &Here = m_Agents[Agent].m_Process;
  Process &There = m_Agents[Other].m_Process;
  send(Here, There, 0,
       [this, Agent, Other, Ask = Fence.m_Fence, &Here, &There] {
         request::AttemptActions Actions;
         const wire::ClaimFenceReply Reply = m_Agents[Other].m_Table->onFence(
             m_Time.now(), Here.m_Name, Ask, Actions);
         apply(Other, Actions);
         send(There, Here, 0, [this, Agent, Reply, &There] {
           apply(Agent, m_Agents[Agent].m_Table->onFenceReply(
                            m_Time.now(), There.m_Name, Reply));
         });
       });
}

void RequestWorld::armTable(std::size_t Agent) {
  AgentNode &Node = m_Agents[Agent];
  const auto Next = Node.m_Table->nextTimer();
  if (!Next || (Node.m_TimerAt && *Node.m_TimerAt <= *Next))
    return;
  Node.m_TimerAt = Next;
  post(Node.m_Process, *Next - m_Time.now(), [this, Agent, At = *Next] {
    AgentNode &Here = m_Agents[Agent];
    if (Here.m_TimerAt == At)
      Here.m_TimerAt.reset();
    apply(Agent, Here.m_Table->onTimer(m_Time.now()));
  });
}

} // namespace corneldeck::bench

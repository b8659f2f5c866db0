#ifndef CORNELDECK_BENCH_REQUESTWORLD_H
#define CORNELDECK_BENCH_REQUESTWORLD_H

#include "Fakes/FakeBackend.h"
#include "Fakes/FakeNetwork.h"
#include "Fakes/VirtualTime.h"
#include "Request/AgentClock.h"
#include "Request/AttemptTable.h"
#include "Request/RequestFlow.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// What a caller asks for.
enum class CallKind {
  IdempotentStream,
  PlainOnce,   ///< Not idempotent, without a key.
  KeyedPlain,  ///< With an idempotency key.
  KeyedStream, ///< Streamed, with an idempotency key.
};

/// One call and what its caller was told.
struct Call {
  std::string m_Id;
  CallKind m_Kind = CallKind::IdempotentStream;
  std::string m_Key;
  std::string m_Content;
  std::size_t m_Entry = 0;
  base::Millis m_SubmittedAt;
  base::Millis m_Deadline;
  std::string m_Text;
  std::uint32_t m_NextToken = 0;
  bool m_Broken = false;
  int m_Finishes = 0;
  std::optional<request::Outcome> m_Outcome;
  base::Millis m_AnsweredAt;
  /// The entry died or was paused, so that no answer could come in time.
  bool m_EntryFailed = false;
  /// Calls with the same key that its caller may still make.
  int m_RetriesLeft = 0;
};

/// A point on the way of a request, at which a fault can be placed.
enum class Step {
  AtEntry,
  StartSent,
  RunOrdered,
  BackendBegan,
  FirstToken,
  BackendEnded,
  EndSent,
  Answered
};

/// What happens to the next frame of a request.
enum class FrameFault { None, Late, Duplicate, Lost };

/// Settings of one trial.
struct WorldOptions {
  std::size_t m_Entries = 2;
  std::size_t m_Agents = 3;
  std::uint64_t m_Seed = 1;
  /// The mechanism that is turned off; empty for none.
  std::string m_Plant;
  /// Whether callers tell when they first used a key.
  bool m_TellCreated = true;
  request::AttemptSettings m_Attempts;
  request::FlowSettings m_Flow;
};

/// Entries, agents, backend servers and callers on virtual time, with faults to
/// order. The decisions are the product's own; connections, heartbeats and
/// processes are the smallest that carry them.
class RequestWorld {
public:
  explicit RequestWorld(WorldOptions Options);

  fakes::VirtualTime &time() { return m_Time; }
  void advance(base::Millis Span) { m_Time.runUntil(m_Time.now() + Span); }

  /// Submits a call. \returns its index in calls().
  std::size_t submit(CallKind Kind, std::size_t Entry, const std::string &Key,
                     base::Millis Patience, int Retries = 0);

  void killEntry(std::size_t Entry);
  void startEntry(std::size_t Entry);
  /// \param WholeVm the backend server dies too.
  void killAgent(std::size_t Agent, bool WholeVm);
  void startAgent(std::size_t Agent);
  void pauseEntry(std::size_t Entry);
  void pauseAgent(std::size_t Agent);
  void resumeEntry(std::size_t Entry);
  void resumeAgent(std::size_t Agent);
  /// The connections of an entry and an agent go silent; new ones work.
  void silence(std::size_t Entry, std::size_t Agent);
  void setCut(std::size_t Entry, std::size_t Agent, bool Cut);
  void setAgentsCut(std::size_t A, std::size_t B, bool Cut);
  void stall(std::size_t Agent, base::Millis Span);
  void drain(std::size_t Agent, base::Millis Span);
  void setOutOfService(std::size_t Agent, bool Out);
  /// Faults the next frame of a request between any entry and agent.
  void faultNextFrame(FrameFault Fault, base::Millis Delay);
  /// Publishes the backend servers of all services.
  void publish(const std::vector<std::size_t> &Agents);
  /// Catalogue changes take this long to reach a node, or come not at all while
  /// the log is out.
  void setEntryLag(std::size_t Entry, base::Millis Lag);
  void setAgentLag(std::size_t Agent, base::Millis Lag);
  void setLogOut(bool Out);
  /// Ends all faults: restarts, resumes, heals.
  void heal();

  /// \returns the agent that is the home of \p Key by the newest catalogue.
  [[nodiscard]] std::size_t homeOf(const std::string &Key) const;
  [[nodiscard]] bool agentDrained(std::size_t Agent);
  [[nodiscard]] bool agentIdle(std::size_t Agent);
  [[nodiscard]] std::uint64_t linksLost() const { return m_LinksLost; }

  [[nodiscard]] std::size_t entries() const { return m_Entries.size(); }
  [[nodiscard]] std::size_t agents() const { return m_Agents.size(); }
  std::vector<Call> &calls() { return m_Calls; }
  fakes::BackendHistory &history() { return m_History; }

  /// Called at each step of each call, with the agent it concerns.
  std::function<void(Step, const Call &, std::size_t Agent)> m_OnStep;
  /// Called when a connection came into use.
  std::function<void(std::size_t Entry, std::size_t Agent)> m_OnLinkUp;

private:
  struct Process {
    std::string m_Name;
    std::uint64_t m_Incarnation = 0;
    bool m_Alive = false;
    bool m_Paused = false;
    std::vector<std::function<void()>> m_Held;
  };

  struct EntryLink {
    request::LinkId m_Id = 0;
    bool m_Up = false;
    bool m_Leaving = false;
    std::uint64_t m_Incarnation = 0;
    base::Millis m_HeardAt;
    request::AgentClock m_Clock;
  };

  struct EntryNode {
    Process m_Process;
    std::vector<EntryLink> m_Links;
    std::map<std::string, std::unique_ptr<request::RequestFlow>> m_Flows;
    std::uint64_t m_Offset = 0;
    std::vector<std::string> m_Servers;
    base::Millis m_Lag;
  };

  struct AgentLink {
    std::size_t m_Entry = 0;
    base::Millis m_HeardAt;
  };

  struct AgentNode {
    Process m_Process;
    std::unique_ptr<fakes::FakeBackend> m_Backend;
    std::unique_ptr<request::AttemptTable> m_Table;
    std::map<request::LinkId, AgentLink> m_Links;
    std::optional<base::Millis> m_TimerAt;
    std::uint64_t m_Connection = 0;
    base::Millis m_Lag;
  };

  // Processes.
  void post(Process &To, base::Millis Delay, std::function<void()> Todo);
  static void runIn(Process &In, std::uint64_t Incarnation,
                    const std::function<void()> &Todo);
  static void unpause(Process &Paused);
  base::Millis wall() const;

  // Connections.
  void tickEntry(std::size_t Entry);
  void tickAgent(std::size_t Agent);
  void connect(std::size_t Entry, std::size_t Agent);
  void onHello(std::size_t Entry, std::size_t Agent, request::LinkId Link,
               std::uint64_t Incarnation, base::Millis Clock);
  void loseLink(std::size_t Entry, std::size_t Agent);
  void closeAgentLink(std::size_t Agent, request::LinkId Link);
  void send(const Process &From, Process &To, request::LinkId Link,
            const std::function<void()> &Todo);
  void sendHeartbeat(std::size_t Entry, std::size_t Agent, request::LinkId Id);
  void toAgent(std::size_t Entry, std::size_t Agent,
               const wire::LinkFrame &Frame);
  void toEntry(std::size_t Agent, request::LinkId Link,
               const wire::LinkFrame &Frame);

  // Requests.
  base::Result<request::Target> choose(std::size_t Entry,
                                       const request::RequestSpec &Spec,
                                       const std::vector<std::string> &No);
  void begin(std::size_t Entry, std::size_t Index, base::Millis Patience);
  std::size_t agentFor(const request::RequestSpec &Spec) const;
  std::vector<std::string> flowsOf(std::size_t Entry) const;
  void onFrameAtEntry(std::size_t Entry, std::size_t Agent,
                      const wire::LinkFrame &Frame);
  void connectBackend(std::size_t Agent);
  void sendOnLink(std::size_t Agent, const request::SendOnLink &Send);
  void apply(std::size_t Entry, const std::string &Request,
             const request::RequestFlow::Actions &Actions);
  void armFlow(std::size_t Entry, const std::string &Request);
  void deliver(Call &To, const request::DeliverChunk &Chunk);
  void finish(std::size_t Entry, std::size_t Index,
              const request::Outcome &Outcome);
  void retryElsewhere(std::size_t Index, base::Millis Wait);
  void apply(std::size_t Agent, const request::AttemptActions &Actions);
  void armTable(std::size_t Agent);
  void order(std::size_t Agent, const request::StartBackendRun &Run);
  void sendFence(std::size_t Agent, const request::SendFence &Fence);
  void learn(Process &At, base::Millis Lag, const std::function<void()> &Todo);
  void reach(Step At, const std::string &Request, std::size_t Agent);
  std::size_t agentIndex(const std::string &Name) const;
  wire::LinkFrame plantFrame(const request::RequestFlow &Flow,
                             wire::LinkFrame Frame) const;

  const WorldOptions m_Options;
  fakes::VirtualTime m_Time;
  fakes::FakeNetwork m_Network;
  fakes::BackendHistory m_History;
  std::vector<EntryNode> m_Entries;
  std::vector<AgentNode> m_Agents;
  std::vector<Call> m_Calls;
  std::map<std::string, std::size_t> m_CallIndex;
  std::map<std::string, base::Millis> m_CreatedOf;
  std::set<request::LinkId> m_Silent;
  request::LinkId m_LastLink = 0;
  std::uint64_t m_LastIncarnation = 0;
  std::uint64_t m_Offset = 0;
  std::uint64_t m_LinksLost = 0;
  std::vector<std::string> m_Servers;
  bool m_LogOut = false;
  bool m_Starting = true;
  FrameFault m_FrameFault = FrameFault::None;
  base::Millis m_FrameDelay;
};

} // namespace corneldeck::bench

#endif

#include "Bench/ControlCluster.h"

#include <algorithm>
#include <set>

namespace corneldeck::bench {

using base::Millis;

namespace {

/// \returns the text of an entry in which only \p Number differs.
std::string bodyOf(const std::string &Entry, const std::string &Owner,
                   std::uint64_t Number) {
  return "name: " + Entry + "\nowner: " + Owner +
         "\nkind: service\nclass: batch\nbackend_servers:\n- name: b\n"
         "  link: 10.0.0.1:1\n  control: 10.0.0.1:2\n  zone: z\n  capacity: " +
         std::to_string(Number) + "\n";
}

} // namespace

/// One simulated process and what its address remembers over restarts.
struct ControlCluster::Process {
  std::string m_Name;
  bool m_IsAgent = false;
  std::uint64_t m_Incarnation = 0;
  std::unique_ptr<node::ControlCore> m_Core;
  bool m_Paused = false;
  std::vector<std::function<void()>> m_Held;
  double m_Rate = 1;
  /// Local time at m_RateSince.
  double m_LocalBase = 0;
  Millis m_RateSince{};
  /// Highest offset that was in force at this address.
  std::uint64_t m_InForce = 0;
  /// When each offset came into force here.
  std::map<std::uint64_t, Millis> m_History;
};

ControlCluster::ControlCluster(ClusterSettings Settings)
    : m_Settings(Settings), m_Network(m_Time, Settings.m_Seed), m_Log(m_Time) {
  for (std::size_t Index = 0; Index < Settings.m_Entries; ++Index)
    m_EntryNames.push_back("entry" + std::to_string(Index));
  m_Names = m_EntryNames;
  for (std::size_t Index = 0; Index < Settings.m_Agents; ++Index)
    m_Names.push_back("agent" + std::to_string(Index));
  for (const std::string &Name : m_Names) {
    auto New = std::make_unique<Process>();
    New->m_Name = Name;
    New->m_IsAgent = Name.starts_with("agent");
    m_Processes[Name] = std::move(New);
  }
  for (const std::string &Name : m_Names)
    start(Name);
}

ControlCluster::~ControlCluster() = default;

ControlCluster::Process &ControlCluster::process(const std::string &Node) {
  return *m_Processes.at(Node);
}

node::ControlCore *ControlCluster::core(const std::string &Node) {
  return process(Node).m_Core.get();
}

std::uint64_t ControlCluster::incarnation(const std::string &Node) const {
  const Process &Target = *m_Processes.at(Node);
  return Target.m_Core ? Target.m_Incarnation : 0;
}

bool ControlCluster::isPaused(const std::string &Node) const {
  return m_Processes.at(Node)->m_Paused;
}

Millis ControlCluster::localTime(const std::string &Node) {
  return localTimeOf(process(Node));
}

Millis ControlCluster::localTimeOf(const Process &Target) const {
  const auto Passed =
      static_cast<double>((m_Time.now() - Target.m_RateSince).count());
  return Millis(
      static_cast<std::int64_t>(Target.m_LocalBase + Passed * Target.m_Rate));
}

void ControlCluster::setClockRate(const std::string &Node, double Rate) {
  Process &Target = process(Node);
  Target.m_LocalBase = static_cast<double>(localTime(Node).count());
  Target.m_RateSince = m_Time.now();
  Target.m_Rate = Rate;
}

void ControlCluster::deliver(const std::string &Node,
                             const std::function<void()> &Todo) {
  Process &Target = process(Node);
  if (!Target.m_Core)
    return;
  if (Target.m_Paused)
    Target.m_Held.push_back(Todo);
  else
    Todo();
}

void ControlCluster::hookUp(Process &Target, node::ControlHooks &Hooks) {
  const std::string Name = Target.m_Name;
  const std::uint64_t Incarnation = Target.m_Incarnation;
  const auto ToSelf = [this, Name, Incarnation](auto Todo) {
    if (process(Name).m_Incarnation == Incarnation)
      deliver(Name, Todo);
  };
  const catalogue::LogClient Client = m_Log.client(Name);
  Hooks.m_Log.m_Append = [Client, ToSelf](
                             const wire::LogRecord &Record,
                             const catalogue::LogClient::AppendDone &Done) {
    Client.m_Append(Record,
                    [ToSelf, Done](const base::Result<std::uint64_t> &Answer) {
                      ToSelf([Done, Answer] { Done(Answer); });
                    });
  };
  Hooks.m_Log.m_Read = [Client,
                        ToSelf](const catalogue::ReadRequest &Request,
                                const catalogue::LogClient::ReadDone &Done) {
    Client.m_Read(
        Request,
        [ToSelf, Done](const base::Result<catalogue::ReadResponse> &Answer) {
          using Shared = const base::Result<catalogue::ReadResponse>;
          const auto Kept = std::make_shared<Shared>(Answer);
          ToSelf([Done, Kept] { Done(*Kept); });
        });
  };
  Hooks.m_Send = [this, Name](const std::string &To,
                              const wire::PeerMessage &Message) {
    // Shared, since each fake on the way copies its action.
    const auto Sent = std::make_shared<const wire::PeerMessage>(Message);
    m_Network.send(Name, To, [this, To, Sent] {
      deliver(To, [this, To, Sent] {
        if (node::ControlCore *Core = core(To))
          Core->onMessage(*Sent);
      });
    });
  };
  Hooks.m_OnView = [this, Name](const catalogue::ViewPtr &View, bool Ready) {
    if (Ready)
      viewChanged(Name, View);
  };
}

void ControlCluster::start(const std::string &Node) {
  Process &Target = process(Node);
  ++Target.m_Incarnation;
  Target.m_Held.clear();
  Target.m_Paused = false;
  node::ControlSettings Settings;
  Settings.m_Agent = Target.m_IsAgent;
  Settings.m_Node = Node;
  Settings.m_Incarnation = Target.m_Incarnation;
  Settings.m_Zone = "z";
  Settings.m_PeerAddress = Node;
  if (!Target.m_IsAgent)
    Settings.m_CallerAddress = Node + ":80";
  Settings.m_Seeds = m_EntryNames;
  Settings.m_Follower.m_Node = Node;
  Settings.m_Follower.m_SnapshotInterval = m_Settings.m_SnapshotInterval;
  Settings.m_Follower.m_InjectedDefects = m_Settings.m_Plants;
  Settings.m_Follower.m_WritesSnapshots = !Target.m_IsAgent;
  Settings.m_Publisher.m_Node = Node;
  Settings.m_Publisher.m_InjectBlindRetry = m_Settings.m_PlantBlindRepeat;
  Settings.m_Barrier.m_InjectNoWait = m_Settings.m_PlantNoBarrier;
  node::ControlHooks Hooks;
  hookUp(Target, Hooks);
  Target.m_Core = std::make_unique<node::ControlCore>(
      std::move(Settings), std::move(Hooks),
      base::Clock([this, &Target] { return localTimeOf(Target); }));
  scheduleTick(Node, Target.m_Incarnation);
}

void ControlCluster::scheduleTick(const std::string &Node,
                                  std::uint64_t Incarnation) {
  m_Time.after(m_Settings.m_Tick, [this, Node, Incarnation] {
    Process &Target = process(Node);
    if (!Target.m_Core || Target.m_Incarnation != Incarnation)
      return;
    if (!Target.m_Paused)
      Target.m_Core->tick();
    scheduleTick(Node, Incarnation);
  });
}

void ControlCluster::kill(const std::string &Node) {
  Process &Target = process(Node);
  Target.m_Core.reset();
  Target.m_Held.clear();
  Target.m_Paused = false;
}

void ControlCluster::restart(const std::string &Node) {
  kill(Node);
  start(Node);
}

void ControlCluster::pause(const std::string &Node) {
  process(Node).m_Paused = true;
}

void ControlCluster::resume(const std::string &Node) {
  Process &Target = process(Node);
  if (!Target.m_Paused)
    return;
  Target.m_Paused = false;
  std::vector<std::function<void()>> Held;
  Held.swap(Target.m_Held);
  for (const auto &Todo : Held)
    if (Target.m_Core)
      Todo();
}

void ControlCluster::cutFromPeers(const std::string &Node, bool Cut) {
  for (const std::string &Other : m_Names)
    if (Other != Node)
      m_Network.setCut(Node, Other, Cut);
}

void ControlCluster::isolate(const std::string &Node, bool Cut) {
  cutFromPeers(Node, Cut);
  m_Log.setCut(Node, Cut);
}

void ControlCluster::run(Millis Span) { m_Time.runUntil(m_Time.now() + Span); }

void ControlCluster::violate(const std::string &What) {
  m_Violations.push_back("at " + std::to_string(m_Time.now().count()) +
                         " ms: " + What);
}

void ControlCluster::viewChanged(const std::string &Node,
                                 const catalogue::ViewPtr &View) {
  if (!View)
    return;
  Process &Target = process(Node);
  m_Oracle.update(m_Log);
  const std::string Wrong = m_Oracle.compare(*View);
  if (!Wrong.empty())
    violate(Node + " at offset " + std::to_string(View->offset()) + ": " +
            Wrong);
  if (View->offset() < Target.m_InForce) {
    // Offsets without changes between them make no older catalogue.
    const std::uint64_t Newest = m_Oracle.newestChange(Target.m_InForce);
    if (Newest > View->offset()) {
      ++m_Reverts;
      violate(Node + " took offset " + std::to_string(View->offset()) +
              " after " + std::to_string(Newest));
    }
  }
  Target.m_InForce = std::max(Target.m_InForce, View->offset());
  Target.m_History.try_emplace(View->offset(), m_Time.now());
}

std::optional<Millis> ControlCluster::inForceSince(const std::string &Node,
                                                   std::uint64_t Offset) const {
  const Process &Target = *m_Processes.at(Node);
  const auto Found = Target.m_History.lower_bound(Offset);
  if (Found == Target.m_History.end())
    return std::nullopt;
  return Found->second;
}

void ControlCluster::ask(const std::string &Node,
                         const catalogue::PublishRequest &Request) {
  ++m_TimesAsked[Request.m_ChangeId];
  node::ControlCore *Core = core(Node);
  if (!Core || isPaused(Node))
    return;
  Core->publish(Request, [this](const catalogue::PublishResponse &Answer) {
    m_Answers[Answer.m_ChangeId] = Answer;
  });
}

wire::CatalogueChange ControlCluster::changeOf(const std::string &Node,
                                               const std::string &Entry,
                                               const std::string &Owner,
                                               bool Deletion) {
  wire::CatalogueChange Change;
  Change.set_entry(Entry);
  Change.set_owner(Owner);
  Change.set_deletion(Deletion);
  if (!Deletion)
    Change.set_body(bodyOf(Entry, Owner, m_NextChange));
  if (const node::ControlCore *Core = core(Node)) {
    const auto &Known = Core->follower().state().entries();
    const auto Found = Known.find(Entry);
    if (Found != Known.end())
      Change.set_expected_version(Found->second.m_Version);
  }
  return Change;
}

std::string ControlCluster::publish(const std::string &Node,
                                    const std::string &Entry,
                                    const std::string &Owner, bool Deletion) {
  return publishAll(Node, {changeOf(Node, Entry, Owner, Deletion)});
}

std::string ControlCluster::publishBatch(const std::string &Node,
                                         const std::string &First,
                                         const std::string &Second) {
  return publishAll(Node, {changeOf(Node, First, "owner", false),
                           changeOf(Node, Second, "owner", false)});
}

std::string
ControlCluster::publishAll(const std::string &Node,
                           std::vector<wire::CatalogueChange> Changes) {
  catalogue::PublishRequest Request;
  Request.m_ChangeId = "change" + std::to_string(m_NextChange++);
  Request.m_Changes = std::move(Changes);
  m_Requests[Request.m_ChangeId] = Request;
  ask(Node, Request);
  return Request.m_ChangeId;
}

void ControlCluster::publishAgain(const std::string &Node,
                                  const std::string &ChangeId) {
  catalogue::PublishRequest Again = m_Requests.at(ChangeId);
  Again.m_IsRetry = true;
  ask(Node, Again);
}

void ControlCluster::checkAnswers() {
  for (const auto &[Id, Answer] : m_Answers) {
    const bool Accepted = m_Oracle.accepted(Id);
    const bool Known = Answer.m_Code != base::ResultCode::PublishUnknown;
    if (Known && Accepted != (Answer.m_Code == base::ResultCode::Ok))
      violate(Id + " was answered " + std::string(base::name(Answer.m_Code)) +
              " and was " + (Accepted ? "accepted" : "not accepted"));
  }
  std::map<std::string, int> Appended;
  for (const fakes::FakeLog::Stored &Item : m_Log.history())
    if (Item.m_Record.has_change() || Item.m_Record.has_batch())
      ++Appended[Item.m_Record.append_id()];
  for (const auto &[Id, Times] : Appended)
    if (Times > m_TimesAsked[Id])
      violate(Id + " was appended " + std::to_string(Times) + " times");
}

bool ControlCluster::isStateLost() const {
  const std::uint64_t Oldest = m_Log.oldest();
  const auto Reaches = [&](const auto &Item) {
    const node::ControlCore *Core = Item.second->m_Core.get();
    return Core && Core->follower().loaded() &&
           Core->follower().state().offset() + 1 >= Oldest;
  };
  if (std::any_of(m_Processes.begin(), m_Processes.end(), Reaches))
    return false;
  for (std::uint64_t Offset = Oldest; Offset < m_Log.next(); ++Offset) {
    const wire::LogRecord &Record = m_Log.history()[Offset - 1].m_Record;
    if (Record.has_snapshot() &&
        Record.snapshot().covers_offset() + 1 >= Oldest)
      return false;
  }
  return Oldest > 1;
}

void ControlCluster::checkNodes() {
  if (isStateLost()) {
    m_LostWithLog = true;
    for (const std::string &Name : m_Names)
      if (core(Name) &&
          (core(Name)->ready() || !core(Name)->follower().hasGap()))
        violate(Name + " does not report that the catalogue is lost");
    return;
  }
  for (const std::string &Name : m_Names) {
    node::ControlCore *Core = core(Name);
    if (!Core)
      continue;
    if (!Core->ready()) {
      violate(Name + " is not ready in the end");
      continue;
    }
    if (Core->view()->offset() < m_Oracle.newestChange(UINT64_MAX))
      violate(Name + " lags behind in the end");
  }
}

void ControlCluster::checkEnd() {
  m_Oracle.update(m_Log);
  checkAnswers();
  checkNodes();
}

} // namespace corneldeck::bench

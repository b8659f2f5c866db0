#include "Node/ControlCore.h"

#include "Node/ControlEvents.h"

#include <algorithm>
#include <utility>

namespace corneldeck::node {

using base::EventId;

namespace {

constexpr base::Millis GossipInterval{500};
constexpr base::Millis AgentGossipInterval = base::seconds(1);
/// One message in this many names the entries that its sender hears: the list
/// grows with their number and seldom changes.
constexpr std::uint64_t EntriesEvery = 16;
/// Processes not heard for longer are no longer shown to operators, and
/// entries that are not in the settings are no longer peers.
constexpr base::Millis ForgetAfter = base::minutes(2);
/// A process that was not heard for longer is silent to `publish --wait`.
constexpr base::Millis InForceLiveWithin = base::seconds(3);
/// Changes of one entry that are kept for operators.
constexpr std::size_t MaxHistory = 100;

} // namespace

ControlCore::ControlCore(ControlSettings Settings, ControlHooks Hooks,
                         base::Clock Clock)
    : m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Clock(std::move(Clock)),
      m_Follower(m_Settings.m_Follower, m_Clock.now()),
      m_Publisher(m_Settings.m_Publisher),
      m_Barrier(m_Settings.m_Barrier, m_Clock.now()),
      m_InForce(InForceLiveWithin), m_Members(membership::MemberSettings{}),
      m_Advisor(membership::AddressSelectorSettings{}),
      m_Self(std::make_shared<ControlCore *>(this)) {
  for (const std::string &Seed : m_Settings.m_Seeds)
    if (Seed != m_Settings.m_PeerAddress)
      m_Entries[Seed] = m_Clock.now();
  setPeers();
}

void ControlCore::event(EventId Id, std::vector<base::EventField> Fields) {
  if (m_Hooks.m_OnEvent)
    m_Hooks.m_OnEvent(Id, std::move(Fields));
}

void ControlCore::tick() {
  run(m_Follower.tick(now()));
  run(m_Publisher.tick(now(), m_Follower.state()));
  tickLeases();
  if (now() >= m_NextGossip)
    gossip();
  recordMembers();
  forgetSilent();
  updateView();
}

void ControlCore::run(const catalogue::FollowerActions &Actions) {
  const std::weak_ptr<ControlCore *> Weak = m_Self;
  for (const catalogue::ReadRequest &Read : Actions.m_Reads)
    m_Hooks.m_Log.m_Read(
        Read, [Weak, Id = Read.m_Id](
                  const base::Result<catalogue::ReadResponse> &Answer) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          ControlCore &Core = **Self;
          Core.run(Core.m_Follower.onReadCompleted(Core.now(), Id, Answer));
        });
  if (Actions.m_CatalogueRequestPeer) {
    wire::PeerMessage Ask;
    Ask.mutable_catalogue_ask()->set_have_offset(m_Follower.state().offset());
    send(*Actions.m_CatalogueRequestPeer, std::move(Ask));
  }
  if (Actions.m_Append) {
    event(EventId::SnapshotWritten,
          {{"offset",
            std::to_string(Actions.m_Append->snapshot().covers_offset())}});
    append(*Actions.m_Append);
  }
  for (const catalogue::FollowerEvent Event : Actions.m_Events)
    event(eventOf(Event),
          {{"offset", std::to_string(m_Follower.state().offset())}});
  if (!Actions.m_StateChanged)
    return;
  stateChanged();
  // The next read follows at once, without waiting for a tick.
  run(m_Follower.tick(now()));
}

void ControlCore::stateChanged() {
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_Holders)
    Holder->onTableUpdated(now(), m_Follower.leases());
  run(m_Publisher.tick(now(), m_Follower.state()));
  const std::uint64_t Change = m_Follower.state().changeOffset();
  if (Change > m_GossipedChange && m_Follower.loaded()) {
    m_GossipedChange = Change;
    gossip();
  }
  updateView();
}

void ControlCore::updateView() {
  const catalogue::State &State = m_Follower.state();
  const bool Older = !m_View || m_View->offset() < State.offset();
  const bool Moved = Older && m_Follower.ready(now()) &&
                     m_Barrier.tryPass(now(), State.changeOffset());
  if (Moved) {
    const catalogue::ViewPtr Before = m_View;
    m_View = m_Views.build(State);
    recordChanges(Before);
  }
  const bool Ready = ready();
  if (!Moved && Ready == m_WasReady)
    return;
  if (m_WasReady && !Ready)
    event(EventId::CatalogueTooOld,
          {{"offset", std::to_string(State.offset())},
           {"heard", std::to_string(m_Follower.highestKnownOffset())}});
  m_WasReady = Ready;
  if (m_Hooks.m_OnView)
    m_Hooks.m_OnView(m_View, Ready);
}

void ControlCore::recordChanges(const catalogue::ViewPtr &Before) {
  for (const auto &[Name, Entry] : m_Follower.state().entries()) {
    if (Before && Before->changeOffset(Name) == Entry.m_Offset)
      continue;
    event(EventId::ChangeAccepted,
          {{"entry", Name},
           {"version", std::to_string(Entry.m_Version)},
           {"offset", std::to_string(Entry.m_Offset)}});
    std::deque<PastChange> &Past = m_Histories[Name];
    Past.push_back(
        {Entry.m_Offset, Entry.m_Version, Entry.m_Owner, Entry.m_Deleted});
    if (Past.size() > MaxHistory)
      Past.pop_front();
  }
}

std::vector<PastChange> ControlCore::history(const std::string &Entry) const {
  const auto Found = m_Histories.find(Entry);
  if (Found == m_Histories.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

void ControlCore::append(const wire::LogRecord &Record) {
  const std::weak_ptr<ControlCore *> Weak = m_Self;
  m_Hooks.m_Log.m_Append(
      Record, [Weak, Id = Record.append_id()](
                  const base::Result<std::uint64_t> &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        ControlCore &Core = **Self;
        Core.run(Core.m_Publisher.onAppendCompleted(Id, Answer));
      });
}

void ControlCore::run(const catalogue::PublisherActions &Actions) {
  for (const wire::LogRecord &Record : Actions.m_Append) {
    event(EventId::ChangePublished, {{"change", Record.append_id()}});
    append(Record);
  }
  for (const catalogue::PublishResponse &Answer : Actions.m_Answers) {
    if (Answer.m_Code != base::ResultCode::Ok)
      event(EventId::ChangeRejected,
            {{"change", Answer.m_ChangeId},
             {"result", std::string(base::name(Answer.m_Code))}});
    auto Waiting = m_Publishing.extract(Answer.m_ChangeId);
    if (Waiting.empty())
      continue;
    for (const PublishDone &Done : Waiting.mapped())
      Done(Answer);
  }
}

void ControlCore::publish(const catalogue::PublishRequest &Request,
                          PublishDone Done) {
  std::vector<PublishDone> &Waiting = m_Publishing[Request.m_ChangeId];
  Waiting.push_back(std::move(Done));
  if (Waiting.size() == 1)
    run(m_Publisher.publish(now(), Request, m_Follower.state()));
}

std::shared_ptr<lease::LeaseHolder>
ControlCore::addLeaseHolder(lease::LeaseSettings Settings) {
  Settings.m_Holder =
      m_Settings.m_Node + "#" + std::to_string(m_Settings.m_Incarnation);
  m_Holders.push_back(
      std::make_shared<lease::LeaseHolder>(std::move(Settings)));
  return m_Holders.back();
}

void ControlCore::tickLeases() {
  // A node that does not know the log's end would claim on old news.
  if (!m_Follower.logReachable() || m_Follower.currentAsOf().count() < 0)
    return;
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_Holders)
    if (const auto Claim = Holder->tick(now(), m_Follower.leases()))
      append(*Claim);
}

void ControlCore::onMessage(const wire::PeerMessage &Message) {
  switch (Message.body_case()) {
  case wire::PeerMessage::kGossip:
    onGossip(Message);
    return;
  case wire::PeerMessage::kCatalogueAsk:
    if (auto Reply = m_Follower.makeCatalogueReply(Message.catalogue_ask())) {
      wire::PeerMessage Answer;
      *Answer.mutable_catalogue_reply() = std::move(*Reply);
      send(Message.reply_address(), std::move(Answer));
    }
    return;
  case wire::PeerMessage::kCatalogueReply:
    run(m_Follower.onPeerSnapshot(now(), Message.catalogue_reply().snapshot()));
    return;
  case wire::PeerMessage::kLogTail:
    run(m_Follower.onLogTail(now(), Message.log_tail()));
    return;
  default:
    if (m_Hooks.m_OnMessage)
      m_Hooks.m_OnMessage(Message);
  }
}

void ControlCore::onGossip(const wire::PeerMessage &Message) {
  const wire::EntryGossip &News = Message.gossip();
  PeerStatus Heard;
  Heard.m_Node = Message.from();
  Heard.m_Agent = News.agent();
  Heard.m_Zone = News.zone();
  Heard.m_PeerAddress = Message.reply_address();
  Heard.m_HttpAddress = News.http_address();
  Heard.m_CatalogueOffset = News.catalogue_offset();
  Heard.m_Leaving = News.leaving();
  Heard.m_LastSeenAt = now();
  recordNode(Heard);
  if (!News.agent())
    noteEntry(Message);
  m_Follower.onPeerOffsets(now(), Message.reply_address(),
                           News.catalogue_offset(), News.log_offset());
  m_Barrier.onPeerOffset(now(), Message.reply_address(), News.log_offset());
  answerNews(Message);
  updateView();
  if (!News.agent() && m_Hooks.m_OnGossip)
    m_Hooks.m_OnGossip(Message);
}

void ControlCore::answerNews(const wire::PeerMessage &Message) {
  const wire::EntryGossip &News = Message.gossip();
  const bool Changed = News.change_offset() > m_AnsweredChange &&
                       News.change_offset() > m_GossipedChange;
  // An agent learns the entries and their offsets from this answer.
  const bool AgentAsks = News.agent() && !m_Settings.m_Agent;
  if (!Changed && !AgentAsks)
    return;
  wire::PeerMessage Answer;
  *Answer.mutable_gossip() = describeSelf(m_Answers++ % EntriesEvery == 0);
  send(Message.reply_address(), std::move(Answer));
}

void ControlCore::noteEntry(const wire::PeerMessage &Message) {
  const wire::EntryGossip &News = Message.gossip();
  m_Members.update(now(), {Message.from(), Message.incarnation(),
                           News.caller_address(), News.zone(), News.leaving()});
  const std::size_t Before = m_Entries.size();
  m_Entries[Message.reply_address()] = now();
  for (const std::string &Other : News.entries())
    if (Other != m_Settings.m_PeerAddress)
      m_Entries.try_emplace(Other, now());
  if (m_Entries.size() != Before)
    setPeers();
}

void ControlCore::recordNode(const PeerStatus &Heard) {
  m_Nodes[Heard.m_Node] = Heard;
  m_InForce.recordOffset(now(), Heard.m_Node, Heard.m_CatalogueOffset);
}

void ControlCore::forgetSilent() {
  std::erase_if(m_Nodes, [this](const auto &Item) {
    return now() - Item.second.m_LastSeenAt > ForgetAfter;
  });
  const auto Forgotten = std::erase_if(m_Entries, [this](const auto &Item) {
    const auto &Seeds = m_Settings.m_Seeds;
    const bool IsSeed =
        std::find(Seeds.begin(), Seeds.end(), Item.first) != Seeds.end();
    return !IsSeed && now() - Item.second > ForgetAfter;
  });
  if (Forgotten > 0)
    setPeers();
}

void ControlCore::setPeers() {
  std::vector<std::string> Addresses;
  Addresses.reserve(m_Entries.size());
  for (const auto &[Address, HeardAt] : m_Entries)
    Addresses.push_back(Address);
  m_Follower.setPeers(Addresses);
  m_Barrier.setPeers(Addresses);
}

void ControlCore::gossip() {
  m_NextGossip =
      now() + (m_Settings.m_Agent ? AgentGossipInterval : GossipInterval);
  wire::PeerMessage Message;
  *Message.mutable_gossip() = describeSelf(m_Rounds++ % EntriesEvery == 0);
  for (const auto &[Address, HeardAt] : m_Entries)
    send(Address, Message);
  // Agents hear of a change at once; otherwise they ask.
  if (m_Settings.m_Agent || m_GossipedChange == m_AnsweredChange)
    return;
  m_AnsweredChange = m_GossipedChange;
  for (const auto &[Name, Known] : m_Nodes)
    if (Known.m_Agent)
      send(Known.m_PeerAddress, Message);
}

wire::EntryGossip ControlCore::describeSelf(bool WithEntries) const {
  wire::EntryGossip Self;
  Self.set_agent(m_Settings.m_Agent);
  Self.set_zone(m_Settings.m_Zone);
  Self.set_caller_address(m_Settings.m_CallerAddress);
  Self.set_http_address(m_Settings.m_HttpAddress);
  if (m_Follower.loaded()) {
    Self.set_catalogue_offset(m_Follower.state().offset());
    Self.set_change_offset(m_Follower.state().changeOffset());
  }
  Self.set_log_offset(m_Follower.highestKnownOffset());
  Self.set_log_reachable(m_Follower.logReachable());
  Self.set_leaving(m_Leaving || !m_WasReady);
  if (!WithEntries)
    return Self;
  for (const auto &[Name, Known] : m_Nodes)
    if (!Known.m_Agent)
      Self.add_entries(Known.m_PeerAddress);
  return Self;
}

void ControlCore::send(const std::string &Address, wire::PeerMessage Message) {
  Message.set_from(m_Settings.m_Node);
  Message.set_incarnation(m_Settings.m_Incarnation);
  Message.set_reply_address(m_Settings.m_PeerAddress);
  if (m_Hooks.m_Send)
    m_Hooks.m_Send(Address, std::move(Message));
}

void ControlCore::beginLeaving() {
  m_Leaving = true;
  gossip();
}

membership::AddressList ControlCore::selectAddresses(const std::string &Zone) {
  // This entry is a member of its own list only while it may be named.
  m_Members.update(now(), {m_Settings.m_Node, m_Settings.m_Incarnation,
                           m_Settings.m_CallerAddress, m_Settings.m_Zone,
                           m_Leaving || !m_WasReady});
  return m_Advisor.selectAddresses(now(), m_Members, Zone);
}

base::Millis ControlCore::serveUntil(base::Millis LeftAt) const {
  return m_Advisor.serveUntil(LeftAt, membership::MemberSettings{});
}

void ControlCore::recordMembers() {
  for (const membership::MemberEvent &Event : m_Members.tick(now()))
    event(eventOf(Event.m_Type), {{"peer", Event.m_Node}});
}

std::vector<PeerStatus> ControlCore::peers() const {
  std::vector<PeerStatus> All;
  All.reserve(m_Nodes.size());
  for (const auto &[Name, Known] : m_Nodes)
    All.push_back(Known);
  return All;
}

catalogue::InForceReport ControlCore::inForce(std::uint64_t Offset) const {
  catalogue::InForceReport Report = m_InForce.report(now(), Offset);
  const bool Here = m_View && m_View->offset() >= Offset;
  (Here ? Report.m_InForce : Report.m_Lagging).push_back(m_Settings.m_Node);
  return Report;
}

bool ControlCore::ready() const { return m_View && m_Follower.ready(now()); }

} // namespace corneldeck::node

#include "Node/ControlCore.h"

#include "Node/ControlEvents.h"

#include <algorithm>
#include <utility>

namespace corneldeck::node {

using base::EventId;

namespace {

constexpr base::Millis GossipInterval{500};
constexpr base::Millis AgentGossipInterval = base::seconds(1);
/// One gossip message in this many contains the list of entries, because the
/// list grows with the number of entries and seldom changes.
constexpr std::uint64_t EntryListInterval = 16;
/// A process that has sent no message for this long is no longer shown to
/// operators; an entry is also removed from the peers unless it is a configured
/// seed.
constexpr base::Millis RemovalTimeout = base::minutes(2);
/// A process that has sent no message for this long counts as silent in
/// `publish --wait`.
constexpr base::Millis InForceSilenceTimeout = base::seconds(3);
/// Number of changes per entry that are kept for operators.
constexpr std::size_t MaxHistory = 100;

} // namespace

ControlCore::ControlCore(ControlSettings Settings, ControlHooks Hooks,
                         base::Clock Clock)
    : m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Clock(std::move(Clock)),
      m_Follower(m_Settings.m_Follower, m_Clock.now()),
      m_Publisher(m_Settings.m_Publisher),
      m_Barrier(m_Settings.m_Barrier, m_Clock.now()),
      m_InForceTracker(InForceSilenceTimeout),
      m_Members(membership::MemberSettings{}),
      m_AddressSelector(membership::AddressSelectorSettings{}),
      m_Self(std::make_shared<ControlCore *>(this)) {
  for (const std::string &Seed : m_Settings.m_Seeds)
    if (Seed != m_Settings.m_PeerAddress)
      m_Entries[Seed] = m_Clock.now();
  updatePeers();
}

void ControlCore::recordEvent(EventId Id,
                              std::vector<base::EventField> Fields) {
  if (m_Hooks.m_OnEvent)
    m_Hooks.m_OnEvent(Id, std::move(Fields));
}

void ControlCore::tick() {
  perform(m_Follower.tick(now()));
  perform(m_Publisher.tick(now(), m_Follower.state()));
  tickLeases();
  if (now() >= m_NextGossip)
    gossip();
  recordMemberEvents();
  removeSilent();
  updateView();
}

void ControlCore::perform(const catalogue::FollowerActions &Actions) {
  const std::weak_ptr<ControlCore *> Weak = m_Self;
  for (const catalogue::ReadRequest &Read : Actions.m_Reads)
    m_Hooks.m_Log.m_Read(
        Read, [Weak, Id = Read.m_Id](
                  const base::Result<catalogue::ReadResponse> &Response) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          ControlCore &Core = **Self;
          Core.perform(
              Core.m_Follower.onReadCompleted(Core.now(), Id, Response));
        });
  if (Actions.m_CatalogueRequestPeer) {
    wire::PeerMessage Request;
    Request.mutable_catalogue_ask()->set_have_offset(
        m_Follower.state().offset());
    send(*Actions.m_CatalogueRequestPeer, std::move(Request));
  }
  if (Actions.m_Append) {
    recordEvent(
        EventId::SnapshotWritten,
        {{"offset",
          std::to_string(Actions.m_Append->snapshot().covers_offset())}});
    append(*Actions.m_Append);
  }
  for (const catalogue::FollowerEvent Event : Actions.m_Events)
    recordEvent(toEventId(Event),
                {{"offset", std::to_string(m_Follower.state().offset())}});
  if (!Actions.m_StateChanged)
    return;
  onStateChanged();
  // Send the next read immediately instead of at the next tick.
  perform(m_Follower.tick(now()));
}

void ControlCore::onStateChanged() {
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_LeaseHolders)
    Holder->onTableUpdated(now(), m_Follower.leases());
  perform(m_Publisher.tick(now(), m_Follower.state()));
  const std::uint64_t Change = m_Follower.state().changeOffset();
  if (Change > m_LastGossipedChange && m_Follower.loaded()) {
    m_LastGossipedChange = Change;
    gossip();
  }
  updateView();
}

void ControlCore::updateView() {
  const catalogue::State &State = m_Follower.state();
  const bool HasNewState = !m_View || m_View->offset() < State.offset();
  const bool Updated = HasNewState && m_Follower.ready(now()) &&
                       m_Barrier.tryPass(now(), State.changeOffset());
  if (Updated) {
    const catalogue::ViewPtr Before = m_View;
    m_View = m_ViewBuilder.build(State);
    recordChanges(Before);
  }
  const bool Ready = ready();
  if (!Updated && Ready == m_WasReady)
    return;
  if (m_WasReady && !Ready)
    recordEvent(EventId::CatalogueTooOld,
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
    recordEvent(EventId::ChangeAccepted,
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
                  const base::Result<std::uint64_t> &Response) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        ControlCore &Core = **Self;
        Core.perform(Core.m_Publisher.onAppendCompleted(Id, Response));
      });
}

void ControlCore::perform(const catalogue::PublisherActions &Actions) {
  for (const wire::LogRecord &Record : Actions.m_Append) {
    recordEvent(EventId::ChangePublished, {{"change", Record.append_id()}});
    append(Record);
  }
  for (const catalogue::PublishResponse &Response : Actions.m_Responses) {
    if (Response.m_Code != base::ResultCode::Ok)
      recordEvent(EventId::ChangeRejected,
                  {{"change", Response.m_ChangeId},
                   {"result", std::string(base::name(Response.m_Code))}});
    auto Callbacks = m_PublishCallbacks.extract(Response.m_ChangeId);
    if (Callbacks.empty())
      continue;
    for (const PublishDone &Done : Callbacks.mapped())
      Done(Response);
  }
}

void ControlCore::publish(const catalogue::PublishRequest &Request,
                          PublishDone Done) {
  std::vector<PublishDone> &Callbacks = m_PublishCallbacks[Request.m_ChangeId];
  Callbacks.push_back(std::move(Done));
  if (Callbacks.size() == 1)
    perform(m_Publisher.publish(now(), Request, m_Follower.state()));
}

std::shared_ptr<lease::LeaseHolder>
ControlCore::addLeaseHolder(lease::LeaseSettings Settings) {
  Settings.m_Holder =
      m_Settings.m_Node + "#" + std::to_string(m_Settings.m_Incarnation);
  m_LeaseHolders.push_back(
      std::make_shared<lease::LeaseHolder>(std::move(Settings)));
  return m_LeaseHolders.back();
}

void ControlCore::tickLeases() {
  // Without a read to the end of the log, a claim would be based on an outdated
  // table.
  if (!m_Follower.logReachable() || m_Follower.currentAsOf().count() < 0)
    return;
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_LeaseHolders)
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
      wire::PeerMessage Response;
      *Response.mutable_catalogue_reply() = std::move(*Reply);
      send(Message.reply_address(), std::move(Response));
    }
    return;
  case wire::PeerMessage::kCatalogueReply:
    perform(
        m_Follower.onPeerSnapshot(now(), Message.catalogue_reply().snapshot()));
    return;
  case wire::PeerMessage::kLogTail:
    perform(m_Follower.onLogTail(now(), Message.log_tail()));
    return;
  default:
    if (m_Hooks.m_OnMessage)
      m_Hooks.m_OnMessage(Message);
  }
}

void ControlCore::onGossip(const wire::PeerMessage &Message) {
  const wire::EntryGossip &Gossip = Message.gossip();
  PeerStatus Status;
  Status.m_Node = Message.from();
  Status.m_Agent = Gossip.agent();
  Status.m_Zone = Gossip.zone();
  Status.m_PeerAddress = Message.reply_address();
  Status.m_HttpAddress = Gossip.http_address();
  Status.m_CatalogueOffset = Gossip.catalogue_offset();
  Status.m_Leaving = Gossip.leaving();
  Status.m_LastSeenAt = now();
  recordNode(Status);
  if (!Gossip.agent())
    recordEntry(Message);
  m_Follower.onPeerOffsets(now(), Message.reply_address(),
                           Gossip.catalogue_offset(), Gossip.log_offset());
  m_Barrier.onPeerOffset(now(), Message.reply_address(), Gossip.log_offset());
  replyToGossip(Message);
  updateView();
  if (!Gossip.agent() && m_Hooks.m_OnGossip)
    m_Hooks.m_OnGossip(Message);
}

void ControlCore::replyToGossip(const wire::PeerMessage &Message) {
  const wire::EntryGossip &Gossip = Message.gossip();
  const bool Changed = Gossip.change_offset() > m_AgentNotifiedChange &&
                       Gossip.change_offset() > m_LastGossipedChange;
  // Agents get no periodic gossip, so an entry replies to each gossip message
  // of an agent with its offsets.
  const bool FromAgent = Gossip.agent() && !m_Settings.m_Agent;
  if (!Changed && !FromAgent)
    return;
  wire::PeerMessage Response;
  *Response.mutable_gossip() =
      describeSelf(m_GossipReplies++ % EntryListInterval == 0);
  send(Message.reply_address(), std::move(Response));
}

void ControlCore::recordEntry(const wire::PeerMessage &Message) {
  const wire::EntryGossip &Gossip = Message.gossip();
  m_Members.update(now(),
                   {Message.from(), Message.incarnation(),
                    Gossip.caller_address(), Gossip.zone(), Gossip.leaving()});
  const std::size_t Before = m_Entries.size();
  m_Entries[Message.reply_address()] = now();
  for (const std::string &Other : Gossip.entries())
    if (Other != m_Settings.m_PeerAddress)
      m_Entries.try_emplace(Other, now());
  if (m_Entries.size() != Before)
    updatePeers();
}

void ControlCore::recordNode(const PeerStatus &Status) {
  m_Nodes[Status.m_Node] = Status;
  m_InForceTracker.recordOffset(now(), Status.m_Node, Status.m_CatalogueOffset);
}

void ControlCore::removeSilent() {
  std::erase_if(m_Nodes, [this](const auto &Item) {
    return now() - Item.second.m_LastSeenAt > RemovalTimeout;
  });
  const auto Forgotten = std::erase_if(m_Entries, [this](const auto &Item) {
    const auto &Seeds = m_Settings.m_Seeds;
    const bool IsSeed =
        std::find(Seeds.begin(), Seeds.end(), Item.first) != Seeds.end();
    return !IsSeed && now() - Item.second > RemovalTimeout;
  });
  if (Forgotten > 0)
    updatePeers();
}

void ControlCore::updatePeers() {
  std::vector<std::string> Addresses;
  Addresses.reserve(m_Entries.size());
  for (const auto &[Address, LastSeenAt] : m_Entries)
    Addresses.push_back(Address);
  m_Follower.setPeers(Addresses);
  m_Barrier.setPeers(Addresses);
}

void ControlCore::gossip() {
  m_NextGossip =
      now() + (m_Settings.m_Agent ? AgentGossipInterval : GossipInterval);
  wire::PeerMessage Message;
  *Message.mutable_gossip() =
      describeSelf(m_GossipRounds++ % EntryListInterval == 0);
  for (const auto &[Address, LastSeenAt] : m_Entries)
    send(Address, Message);
  // An entry does not send periodic gossip to agents, but notifies them of each
  // change immediately.
  if (m_Settings.m_Agent || m_LastGossipedChange == m_AgentNotifiedChange)
    return;
  m_AgentNotifiedChange = m_LastGossipedChange;
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
  // Report this entry to its own member list, as leaving while callers must not
  // use it.
  m_Members.update(now(), {m_Settings.m_Node, m_Settings.m_Incarnation,
                           m_Settings.m_CallerAddress, m_Settings.m_Zone,
                           m_Leaving || !m_WasReady});
  return m_AddressSelector.selectAddresses(now(), m_Members, Zone);
}

base::Millis ControlCore::serveUntil(base::Millis LeftAt) const {
  return m_AddressSelector.serveUntil(LeftAt, membership::MemberSettings{});
}

void ControlCore::recordMemberEvents() {
  for (const membership::MemberEvent &Event : m_Members.tick(now()))
    recordEvent(toEventId(Event.m_Type), {{"peer", Event.m_Node}});
}

std::vector<PeerStatus> ControlCore::peers() const {
  std::vector<PeerStatus> All;
  All.reserve(m_Nodes.size());
  for (const auto &[Name, Known] : m_Nodes)
    All.push_back(Known);
  return All;
}

catalogue::InForceReport ControlCore::inForce(std::uint64_t Offset) const {
  catalogue::InForceReport Report = m_InForceTracker.report(now(), Offset);
  const bool InForceHere = m_View && m_View->offset() >= Offset;
  (InForceHere ? Report.m_InForce : Report.m_Lagging)
      .push_back(m_Settings.m_Node);
  return Report;
}

bool ControlCore::ready() const { return m_View && m_Follower.ready(now()); }

} // namespace corneldeck::node

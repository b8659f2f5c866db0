#include "Node/ControlCore.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace corneldeck::node {

using base::EventId;
using catalogue::FollowerEvent;

namespace {

/// A node that was not heard for longer counts as silent to `publish --wait`.
constexpr base::Millis InForceLiveWithin = base::seconds(3);

std::vector<std::string> namesOf(const std::vector<Peer> &Peers) {
  std::vector<std::string> Names;
  Names.reserve(Peers.size());
  for (const Peer &Known : Peers)
    Names.push_back(Known.m_Node);
  return Names;
}

EventId eventOf(FollowerEvent Event) {
  switch (Event) {
  case FollowerEvent::LogUnavailable:
    return EventId::LogUnavailable;
  case FollowerEvent::LogBack:
    return EventId::LogBack;
  case FollowerEvent::LogGap:
    return EventId::LogGap;
  case FollowerEvent::SnapshotLoaded:
    return EventId::SnapshotLoaded;
  case FollowerEvent::FromPeer:
    return EventId::CatalogueFromPeer;
  }
  return EventId::LogGap;
}

/// \returns the event to tell, if operators need to see \p Type.
std::optional<EventId> eventOf(membership::MemberEvent::Type Type) {
  using Kind = membership::MemberEvent::Type;
  switch (Type) {
  case Kind::Leaving:
    return EventId::NodeLeaving;
  case Kind::Silent:
  case Kind::Replaced:
    return EventId::NodeLost;
  case Kind::Returned:
  case Kind::Joined:
    return EventId::NodeReturned;
  case Kind::Lost:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

ControlCore::ControlCore(ControlSettings Settings, ControlHooks Hooks,
                         base::Clock Clock)
    : m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Clock(std::move(Clock)), m_Entries(m_Settings.m_Entries),
      m_Follower(m_Settings.m_Follower, m_Clock.now()),
      m_Publisher(m_Settings.m_Publisher), m_InForce(InForceLiveWithin),
      m_Barrier(m_Settings.m_Barrier, m_Clock.now()),
      m_Members(m_Settings.m_Members),
      m_Self(std::make_shared<ControlCore *>(this)) {
  m_Follower.setPeers(namesOf(m_Entries));
  m_Barrier.setPeers(namesOf(m_Entries));
}

ControlCore::~ControlCore() = default;

void ControlCore::setEntries(std::vector<Peer> Entries) {
  m_Entries = std::move(Entries);
  m_Follower.setPeers(namesOf(m_Entries));
  m_Barrier.setPeers(namesOf(m_Entries));
}

void ControlCore::event(EventId Id, std::vector<base::EventField> Fields) {
  if (m_Hooks.m_Event)
    m_Hooks.m_Event(Id, std::move(Fields));
}

std::string ControlCore::holderName() const {
  return m_Settings.m_Node + "#" + std::to_string(m_Settings.m_Incarnation);
}

void ControlCore::tick() {
  const base::Millis Now = m_Clock.now();
  run(m_Follower.tick(Now));
  run(m_Publisher.tick(Now, m_Follower.state()));
  tickLeases();
  if (Now >= m_NextGossip) {
    m_NextGossip =
        Now + (m_Settings.m_Role == Role::Entry ? m_Settings.m_GossipEvery
                                                : m_Settings.m_AgentTellsEvery);
    gossip();
  }
  tellMembers();
  updateView();
}

void ControlCore::run(const catalogue::FollowerActions &Actions) {
  const std::weak_ptr<ControlCore *> Weak = m_Self;
  for (const catalogue::ReadRequest &Request : Actions.m_Reads)
    m_Hooks.m_Log.m_Read(
        Request, [Weak, Id = Request.m_Id](
                     const base::Result<catalogue::ReadAnswer> &Answer) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          ControlCore &Core = **Self;
          Core.run(
              Core.m_Follower.readAnswered(Core.m_Clock.now(), Id, Answer));
        });
  if (Actions.m_AskPeer) {
    wire::PeerMessage Ask = message();
    Ask.mutable_catalogue_ask()->set_have_offset(m_Follower.state().offset());
    sendTo(*Actions.m_AskPeer, Ask);
  }
  if (Actions.m_Append) {
    event(EventId::SnapshotWritten,
          {{"offset",
            std::to_string(Actions.m_Append->snapshot().covers_offset())}});
    append(*Actions.m_Append);
  }
  tellEvents(Actions.m_Events);
  if (Actions.m_Changed)
    stateChanged();
  // The log's answer is followed at once by the next read.
  if (Actions.m_Reads.empty() && Actions.m_Changed)
    run(m_Follower.tick(m_Clock.now()));
}

void ControlCore::stateChanged() {
  const base::Millis Now = m_Clock.now();
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_Holders)
    Holder->observe(Now, m_Follower.leases());
  run(m_Publisher.tick(Now, m_Follower.state()));
  const std::uint64_t Change = m_Follower.state().changeOffset();
  if (Change > m_GossipedChange) {
    m_GossipedChange = Change;
    gossip();
  }
  updateView();
}

void ControlCore::updateView() {
  const base::Millis Now = m_Clock.now();
  const catalogue::State &State = m_Follower.state();
  const bool Older = !m_View || m_View->offset() < State.offset();
  const bool Passes = Older && m_Follower.ready(Now) &&
                      m_Barrier.mayPass(Now, State.changeOffset());
  if (Passes)
    m_View = m_ViewBuilder.build(State);
  const bool Ready = ready();
  if (m_WasReady && !Ready)
    event(EventId::CatalogueTooOld,
          {{"offset", std::to_string(State.offset())},
           {"heard", std::to_string(m_Follower.heardOffset())}});
  const bool Told = Ready == m_WasReady && !Passes;
  m_WasReady = Ready;
  if (!Told && m_Hooks.m_ViewChanged)
    m_Hooks.m_ViewChanged(Ready ? m_View : nullptr);
}

void ControlCore::append(const wire::LogRecord &Record) {
  // Whether it landed shows in the log; only the publisher needs to know of a
  // request that was never sent.
  const std::weak_ptr<ControlCore *> Weak = m_Self;
  m_Hooks.m_Log.m_Append(
      Record, [Weak, Id = Record.append_id()](
                  const base::Result<std::uint64_t> &Answer) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        ControlCore &Core = **Self;
        Core.run(Core.m_Publisher.appendAnswered(Id, Answer));
      });
}

void ControlCore::run(const catalogue::PublisherActions &Actions) {
  for (const wire::LogRecord &Record : Actions.m_Append) {
    event(EventId::ChangePublished, {{"change", Record.append_id()}});
    append(Record);
  }
  for (const catalogue::PublishAnswer &Answer : Actions.m_Answers) {
    const bool Accepted = Answer.m_Code == base::ResultCode::Ok;
    event(Accepted ? EventId::ChangeAccepted : EventId::ChangeRejected,
          {{"change", Answer.m_ChangeId},
           {"offset", std::to_string(Answer.m_Offset)},
           {"result", std::string(base::name(Answer.m_Code))}});
    auto Asked = m_Asked.extract(Answer.m_ChangeId);
    if (Asked.empty())
      continue;
    for (const PublishDone &Done : Asked.mapped())
      Done(Answer);
  }
}

void ControlCore::publish(const catalogue::PublishRequest &Request,
                          PublishDone Done) {
  std::vector<PublishDone> &Waiting = m_Asked[Request.m_ChangeId];
  Waiting.push_back(std::move(Done));
  if (Waiting.size() > 1)
    return;
  run(m_Publisher.publish(m_Clock.now(), Request, m_Follower.state()));
}

std::shared_ptr<lease::LeaseHolder>
ControlCore::contend(lease::LeaseSettings Settings) {
  Settings.m_Holder = holderName();
  m_Holders.push_back(
      std::make_shared<lease::LeaseHolder>(std::move(Settings)));
  return m_Holders.back();
}

void ControlCore::tickLeases() {
  // A node without the log's end would claim on old news and lose anyway.
  if (!m_Follower.logReachable() || m_Follower.currentAsOf().count() < 0)
    return;
  for (const std::shared_ptr<lease::LeaseHolder> &Holder : m_Holders)
    if (const std::optional<wire::LogRecord> Claim =
            Holder->tick(m_Clock.now(), m_Follower.leases()))
      append(*Claim);
}

wire::PeerMessage ControlCore::message() const {
  wire::PeerMessage Message;
  Message.set_from(m_Settings.m_Node);
  Message.set_incarnation(m_Settings.m_Incarnation);
  Message.set_reply_address(m_Settings.m_ControlAddress);
  return Message;
}

void ControlCore::sendTo(const std::string &Node,
                         const wire::PeerMessage &Message) {
  const auto Address = m_ReplyAddresses.find(Node);
  if (Address != m_ReplyAddresses.end() && m_Hooks.m_Send)
    m_Hooks.m_Send({Node, Address->second}, Message);
}

void ControlCore::hearSelf() {
  m_InForce.observe(m_Clock.now(), m_Settings.m_Node,
                    m_View ? m_View->offset() : 0);
  if (m_Settings.m_Role != Role::Entry)
    return;
  m_Members.heard(m_Clock.now(), {m_Settings.m_Node, m_Settings.m_Incarnation,
                                  m_Settings.m_CallerAddress, m_Settings.m_Zone,
                                  m_Leaving || !ready()});
}

void ControlCore::gossip() {
  hearSelf();
  wire::PeerMessage Message = message();
  wire::EntryGossip &Gossip = *Message.mutable_gossip();
  Gossip.set_zone(m_Settings.m_Zone);
  Gossip.set_caller_address(m_Settings.m_CallerAddress);
  Gossip.set_catalogue_offset(m_Follower.loaded() ? m_Follower.state().offset()
                                                  : 0);
  Gossip.set_log_offset(m_Follower.heardOffset());
  Gossip.set_log_reachable(m_Follower.logReachable());
  Gossip.set_leaving(m_Leaving || !ready());
  if (m_Hooks.m_FillGossip)
    m_Hooks.m_FillGossip(Gossip);
  if (!m_Hooks.m_Send)
    return;
  for (const Peer &Known : gossipTargets())
    m_Hooks.m_Send(Known, Message);
}

std::vector<Peer> ControlCore::gossipTargets() const {
  if (m_Settings.m_Role == Role::Entry)
    return m_Entries;
  const std::vector<std::string> Names = namesOf(m_Entries);
  std::vector<Peer> Targets;
  for (const std::size_t Index :
       base::rankByRendezvous(m_Settings.m_Node, Names))
    if (Targets.size() < m_Settings.m_AgentTells)
      Targets.push_back(m_Entries[Index]);
  return Targets;
}

void ControlCore::heard(const wire::PeerMessage &Message) {
  const base::Millis Now = m_Clock.now();
  if (!Message.reply_address().empty())
    m_ReplyAddresses[Message.from()] = Message.reply_address();
  if (Message.has_gossip()) {
    const wire::EntryGossip &Gossip = Message.gossip();
    m_InForce.observe(Now, Message.from(), Gossip.catalogue_offset());
    if (!Gossip.caller_address().empty())
      m_Members.heard(Now, {Message.from(), Message.incarnation(),
                            Gossip.caller_address(), Gossip.zone(),
                            Gossip.leaving()});
    peerHeard(Message.from(), Gossip.catalogue_offset(), Gossip.log_offset());
  } else if (Message.has_catalogue_ask()) {
    std::optional<wire::CatalogueReply> Reply =
        m_Follower.answerPeer(Message.catalogue_ask());
    if (!Reply || !m_Hooks.m_Send)
      return;
    wire::PeerMessage Answer = message();
    *Answer.mutable_catalogue_reply() = std::move(*Reply);
    m_Hooks.m_Send({Message.from(), Message.reply_address()}, Answer);
  } else if (Message.has_catalogue_reply()) {
    run(m_Follower.peerSnapshot(Now, Message.catalogue_reply().snapshot()));
  } else if (Message.has_log_tail()) {
    run(m_Follower.tailHeard(Now, Message.log_tail()));
  }
}

void ControlCore::heardOffset(const std::string &Node,
                              std::uint64_t CatalogueOffset) {
  const base::Millis Now = m_Clock.now();
  m_InForce.observe(Now, Node, CatalogueOffset);
  peerHeard(Node, CatalogueOffset, CatalogueOffset);
}

void ControlCore::peerHeard(const std::string &Node,
                            std::uint64_t CatalogueOffset,
                            std::uint64_t LogOffset) {
  const base::Millis Now = m_Clock.now();
  m_Follower.peerHeard(Now, Node, CatalogueOffset, LogOffset);
  m_Barrier.peerHeard(Now, Node, std::max(CatalogueOffset, LogOffset));
  updateView();
}

void ControlCore::leave() {
  m_Leaving = true;
  gossip();
}

void ControlCore::tellEvents(const std::vector<FollowerEvent> &Events) {
  for (const FollowerEvent Event : Events)
    event(eventOf(Event),
          {{"offset", std::to_string(m_Follower.state().offset())}});
}

void ControlCore::tellMembers() {
  for (const membership::MemberEvent &Change : m_Members.tick(m_Clock.now()))
    if (const std::optional<EventId> Id = eventOf(Change.m_Type))
      event(*Id, {{"node", Change.m_Node}});
}

bool ControlCore::ready() const {
  return m_View && m_Follower.ready(m_Clock.now());
}

ControlStatus ControlCore::status() const {
  ControlStatus Status;
  Status.m_Node = m_Settings.m_Node;
  Status.m_Offset = m_Follower.state().offset();
  Status.m_HeardOffset = m_Follower.heardOffset();
  Status.m_LogReachable = m_Follower.logReachable();
  Status.m_Ready = ready();
  Status.m_TooOld = m_Follower.tooOld(m_Clock.now());
  Status.m_Gap = m_Follower.hasGap();
  if (m_View)
    Status.m_Unreadable = m_View->unreadable();
  Status.m_Nodes = m_InForce.offsets();
  return Status;
}

} // namespace corneldeck::node

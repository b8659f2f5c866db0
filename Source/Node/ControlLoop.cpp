#include "Node/ControlLoop.h"

#include "Node/LogHttpClient.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace corneldeck::node {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
constexpr base::Millis GossipInterval{250};
constexpr base::Millis AgentGossipInterval = base::seconds(1);
/// Nodes not heard for longer are no longer shown to operators.
constexpr base::Millis ForgetAfter = base::minutes(2);

catalogue::FollowerSettings followerSettings(const ControlSettings &Settings) {
  catalogue::FollowerSettings Follower;
  Follower.m_Node = Settings.m_Node;
  Follower.m_WritesSnapshots = !Settings.m_Agent;
  return Follower;
}

catalogue::PublisherSettings
publisherSettings(const ControlSettings &Settings) {
  catalogue::PublisherSettings Publisher;
  Publisher.m_Node = Settings.m_Node;
  return Publisher;
}

base::EventId eventOf(membership::MemberEvent::Type What) {
  switch (What) {
  case membership::MemberEvent::Type::Joined:
  case membership::MemberEvent::Type::Returned:
  case membership::MemberEvent::Type::Replaced:
    return base::EventId::NodeReturned;
  case membership::MemberEvent::Type::Leaving:
    return base::EventId::NodeLeaving;
  case membership::MemberEvent::Type::Silent:
  case membership::MemberEvent::Type::Lost:
    return base::EventId::NodeLost;
  }
  return base::EventId::NodeLost;
}

} // namespace

ControlLoop::ControlLoop(ControlSettings Settings, base::Timeline &Events)
    : m_Settings(std::move(Settings)), m_Events(Events),
      m_Clock(base::steadyClock()), m_Loop(1), m_Timer(m_Loop), m_Http(m_Loop),
      m_Peers(m_Loop, m_Clock),
      m_Log(makeLogClient(m_Http, m_Settings.m_LogAddress)),
      m_Follower(followerSettings(m_Settings), m_Clock.now()),
      m_Publisher(publisherSettings(m_Settings)),
      m_Members(membership::MemberSettings{}),
      m_Advisor(membership::AdvisorSettings{}) {}

ControlLoop::~ControlLoop() { stop(); }

base::Result<void> ControlLoop::start() {
  for (const std::string &Seed : m_Settings.m_Seeds)
    if (Seed != m_Settings.m_PeerAddress)
      m_PeerAddresses.insert(Seed);
  setPeers();
  const auto Listening = m_Peers.listen(
      m_Settings.m_PeerAddress,
      [this](wire::PeerMessage &Message) { onMessage(Message); });
  if (!Listening)
    return Listening;
  boost::asio::post(m_Loop, [this] { tick(); });
  m_Thread = std::thread([this] { m_Loop.run(); });
  return {};
}

void ControlLoop::stop() {
  if (!m_Thread.joinable())
    return;
  m_Loop.stop();
  m_Thread.join();
}

void ControlLoop::post(std::function<void()> Todo) {
  boost::asio::post(m_Loop, std::move(Todo));
}

void ControlLoop::send(const std::string &Address, wire::PeerMessage Message) {
  post([this, Address, Message = std::move(Message)]() mutable {
    sendNow(Address, std::move(Message));
  });
}

void ControlLoop::publish(catalogue::PublishRequest Request,
                          std::function<void(catalogue::PublishAnswer)> Done) {
  post([this, Request = std::move(Request), Done = std::move(Done)]() mutable {
    m_Publishing[Request.m_ChangeId] = std::move(Done);
    m_Events.record(base::EventId::ChangePublished,
                    {{"change", Request.m_ChangeId}});
    carryOut(m_Publisher.publish(now(), Request, m_Follower.state()));
  });
}

void ControlLoop::beginLeaving() {
  post([this] {
    m_Leaving = true;
    gossip();
  });
}

std::vector<PeerStatus> ControlLoop::peers() const {
  std::vector<PeerStatus> All;
  for (const auto &[Name, Known] : m_Nodes)
    All.push_back(Known);
  return All;
}

membership::Advice ControlLoop::advise(const std::string &Zone) {
  // This entry is a member of its own list only while it may be named.
  m_Members.heard(now(), {m_Settings.m_Node, m_Settings.m_Incarnation,
                          m_Settings.m_CallerAddress, m_Settings.m_Zone,
                          m_Leaving || !m_WasReady});
  return m_Advisor.advise(now(), m_Members, Zone);
}

void ControlLoop::noteNode(const PeerStatus &Heard) {
  m_Nodes[Heard.m_Node] = Heard;
}

base::Millis ControlLoop::serveUntil(base::Millis LeftAt) const {
  return m_Advisor.serveUntil(LeftAt, membership::MemberSettings{});
}

void ControlLoop::tick() {
  carryOut(m_Follower.tick(now()));
  carryOut(m_Publisher.tick(now(), m_Follower.state()));
  if (now() >= m_NextGossip)
    gossip();
  recordMembers();
  std::erase_if(m_Nodes, [this](const auto &Item) {
    return now() - Item.second.m_HeardAt > ForgetAfter;
  });
  publishView();
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void ControlLoop::carryOut(catalogue::FollowerActions Actions) {
  for (const catalogue::FollowerEvent Event : Actions.m_Events)
    record(Event);
  for (const catalogue::ReadRequest &Read : Actions.m_Reads)
    m_Log.m_Read(Read, [this, Id = Read.m_Id](
                           const base::Result<catalogue::ReadAnswer> &Answer) {
      carryOut(m_Follower.readAnswered(now(), Id, Answer));
    });
  if (Actions.m_AskPeer) {
    wire::PeerMessage Ask;
    Ask.mutable_catalogue_ask()->set_have_offset(m_Follower.state().offset());
    sendNow(*Actions.m_AskPeer, std::move(Ask));
  }
  if (Actions.m_Append) {
    m_Events.record(base::EventId::SnapshotWritten);
    m_Log.m_Append(*Actions.m_Append, [](base::Result<std::uint64_t>) {});
  }
  if (Actions.m_Changed) {
    publishView();
    carryOut(m_Publisher.tick(now(), m_Follower.state()));
  }
}

void ControlLoop::carryOut(catalogue::PublisherActions Actions) {
  for (const wire::LogRecord &Record : Actions.m_Append)
    append(Record);
  for (const catalogue::PublishAnswer &Answer : Actions.m_Answers) {
    const auto Waiting = m_Publishing.extract(Answer.m_ChangeId);
    if (!Waiting.empty())
      Waiting.mapped()(Answer);
  }
}

void ControlLoop::append(const wire::LogRecord &Record) {
  m_Log.m_Append(Record, [this, Id = Record.append_id()](
                             const base::Result<std::uint64_t> &Answer) {
    carryOut(m_Publisher.appendAnswered(Id, Answer));
    m_Follower.requestRead();
    carryOut(m_Follower.tick(now()));
  });
}

void ControlLoop::onMessage(wire::PeerMessage &Message) {
  m_Events.observe(Message.stamp());
  switch (Message.body_case()) {
  case wire::PeerMessage::kGossip:
    onGossip(Message);
    return;
  case wire::PeerMessage::kCatalogueAsk:
    if (auto Reply = m_Follower.answerPeer(Message.catalogue_ask())) {
      wire::PeerMessage Answer;
      *Answer.mutable_catalogue_reply() = std::move(*Reply);
      sendNow(Message.reply_address(), std::move(Answer));
    }
    return;
  case wire::PeerMessage::kCatalogueReply:
    carryOut(
        m_Follower.peerSnapshot(now(), Message.catalogue_reply().snapshot()));
    return;
  case wire::PeerMessage::kLogTail:
    carryOut(m_Follower.tailHeard(now(), Message.log_tail()));
    return;
  default:
    if (m_OnMessage)
      m_OnMessage(Message);
  }
}

void ControlLoop::onGossip(const wire::PeerMessage &Message) {
  const wire::EntryGossip &News = Message.gossip();
  PeerStatus Heard;
  Heard.m_Node = Message.from();
  Heard.m_Agent = News.agent();
  Heard.m_Zone = News.zone();
  Heard.m_PeerAddress = Message.reply_address();
  Heard.m_HttpAddress = News.http_address();
  Heard.m_CatalogueOffset = News.catalogue_offset();
  Heard.m_Leaving = News.leaving();
  Heard.m_HeardAt = now();
  noteNode(Heard);
  if (News.agent()) {
    // An agent learns the entries and their offsets from this answer.
    wire::PeerMessage Answer;
    *Answer.mutable_gossip() = describeSelf();
    sendNow(Message.reply_address(), std::move(Answer));
    return;
  }
  m_Members.heard(now(), {Message.from(), Message.incarnation(),
                          News.caller_address(), News.zone(), News.leaving()});
  std::size_t Before = m_PeerAddresses.size();
  m_PeerAddresses.insert(Message.reply_address());
  for (const std::string &Other : News.entries())
    if (Other != m_Settings.m_PeerAddress)
      m_PeerAddresses.insert(Other);
  if (m_PeerAddresses.size() != Before)
    setPeers();
  m_Follower.peerHeard(now(), Message.reply_address(), News.catalogue_offset(),
                       News.log_offset());
  if (m_OnGossip)
    m_OnGossip(Message);
}

void ControlLoop::gossip() {
  m_NextGossip =
      now() + (m_Settings.m_Agent ? AgentGossipInterval : GossipInterval);
  for (const std::string &Address : m_PeerAddresses) {
    wire::PeerMessage Message;
    *Message.mutable_gossip() = describeSelf();
    sendNow(Address, std::move(Message));
  }
}

wire::EntryGossip ControlLoop::describeSelf() const {
  wire::EntryGossip Self;
  Self.set_agent(m_Settings.m_Agent);
  Self.set_zone(m_Settings.m_Zone);
  Self.set_caller_address(m_Settings.m_CallerAddress);
  Self.set_http_address(m_Settings.m_HttpAddress);
  Self.set_catalogue_offset(m_Follower.state().offset());
  Self.set_log_offset(m_Follower.heardOffset());
  Self.set_log_reachable(m_Follower.logReachable());
  Self.set_leaving(m_Leaving || !m_WasReady);
  for (const auto &[Name, Known] : m_Nodes)
    if (!Known.m_Agent)
      Self.add_entries(Known.m_PeerAddress);
  return Self;
}

void ControlLoop::sendNow(const std::string &Address,
                          wire::PeerMessage Message) {
  Message.set_from(m_Settings.m_Node);
  Message.set_incarnation(m_Settings.m_Incarnation);
  Message.set_stamp(m_Events.stamp());
  Message.set_reply_address(m_Settings.m_PeerAddress);
  m_Peers.send(Address, Message);
}

void ControlLoop::setPeers() {
  m_Follower.setPeers({m_PeerAddresses.begin(), m_PeerAddresses.end()});
}

void ControlLoop::publishView() {
  const bool Ready = m_Follower.ready(now());
  const bool Moved = !m_View || m_View->offset() != m_Follower.state().offset();
  if (!Moved && Ready == m_WasReady)
    return;
  if (m_WasReady && !Ready)
    m_Events.record(base::EventId::CatalogueTooOld,
                    {{"offset", std::to_string(m_Follower.state().offset())}});
  if (Moved) {
    const catalogue::ViewPtr Before = m_View;
    m_View = m_Views.build(m_Follower.state());
    for (const auto &[Name, Offset] : m_View->changeOffsets())
      if (!Before || Before->changeOffset(Name) != Offset)
        m_Events.record(base::EventId::ChangeAccepted,
                        {{"entry", Name}, {"offset", std::to_string(Offset)}});
  }
  m_WasReady = Ready;
  if (m_OnView)
    m_OnView(m_View, Ready);
}

void ControlLoop::recordMembers() {
  for (const membership::MemberEvent &Event : m_Members.tick(now()))
    m_Events.record(eventOf(Event.m_Type), {{"peer", Event.m_Node}});
}

void ControlLoop::record(catalogue::FollowerEvent Event) {
  switch (Event) {
  case catalogue::FollowerEvent::LogUnavailable:
    m_Events.record(base::EventId::LogUnavailable);
    return;
  case catalogue::FollowerEvent::LogBack:
    m_Events.record(base::EventId::LogBack);
    return;
  case catalogue::FollowerEvent::LogGap:
    m_Events.record(base::EventId::LogGap);
    return;
  case catalogue::FollowerEvent::SnapshotLoaded:
    m_Events.record(base::EventId::SnapshotLoaded);
    return;
  case catalogue::FollowerEvent::FromPeer:
    m_Events.record(base::EventId::CatalogueFromPeer);
    return;
  }
}

} // namespace corneldeck::node

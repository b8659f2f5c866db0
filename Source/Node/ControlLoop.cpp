#include "Node/ControlLoop.h"

#include "Node/LogHttpClient.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace corneldeck::node {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};

ControlSettings withDerivedSettings(ControlSettings Settings) {
  Settings.m_Follower.m_Node = Settings.m_Node;
  Settings.m_Follower.m_WritesSnapshots = !Settings.m_Agent;
  Settings.m_Publisher.m_Node = Settings.m_Node;
  return Settings;
}

} // namespace

ControlLoop::ControlLoop(ControlSettings Settings, base::Timeline &Events)
    : m_Settings(withDerivedSettings(std::move(Settings))), m_Events(Events),
      m_Clock(base::steadyClock()), m_Loop(1), m_Timer(m_Loop), m_Http(m_Loop),
      m_Peers(m_Loop, m_Clock), m_Core(m_Settings, makeHooks(), m_Clock) {}

ControlLoop::~ControlLoop() { stop(); }

ControlHooks ControlLoop::makeHooks() {
  ControlHooks Hooks;
  Hooks.m_Log =
      makeLogClient(m_Http, m_Settings.m_LogAddress,
                    [this](std::size_t Bytes) { m_LogBytes += Bytes; });
  Hooks.m_Send = [this](const std::string &Address, wire::PeerMessage Message) {
    Message.set_stamp(m_Events.stamp());
    m_Peers.send(Address, Message);
  };
  Hooks.m_OnView = [this](catalogue::ViewPtr View, bool Ready) {
    if (m_OnView)
      m_OnView(std::move(View), Ready);
  };
  Hooks.m_OnMessage = [this](const wire::PeerMessage &Message) {
    if (m_OnMessage)
      m_OnMessage(Message);
  };
  Hooks.m_OnGossip = [this](const wire::PeerMessage &Message) {
    if (m_OnGossip)
      m_OnGossip(Message);
  };
  Hooks.m_OnEvent = [this](base::EventId Id,
                           std::vector<base::EventField> Fields) {
    m_Events.record(Id, std::move(Fields));
  };
  return Hooks;
}

base::Result<void> ControlLoop::start() {
  auto Listening = m_Peers.listen(m_Settings.m_PeerAddress,
                                  [this](wire::PeerMessage &Message) {
                                    m_Events.observe(Message.stamp());
                                    m_Core.onMessage(Message);
                                  });
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

void ControlLoop::post(std::function<void()> Task) {
  boost::asio::post(m_Loop, std::move(Task));
}

void ControlLoop::send(const std::string &Address, wire::PeerMessage Message) {
  post([this, Address, Message = std::move(Message)]() mutable {
    Message.set_from(m_Settings.m_Node);
    Message.set_incarnation(m_Settings.m_Incarnation);
    Message.set_stamp(m_Events.stamp());
    Message.set_reply_address(m_Settings.m_PeerAddress);
    m_Peers.send(Address, Message);
  });
}

void ControlLoop::publish(
    catalogue::PublishRequest Request,
    std::function<void(catalogue::PublishResponse)> Done) {
  post([this, Request = std::move(Request), Done = std::move(Done)]() mutable {
    m_Core.publish(Request, std::move(Done));
  });
}

void ControlLoop::beginLeaving() {
  post([this] { m_Core.beginLeaving(); });
}

void ControlLoop::tick() {
  m_Core.tick();
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      tick();
  });
}

} // namespace corneldeck::node

#include "Agent/AgentDaemon.h"

#include "Log/EventLog.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace corneldeck::agent {

namespace {

constexpr std::chrono::milliseconds DrainCheckInterval{20};

request::AttemptSettings attemptSettings(const AgentSettings &Settings) {
  request::AttemptSettings Attempts;
  Attempts.m_MaxRunning = Settings.m_MaxRunning;
  return Attempts;
}

node::ControlSettings controlSettings(const AgentSettings &Settings,
                                      std::uint64_t Incarnation) {
  node::ControlSettings Control;
  Control.m_Node = Settings.m_BackendServer;
  Control.m_Incarnation = Incarnation;
  Control.m_Agent = true;
  Control.m_Zone = Settings.m_Zone;
  Control.m_PeerAddress = Settings.m_ControlAddress;
  Control.m_HttpAddress = Settings.m_HttpAddress;
  Control.m_LogAddress = Settings.m_LogAddress;
  Control.m_Seeds = Settings.m_Entries;
  return Control;
}

std::vector<std::string> serverNames(const catalogue::Entry &Entry) {
  std::vector<std::string> Names;
  for (const catalogue::BackendServer &Server : Entry.m_BackendServers)
    Names.push_back(Server.m_Name);
  return Names;
}

std::chrono::milliseconds remainingTime(base::Millis Now, base::Millis Point) {
  return std::chrono::milliseconds(
      std::max(Point - Now, base::Millis(0)).count());
}

} // namespace

AgentDaemon::AgentDaemon(boost::asio::io_context &Loop, AgentSettings Settings)
    : m_Loop(Loop), m_Settings(std::move(Settings)),
      m_Clock(base::steadyClock()),
      m_Incarnation(static_cast<std::uint64_t>(base::wallTime().count())),
      m_Events(m_Settings.m_BackendServer, m_Settings.m_TimelineEvents),
      m_Http(Loop),
      m_Table({m_Settings.m_BackendServer, m_Incarnation},
              attemptSettings(m_Settings), attemptHooks(), m_Clock.now()),
      m_Backend(m_Http, m_Settings.m_Kind, m_Settings.m_BackendAddress,
                backendHooks()),
      m_EntryLinks(Loop,
                   {m_Settings.m_BackendServer, m_Incarnation,
                    m_Settings.m_Zone, m_Settings.m_HttpAddress},
                   m_Events, linkHooks()),
      m_Control(controlSettings(m_Settings, m_Incarnation), m_Events),
      m_Pages(m_Metrics, m_Events,
              [this] {
                return status::Readiness{!m_Table.draining(),
                                         m_Table.draining() ? "leaving" : ""};
              }),
      m_Server(Loop, {},
               [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
                 handleHttp(*Exchange);
               }),
      m_Timer(Loop), m_StopTimer(Loop),
      m_Runs(m_Metrics.counter("corneldeck_agent_runs_total",
                               "Requests sent to the backend server.")),
      m_Tokens(m_Metrics.counter("corneldeck_agent_tokens_total",
                                 "Tokens received from the engine.")) {
  log::attachLog(m_Events, {m_Settings.m_LogRequests});
  if (m_Settings.m_Kind == BackendKind::Engine)
    m_LoadPoller =
        std::make_unique<LoadPoller>(Loop, m_Http, m_Settings.m_BackendAddress);
  m_Metrics.gauge("corneldeck_control_bytes",
                  "Bytes to and from the log, peers and heartbeats.", [this] {
                    return static_cast<double>(m_Control.bytes() +
                                               m_EntryLinks.controlBytes());
                  });
  m_Metrics.gauge("corneldeck_agent_running", "Requests in flight.",
                  [this] { return static_cast<double>(m_Table.running()); });
  m_Metrics.gauge(
      "corneldeck_agent_claims", "Idempotency keys remembered.",
      [this] { return static_cast<double>(m_Table.claimTable().size()); });
}

AgentDaemon::~AgentDaemon() { m_Control.stop(); }

base::Result<void> AgentDaemon::start() {
  m_Control.setViewHook([this](const catalogue::ViewPtr &View, bool) {
    postToTrafficThread([this, View] { onView(View); });
  });
  m_Control.setMessageHook([this](const wire::PeerMessage &Message) {
    postToTrafficThread([this, Message] { onPeerMessage(Message); });
  });
  if (auto Listening = m_EntryLinks.listen(m_Settings.m_LinkAddress);
      !Listening)
    return Listening;
  if (auto Listening = m_Server.listen(m_Settings.m_HttpAddress); !Listening)
    return tl::unexpected(Listening.error());
  if (auto Started = m_Control.start(); !Started)
    return Started;
  if (m_LoadPoller)
    m_LoadPoller->start();
  m_Events.record(base::EventId::ProcessStarted,
                  {{"incarnation", std::to_string(m_Incarnation)}});
  return {};
}

void AgentDaemon::postToTrafficThread(std::function<void()> Task) {
  boost::asio::post(
      m_Loop, [Alive = std::weak_ptr<int>(m_Alive), Task = std::move(Task)] {
        if (!Alive.expired())
          Task();
      });
}

void AgentDaemon::beginStop(std::function<void()> Done) {
  m_OnStopped = std::move(Done);
  beginDrain();
  checkDrained();
}

void AgentDaemon::beginDrain() {
  if (m_Table.draining())
    return;
  m_Events.record(base::EventId::ProcessStopping);
  execute(m_Table.beginDrain(now(), now() + m_Settings.m_StopTimeout));
  m_Control.beginLeaving();
  m_EntryLinks.announceLoad();
}

void AgentDaemon::checkDrained() {
  if (m_Table.drained(now())) {
    m_Events.record(base::EventId::ProcessStopped);
    m_OnStopped();
    return;
  }
  m_StopTimer.expires_after(DrainCheckInterval);
  m_StopTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      checkDrained();
  });
}

request::AttemptHooks AgentDaemon::attemptHooks() {
  request::AttemptHooks Hooks;
  Hooks.m_WallClock = [] { return base::wallTime(); };
  return Hooks;
}

EntryLinksHooks AgentDaemon::linkHooks() {
  EntryLinksHooks Hooks;
  Hooks.m_OnFrame = [this](request::LinkId Link, const wire::LinkFrame &Frame) {
    execute(m_Table.onFrame(now(), Link, Frame));
  };
  Hooks.m_OnClosed = [this](request::LinkId Link) {
    if (m_LoadPoller)
      m_LoadPoller->removeLink(Link);
    execute(m_Table.onLinkClosed(now(), Link));
  };
  Hooks.m_FillLoad = [this](request::LinkId Link, wire::Load &Load) {
    fillLoad(Link, Load);
  };
  return Hooks;
}

BackendHooks AgentDaemon::backendHooks() {
  BackendHooks Hooks;
  Hooks.m_OnBegan = [this](request::RunId Run) {
    execute(m_Table.onBackendBegan(now(), Run));
  };
  Hooks.m_OnChunk = [this](request::RunId Run, std::uint32_t Tokens,
                           const std::string &Data) {
    m_Tokens.add(Tokens);
    execute(m_Table.onBackendChunk(now(), Run, Tokens, Data));
  };
  Hooks.m_OnEnd = [this](request::RunId Run, const request::BackendEnd &End) {
    m_Events.record(base::EventId::RunEnded,
                    {{"run", std::to_string(Run)},
                     {"code", std::string(base::name(End.m_Code))}});
    execute(m_Table.onBackendEnd(now(), Run, End));
  };
  Hooks.m_OnExported = [this](request::RunId Run, const std::string &Location) {
    execute(m_Table.onBackendExported(now(), Run, Location));
  };
  return Hooks;
}

void AgentDaemon::onView(const catalogue::ViewPtr &View) {
  for (const auto &[Service, Offset] : View->changeOffsets()) {
    if (m_View && m_View->changeOffset(Service) == Offset)
      continue;
    const auto Entry = View->find(Service);
    m_Table.onPlacement(now(), Service, Offset,
                        Entry ? serverNames(*Entry)
                              : std::vector<std::string>{});
  }
  // Addresses of removed servers are kept, since the former home of a key must
  // be reachable after it left the catalogue.
  for (const auto &[Name, Entry] : View->entries())
    for (const catalogue::BackendServer &Server : Entry->m_BackendServers)
      m_ControlAddresses[Server.m_Name] = Server.m_ControlAddress;
  m_View = View;
  armTimer();
}

void AgentDaemon::onPeerMessage(const wire::PeerMessage &Message) {
  if (Message.has_claim_fence())
    answerFence(Message);
  else if (Message.has_claim_fence_reply())
    execute(m_Table.onFenceReply(now(), Message.from(),
                                 Message.claim_fence_reply()));
}

void AgentDaemon::answerFence(const wire::PeerMessage &Message) {
  request::AttemptActions Actions;
  wire::PeerMessage Reply;
  *Reply.mutable_claim_fence_reply() =
      m_Table.onFence(now(), Message.from(), Message.claim_fence(), Actions);
  m_Events.record(base::EventId::ClaimMoved, {{"to", Message.from()}});
  m_Control.send(Message.reply_address(), std::move(Reply));
  execute(Actions);
}

void AgentDaemon::sendFence(const request::SendFence &Action) {
  const auto Found = m_ControlAddresses.find(Action.m_Server);
  // Without an address no fence is sent: the request for it times out and the
  // caller is refused.
  if (Found == m_ControlAddresses.end())
    return;
  wire::PeerMessage Message;
  *Message.mutable_claim_fence() = Action.m_Fence;
  m_Control.send(Found->second, std::move(Message));
}

void AgentDaemon::execute(const request::AttemptActions &Actions) {
  for (const request::AttemptAction &Action : Actions)
    execute(Action);
  armTimer();
}

void AgentDaemon::execute(const request::AttemptAction &Action) {
  if (const auto *Run = std::get_if<request::StartBackendRun>(&Action)) {
    m_Runs.add();
    m_Events.record(base::EventId::RunStarted,
                    {{"request", Run->m_Start.request()},
                     {"attempt", std::to_string(Run->m_Start.attempt())},
                     {"run", std::to_string(Run->m_Run)}});
    m_Backend.run(now(), *Run);
  } else if (const auto *Cancel =
                 std::get_if<request::CancelBackendRun>(&Action))
    m_Backend.cancel(Cancel->m_Run);
  else if (const auto *Export =
               std::get_if<request::ExportBackendStream>(&Action))
    m_Backend.exportRun(Export->m_Run);
  else if (const auto *Send = std::get_if<request::SendOnLink>(&Action))
    m_EntryLinks.send(Send->m_Link, Send->m_Frame);
  else if (const auto *Fence = std::get_if<request::SendFence>(&Action))
    sendFence(*Fence);
}

void AgentDaemon::armTimer() {
  const auto Next = m_Table.nextTimer();
  if (!Next) {
    m_Timer.cancel();
    return;
  }
  m_Timer.expires_after(remainingTime(now(), *Next));
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      execute(m_Table.onTimer(now()));
  });
}

void AgentDaemon::fillLoad(request::LinkId Link, wire::Load &Load) {
  if (m_LoadPoller)
    m_LoadPoller->fillLoad(Link, Load);
  else
    Load.set_running(m_Table.running());
  if (Load.capacity() == 0)
    Load.set_capacity(m_Settings.m_MaxRunning);
  Load.set_catalogue_offset(m_View ? m_View->offset() : 0);
  Load.set_leaving(m_Table.draining());
  Load.set_out_of_service(m_Table.outOfService());
}

void AgentDaemon::handleHttp(net::HttpExchange &Exchange) {
  if (m_Pages.handle(Exchange))
    return;
  if (Exchange.target() == "/drain" && Exchange.method() == "POST") {
    beginDrain();
    Exchange.respond(net::jsonResponse("{\"leaving\":true}"));
    return;
  }
  Exchange.respondWithError({base::ResultCode::UnknownService,
                             "No such page. Use /health, /ready, /metrics or "
                             "/timeline.",
                             {}});
}

} // namespace corneldeck::agent

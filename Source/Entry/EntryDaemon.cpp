#include "Entry/EntryDaemon.h"

#include "Log/EventLog.h"
#include "Net/RequestTarget.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace corneldeck::entry {

namespace {

constexpr std::chrono::milliseconds StopCheckInterval{20};
/// Interval between two limit messages to each other entry.
constexpr std::chrono::milliseconds LimitExchangeInterval{200};
/// In one of this many intervals, the message is sent even if it is empty.
constexpr std::uint64_t RoundsPerEmptyLimitMessage = 5;

node::ControlSettings controlSettings(const EntrySettings &Settings,
                                      std::uint64_t Incarnation) {
  node::ControlSettings Control;
  Control.m_Node = Settings.m_Node;
  Control.m_Incarnation = Incarnation;
  Control.m_Zone = Settings.m_Zone;
  Control.m_PeerAddress = Settings.m_ControlAddress;
  Control.m_HttpAddress = Settings.m_HttpAddress;
  Control.m_CallerAddress = Settings.m_HttpAddress;
  Control.m_LogAddress = Settings.m_LogAddress;
  Control.m_Seeds = Settings.m_Entries;
  return Control;
}

/// \returns the number of entries in the settings, which share each customer's
/// limit.
std::uint32_t entryCount(const EntrySettings &Settings) {
  std::set<std::string> All(Settings.m_Entries.begin(),
                            Settings.m_Entries.end());
  All.insert(Settings.m_ControlAddress);
  return static_cast<std::uint32_t>(All.size());
}

net::HttpServerOptions serverOptions(const EntrySettings &Settings) {
  net::HttpServerOptions Options;
  Options.m_MaxConnections = Settings.m_MaxConnections;
  return Options;
}

} // namespace

EntryDaemon::EntryDaemon(boost::asio::io_context &Loop, EntrySettings Settings)
    : m_Loop(Loop), m_Settings(std::move(Settings)),
      m_Incarnation(static_cast<std::uint64_t>(base::wallTime().count())),
      m_Clock(base::steadyClock()),
      m_Events(m_Settings.m_Node, m_Settings.m_TimelineEvents), m_Http(Loop),
      m_Control(controlSettings(m_Settings, m_Incarnation), m_Events),
      m_RequestHandler(Loop, m_Settings.m_Node, m_Settings.m_Zone,
                       m_Incarnation, entryCount(m_Settings), m_Events,
                       m_Metrics),
      m_OperatorHandler(Loop, m_Control, m_RequestHandler.links(), m_Http),
      m_Pages(m_Metrics, m_Events, [this] { return readiness(); }),
      m_Server(Loop, serverOptions(m_Settings),
               [this](const ExchangePtr &Exchange) { handle(Exchange); }),
      m_StopTimer(Loop), m_LimitTimer(Loop) {
  log::attachLog(m_Events, {m_Settings.m_LogRequests});
  m_Metrics.gauge("corneldeck_control_bytes",
                  "Bytes to and from the log, peers and heartbeats.", [this] {
                    return static_cast<double>(
                        m_Control.bytes() +
                        m_RequestHandler.links().controlBytes());
                  });
}

EntryDaemon::~EntryDaemon() { m_Control.stop(); }

base::Result<void> EntryDaemon::start() {
  m_Control.setViewHook([this](const catalogue::ViewPtr &View, bool Ready) {
    postToTrafficThread([this, View, Ready] {
      m_Ready = Ready;
      m_RequestHandler.onView(View, Ready);
    });
  });
  m_Control.setMessageHook([this](const wire::PeerMessage &Message) {
    if (!Message.has_limits())
      return;
    postToTrafficThread([this, Message] {
      m_RequestHandler.limits().onMessage(m_Clock.now(), Message);
    });
  });
  if (auto Listening = m_Server.listen(m_Settings.m_HttpAddress); !Listening)
    return tl::unexpected(Listening.error());
  if (auto Started = m_Control.start(); !Started)
    return Started;
  exchangeLimits();
  m_Events.record(base::EventId::ProcessStarted,
                  {{"incarnation", std::to_string(m_Incarnation)}});
  return {};
}

void EntryDaemon::exchangeLimits() {
  const bool SendEmpty = m_LimitRounds++ % RoundsPerEmptyLimitMessage == 0;
  for (const std::string &Address : m_Settings.m_Entries) {
    if (Address == m_Settings.m_ControlAddress)
      continue;
    wire::PeerMessage Message =
        m_RequestHandler.limits().messageFor(m_Clock.now(), Address);
    if (SendEmpty || Message.limits().uses_size() > 0)
      m_Control.send(Address, std::move(Message));
  }
  m_LimitTimer.expires_after(LimitExchangeInterval);
  m_LimitTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      exchangeLimits();
  });
}

void EntryDaemon::postToTrafficThread(std::function<void()> Task) {
  boost::asio::post(
      m_Loop, [Alive = std::weak_ptr<int>(m_Alive), Task = std::move(Task)] {
        if (!Alive.expired())
          Task();
      });
}

void EntryDaemon::beginStop(std::function<void()> Done) {
  m_Events.record(base::EventId::ProcessStopping);
  m_Stopping = true;
  m_OnStopped = std::move(Done);
  m_Control.beginLeaving();
  m_ServeUntil = m_Control.serveUntil(m_Clock.now());
  m_StopDeadline = m_ServeUntil + m_Settings.m_StopTimeout;
  checkStopped();
}

void EntryDaemon::checkStopped() {
  const base::Millis Now = m_Clock.now();
  if (Now >= m_ServeUntil) {
    m_Server.stopAccepting();
    m_Server.closeAfterResponses();
  }
  const bool Idle =
      m_RequestHandler.inFlight() == 0 && m_Server.requestsInFlight() == 0;
  if ((Now >= m_ServeUntil && Idle) || Now >= m_StopDeadline) {
    m_Events.record(base::EventId::ProcessStopped);
    m_OnStopped();
    return;
  }
  m_StopTimer.expires_after(StopCheckInterval);
  m_StopTimer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      checkStopped();
  });
}

status::Readiness EntryDaemon::readiness() const {
  if (m_Stopping)
    return {false, "stopping"};
  if (!m_Ready)
    return {false, "the catalogue is missing or stale"};
  return {true, ""};
}

void EntryDaemon::handle(const ExchangePtr &Exchange) {
  const std::string_view Path = Exchange->target();
  if (Path == ChatPath || Path.starts_with(ServicesPath)) {
    m_RequestHandler.handle(Exchange);
    return;
  }
  if (Path.starts_with(AddressesPath)) {
    handleAddresses(Exchange);
    return;
  }
  if (m_Pages.handle(*Exchange) || m_OperatorHandler.handle(Exchange))
    return;
  Exchange->respondWithError(
      {base::ResultCode::UnknownService,
       "No such path. Use /v1/chat/completions, "
       "/services/NAME/..., /v1/addresses or /operator/...",
       {}});
}

void EntryDaemon::handleAddresses(const ExchangePtr &Exchange) {
  const std::string Zone =
      net::RequestTarget(Exchange->target()).text("zone").value_or("");
  m_Control.post([this, Exchange, Zone] {
    const membership::AddressList Advice = m_Control.selectAddresses(Zone);
    const nlohmann::json Body = {{"addresses", Advice.m_Addresses},
                                 {"lifetime_ms", Advice.m_Lifetime.count()}};
    boost::asio::post(m_Loop, [Exchange, Text = Body.dump()] {
      Exchange->respond(net::jsonResponse(Text));
    });
  });
}

} // namespace corneldeck::entry

#include "Bench/PathFleet.h"

#include "Net/Endpoint.h"
#include "Net/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <unistd.h>

namespace corneldeck::bench {

using nlohmann::json;

namespace {

constexpr const char *Zone = "kadikoy";
constexpr int HttpOk = 200;
constexpr int ReadyTries = 200;
constexpr std::chrono::milliseconds ReadyPause{50};
constexpr std::uint32_t EngineBatch = 1024;
constexpr std::uint64_t EngineKvTokens = 4'000'000;

/// \returns an address below the ports that outgoing connections take.
std::string freeAddress() {
  constexpr int FirstPort = 12'000;
  constexpr int PortSpan = 20'000;
  static int Next = FirstPort + ::getpid() % PortSpan;
  boost::asio::io_context Loop;
  for (;;) {
    Next = Next + 1 < FirstPort + PortSpan ? Next + 1 : FirstPort;
    boost::system::error_code Problem;
    boost::asio::ip::tcp::acceptor Probe(Loop, boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(Next)},
               Problem);
    if (!Problem)
      return net::formatEndpoint(Probe.local_endpoint());
  }
}

/// Sends a request and waits for its answer.
base::Result<net::HttpResponse> fetch(net::HttpCall Call) {
  boost::asio::io_context Loop;
  net::HttpClient Http(Loop);
  std::optional<base::Result<net::HttpResponse>> Got;
  Http.fetch(std::move(Call), [&](base::Result<net::HttpResponse> Answer) {
    Got = std::move(Answer);
    Loop.stop();
  });
  Loop.run();
  return std::move(*Got);
}

std::string entryText(const std::string &Name, const std::string &Kind,
                      const agent::AgentSettings &Server) {
  return "name: " + Name + "\nowner: bench\nkind: " + Kind +
         "\nclass: interactive\nidempotent: {default: true}\n"
         "customers:\n  - {name: bench, requests_per_s: 1000000, "
         "tokens_per_s: 100000000}\n"
         "backend_servers:\n  - {name: " +
         Server.m_BackendServer + ", link: " + Server.m_LinkAddress +
         ", control: " + Server.m_ControlAddress + ", zone: " + Zone +
         ", capacity: 4096}\n";
}

json change(const std::string &Name, const std::string &Body) {
  return {{"entry", Name},
          {"expected_version", 0},
          {"owner", "bench"},
          {"body", Body},
          {"deletion", false}};
}

} // namespace

PathFleet::PathFleet() {
  m_EntrySettings.m_Node = "entry";
  m_EntrySettings.m_Zone = Zone;
  m_EntrySettings.m_HttpAddress = freeAddress();
  m_EntrySettings.m_ControlAddress = freeAddress();
  m_EntrySettings.m_Entries = {m_EntrySettings.m_ControlAddress};
  m_EntrySettings.m_StopTimeout = base::seconds(1);
  m_EntrySettings.m_MaxConnections = 10'000;
  m_EntrySettings.m_TimelineEvents = 20'000;
}

PathFleet::~PathFleet() {
  m_EntryLoop.stop();
  m_EngineAgentLoop.stop();
  m_ServiceAgentLoop.stop();
  m_StandinLoop.stop();
}

agent::AgentSettings
PathFleet::agentSettings(const std::string &Server, agent::BackendKind Kind,
                         const std::string &Backend) const {
  agent::AgentSettings Settings;
  Settings.m_BackendServer = Server;
  Settings.m_Zone = Zone;
  Settings.m_LinkAddress = freeAddress();
  Settings.m_ControlAddress = freeAddress();
  Settings.m_HttpAddress = freeAddress();
  Settings.m_LogAddress = m_Log;
  Settings.m_Entries = m_EntrySettings.m_Entries;
  Settings.m_Kind = Kind;
  Settings.m_BackendAddress = Backend;
  Settings.m_MaxRunning = 8192;
  Settings.m_StopTimeout = base::seconds(1);
  Settings.m_TimelineEvents = 20'000;
  return Settings;
}

void PathFleet::startStandins() {
  fakes::EngineSettings Engine;
  // Fast enough that the daemons are what is measured.
  Engine.m_MaxBatch = EngineBatch;
  Engine.m_KvTokens = EngineKvTokens;
  Engine.m_MicrosPerSequence = 0;
  m_LogRole = std::make_unique<standin::LogRole>(m_StandinLoop.loop());
  m_EngineRole =
      std::make_unique<standin::EngineRole>(m_StandinLoop.loop(), Engine);
  m_ServiceRole = std::make_unique<standin::ServiceRole>(m_StandinLoop.loop());
  m_Log = *m_LogRole->listen("127.0.0.1:0");
  m_Engine = *m_EngineRole->listen("127.0.0.1:0");
  m_Service = *m_ServiceRole->listen("127.0.0.1:0");
  m_StandinLoop.start();
}

base::Result<void> PathFleet::start() {
  startStandins();
  m_EntrySettings.m_LogAddress = m_Log;
  m_EngineAgentSettings =
      agentSettings("engine-0", agent::BackendKind::Engine, m_Engine);
  m_ServiceAgentSettings =
      agentSettings("service-0", agent::BackendKind::Service, m_Service);
  m_EntryDaemon =
      std::make_unique<entry::EntryDaemon>(m_EntryLoop.loop(), m_EntrySettings);
  m_EngineAgent = std::make_unique<agent::AgentDaemon>(m_EngineAgentLoop.loop(),
                                                       m_EngineAgentSettings);
  m_ServiceAgent = std::make_unique<agent::AgentDaemon>(
      m_ServiceAgentLoop.loop(), m_ServiceAgentSettings);
  if (auto Started = m_EntryDaemon->start(); !Started)
    return Started;
  if (auto Started = m_EngineAgent->start(); !Started)
    return Started;
  if (auto Started = m_ServiceAgent->start(); !Started)
    return Started;
  m_EntryLoop.start();
  m_EngineAgentLoop.start();
  m_ServiceAgentLoop.start();
  return waitReady();
}

base::Result<void> PathFleet::publish() {
  const json Order = {
      {"change_id", "bench"},
      {"changes",
       {change("model", entryText("model", "model", m_EngineAgentSettings)),
        change("service",
               entryText("service", "service", m_ServiceAgentSettings))}}};
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = entryAddress();
  Call.m_Target = "/operator/publish";
  Call.m_Body = Order.dump();
  const auto Answer = fetch(std::move(Call));
  if (!Answer)
    return tl::unexpected(Answer.error());
  if (Answer->m_Body.find("accepted") == std::string::npos)
    return base::failure(base::ResultCode::Internal, Answer->m_Body);
  return {};
}

base::Result<void> PathFleet::waitReady() {
  bool Published = false;
  for (int Try = 0; Try < ReadyTries; ++Try) {
    std::this_thread::sleep_for(ReadyPause);
    if (!Published) {
      Published = publish().has_value();
      continue;
    }
    net::HttpCall Call;
    Call.m_Address = entryAddress();
    Call.m_Target = "/services/service/ready";
    Call.m_Headers = {{"X-Customer", "bench"}};
    const auto Answer = fetch(std::move(Call));
    if (Answer && Answer->m_Status == HttpOk)
      return {};
  }
  return base::failure(base::ResultCode::Timeout,
                       "The daemons on loopback did not get ready.");
}

} // namespace corneldeck::bench

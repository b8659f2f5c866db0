#include "Fleet.h"

#include "Net/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <unistd.h>

namespace corneldeck::tests {

using nlohmann::json;

namespace {

/// Far above what any step takes, so that only a hang ends a test.
constexpr std::chrono::seconds HangBound{60};

constexpr int FirstPort = 12'000;
constexpr int PortSpan = 20'000;
/// Keeps tests that run at the same time apart.
constexpr int PortStride = 61;

std::string serverLine(const agent::AgentSettings &Settings) {
  return "  - {name: " + Settings.m_BackendServer +
         ", link: " + Settings.m_LinkAddress +
         ", control: " + Settings.m_ControlAddress +
         ", zone: " + Settings.m_Zone + ", capacity: 64}\n";
}

} // namespace

std::string Fleet::freeAddress() {
  // Below the ports that the system gives to outgoing connections, which
  // would else take a port between this probe and its use.
  static int Next = FirstPort + ::getpid() * PortStride % PortSpan;
  for (;;) {
    Next = Next + 1 < FirstPort + PortSpan ? Next + 1 : FirstPort;
    boost::system::error_code Problem;
    boost::asio::ip::tcp::acceptor Probe(m_Loop, boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(Next)},
               Problem);
    if (!Problem)
      return net::formatEndpoint(Probe.local_endpoint());
  }
}

void Fleet::SetUp() {
  startStandins();
  makeSettings();
  for (const entry::EntrySettings &Settings : m_EntrySettings) {
    m_Entries.push_back(std::make_unique<entry::EntryDaemon>(m_Loop, Settings));
    ASSERT_TRUE(m_Entries.back()->start().has_value());
  }
  for (const agent::AgentSettings &Settings : m_AgentSettings) {
    m_Agents.push_back(std::make_unique<agent::AgentDaemon>(m_Loop, Settings));
    ASSERT_TRUE(m_Agents.back()->start().has_value());
  }
}

void Fleet::startStandins() {
  m_Log = std::make_unique<standin::LogRole>(m_Loop);
  m_LogAddress = *m_Log->listen("127.0.0.1:0");
  for (int Index = 0; Index < Engines; ++Index) {
    m_Engines.push_back(
        std::make_unique<standin::EngineRole>(m_Loop, fakes::EngineSettings{}));
    m_BackendAddresses.push_back(*m_Engines.back()->listen("127.0.0.1:0"));
  }
  for (int Index = 0; Index < Services; ++Index) {
    m_ServiceRoles.push_back(std::make_unique<standin::ServiceRole>(m_Loop));
    m_BackendAddresses.push_back(*m_ServiceRoles.back()->listen("127.0.0.1:0"));
  }
}

void Fleet::makeSettings() {
  std::vector<std::string> Controls;
  for (int Index = 0; Index < Entries; ++Index) {
    entry::EntrySettings Settings;
    Settings.m_Node = "entry-" + std::to_string(Index);
    Settings.m_Zone = "kadikoy";
    Settings.m_HttpAddress = freeAddress();
    Settings.m_ControlAddress = freeAddress();
    Settings.m_LogAddress = m_LogAddress;
    Settings.m_StopTimeout = base::seconds(30);
    Settings.m_MaxConnections = 1000;
    Settings.m_TimelineEvents = 1000;
    Controls.push_back(Settings.m_ControlAddress);
    m_EntrySettings.push_back(Settings);
  }
  for (entry::EntrySettings &Settings : m_EntrySettings)
    Settings.m_Entries = Controls;
  for (int Index = 0; Index < Engines + Services; ++Index) {
    agent::AgentSettings Settings;
    Settings.m_BackendServer = "server-" + std::to_string(Index);
    Settings.m_Zone = "kadikoy";
    Settings.m_LinkAddress = freeAddress();
    Settings.m_ControlAddress = freeAddress();
    Settings.m_HttpAddress = freeAddress();
    Settings.m_LogAddress = m_LogAddress;
    Settings.m_Entries = Controls;
    Settings.m_Kind = Index < Engines ? agent::BackendKind::Engine
                                      : agent::BackendKind::Service;
    Settings.m_BackendAddress = m_BackendAddresses[Index];
    Settings.m_StopTimeout = base::seconds(30);
    Settings.m_TimelineEvents = 1000;
    m_AgentSettings.push_back(Settings);
  }
}

void Fleet::runUntil(const std::function<bool()> &Done) {
  const auto Bound = std::chrono::steady_clock::now() + HangBound;
  while (!Done()) {
    m_Loop.run_one_for(std::chrono::milliseconds(100));
    ASSERT_LT(std::chrono::steady_clock::now(), Bound) << "no progress";
  }
}

std::string Fleet::modelEntry(std::uint32_t Servers) const {
  std::string Text = std::string("name: ") + Model +
                     "\nowner: vakif\nkind: model\nclass: interactive\n"
                     "idempotent: {default: true}\n"
                     "customers:\n"
                     "  - {name: floor, requests_per_s: 100000}\n"
                     "  - {name: small, requests_per_s: 4}\n"
                     "backend_servers:\n";
  for (std::uint32_t Index = 0; Index < Servers; ++Index)
    Text += serverLine(m_AgentSettings[Index]);
  return Text;
}

std::string Fleet::serviceEntry() const {
  std::string Text = std::string("name: ") + Service +
                     "\nowner: ajoke\nkind: service\nclass: interactive\n"
                     "customers:\n"
                     "  - {name: floor, requests_per_s: 100000}\n"
                     "backend_servers:\n";
  for (int Index = Engines; Index < Engines + Services; ++Index)
    Text += serverLine(m_AgentSettings[Index]);
  return Text;
}

json Fleet::publish(const std::string &ChangeId, const std::string &Entry,
                    std::uint64_t ExpectedVersion, const std::string &Body) {
  const json Owner = Entry == Model ? "vakif" : "ajoke";
  const json Order = {{"change_id", ChangeId},
                      {"changes",
                       {{{"entry", Entry},
                         {"expected_version", ExpectedVersion},
                         {"owner", Owner},
                         {"body", Body},
                         {"deletion", false}}}}};
  return json::parse(
      fetch(entryAddress(0), "POST", "/operator/publish", Order.dump()).m_Body);
}

bool Fleet::inForce(std::uint64_t Offset) {
  for (const entry::EntrySettings &Settings : m_EntrySettings) {
    const json Status = json::parse(
        fetch(Settings.m_HttpAddress, "GET", "/operator/status").m_Body);
    if (Status["nodes"].size() < Entries + Engines + Services)
      return false;
    for (const json &Node : Status["nodes"])
      if (Node["offset"].get<std::uint64_t>() < Offset ||
          !Node["ready"].get<bool>())
        return false;
  }
  return true;
}

void Fleet::publishAll() {
  runUntil([this] {
    return fetch(entryAddress(0), "GET", "/ready").m_Status == 200;
  });
  ASSERT_EQ(publish("change-1", Model, 0, modelEntry(Engines))["result"],
            "accepted");
  const json Second = publish("change-2", Service, 0, serviceEntry());
  ASSERT_EQ(Second["result"], "accepted");
  const auto Offset = Second["offset"].get<std::uint64_t>();
  runUntil([&] { return inForce(Offset); });
}

CallerAnswerPtr Fleet::call(net::HttpCall Call) {
  auto Answer = std::make_shared<CallerAnswer>();
  m_Http.request(std::move(Call),
                 {[Answer](const net::HttpResponseHead &Head) {
                    Answer->m_Status = Head.m_Status;
                    Answer->m_Headers = Head.m_Headers;
                  },
                  [Answer](std::string_view Piece) { Answer->m_Body += Piece; },
                  [Answer](const base::Result<void> &Ended) {
                    Answer->m_Ended = true;
                    Answer->m_Broken = !Ended;
                  }});
  return Answer;
}

CallerAnswer Fleet::fetch(const std::string &Address, const std::string &Method,
                          const std::string &Target, const std::string &Body) {
  net::HttpCall Call;
  Call.m_Method = Method;
  Call.m_Address = Address;
  Call.m_Target = Target;
  Call.m_Body = Body;
  Call.m_Timeout = base::minutes(1);
  const CallerAnswerPtr Answer = call(std::move(Call));
  runUntil([&] { return Answer->m_Ended; });
  return *Answer;
}

CallerAnswerPtr Fleet::chat(int Entry, std::uint32_t Tokens, bool Stream,
                            const net::HttpHeaders &Extra) {
  const json Body = {
      {"model", Model},
      {"stream", Stream},
      {"max_tokens", Tokens},
      {"messages", {{{"role", "user"}, {"content", "the tin robot"}}}}};
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = entryAddress(Entry);
  Call.m_Target = "/v1/chat/completions";
  Call.m_Headers = Extra;
  if (net::findHeader(Extra, "X-Customer").empty())
    Call.m_Headers.push_back({"X-Customer", "floor"});
  Call.m_Body = Body.dump();
  Call.m_Timeout = base::minutes(5);
  return call(std::move(Call));
}

CallerAnswerPtr Fleet::remit(int Entry, const std::string &Key,
                             const std::string &Body) {
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = entryAddress(Entry);
  Call.m_Target = std::string("/services/") + Service + "/remittances";
  Call.m_Headers = {{"X-Customer", "floor"}, {"Idempotency-Key", Key}};
  Call.m_Body = Body;
  return call(std::move(Call));
}

void Fleet::restartAgent(int Index) {
  m_Agents[Index].reset();
  m_Agents[Index] =
      std::make_unique<agent::AgentDaemon>(m_Loop, m_AgentSettings[Index]);
  ASSERT_TRUE(m_Agents[Index]->start().has_value());
}

int Fleet::runsOf(const std::string &Key) {
  int Count = 0;
  for (int Index = Engines; Index < Engines + Services; ++Index) {
    const json Runs =
        json::parse(fetch(m_BackendAddresses[Index], "GET", "/runs").m_Body);
    for (const json &Run : Runs["runs"])
      Count += Run["key"] == Key ? 1 : 0;
  }
  return Count;
}

} // namespace corneldeck::tests

#include "Soak.h"

#include "Net/Endpoint.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace corneldeck::tests {

using nlohmann::json;

namespace {

/// A server that leaves must get no requests after this time.
constexpr base::Millis DrainBound = base::seconds(2);
constexpr int Servers = 4;

json route(const std::string &Prefix, const std::string &Type) {
  return {
      {"name", Prefix},  {"hostname", "x.example"}, {"path-prefix", Prefix},
      {"type", Type},    {"timeout-ms", 3000},      {"target-latency-ms", 300},
      {"priority", 1},   {"backend", "svc"},        {"max-attempts", 3},
      {"public", false}, {"resumable", true}};
}

std::string freeAddress(boost::asio::io_context &Loop) {
  static int Next = 14'000 + ::getpid() * 71 % 15'000;
  for (;;) {
    boost::system::error_code Problem;
    boost::asio::ip::tcp::acceptor Probe(Loop, boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(++Next)},
               Problem);
    if (!Problem)
      return "127.0.0.1:" + std::to_string(Next);
  }
}

std::string portOf(const std::string &Address) {
  return Address.substr(Address.rfind(':') + 1);
}

bool isPromise(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

Soak::Soak(SoakSettings Settings)
    : m_Settings(std::move(Settings)), m_Draw(m_Settings.m_Seed),
      m_LimitDraw(m_Settings.m_Seed), m_NoticeDraw(m_Settings.m_Seed),
      m_StoreDraw(m_Settings.m_Seed), m_PromptDraw(m_Settings.m_Seed) {
  m_Store.m_NamesEra = m_Settings.m_Plant != Plant::EraIgnored;
  m_StoreAddress = m_Store.listen();
  for (int Index = 0; Index < Servers; ++Index)
    addServer();
  publish();
  m_PeerPort = portOf(freeAddress(m_Loop));
  for (int Index = 0; Index < m_Settings.m_Entries; ++Index)
    addEntry(Index);
}

Soak::~Soak() = default;

void Soak::addServer() {
  Server &Added = m_Servers.emplace_back();
  Added.m_Server = std::make_unique<StandinServer>(
      m_Loop, "i-" + std::to_string(m_NextServer++), "svc");
  Added.m_Server->m_RetryAfter =
      m_Settings.m_Plant == Plant::PauseIgnored ? "0.2" : "1.5";
  Added.m_Proxy =
      std::make_unique<LoopbackProxy>(m_Loop, Added.m_Server->listen());
  Added.m_Address = Added.m_Proxy->listen();
  Added.m_Server->m_FatalParts = {FatalPart};
  Added.m_Server->m_OnEnded = [this, Id = Added.m_Server->id()] {
    endServer(Id);
  };
  registerServer(Added, "ready");
}

void Soak::registerServer(const Server &Of, const std::string &State) {
  json Record = json::parse(Of.m_Server->record(State, ++m_Records));
  Record["address"] = Of.m_Address;
  m_Store.put("keyed.servers", Of.m_Server->id(), Record.dump());
}

void Soak::publish() {
  ++m_Version;
  m_PublishedAt.push_back(now());
  writeConfiguration();
}

void Soak::writeConfiguration() {
  json Routes = {route("/plain/", "idempotent"),
                 route("/once/", "non_idempotent"),
                 route("/stream/", "streaming")};
  // Each version adds a route and keeps those before it.
  for (int Version = 2; Version <= m_Version; ++Version)
    Routes.push_back(route("/v" + std::to_string(Version) + "/", "idempotent"));
  const json Config = {{"version", m_Version},
                       {"routes", Routes},
                       {"backends", {{{"name", "svc"}}}},
                       {"limits", {{"idle-timeout-ms", 15000}}},
                       {"tenants", {{{"name", "c"}, {"api-keys", {"k"}}}}}};
  m_Store.put("keyed.op", "config", Config.dump());
}

void Soak::addEntry(int Index) {
  Entry &Added = m_Entries.emplace_back();
  Added.m_Name = "entry-" + std::to_string(Index);
  Added.m_CallerAddress = freeAddress(m_Loop);
  Added.m_DirectoryAddress = freeAddress(m_Loop);
  // Entries find each other at one port of different addresses.
  const std::string Address = "127.0.0." + std::to_string(Index + 2);
  std::string Seeds;
  for (int Other = 0; Other < m_Settings.m_Entries; ++Other)
    Seeds += (Other > 0 ? ", \"127.0.0." : "\"127.0.0.") +
             std::to_string(Other + 2) + ":1\"";
  const std::string Path = m_Settings.m_Folder + "/" + Added.m_Name;
  std::ofstream File(Path + ".yaml");
  File << "node: " << Added.m_Name << "\nzone: a\nip: " << Address
       << "\npeer_port: " << m_PeerPort
       << "\ncaller_address: " << Added.m_CallerAddress
       << "\nready_address: " << freeAddress(m_Loop)
       << "\ndirectory_address: " << Added.m_DirectoryAddress << "\nseeds: ["
       << Seeds << "]\nlog: " << m_StoreAddress
       << "\nretries: {ratio: 0.2, window_s: 10, extra: 90}\n"
          "address_lifetime_s: 5\ngrace_period_s: 3\nmax_open_files: 1000\n"
          "link_mbps: 1000\n";
  File.close();
  Added.m_Process = std::make_unique<ChildProcess>(
      std::vector<std::string>{m_Settings.m_EntryProgram, "--config",
                               Path + ".yaml"},
      Path + ".log");
  startEntry(Added);
}

void Soak::startEntry(Entry &Of) {
  ++Of.m_Starts;
  Of.m_SeenVersion = 0;
  Of.m_RestartAt = {};
  Of.m_ContinueAt = {};
  Of.m_ExcusedUntil = now() + Touch;
  Of.m_Process->start();
}

void Soak::every(base::Millis Period, std::function<void()> Do) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop);
  auto Turn = std::make_shared<std::function<void()>>();
  *Turn = [Timer, Period, Do = std::move(Do),
           Weak = std::weak_ptr<std::function<void()>>(Turn), Turn] {
    Timer->expires_after(std::chrono::milliseconds(Period.count()));
    Timer->async_wait([Do, Turn](const boost::system::error_code &Code) {
      if (Code)
        return;
      Do();
      (*Turn)();
    });
  };
  (*Turn)();
}

void Soak::run() {
  const base::Millis End = now() + m_Settings.m_Length;
  every(base::Millis(6), [this] {
    if (m_Asking)
      ask();
  });
  every(base::Millis(350), [this] {
    if (m_Asking)
      injectFault();
  });
  every(base::Millis(500), [this] {
    if (m_Asking) {
      changeLimits();
      changeNotices();
      changeStore();
    }
  });
  every(base::Millis(50), [this] {
    heal();
    reviveServers();
    checkServers();
  });
  while (now() < End)
    m_Loop.run_one_for(std::chrono::milliseconds(50));
  m_Asking = false;
  // What was refused must not run later, so the answers are looked at after all
  // orders on their way have arrived.
  const base::Millis Quiet = now() + base::seconds(4);
  while (now() < Quiet)
    m_Loop.run_one_for(std::chrono::milliseconds(50));
  checkServers();
  checkPromises();
  checkLimits();
}

void Soak::ask() {
  Entry &Of = m_Entries[m_Draw.below(m_Entries.size())];
  auto Request = std::make_shared<Asked>();
  Request->m_Id = "q" + std::to_string(++m_NextRequest);
  Request->m_Entry = static_cast<std::size_t>(&Of - m_Entries.data());
  Request->m_Start = Of.m_Starts;
  Request->m_SentAt = now();
  std::string Prompt;
  switch (m_Draw.below(4)) {
  case 0:
    Request->m_Path = "/once/";
    m_RunOnce.insert(Request->m_Id);
    break;
  case 1:
    Request->m_Path = "/stream/";
    Prompt = drawPrompt();
    break;
  case 2:
    Request->m_Path = "/plain/";
    break;
  default:
    Request->m_Version = 1 + static_cast<int>(m_Draw.below(m_Version));
    Request->m_Path = Request->m_Version == 1
                          ? "/plain/"
                          : "/v" + std::to_string(Request->m_Version) + "/";
    break;
  }
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = Of.m_CallerAddress;
  Call.m_Target = Request->m_Path + "a";
  Call.m_Host = "x.example";
  Call.m_Headers = {{"Attempt-Id", Request->m_Id},
                    {"Authorization", "Token k"},
                    {"Deadline-Ms", "4000"},
                    {"X-Entry", std::to_string(Request->m_Entry)}};
  if (!Prompt.empty())
    Call.m_Headers.push_back({"Prefix-Hash", Prompt});
  Call.m_Body = Request->m_Id;
  Call.m_Timeout = base::seconds(5);
  net::HttpCallbacks Hooks;
  Hooks.m_OnHead = [Request](const net::HttpResponseHead &Head) {
    Request->m_Status = Head.m_Status;
    Request->m_Headers = Head.m_Headers;
  };
  Hooks.m_OnData = [Request](std::string_view Data) {
    Request->m_Body += Data;
  };
  Hooks.m_OnEnd = [this, Request](const base::Result<void> &Outcome) {
    Request->m_Whole = Outcome.has_value();
    answered(Request);
  };
  auto Cancel = m_Http.request(std::move(Call), std::move(Hooks));
  if (m_Draw.chance(0.02)) {
    m_Cancelled.insert(Request->m_Id);
    Cancel.cancel();
  }
}

void Soak::answered(const AskedPtr &Request) {
  if (m_Settings.m_Plant == Plant::AnswerOfAnother && Request->m_Whole &&
      Request->m_Status == 200 && m_Draw.chance(0.01))
    for (net::HttpHeader &Each : Request->m_Headers)
      if (Each.m_Name == "Attempt-Id")
        Each.m_Value = "q0";
  Entry &Of = m_Entries[Request->m_Entry];
  const bool SameProcess = Of.m_Starts == Request->m_Start;
  if (m_Settings.m_Plant == Plant::VersionGoesBack && SameProcess &&
      Request->m_Version > 1 && Request->m_Version <= Of.m_SeenVersion)
    Request->m_Status = 404;
  ++m_Statuses[Request->m_Whole ? std::to_string(Request->m_Status) : "cut"];
  if (!Request->m_Whole)
    return;
  if (isPromise(Request->m_Status)) {
    m_Promised.push_back(Request);
    return;
  }
  if (Request->m_Status == 401 ||
      (Request->m_Status == 404 && Request->m_Version <= 1))
    violate(Request->m_Id + " was denied with " +
            std::to_string(Request->m_Status));
  if (Request->m_Status == 404 && SameProcess &&
      Request->m_Version <= Of.m_SeenVersion)
    violate(Request->m_Id + ": " + Of.m_Name + " went back behind version " +
            std::to_string(Of.m_SeenVersion));
  if (Request->m_Status == 404 && SameProcess)
    checkInForce(*Request, Of);
  if (Request->m_Status != 200)
    return;
  if (SameProcess)
    recordLeaving(*Request);
  if (SameProcess)
    Of.m_SeenVersion = std::max(Of.m_SeenVersion, Request->m_Version);
  checkBody(*Request);
}

void Soak::checkBody(const Asked &Request) {
  if (net::findHeader(Request.m_Headers, "Attempt-Id") != Request.m_Id ||
      net::findHeader(Request.m_Headers, "Response-Signature").empty())
    violate(Request.m_Id + " got another answer or one without a signature");
  if (Request.m_Body.starts_with("body of ")) {
    if (!Request.m_Body.starts_with("body of " + Request.m_Id + " "))
      violate(Request.m_Id + " got the body: " + Request.m_Body);
    return;
  }
  std::string Events;
  for (int Index = 1; Index <= m_Servers.front().m_Server->m_Events; ++Index)
    Events.append("id: ")
        .append(std::to_string(Index))
        .append("\ndata: ")
        .append(std::to_string(Index * 7))
        .append("\n\n");
  if (Request.m_Path == "/stream/" && Request.m_Body != Events)
    violate(Request.m_Id + " got a stream of " +
            std::to_string(Request.m_Body.size()) + " bytes as complete");
  if (Request.m_Path != "/stream/" && Request.m_Body != "body")
    violate(Request.m_Id + " got no body of its own: " + Request.m_Body);
}

void Soak::excuseAll(base::Millis For) {
  for (Entry &Each : m_Entries)
    Each.m_ExcusedUntil = std::max(Each.m_ExcusedUntil, now() + For + Touch);
}

void Soak::checkServers() {
  const bool Faulty = m_Store.m_Faults.m_Unavailable ||
                      m_Store.m_Faults.m_Busy ||
                      m_Store.m_Faults.m_Delay > base::Millis(0);
  if (Faulty)
    excuseAll({});
  for (Server &Of : m_Servers) {
    const std::vector<ReceivedRequest> &Seen = Of.m_Server->m_Received;
    const bool Leaving = Of.m_LeftAt > base::Millis(0) &&
                         now() > Of.m_LeftAt + DrainBound + base::Millis(300) &&
                         Of.m_Proxy->m_Fault == LinkFault::None;
    if (Of.m_Proxy->m_Fault != LinkFault::None)
      Of.m_HeldUntil = now() + Touch;
    const bool IsExceeded = m_Settings.m_Plant == Plant::LimitExceeded;
    const int Count = IsExceeded ? 30 : 1;
    for (; Of.m_Checked < Seen.size(); ++Of.m_Checked) {
      const ReceivedRequest &Each = Seen[Of.m_Checked];
      const Entry &From = m_Entries[std::stoul(Each.m_Headers.at("X-Entry"))];
      if (IsExceeded || (now() > Of.m_HeldUntil && now() > From.m_ExcusedUntil))
        for (int Copy = 0; Copy < Count; ++Copy)
          Of.m_Oracle.requestArrived(now(), From.m_Name);
      checkNotices(Of, Each);
      checkFatal(Each, From);
      if (Leaving && now() > From.m_ExcusedUntil)
        violate(Of.m_Server->id() + " got " + Each.m_Id + " from " +
                From.m_Name + " " +
                std::to_string((now() - Of.m_LeftAt).count()) +
                " ms after it left");
    }
  }
  if (m_Settings.m_Plant != Plant::RetryAfterSilence || m_Planted)
    return;
  for (Server &Of : m_Servers)
    for (const ReceivedRequest &Each : Of.m_Server->m_Received)
      if (Each.m_Ran && m_RunOnce.contains(Each.m_Id) && !m_Planted) {
        m_Planted = true;
        m_Servers.back().m_Server->m_Received.push_back(Each);
        return;
      }
}

void Soak::checkPromises() {
  std::map<std::string, int> Runs;
  for (const Server &Of : m_Servers)
    for (const ReceivedRequest &Each : Of.m_Server->m_Received)
      if (Each.m_Ran)
        ++Runs[Each.m_Id];
  for (const std::string &Id : m_RunOnce)
    if (Runs[Id] > 1)
      violate(Id + " ran " + std::to_string(Runs[Id]) + " times");
  for (const AskedPtr &Each : m_Promised)
    if (m_RunOnce.contains(Each->m_Id) && Runs[Each->m_Id] > 0)
      violate(Each->m_Id + " was answered " + std::to_string(Each->m_Status) +
              " and ran");
  constexpr int LeastServed = 200;
  if (m_Statuses["200"] < LeastServed)
    violate("only " + std::to_string(m_Statuses["200"]) + " were served");
}

void Soak::violate(const std::string &What) {
  const std::string Last = m_Faults.empty() ? "none" : m_Faults.back();
  m_Violations.push_back(What + " (last fault: " + Last + ")");
}

std::string Soak::summary() const {
  std::string Text = "seed " + std::to_string(m_Settings.m_Seed) + ": " +
                     std::to_string(m_NextRequest) + " requests, " +
                     std::to_string(m_Faults.size()) + " faults, " +
                     std::to_string(m_Version) + " versions;";
  for (const auto &[Status, Count] : m_Statuses)
    Text += " " + Status + ": " + std::to_string(Count);
  return Text;
}

} // namespace corneldeck::tests

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
constexpr std::size_t Servers = 4;
constexpr base::Millis RequestInterval{6};
/// Number of requests after the faults, and the longest time to send them.
constexpr int RequestsAfterFaults = 250;
constexpr base::Millis CalmTimeout = base::seconds(20);
/// Time after which a process that has started, or a server whose faults have
/// ended, has to serve.
constexpr base::Millis SettleTime = base::seconds(1);

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
    : m_Settings(std::move(Settings)),
      m_Plan({m_Settings.m_Seed, m_Settings.m_Length, m_Settings.m_Plant,
              static_cast<std::size_t>(m_Settings.m_Entries), Servers}) {
  m_Store.m_NamesEra = m_Settings.m_Plant != Plant::EraIgnored;
  m_StoreAddress = m_Store.listen();
  for (std::size_t Index = 0; Index < Servers; ++Index)
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

void Soak::registerServer(Server &Of, const std::string &State) {
  json Record = json::parse(Of.m_Server->record(State, ++m_Records));
  Record["address"] = Of.m_Address;
  m_Store.put("keyed.servers", Of.m_Server->id(), Record.dump());
  Of.m_FreeSince = {};
  Of.m_IsHidden = isStoreFaulty();
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
  Of.m_DisturbedUntil = now() + SettleTime;
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
  m_StartedAt = now();
  every(RequestInterval, [this] {
    if (m_Asking)
      ask();
  });
  every(base::Millis(10), [this] {
    if (m_HasFaults)
      performSteps();
  });
  every(base::Millis(50), [this] {
    heal();
    if (m_WriteAgainAt > base::Millis(0) && now() >= m_WriteAgainAt)
      writeAgain();
    endLimits();
    endNotices();
    reviveServers();
    updateFreeServers();
    checkServers();
  });
  runUntil(m_StartedAt + m_Settings.m_Length);
  if (m_Settings.m_Plant == Plant::None) {
    endFaults();
    runUntil(now() + Touch);
    m_IsAfterFaults = true;
    runUntil(now() + CalmTimeout);
    m_Asking = false;
    // Wait for late deliveries: a refused request must not run after its
    // response either.
    const base::Millis Quiet = now() + base::seconds(4);
    while (now() < Quiet)
      m_Loop.run_one_for(std::chrono::milliseconds(50));
    checkServed();
  }
  checkServers();
  checkPromises();
  checkLimits();
}

void Soak::runUntil(base::Millis End) {
  while (now() < End && !isPlantFound() && !m_Planted &&
         m_SentAfterFaults < RequestsAfterFaults)
    m_Loop.run_one_for(std::chrono::milliseconds(50));
}

bool Soak::isPlantFound() const {
  static const std::map<Plant, Promise> Broken = {
      {Plant::RetryAfterSilence, Promise::AtMostOnce},
      {Plant::VersionGoesBack, Promise::VersionOrder},
      {Plant::LeavingStillUsed, Promise::Draining},
      {Plant::AnswerOfAnother, Promise::OwnResponse},
      {Plant::LimitExceeded, Promise::RateLimit},
      {Plant::NoticeIgnored, Promise::LeavingNotice},
      {Plant::PauseIgnored, Promise::PauseNotice},
      {Plant::EraIgnored, Promise::VersionInForce},
      {Plant::FatalPartHidden, Promise::FatalPart}};
  const auto Found = Broken.find(m_Settings.m_Plant);
  return Found != Broken.end() && m_Broken.contains(Found->second);
}

void Soak::ask() {
  const PlannedRequest Planned =
      m_Plan.request(static_cast<std::uint64_t>(++m_NextRequest));
  Entry &Of = m_Entries[Planned.m_Entry];
  auto Request = std::make_shared<Asked>();
  Request->m_Id = "q" + std::to_string(m_NextRequest);
  Request->m_Entry = Planned.m_Entry;
  Request->m_Start = Of.m_Starts;
  Request->m_SentAt = now();
  Request->m_EntryFaults = Of.m_Faults;
  Request->m_IsAfterFaults = m_IsAfterFaults;
  m_SentAfterFaults += m_IsAfterFaults ? 1 : 0;
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index)
    if (const base::Millis Since = m_Servers[Index].m_FreeSince;
        Since > base::Millis(0) && now() >= Since + SettleTime &&
        now() > Of.m_DisturbedUntil && !Planned.m_HasFatalPart) {
      Request->m_FreeServer = Index;
      Request->m_FreeSince = Since;
    }
  std::string Prompt;
  switch (Planned.m_Kind) {
  case RequestKind::Once:
    Request->m_Path = "/once/";
    m_RunOnce.insert(Request->m_Id);
    break;
  case RequestKind::Stream:
    Request->m_Path = "/stream/";
    Prompt = prompt(Planned);
    break;
  case RequestKind::Plain:
    Request->m_Path = "/plain/";
    break;
  case RequestKind::Versioned:
    Request->m_Version =
        1 + static_cast<int>(Planned.m_VersionDraw %
                             static_cast<std::uint64_t>(m_Version));
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
  if (Planned.m_IsCancelled) {
    m_Cancelled.insert(Request->m_Id);
    Cancel.cancel();
  }
}

void Soak::answered(const AskedPtr &Request) {
  constexpr int PlantedResponse = 50;
  if (m_Settings.m_Plant == Plant::AnswerOfAnother && Request->m_Whole &&
      Request->m_Status == 200 && ++m_Answered % PlantedResponse == 0)
    for (net::HttpHeader &Each : Request->m_Headers)
      if (Each.m_Name == "Attempt-Id")
        Each.m_Value = "q0";
  Entry &Of = m_Entries[Request->m_Entry];
  const bool SameProcess = Of.m_Starts == Request->m_Start;
  if (m_Settings.m_Plant == Plant::VersionGoesBack && SameProcess &&
      Request->m_Version > 1 && Request->m_Version <= Of.m_SeenVersion)
    Request->m_Status = 404;
  ++m_Statuses[Request->m_Whole ? std::to_string(Request->m_Status) : "cut"];
  countServed(*Request, Of);
  if (!Request->m_Whole)
    return;
  if (isPromise(Request->m_Status)) {
    m_Promised.push_back(Request);
    return;
  }
  if (Request->m_Status == 401 ||
      (Request->m_Status == 404 && Request->m_Version <= 1))
    violate(Promise::Permitted, Request->m_Id + " was denied with " +
                                    std::to_string(Request->m_Status));
  if (Request->m_Status == 404 && SameProcess &&
      Request->m_Version <= Of.m_SeenVersion)
    violate(Promise::VersionOrder, Request->m_Id + ": " + Of.m_Name +
                                       " went back behind version " +
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

void Soak::countServed(const Asked &Request, const Entry &Of) {
  const bool IsServed = Request.m_Whole && Request.m_Status == 200;
  if (Request.m_IsAfterFaults) {
    m_ServedAfterFaults += IsServed ? 1 : 0;
    return;
  }
  // checkInForce() judges versions that are not in force.
  const bool IsServable =
      Request.m_FreeSince > base::Millis(0) &&
      m_Servers[Request.m_FreeServer].m_FreeSince == Request.m_FreeSince &&
      Of.m_Faults == Request.m_EntryFaults &&
      !(Request.m_Whole && Request.m_Status == 404);
  if (!IsServable)
    return;
  ++m_Servable;
  m_ServedOfServable += IsServed ? 1 : 0;
}

void Soak::checkServed() {
  // The users' gate: refused and failed requests are at most 60% of those owed.
  constexpr double LeastServed = 0.4;
  // All servers are free and all entries in order.
  constexpr double LeastServedAfterFaults = 0.9;
  if (m_ServedOfServable < LeastServed * m_Servable)
    violate(Promise::Served,
            "only " + std::to_string(m_ServedOfServable) + " of " +
                std::to_string(m_Servable) +
                " requests that a server could serve were served");
  if (m_ServedAfterFaults < LeastServedAfterFaults * RequestsAfterFaults)
    violate(Promise::Served, "only " + std::to_string(m_ServedAfterFaults) +
                                 " of " + std::to_string(RequestsAfterFaults) +
                                 " requests after the faults were served");
}

void Soak::updateFreeServers() {
  const bool IsStoreFaulty = isStoreFaulty();
  for (Server &Each : m_Servers) {
    Each.m_IsHidden = Each.m_IsHidden && IsStoreFaulty;
    const StandinServer &Of = *Each.m_Server;
    const bool IsFree = Of.m_Behavior == Behavior::Serve &&
                        Of.m_NamedLimit.empty() && !Of.m_IsLeaving &&
                        Each.m_Proxy->m_Fault == LinkFault::None &&
                        Each.m_StartsAgainAt == base::Millis(0) &&
                        Each.m_RevivesAt == base::Millis(0) &&
                        Each.m_LeftAt == base::Millis(0) && !Each.m_IsHidden;
    if (!IsFree)
      Each.m_FreeSince = {};
    else if (Each.m_FreeSince == base::Millis(0))
      Each.m_FreeSince = now();
  }
}

void Soak::checkBody(const Asked &Request) {
  if (net::findHeader(Request.m_Headers, "Attempt-Id") != Request.m_Id ||
      net::findHeader(Request.m_Headers, "Response-Signature").empty())
    violate(Promise::OwnResponse,
            Request.m_Id + " got another answer or one without a signature");
  if (Request.m_Body.starts_with("body of ")) {
    if (!Request.m_Body.starts_with("body of " + Request.m_Id + " "))
      violate(Promise::OwnResponse,
              Request.m_Id + " got the body: " + Request.m_Body);
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
    violate(Promise::OwnResponse, Request.m_Id + " got a stream of " +
                                      std::to_string(Request.m_Body.size()) +
                                      " bytes as complete");
  if (Request.m_Path != "/stream/" && Request.m_Body != "body")
    violate(Promise::OwnResponse,
            Request.m_Id + " got no body of its own: " + Request.m_Body);
}

void Soak::excuseAll(base::Millis For) {
  for (Entry &Each : m_Entries)
    Each.m_ExcusedUntil = std::max(Each.m_ExcusedUntil, now() + For + Touch);
}

void Soak::checkServers() {
  if (isStoreDown())
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
        violate(Promise::Draining,
                Of.m_Server->id() + " got " + Each.m_Id + " from " +
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
      violate(Promise::AtMostOnce,
              Id + " ran " + std::to_string(Runs[Id]) + " times");
  for (const AskedPtr &Each : m_Promised)
    if (m_RunOnce.contains(Each->m_Id) && Runs[Each->m_Id] > 0)
      violate(Promise::TrueRefusal, Each->m_Id + " was answered " +
                                        std::to_string(Each->m_Status) +
                                        " and ran");
}

void Soak::violate(Promise Broken, const std::string &What) {
  m_Broken.insert(Broken);
  m_Violations.push_back(What + " (last fault: " + m_LastFault + ")");
}

std::string Soak::summary() const {
  std::string Text =
      "seed " + std::to_string(m_Settings.m_Seed) + ": plan " +
      m_Plan.digest() + " with " + std::to_string(m_Plan.steps().size()) +
      " steps, " + std::to_string(m_NextRequest) + " requests, " +
      std::to_string(m_Version) + " versions, " +
      std::to_string(m_FatalEnds.size()) + " ends of servers; served " +
      std::to_string(m_ServedOfServable) + " of " + std::to_string(m_Servable) +
      " that a server could serve, and " + std::to_string(m_ServedAfterFaults) +
      " of " + std::to_string(m_SentAfterFaults) + " after the faults;";
  for (const auto &[Status, Count] : m_Statuses)
    Text += " " + Status + ": " + std::to_string(Count);
  return Text;
}

} // namespace corneldeck::tests

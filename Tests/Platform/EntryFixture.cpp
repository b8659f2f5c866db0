#include "EntryFixture.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace corneldeck::tests {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds WaitLimit{60};

json route(const std::string &Prefix, const std::string &Type,
           const std::string &Service) {
  return {{"name", "r-" + Prefix},
          {"hostname", "x.example"},
          {"path-prefix", Prefix},
          {"type", Type},
          {"timeout-ms", 4000},
          {"target-latency-ms", 300},
          {"priority", 1},
          {"backend", Service},
          {"max-attempts", 3},
          {"public", false},
          {"resumable", Type == "streaming" && Prefix != "/stream/once/"}};
}

base::Millis millis(std::chrono::steady_clock::time_point At) {
  return base::Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                          At.time_since_epoch())
                          .count());
}

std::string entryName(int Entry) { return "e" + std::to_string(Entry); }

} // namespace

void PlatformEntry::SetUp() {
  for (int Index = 0; Index < 3; ++Index) {
    m_Servers.push_back(std::make_unique<StandinServer>(
        m_Loop, "i-" + std::to_string(Index), "svc"));
    m_Servers.back()->listen();
    m_Servers.back()->m_Capacity = m_ServerCapacity;
    m_Servers.back()->m_Zone = m_ServerZones[static_cast<std::size_t>(Index)];
    m_Store.put("keyed.servers", m_Servers.back()->id(),
                m_Servers.back()->record());
  }
  if (m_IsPublishedAtStart)
    publish(1);
  const std::string Log = m_Store.listen();
  for (int Index = 0; Index < m_EntryCount; ++Index) {
    platform::NodeSettings Settings;
    Settings.m_Node = "entry-" + std::to_string(Index);
    Settings.m_Zone = "a";
    Settings.m_PeerAddress = nextAddress();
    Settings.m_CallerAddress = nextAddress();
    Settings.m_ReadyAddress = nextAddress();
    Settings.m_DirectoryAddress = nextAddress();
    Settings.m_LogAddress = Log;
    Settings.m_RetryBudget.m_ExtraRetries = 1000;
    Settings.m_AddressLifetime = base::seconds(5);
    Settings.m_GracePeriod = base::seconds(2);
    Settings.m_MaxOpenFiles = 1000;
    m_Settings.push_back(Settings);
  }
  std::string Seed = m_Settings[0].m_PeerAddress;
  if (m_LinkRate > 0) {
    m_Links = std::make_unique<LinkNetwork>(m_Loop, m_LinkRate);
    for (const platform::NodeSettings &Settings : m_Settings) {
      const std::string Address =
          m_Links->addNode(Settings.m_Node, Settings.m_PeerAddress);
      if (&Settings == &m_Settings.front())
        Seed = Address;
    }
  }
  for (platform::NodeSettings &Settings : m_Settings)
    Settings.m_Seeds = {Seed};
  m_Entries.resize(m_EntryCount);
  for (int Index = 0; Index < m_EntryCount; ++Index)
    ASSERT_NO_FATAL_FAILURE(startEntry(Index));
  for (int Index = 0; Index < m_EntryCount && m_IsPublishedAtStart; ++Index)
    runUntil([this, Index] { return isReady(Index); });
}

void PlatformEntry::startEntry(int Index) {
  m_Entries[Index] =
      std::make_unique<platform::EntryProcess>(m_Loop, m_Settings[Index]);
  const auto Started = m_Entries[Index]->start();
  ASSERT_TRUE(Started.has_value()) << Started.error().m_Message;
}

std::string PlatformEntry::nextAddress() {
  // An address of this process alone, and ports that the system does not assign
  // by itself: nothing else can take them before they are used.
  constexpr int FirstPort = 10'000;
  constexpr int Bytes = 256;
  static int Port = FirstPort;
  const int Process = ::getpid();
  return "127." + std::to_string(1 + Process / Bytes % (Bytes - 2)) + "." +
         std::to_string(Process % Bytes) + ".1:" + std::to_string(Port++);
}

void PlatformEntry::publish(int Version, const std::string &Extra, int Unused,
                            int PrefixNumbers) {
  json Routes = {route("/plain/", "idempotent", "svc"),
                 route("/once/", "non_idempotent", "svc"),
                 route("/stream/", "streaming", "svc"),
                 route("/stream/once/", "streaming", "svc")};
  if (!Extra.empty())
    Routes.push_back(route(Extra, "idempotent", "svc"));
  base::Random Names(1);
  for (int Count = 0; Count < Unused; ++Count) {
    std::string Prefix = "/u";
    for (int Number = 0; Number < PrefixNumbers; ++Number)
      Prefix += std::to_string(Names.below(std::uint64_t{1} << 62U));
    Routes.push_back(route(Prefix + "/", "idempotent", "svc"));
  }
  for (json &Each : Routes)
    Each["timeout-ms"] = m_RouteTimeout.count();
  json Service = {{"name", "svc"}, {"max-connections", 50}};
  if (m_WarmUpPerSecond != 0)
    Service.update(
        {{"warmup-s", m_WarmUpSeconds}, {"warmup-per-s", m_WarmUpPerSecond}});
  if (m_HasEngines) {
    Service["engine"] = {{"capacity", 8},     {"step_ms", 1.0},
                         {"per_seq_ms", 0.1}, {"stride", 4},
                         {"form_ms", 2000},   {"read_per_s", 100000}};
    if (m_Group.m_Ranks > 0)
      Service["engine"].update({{"layer-sets", m_Group.m_Sets},
                                {"experts", m_Group.m_Experts},
                                {"placements", m_Group.m_SlotsPerRank},
                                {"reserve", m_Group.m_MaxNewPerRank},
                                {"expert-mb", 300.0},
                                {"bandwidth-mbps", 180000.0}});
    for (json &Each : Routes)
      if (Each["type"] == "streaming")
        Each["itl-target-ms"] = 150;
  }
  const json Config = {
      {"version", Version},
      {"routes", Routes},
      {"backends", {Service}},
      {"limits",
       {{"max-header-bytes", 4096},
        {"max-body-bytes", 10000},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000}}},
      {"tenants", {{{"name", "cust"}, {"api-keys", {"key-1"}}}}}};
  m_Store.put("keyed.op", "config", Config.dump());
}

void PlatformEntry::runUntil(const std::function<bool()> &Done) {
  const auto Bound = std::chrono::steady_clock::now() + WaitLimit;
  while (!Done()) {
    m_Loop.run_one_for(std::chrono::milliseconds(20));
    ASSERT_LT(std::chrono::steady_clock::now(), Bound) << "no progress";
  }
}

AnswerPtr PlatformEntry::call(const std::string &Method,
                              const std::string &Target, const std::string &Id,
                              net::HttpHeaders Extra, const std::string &Key,
                              int Entry) {
  net::HttpCall Call;
  Call.m_Method = Method;
  Call.m_Address = m_Settings[Entry].m_CallerAddress;
  Call.m_Target = Target;
  Call.m_Host = "x.example";
  Call.m_Headers = std::move(Extra);
  Call.m_Headers.push_back({"Attempt-Id", Id});
  Call.m_Headers.push_back(
      {"Deadline-Ms", std::to_string(m_CallerDeadline.count())});
  if (!Key.empty())
    Call.m_Headers.push_back({"Authorization", "Token " + Key});
  if (Method == "POST")
    Call.m_Body = "request " + Id;
  Call.m_Timeout = m_CallerDeadline + base::seconds(12);
  auto Got = std::make_shared<Answer>();
  net::HttpCallbacks Hooks;
  Hooks.m_OnHead = [Got](const net::HttpResponseHead &Head) {
    Got->m_Status = Head.m_Status;
    Got->m_HeadAt = std::chrono::steady_clock::now();
    Got->m_Headers = Head.m_Headers;
  };
  Hooks.m_OnData = [Got](std::string_view Data) { Got->m_Body += Data; };
  Hooks.m_OnEnd = [Got](const base::Result<void> &Outcome) {
    Got->m_Ended = true;
    Got->m_Broken = !Outcome;
  };
  m_LastCancel = m_Http.request(std::move(Call), std::move(Hooks));
  return Got;
}

AnswerPtr PlatformEntry::finish(AnswerPtr Got) {
  runUntil([&Got] { return Got->m_Ended; });
  return Got;
}

EntryAnswers PlatformEntry::sendTraffic(std::chrono::milliseconds Duration,
                                        std::chrono::milliseconds Interval,
                                        const std::string &Target) {
  EntryAnswers Answers(m_EntryCount);
  const auto Begin = std::chrono::steady_clock::now();
  int Sent = 0;
  runUntil([&] {
    const auto Now = std::chrono::steady_clock::now();
    for (; Begin + Sent * Interval <= Now && Now < Begin + Duration; ++Sent) {
      const int Entry = Sent % m_EntryCount;
      Answers[Entry].push_back(call(
          "GET", Target, entryName(Entry) + "-" + std::to_string(++m_Calls), {},
          "key-1", Entry));
    }
    return Now >= Begin + Duration;
  });
  for (const auto &OfEntry : Answers)
    for (const AnswerPtr &Each : OfEntry)
      finish(Each);
  return Answers;
}

void PlatformEntry::addTraffic(fakes::RateLimitOracle &Oracle,
                               const StandinServer &Server,
                               const EntryAnswers &Answers) {
  std::string Named;
  for (const ReceivedRequest &Each : Server.m_Received) {
    const base::Millis At = millis(Each.m_ReceivedAt);
    if (Each.m_NamedLimit != Named) {
      if (Each.m_NamedLimit.empty())
        Oracle.limitEnded(At);
      else
        Oracle.limitNamed(At, std::stod(Each.m_NamedLimit));
    }
    Named = Each.m_NamedLimit;
    Oracle.requestArrived(At, Each.m_Id.substr(0, Each.m_Id.find('-')));
  }
  for (std::size_t Entry = 0; Entry < Answers.size(); ++Entry)
    for (const AnswerPtr &Each : Answers[Entry])
      if (!net::findHeader(Each->m_Headers, "Server-Limit").empty())
        Oracle.limitForwarded(millis(Each->m_HeadAt),
                              entryName(static_cast<int>(Entry)));
}

double PlatformEntry::metric(int Entry, const std::string &Name) {
  double Value = -1;
  bool Done = false;
  m_Http.get(m_Settings[Entry].m_PeerAddress, "/metrics", base::seconds(30),
             [&](const base::Result<net::HttpResponse> &Reply) {
               Done = true;
               const std::string Line = "\n" + Name + " ";
               const std::size_t At =
                   Reply ? Reply->m_Body.find(Line) : std::string::npos;
               if (At != std::string::npos)
                 Value = std::stod(Reply->m_Body.substr(At + Line.size()));
             });
  runUntil([&Done] { return Done; });
  return Value;
}

bool PlatformEntry::isReady(int Entry) {
  int Status = 0;
  m_Http.get(m_Settings[Entry].m_ReadyAddress, "/readyz", base::seconds(5),
             [&Status](base::Result<net::HttpResponse> Reply) {
               Status = Reply ? Reply->m_Status : -1;
             });
  runUntil([&Status] { return Status != 0; });
  return Status == 200;
}

std::vector<std::string> PlatformEntry::addresses(int Entry) {
  std::vector<std::string> Addresses;
  bool Done = false;
  m_Http.get(m_Settings[Entry].m_DirectoryAddress,
             "/resolution?name=x.example&region=r&zone=a", base::seconds(5),
             [&](base::Result<net::HttpResponse> Reply) {
               Done = true;
               if (Reply && Reply->m_Status == 200)
                 Addresses = json::parse(Reply->m_Body)
                                 .at("addresses")
                                 .get<std::vector<std::string>>();
             });
  runUntil([&Done] { return Done; });
  return Addresses;
}

void PlatformEntry::setAll(Behavior Mode) {
  for (const auto &Each : m_Servers)
    Each->m_Behavior = Mode;
}

int PlatformEntry::runs(const std::string &Id) {
  int Sum = 0;
  for (const auto &Each : m_Servers)
    Sum += Each->runs(Id);
  return Sum;
}

std::size_t PlatformEntry::receivedCount(const std::string &Id) {
  std::size_t Sum = 0;
  for (const auto &Each : m_Servers)
    for (const ReceivedRequest &Received : Each->m_Received)
      Sum += Received.m_Id == Id ? 1 : 0;
  return Sum;
}

const ReceivedRequest &PlatformEntry::receivedRequest(const std::string &Id) {
  for (const auto &Each : m_Servers)
    for (const ReceivedRequest &Received : Each->m_Received)
      if (Received.m_Id == Id)
        return Received;
  static const ReceivedRequest None;
  return None;
}

} // namespace corneldeck::tests

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
    m_Store.put("keyed.servers", m_Servers.back()->id(),
                m_Servers.back()->record());
  }
  publish(1);
  const std::string Log = m_Store.listen();
  for (int Index = 0; Index < m_EntryCount; ++Index) {
    platform::NodeSettings Settings;
    Settings.m_Node = "entry-" + std::to_string(Index);
    Settings.m_Zone = "a";
    Settings.m_PeerAddress = freeAddress();
    Settings.m_CallerAddress = freeAddress();
    Settings.m_ReadyAddress = freeAddress();
    Settings.m_DirectoryAddress = freeAddress();
    Settings.m_LogAddress = Log;
    Settings.m_RetryBudget.m_ExtraRetries = 1000;
    Settings.m_AddressLifetime = base::seconds(5);
    Settings.m_GracePeriod = base::seconds(2);
    Settings.m_MaxOpenFiles = 1000;
    m_Settings.push_back(Settings);
  }
  for (platform::NodeSettings &Settings : m_Settings)
    Settings.m_Seeds = {m_Settings[0].m_PeerAddress};
  m_Entries.resize(m_EntryCount);
  for (int Index = 0; Index < m_EntryCount; ++Index)
    startEntry(Index);
  for (int Index = 0; Index < m_EntryCount; ++Index)
    runUntil([this, Index] { return isReady(Index); });
}

void PlatformEntry::startEntry(int Index) {
  m_Entries[Index] =
      std::make_unique<platform::EntryProcess>(m_Loop, m_Settings[Index]);
  ASSERT_TRUE(m_Entries[Index]->start().has_value());
}

std::string PlatformEntry::freeAddress() {
  static int Next = 34'000 + ::getpid() * 67 % 20'000;
  for (;;) {
    boost::system::error_code Problem;
    boost::asio::ip::tcp::acceptor Probe(m_Loop, boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(++Next)},
               Problem);
    if (!Problem)
      return "127.0.0.1:" + std::to_string(Next);
  }
}

void PlatformEntry::publish(int Version, const std::string &Extra) {
  json Routes = {route("/plain/", "idempotent", "svc"),
                 route("/once/", "non_idempotent", "svc"),
                 route("/stream/", "streaming", "svc"),
                 route("/stream/once/", "streaming", "svc")};
  if (!Extra.empty())
    Routes.push_back(route(Extra, "idempotent", "svc"));
  const json Config = {
      {"version", Version},
      {"routes", Routes},
      {"backends", {{{"name", "svc"}, {"max-connections", 50}}}},
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
  Call.m_Headers.push_back({"Deadline-Ms", "8000"});
  if (!Key.empty())
    Call.m_Headers.push_back({"Authorization", "Token " + Key});
  if (Method == "POST")
    Call.m_Body = "request " + Id;
  Call.m_Timeout = base::seconds(20);
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

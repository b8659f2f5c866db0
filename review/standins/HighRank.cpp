// A version of the configuration whose route has a priority over 1,000 or more
// than 100 attempts, and that takes a key and a route away. See
// review/4/claim.txt.
//
// usage: HighRank RECORD priority|attempts

#include "CaseWorld.h"

#include <iostream>
#include <map>

using namespace corneldeck;
using namespace corneldeck::review;
using nlohmann::json;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 3;
constexpr int OrdinaryPriority = 2;
constexpr int HighPriority = 2000;
/// The replicas of the large deployment.
constexpr int ManyAttempts = 129;
constexpr base::Millis ApplyTime = base::seconds(2);
constexpr base::Millis StableWindow = base::seconds(3);

json route(const std::string &Prefix, int Priority, int Attempts = 2) {
  return {{"name", Prefix},           {"hostname", "x.example"},
          {"path-prefix", Prefix},    {"type", "non_idempotent"},
          {"timeout-ms", 4000},       {"target-latency-ms", 300},
          {"priority", Priority},     {"backend", "svc"},
          {"max-attempts", Attempts}, {"public", false}};
}

json configuration(int Version, const json &Routes, const json &Keys) {
  return {{"version", Version},
          {"routes", Routes},
          {"backends",
           {{{"name", "svc"},
             {"health-check-path", "/healthz"},
             {"max-connections", 110}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants", {{{"name", "c"}, {"api-keys", Keys}}}}};
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return static_cast<int>(Verdict::CouldNotRun);
  CaseWorld World(Words[1]);
  std::vector<std::unique_ptr<tests::StandinServer>> Servers;
  for (int Index = 0; Index < Replicas; ++Index) {
    auto &Added = Servers.emplace_back(std::make_unique<tests::StandinServer>(
        World.m_Loop, "i-" + std::to_string(Index), "svc"));
    Added->listen();
    World.m_Store.put("keyed.servers", Added->id(), Added->record());
  }
  World.publish(
      configuration(3, {route("/a/", 1), route("/old/", 2)}, {"k", "revoked"}));
  World.startEntries(Entries);
  if (!World.waitUntilReady(base::seconds(20)))
    return static_cast<int>(Verdict::CouldNotRun);
  World.runFor(StableWindow);

  std::vector<ClientCallPtr> Calls;
  int Asked = 0;
  const auto Ask = [&](const std::string &Name, const std::string &Path,
                       const std::string &Key) {
    for (int Entry = 0; Entry < Entries; ++Entry)
      for (int Each = 0; Each < 3; ++Each) {
        World.m_Key = Key;
        Calls.push_back(World.call(Entry, "POST", Path,
                                   Name + "-" + std::to_string(++Asked)));
      }
  };
  const auto Statuses = [&](const std::string &Name) {
    std::map<int, int> Found;
    for (const ClientCallPtr &Each : Calls)
      if (Each->m_Id.starts_with(Name + "-"))
        ++Found[Each->m_Whole ? Each->m_Status : 0];
    return Found;
  };
  const auto Text = [](const std::map<int, int> &Found) {
    std::string Line;
    for (const auto &[Status, Number] : Found)
      Line += " " + std::to_string(Status) + ": " + std::to_string(Number);
    return Line;
  };
  Ask("before", "/old/a", "revoked");
  World.runFor(base::seconds(1));
  json Added = route("/new/", OrdinaryPriority);
  if (hasTrouble() && Words[2] == std::string("attempts"))
    Added = route("/new/", OrdinaryPriority, ManyAttempts);
  else if (hasTrouble())
    Added = route("/new/", HighPriority);
  World.publish(configuration(8, {route("/a/", 1), Added}, {"k"}));
  // Half a second more than the bound.
  World.runFor(ApplyTime + base::Millis(500));
  Ask("key", "/a/a", "revoked");
  Ask("dropped", "/old/a", "k");
  Ask("added", "/new/a", "k");
  Ask("plain", "/a/a", "k");
  World.runFor(base::seconds(10));
  Ask("laterkey", "/a/a", "revoked");
  World.runFor(base::seconds(2));

  int Runs = 0;
  for (const auto &Server : Servers)
    for (const tests::ReceivedRequest &Each : Server->m_Received)
      if (Each.m_Ran) {
        World.record("run " + Each.m_Id + " at " + Server->id());
        const bool IsOld = Each.m_Id.starts_with("key-") ||
                           Each.m_Id.starts_with("laterkey-") ||
                           Each.m_Id.starts_with("dropped-");
        Runs += IsOld ? 1 : 0;
      }
  for (const std::string Name :
       {"before", "key", "dropped", "added", "plain", "laterkey"}) {
    const std::string Line = Name + Text(Statuses(Name));
    World.record(Line);
    std::cout << Line << '\n';
  }
  std::cout << "requests run that only the older version allows: " << Runs
            << '\n';
  if (Statuses("before")[200] != 9 || Statuses("plain")[200] != 9)
    return static_cast<int>(Verdict::CouldNotRun);
  const bool IsKept = Runs == 0 && Statuses("added")[404] == 0;
  return static_cast<int>(IsKept ? Verdict::Held : Verdict::Broken);
}

// A version of the configuration that takes the last tenant away. See
// review/2/claim.txt.
//
// usage: LastTenant RECORD

#include "CaseWorld.h"

#include <iostream>
#include <map>

using namespace corneldeck;
using namespace corneldeck::review;
using nlohmann::json;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 3;
constexpr int CallsPerEntry = 4;
constexpr base::Millis ApplyTime = base::seconds(2);
constexpr base::Millis StableWindow = base::seconds(3);

json configuration(int Version, const json &Tenants) {
  const json Route = {{"name", "receipt"},
                      {"hostname", "x.example"},
                      {"path-prefix", "/receipt/"},
                      {"type", "non_idempotent"},
                      {"timeout-ms", 4000},
                      {"target-latency-ms", 300},
                      {"priority", 2},
                      {"backend", "svc"},
                      {"max-attempts", 2},
                      {"public", false}};
  return {{"version", Version},
          {"routes", {Route}},
          {"backends",
           {{{"name", "svc"},
             {"health-check-path", "/healthz"},
             {"max-connections", 110}}}},
          {"limits",
           {{"max-header-bytes", 16384},
            {"max-body-bytes", 4194304},
            {"header-timeout-ms", 3000},
            {"idle-timeout-ms", 15000}}},
          {"tenants", Tenants}};
}

json tenant(const json &Keys) { return {{"name", "c"}, {"api-keys", Keys}}; }

} // namespace

int main(int Count, char **Words) {
  if (Count != 2)
    return static_cast<int>(Verdict::CouldNotRun);
  CaseWorld World(Words[1]);
  std::vector<std::unique_ptr<tests::StandinServer>> Servers;
  for (int Index = 0; Index < Replicas; ++Index) {
    auto &Added = Servers.emplace_back(std::make_unique<tests::StandinServer>(
        World.m_Loop, "i-" + std::to_string(Index), "svc"));
    Added->listen();
    World.m_Store.put("keyed.servers", Added->id(), Added->record());
  }
  json Tenants = json::array();
  Tenants.push_back(tenant({"held", "taken"}));
  World.publish(configuration(3, Tenants));
  World.startEntries(Entries);
  if (!World.waitUntilReady(base::seconds(20)))
    return static_cast<int>(Verdict::CouldNotRun);
  World.runFor(StableWindow);

  std::vector<ClientCallPtr> Calls;
  int Asked = 0;
  const auto Ask = [&](const std::string &Name, const std::string &Key) {
    World.m_Key = Key;
    for (int Entry = 0; Entry < Entries; ++Entry)
      for (int Each = 0; Each < CallsPerEntry; ++Each)
        Calls.push_back(World.call(Entry, "POST", "/receipt/a",
                                   Name + "-" + std::to_string(++Asked)));
  };
  Ask("held", "held");
  Ask("strange", "no-configuration-ever-held-this");
  World.runFor(base::seconds(1));
  // Keys are taken away: all of them and their tenant, or one key only.
  Tenants = json::array();
  if (!hasTrouble())
    Tenants.push_back(tenant({"held"}));
  World.publish(configuration(8, Tenants));
  World.runFor(ApplyTime + base::Millis(500));
  Ask("latertaken", "taken");
  Ask("laterstrange", "no-configuration-ever-held-this");
  World.runFor(base::seconds(10));
  Ask("laststrange", "no-configuration-ever-held-this");
  World.runFor(base::seconds(2));

  std::map<std::string, int> Runs;
  std::map<std::string, std::map<int, int>> Statuses;
  const auto NameOf = [](const std::string &Id) {
    return Id.substr(0, Id.find('-'));
  };
  for (const auto &Server : Servers)
    for (const tests::ReceivedRequest &Each : Server->m_Received) {
      const auto Tenant = Each.m_Headers.find("Tenant");
      World.record("run " + Each.m_Id + " at " + Server->id() + " tenant " +
                   (Tenant == Each.m_Headers.end() ? "none" : Tenant->second));
      Runs[NameOf(Each.m_Id)] += Each.m_Ran ? 1 : 0;
    }
  for (const ClientCallPtr &Each : Calls)
    ++Statuses[NameOf(Each->m_Id)][Each->m_Whole ? Each->m_Status : 0];
  for (const auto &[Name, Found] : Statuses) {
    std::string Line = Name + ": run " + std::to_string(Runs[Name]) + ";";
    for (const auto &[Status, Number] : Found)
      Line += " status " + std::to_string(Status) + " " +
              std::to_string(Number) + " times";
    World.record(Line);
    std::cout << Line << '\n';
  }
  if (Runs["held"] != Entries * CallsPerEntry || Runs["strange"] != 0)
    return static_cast<int>(Verdict::CouldNotRun);
  const bool IsBroken =
      Runs["laterstrange"] + Runs["laststrange"] + Runs["latertaken"] > 0;
  return static_cast<int>(IsBroken ? Verdict::Broken : Verdict::Held);
}

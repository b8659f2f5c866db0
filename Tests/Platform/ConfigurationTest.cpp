#include "EntryFixture.h"

#include <nlohmann/json.hpp>

namespace corneldeck::tests {

namespace {

using nlohmann::json;

json route(const std::string &Prefix) {
  return {{"name", "r-" + Prefix}, {"hostname", "x.example"},
          {"path-prefix", Prefix}, {"type", "idempotent"},
          {"timeout-ms", 4000},    {"target-latency-ms", 300},
          {"priority", 1},         {"backend", "svc"},
          {"max-attempts", 3},     {"public", false}};
}

/// Returns a version with the routes /plain/ and /added/ and the key key-1.
json nextVersion() {
  return {{"version", 2},
          {"routes", {route("/plain/"), route("/added/")}},
          {"backends", {{{"name", "svc"}, {"max-connections", 50}}}},
          {"tenants", {{{"name", "cust"}, {"api-keys", {"key-1"}}}}}};
}

/// Entries that replace their first version of the configuration.
class PlatformConfiguration : public PlatformEntry {
protected:
  /// Publishes a version and waits until it is in force, or for so long that it
  /// will not be.
  void apply(const json &Document) {
    m_Store.put("keyed.op", "config", Document.dump());
    const double Version = Document.at("version").get<double>();
    const auto Bound =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    for (int Entry = 0; Entry < m_EntryCount; ++Entry)
      runUntil([&] {
        return metric(Entry, "corneldeck_configuration_version") == Version ||
               std::chrono::steady_clock::now() > Bound;
      });
  }

  int statusOf(const std::string &Path, const std::string &Key = "key-1") {
    return finish(call("POST", Path + "a", "c" + std::to_string(++m_Calls), {},
                       Key))
        ->m_Status;
  }
};

} // namespace

// Failure: a number beyond a bound that operators do not know kept a whole
// version out of force, with the routes and keys that it removes.
TEST_F(PlatformConfiguration, LargeNumbersDoNotKeepAVersionOutOfForce) {
  json Document = nextVersion();
  json &Added = Document["routes"][1];
  for (const char *Name : {"priority", "max-attempts", "timeout-ms",
                           "target-latency-ms", "itl-target-ms"})
    Added[Name] = 9'000'000'000'000'000'000U;
  Added.erase("backend");
  Added["traffic-split"] = {
      {{"backend", "svc"}, {"weight", 9'000'000'000'000'000'000U}},
      {{"backend", "svc"}, {"weight", 1e300}}};
  Document["backends"][0]["max-connections"] = 1e19;
  Document["tenants"][0]["priority"] = 4'294'967'297U;
  Document["limits"] = {{"max-header-bytes", 1e18},
                        {"max-body-bytes", 1e18},
                        {"header-timeout-ms", 1e18},
                        {"idle-timeout-ms", 1e18}};
  apply(Document);
  EXPECT_EQ(statusOf("/added/"), 200);
  EXPECT_EQ(statusOf("/plain/"), 200);
  EXPECT_EQ(statusOf("/once/"), 404);
  EXPECT_EQ(metric(0, "corneldeck_configuration_unreadable_parts"), 0);
  EXPECT_EQ(metric(0, "corneldeck_configuration_pending_ms"), 0);
}

// Failure: one part of a version that could not be decoded kept routes and keys
// in force that the version had removed.
TEST_F(PlatformConfiguration, AnUnreadablePartCostsOnlyThatPart) {
  json Document = nextVersion();
  json Newer = route("/plain/newer/");
  Newer["type"] = "of-a-newer-writer";
  json Odd = route("/odd/");
  Odd["timeout-ms"] = "soon";
  Document["routes"].push_back(Newer);
  Document["routes"].push_back(Odd);
  Document["routes"].push_back({{"name", "no path"}, {"type", "idempotent"}});
  Document["routes"].push_back(7);
  Document["backends"].push_back({{"name", 7}});
  Document["tenants"].push_back({{"api-keys", {"key-2"}}});
  Document["tenants"].push_back({{"name", "c3"}, {"api-keys", {7, "key-3"}}});
  Document["limits"] = {{"max-body-bytes", "many"}};
  apply(Document);
  EXPECT_EQ(statusOf("/added/"), 200);
  EXPECT_EQ(statusOf("/plain/"), 200);
  EXPECT_EQ(statusOf("/plain/", "key-3"), 200);
  EXPECT_EQ(statusOf("/once/"), 404);
  EXPECT_EQ(statusOf("/plain/", "key-2"), 401);
  const std::size_t Before = m_Servers[0]->m_Received.size() +
                             m_Servers[1]->m_Received.size() +
                             m_Servers[2]->m_Received.size();
  // The route of a shorter prefix does not apply to them.
  EXPECT_EQ(statusOf("/plain/newer/"), 503);
  const auto Refused = finish(call("POST", "/odd/a", "odd"));
  EXPECT_EQ(Refused->m_Status, 503);
  EXPECT_FALSE(net::findHeader(Refused->m_Headers, "Retry-After").empty());
  EXPECT_NE(Refused->m_Body.find("timeout-ms"), std::string::npos)
      << Refused->m_Body;
  EXPECT_EQ(m_Servers[0]->m_Received.size() + m_Servers[1]->m_Received.size() +
                m_Servers[2]->m_Received.size(),
            Before);
  EXPECT_EQ(metric(0, "corneldeck_configuration_unreadable_parts"), 8);
  EXPECT_EQ(metric(0, "corneldeck_configuration_rejected_total"), -1);
}

// Failure: after a version that removed the last customer, anyone could run
// requests.
TEST_F(PlatformConfiguration, RequestsNeedAKeyAfterTheLastCustomerIsRemoved) {
  json Document = nextVersion();
  json Open = route("/open/");
  Open["public"] = true;
  Document["routes"].push_back(Open);
  for (const json &Customers : {json::array(), json(nullptr)}) {
    Document["version"] = Document["version"].get<int>() + 1;
    Document["tenants"] = Customers;
    apply(Document);
    EXPECT_EQ(statusOf("/plain/", "key-1"), 401);
    EXPECT_EQ(statusOf("/plain/", "never-valid"), 401);
    EXPECT_EQ(statusOf("/plain/", ""), 401);
    EXPECT_EQ(statusOf("/open/", ""), 200);
  }
  // An entry that starts without the store has the version from another one.
  m_Store.m_Faults.m_Unavailable = true;
  m_Entries[1].reset();
  startEntry(1);
  runUntil([this] { return isReady(1); });
  EXPECT_EQ(
      finish(call("POST", "/plain/a", "k1", {}, "never-valid", 1))->m_Status,
      401);
  EXPECT_EQ(receivedCount("k1"), 0U);
  m_Store.m_Faults.m_Unavailable = false;
  Document["version"] = Document["version"].get<int>() + 1;
  Document.erase("tenants");
  apply(Document);
  EXPECT_EQ(statusOf("/plain/", ""), 200);
}

// Failure: after a version that left out the list of customers, requests with
// removed keys and with keys that never existed ran.
TEST_F(PlatformConfiguration, AVersionWithoutCustomersPermitsNoUnknownKey) {
  json Document = nextVersion();
  json Open = route("/open/");
  Open["public"] = true;
  Document["routes"].push_back(Open);
  Document.erase("tenants");
  apply(Document);
  EXPECT_EQ(statusOf("/plain/", "key-1"), 401);
  EXPECT_EQ(statusOf("/plain/", "never-valid"), 401);
  EXPECT_EQ(statusOf("/plain/", ""), 200);
  EXPECT_EQ(statusOf("/open/", "never-valid"), 200);
}

// Failure: nothing showed that an entry held an older version than the one that
// was published and that it could not decode.
TEST_F(PlatformConfiguration, AVersionThatIsNotInForceIsOnTheMetrics) {
  json Document = nextVersion();
  Document.erase("version");
  m_Store.put("keyed.op", "config", Document.dump());
  for (int Entry = 0; Entry < m_EntryCount; ++Entry) {
    runUntil([&] {
      return metric(Entry, "corneldeck_configuration_rejected_total") >= 1;
    });
    runUntil([&] {
      return metric(Entry, "corneldeck_configuration_pending_ms") > 300;
    });
    EXPECT_EQ(metric(Entry, "corneldeck_configuration_version"), 1);
  }
  apply(nextVersion());
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    EXPECT_EQ(metric(Entry, "corneldeck_configuration_pending_ms"), 0);
}

} // namespace corneldeck::tests

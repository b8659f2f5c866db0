#include "Fleet/FleetCore.h"

#include <gtest/gtest.h>

namespace corneldeck::fleet {

namespace {

/// Returns the role of an entry that knows \p Others more, spread over
/// \p Zones availability zones.
FleetCore::Role roleAmong(unsigned Others, unsigned Zones) {
  base::Timeline Events("test", 100);
  metrics::Registry Metrics;
  FleetSettings Settings;
  Settings.m_Node = "entry";
  Settings.m_Incarnation = 1;
  Settings.m_PeerAddress = "10.0.0.1:7000";
  Settings.m_CallerAddress = "10.0.0.1:80";
  Settings.m_Zone = "zone-0";
  const base::Millis Now = base::seconds(1);
  FleetCore Entry(Settings, base::Clock([Now] { return Now; }),
                  [](const std::string &, std::string_view) {
                    return base::Result<void>();
                  },
                  Events, Metrics, {});
  for (unsigned Index = 0; Index < Others; ++Index) {
    wire::NodeNews News;
    News.set_node("entry-" + std::to_string(Index));
    News.set_incarnation(1);
    News.set_peer_address("10.0.1." + std::to_string(Index) + ":7000");
    News.set_caller_address("10.0.1." + std::to_string(Index) + ":80");
    News.set_zone("zone-" + std::to_string(Index % Zones));
    News.set_ready(true);
    Entry.addNode(News);
  }
  Entry.tick();
  return Entry.role();
}

} // namespace

// Load: 33 entries in three zones sent 143 MB between zones in 48 s, since each
// sent its heartbeats to each other one.
TEST(FleetCore, UsesRelaysSoonerAcrossZones) {
  EXPECT_NE(roleAmong(32, 3), FleetCore::Role::Direct);
  EXPECT_EQ(roleAmong(32, 1), FleetCore::Role::Direct);
  EXPECT_EQ(roleAmong(8, 3), FleetCore::Role::Direct);
  EXPECT_NE(roleAmong(70, 1), FleetCore::Role::Direct);
}

} // namespace corneldeck::fleet

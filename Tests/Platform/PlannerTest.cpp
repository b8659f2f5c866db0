#include "EntryFixture.h"

#include "platform/AgentProcess.h"

namespace corneldeck::tests {

namespace {

/// Entries, and the agents of one rank group.
class PlatformPlanner : public PlatformEntry {
protected:
  PlatformPlanner() {
    m_HasEngines = true;
    m_Group = m_Engines.engines().shape();
  }

  void startAgents() {
    for (std::uint32_t Rank = 0; Rank < m_Group.m_Ranks; ++Rank) {
      platform::NodeSettings Settings = m_Settings.front();
      Settings.m_Node = "agent-" + std::to_string(Rank);
      Settings.m_PeerAddress = nextAddress();
      Settings.m_CallerAddress.clear();
      Settings.m_ReadyAddress.clear();
      Settings.m_DirectoryAddress.clear();
      Settings.m_EngineAddress = m_Engines.address(Rank);
      Settings.m_Service = "svc";
      Settings.m_LinkMbps = 20;
      m_Agents.push_back(
          std::make_unique<platform::AgentProcess>(m_Loop, Settings));
      const auto Started = m_Agents.back()->start();
      ASSERT_TRUE(Started.has_value()) << Started.error().m_Message;
    }
  }

  /// Runs until the planner has changed the maps of the group.
  void runUntilMapsChange() {
    runUntil([this] {
      m_Engines.advance();
      return m_Engines.engines().switches() > 0;
    });
  }

  EngineServers m_Engines{m_Loop, {3, 2, 12, 6, 2}, 1};
  std::vector<std::unique_ptr<platform::AgentProcess>> m_Agents;
};

} // namespace

// Failure: an elected planner read the whole configuration from the log. While
// that took longer than the other agents wait for a planner, there was none.
TEST_F(PlatformPlanner, StartsBesideAConfigurationThatIsReadSlowly) {
  publish(2, {}, 1'500, 30);
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    runUntil(
        [&] { return metric(Entry, "corneldeck_configuration_version") == 2; });
  m_Store.m_Faults.m_PieceInterval = base::Millis(1000);
  startAgents();
  runUntilMapsChange();
}

// Failure: an elected planner that could not read the configuration did not try
// again.
TEST_F(PlatformPlanner, StartsIfTheLogFailsAfterItsElection) {
  startAgents();
  runUntil([this] {
    m_Engines.advance();
    return m_Store.end("keyed.planners") > 0;
  });
  m_Store.m_Faults.m_Busy = true;
  runUntilMapsChange();
}

// Failure: an agent did not name its engine, so that no entry knew which server
// belongs to which group.
TEST_F(PlatformPlanner, EntriesLearnTheServersOfAGroupFromItsAgents) {
  startAgents();
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    runUntil([&] {
      m_Engines.advance();
      return metric(Entry, "corneldeck_rank_group_servers") == m_Group.m_Ranks;
    });
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    EXPECT_EQ(metric(Entry, "corneldeck_rank_groups"), 1);
}

} // namespace corneldeck::tests

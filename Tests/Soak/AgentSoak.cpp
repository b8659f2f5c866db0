#include "AgentSoak.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace corneldeck::tests {

using base::Millis;
using nlohmann::json;

namespace {

constexpr Millis FaultInterval{300};
/// The users' bound of the recovery of a large deployment; maps have to follow
/// the popularity in this time.
constexpr Millis RecoveryBound = base::seconds(15);
/// Longest time between two passes of a group without faults.
constexpr Millis PassBound = base::seconds(2);

GroupShape shapeOf(std::uint32_t Ranks) {
  constexpr std::size_t Sets = 2;
  constexpr std::size_t ExpertsPerRank = 4;
  constexpr std::size_t SlotsPerRank = 6;
  constexpr std::size_t MaxNewPerRank = 2;
  return {Ranks, Sets, Ranks * ExpertsPerRank, SlotsPerRank, MaxNewPerRank};
}

/// Returns an address that no other process uses.
std::string agentIp(std::uint32_t Rank) {
  constexpr int Bytes = 256;
  const int Process = ::getpid();
  return "127." + std::to_string(1 + Process / Bytes % (Bytes - 2)) + "." +
         std::to_string(Process % Bytes) + "." + std::to_string(Rank + 2);
}

} // namespace

AgentSoak::AgentSoak(AgentSoakSettings Settings)
    : m_Settings(std::move(Settings)), m_StoreAddress(m_Store.listen()),
      m_Engines(m_Loop, shapeOf(m_Settings.m_Ranks), m_Settings.m_Seed) {
  publish();
  for (std::uint32_t Rank = 0; Rank < m_Settings.m_Ranks; ++Rank)
    addAgent(Rank);
  m_Engines.m_Faults.m_SwitchesLate =
      m_Settings.m_Plant == AgentPlant::MixedMaps;
  m_Engines.m_Faults.m_IgnoresRelease =
      m_Settings.m_Plant == AgentPlant::GroupStands;
}

void AgentSoak::publish() {
  const GroupShape Shape = shapeOf(m_Settings.m_Ranks);
  const json Engine = {{"capacity", 8},
                       {"step_ms", 4.0},
                       {"per_seq_ms", 1.0},
                       {"stride", 4},
                       {"form_ms", 600},
                       {"read_per_s", 60000},
                       {"layer-sets", Shape.m_Sets},
                       {"experts", Shape.m_Experts},
                       {"placements", Shape.m_SlotsPerRank},
                       {"reserve", Shape.m_MaxNewPerRank},
                       {"expert-mb", 300.0},
                       {"bandwidth-mbps", 180000.0}};
  const json Config = {{"version", 1},
                       {"routes", json::array()},
                       {"backends", {{{"name", "svc"}, {"engine", Engine}}}},
                       {"limits", json::object()},
                       {"tenants", json::array()}};
  m_Store.put("keyed.op", "config", Config.dump());
}

void AgentSoak::addAgent(std::uint32_t Rank) {
  Agent &Added = m_Agents.emplace_back();
  Added.m_Name = "agent-" + std::to_string(Rank);
  std::string Seeds;
  for (std::uint32_t Other = 0; Other < m_Settings.m_Ranks; ++Other)
    Seeds += (Other > 0 ? ", \"" : "\"") + agentIp(Other) + ":1\"";
  const std::string Path = m_Settings.m_Folder + "/" + Added.m_Name;
  std::ofstream File(Path + ".yaml");
  File << "node: " << Added.m_Name << "\nzone: a\nip: " << agentIp(Rank)
       << "\npeer_port: 10000\nengine_address: " << m_Engines.address(Rank)
       << "\nservice: svc\nseeds: [" << Seeds << "]\nlog: " << m_StoreAddress
       << "\nretries: {ratio: 0.2, window_s: 10, extra: 90}\n"
          "address_lifetime_s: 5\ngrace_period_s: 3\nmax_open_files: 1000\n"
          "link_mbps: 20\n";
  File.close();
  Added.m_Process = std::make_unique<ChildProcess>(
      std::vector<std::string>{m_Settings.m_AgentProgram, "--config",
                               Path + ".yaml"},
      Path + ".log");
  Added.m_Process->start();
}

void AgentSoak::run() {
  runFor(m_Settings.m_Length, FaultInterval);
  m_SwitchesWithFaults = m_Engines.engines().switches();
  healAll();
  checkRecovery();
  if (m_Engines.engines().hasMixedMaps())
    violate(AgentPromise::SameMaps,
            "a pass started while ranks had different maps");
}

void AgentSoak::runFor(Millis Duration, Millis Interval) {
  const Millis End = now() + Duration;
  Millis NextFault = now() + base::seconds(2);
  while (now() < End) {
    m_Loop.run_for(std::chrono::milliseconds(10));
    m_Engines.advance();
    heal();
    if (Interval > Millis(0) && now() >= NextFault) {
      NextFault += Interval;
      injectFault();
    }
  }
}

void AgentSoak::injectFault() {
  // Each fault has draws of its own, whatever those before it have met.
  base::Random Draw(base::hash64(
      std::to_string(m_Settings.m_Seed) + ":" + std::to_string(++m_Faults), 0));
  switch (Draw.below(5)) {
  case 0:
  case 1:
    for (std::uint64_t Count = 1 + Draw.below(2); Count > 0; --Count)
      faultOfAgent(Draw);
    return;
  case 2:
    faultOfStore(Draw);
    return;
  case 3:
    m_Engines.engines().shiftPopularity();
    return;
  default:
    m_Engines.m_Faults.m_LateRate = Draw.chance(0.5) ? 0.1 : 0;
    m_Engines.m_Faults.m_LostRate = Draw.chance(0.5) ? 0.2 : 0;
    return;
  }
}

void AgentSoak::faultOfAgent(base::Random &Draw) {
  Agent &Of = m_Agents[Draw.below(m_Agents.size())];
  const Millis Duration(200 + static_cast<std::int64_t>(Draw.below(2500)));
  const std::uint64_t Way = Draw.below(4);
  if (Of.m_RestartAt > Millis(0) || Of.m_ContinueAt > Millis(0))
    return;
  switch (Way) {
  case 0:
    Of.m_Process->signal(SIGKILL);
    Of.m_RestartAt = now() + Duration;
    return;
  case 1:
    Of.m_Process->signal(SIGSTOP);
    Of.m_ContinueAt = now() + Duration;
    return;
  case 2:
    Of.m_Process->signal(SIGTERM);
    Of.m_RestartAt = now() + Duration;
    return;
  default:
    Of.m_Process->signal(SIGHUP);
    return;
  }
}

void AgentSoak::faultOfStore(base::Random &Draw) {
  constexpr double MeanMillis = 1000;
  const Millis Duration(
      static_cast<std::int64_t>(Draw.exponential(MeanMillis)));
  m_StoreHealsAt = std::max(m_StoreHealsAt, now() + Duration);
  switch (Draw.below(6)) {
  case 0:
    m_Store.m_Faults.m_Unavailable = true;
    return;
  case 1:
    m_Store.m_Faults.m_Busy = true;
    return;
  case 2:
    m_Store.m_Faults.m_Delay = Millis(200);
    return;
  case 3:
    m_Store.m_Faults.m_LostResponseRate = 0.5;
    return;
  case 4:
    m_Store.saveCopy();
    m_HasCopy = true;
    return;
  default:
    if (m_HasCopy)
      m_Store.restoreCopy();
    m_HasCopy = false;
    return;
  }
}

void AgentSoak::heal() {
  for (Agent &Each : m_Agents) {
    if (Each.m_ContinueAt > Millis(0) && now() >= Each.m_ContinueAt) {
      Each.m_ContinueAt = {};
      Each.m_Process->signal(SIGCONT);
    }
    if (Each.m_RestartAt > Millis(0) && now() >= Each.m_RestartAt) {
      Each.m_Process->signal(SIGKILL);
      if (!Each.m_Process->isRunning()) {
        Each.m_RestartAt = {};
        Each.m_Process->start();
      }
    } else if (Each.m_RestartAt == Millis(0) && !Each.m_Process->isRunning()) {
      violate(AgentPromise::Process, Each.m_Name + " ended by itself");
      Each.m_Process->start();
    }
  }
  if (now() >= m_StoreHealsAt)
    m_Store.m_Faults = {};
}

void AgentSoak::healAll() {
  m_Store.m_Faults = {};
  m_Engines.m_Faults.m_LateRate = 0;
  m_Engines.m_Faults.m_LostRate = 0;
  for (Agent &Each : m_Agents) {
    if (Each.m_ContinueAt > Millis(0))
      Each.m_ContinueAt = now();
    if (Each.m_RestartAt > Millis(0))
      Each.m_RestartAt = now();
  }
}

void AgentSoak::checkRecovery() {
  // Orders that engines execute late are over after this time.
  runFor(base::seconds(6), {});
  const unsigned Before = m_Engines.engines().switches();
  m_Engines.engines().shiftPopularity();
  const Millis End = now() + RecoveryBound;
  std::uint64_t Step = m_Engines.step();
  Millis SteppedAt = now();
  Millis LongestPause{};
  const auto HasSwitched = [&] {
    return m_Engines.engines().switches() > Before;
  };
  while (now() < End && !HasSwitched()) {
    runFor(Millis(50), {});
    if (m_Engines.step() != Step) {
      Step = m_Engines.step();
      SteppedAt = now();
    }
    LongestPause = std::max(LongestPause, now() - SteppedAt);
  }
  if (LongestPause > PassBound)
    violate(AgentPromise::Progress, "no pass for " +
                                        std::to_string(LongestPause.count()) +
                                        " ms although there were no faults");
  if (!HasSwitched())
    violate(AgentPromise::Progress,
            "the maps did not follow a shift of popularity in " +
                std::to_string(RecoveryBound.count()) + " ms");
}

bool AgentSoak::isPlantFound() const {
  switch (m_Settings.m_Plant) {
  case AgentPlant::MixedMaps:
    return m_Broken.contains(AgentPromise::SameMaps);
  case AgentPlant::GroupStands:
    return m_Broken.contains(AgentPromise::Progress);
  case AgentPlant::None:
    break;
  }
  return false;
}

void AgentSoak::violate(AgentPromise Broken, const std::string &What) {
  m_Broken.insert(Broken);
  m_Violations.push_back(What);
}

std::string AgentSoak::summary() const {
  return "agents, seed " + std::to_string(m_Settings.m_Seed) + ": " +
         std::to_string(m_Faults) + " faults, " +
         std::to_string(m_Engines.step()) + " passes, " +
         std::to_string(m_SwitchesWithFaults) + " switches beside faults, " +
         std::to_string(m_Violations.size()) + " violations";
}

} // namespace corneldeck::tests

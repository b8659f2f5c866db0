#include "Bench/ProcessSample.h"
#include "Bench/Scenarios.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace corneldeck::bench {

namespace {

constexpr std::chrono::seconds Duration{10};
constexpr double CoreBound = 0.013;
constexpr double MemoryBoundMb = 256;
constexpr double BytesBound = 8'000;

/// A running daemon, as Utilities/control-cost.sh lists it.
struct Process {
  std::string m_Role;
  int m_Pid = 0;
  std::string m_Http;
};

/// Sums over the processes of one role.
struct RoleCost {
  std::size_t m_Count = 0;
  double m_CpuSeconds = 0;
  double m_Bytes = 0;
  double m_MemoryMb = 0;
};

std::vector<Process> readProcesses() {
  const char *File = std::getenv("CORNELDECK_PROCESSES");
  if (File == nullptr)
    throw std::runtime_error(
        "control-cost measures running daemons. Run Utilities/control-cost.sh, "
        "which starts them and this scenario.");
  std::vector<Process> Processes;
  std::ifstream Lines(File);
  Process Next;
  while (Lines >> Next.m_Role >> Next.m_Pid >> Next.m_Http)
    Processes.push_back(Next);
  return Processes;
}

std::vector<ProcessSample> sampleAll(const std::vector<Process> &Processes) {
  std::vector<ProcessSample> Samples;
  Samples.reserve(Processes.size());
  for (const Process &Each : Processes)
    Samples.push_back(sampleProcess(Each.m_Pid, Each.m_Http));
  return Samples;
}

ScenarioReport runControlCost(const ScenarioOptions &) {
  const std::vector<Process> Processes = readProcesses();
  const std::vector<ProcessSample> Before = sampleAll(Processes);
  const auto Start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(Duration);
  const std::vector<ProcessSample> After = sampleAll(Processes);
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
          .count();
  std::map<std::string, RoleCost> Roles;
  for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
    RoleCost &Role = Roles[Processes[Index].m_Role];
    ++Role.m_Count;
    Role.m_CpuSeconds += After[Index].m_CpuSeconds - Before[Index].m_CpuSeconds;
    Role.m_Bytes += After[Index].m_Bytes - Before[Index].m_Bytes;
    Role.m_MemoryMb += After[Index].m_MemoryMb;
  }
  ScenarioReport Report;
  for (const auto &[Name, Role] : Roles) {
    const auto Count = static_cast<double>(Role.m_Count);
    const double Core = Role.m_CpuSeconds / Seconds / Count;
    const double Memory = Role.m_MemoryMb / Count;
    const double Bytes = Role.m_Bytes / Seconds / Count;
    const std::map<std::string, std::string> Columns{
        {"role", Name},
        {"entries", std::to_string(Roles["entry"].m_Count)},
        {"agents", std::to_string(Roles["agent"].m_Count)}};
    Report.m_Measurements.push_back(
        {"corneldeck", "core_ratio", Core, "", Columns});
    Report.m_Measurements.push_back(
        {"corneldeck", "rss_mb", Memory, "MB", Columns});
    Report.m_Measurements.push_back(
        {"corneldeck", "bytes_per_s", Bytes, "1/s", Columns});
    Report.m_Bounds.push_back(
        {Name + " core_ratio <= 0.013", Core, Core <= CoreBound});
    Report.m_Bounds.push_back(
        {Name + " rss_mb <= 256", Memory, Memory <= MemoryBoundMb});
    Report.m_Bounds.push_back(
        {Name + " bytes_per_s <= 8000", Bytes, Bytes <= BytesBound});
  }
  return Report;
}

} // namespace

Scenario controlCostScenario() {
  return {"control-cost",
          "processor, memory and bytes of idle daemons that were started by "
          "Utilities/control-cost.sh",
          runControlCost};
}

} // namespace corneldeck::bench

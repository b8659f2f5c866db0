#include "Bench/Scenarios.h"
#include "Bench/SwitchTrial.h"

#include <algorithm>
#include <array>

namespace corneldeck::bench {

using rankgroup::RankIndex;

namespace {

constexpr std::array<RankIndex, 3> GroupSizes = {4, 8, 32};

/// Moments at which a fault begins, in milliseconds after the proposal.
constexpr std::array<std::int64_t, 6> FaultTimes = {0, 100, 201, 203, 206, 530};

/// The worst of one fault over all its moments.
struct Worst {
  std::int64_t m_HeldSteps = 0;
  std::int64_t m_MixedSteps = 0;
  std::int64_t m_SettleMillis = 0;
  int m_Unsettled = 0;
  int m_NewMap = 0;
};

Worst measure(SwitchFault Fault, RankIndex Ranks, std::uint64_t Seed) {
  Worst Result;
  for (const std::int64_t At : FaultTimes) {
    SwitchTrial::Options Wanted;
    Wanted.m_Ranks = Ranks;
    Wanted.m_Fault = Fault;
    Wanted.m_FaultAt = base::Millis(At);
    Wanted.m_Seed = Seed;
    const SwitchTrial::Outcome One = SwitchTrial(Wanted).run();
    Result.m_HeldSteps = std::max(Result.m_HeldSteps, One.m_HeldSteps);
    Result.m_MixedSteps += One.m_MixedSteps;
    Result.m_SettleMillis =
        std::max(Result.m_SettleMillis, One.m_Settle.count());
    Result.m_Unsettled += One.m_Settled ? 0 : 1;
    Result.m_NewMap += One.m_NewMap ? 1 : 0;
  }
  return Result;
}

void report(const std::string &Variant, RankIndex Ranks, const Worst &Seen,
            ScenarioReport &Report) {
  const std::map<std::string, std::string> Columns = {
      {"ranks", std::to_string(Ranks)}};
  const auto Add = [&](const char *Metric, std::int64_t Value,
                       const char *Unit) {
    Report.m_Measurements.push_back(
        {Variant, Metric, static_cast<double>(Value), Unit, Columns});
  };
  Add("held_steps", Seen.m_HeldSteps, "steps");
  Add("mixed_steps", Seen.m_MixedSteps, "steps");
  Add("settle_ms", Seen.m_SettleMillis, "ms");
  Add("unsettled", Seen.m_Unsettled, "switches");
  Add("new_map", Seen.m_NewMap, "switches");
  const std::string Where = Variant + " ranks=" + std::to_string(Ranks);
  Report.m_Bounds.push_back({Where + " mixed_steps = 0",
                             static_cast<double>(Seen.m_MixedSteps),
                             Seen.m_MixedSteps == 0});
  Report.m_Bounds.push_back({Where + " every switch settles",
                             static_cast<double>(Seen.m_Unsettled),
                             Seen.m_Unsettled == 0});
  if (Variant == "corneldeck")
    Report.m_Bounds.push_back({Where + " held_steps = 0",
                               static_cast<double>(Seen.m_HeldSteps),
                               Seen.m_HeldSteps == 0});
}

ScenarioReport run(const ScenarioOptions &Options) {
  ScenarioReport Report;
  for (const RankIndex Ranks : GroupSizes)
    for (std::size_t Fault = 0; Fault < SwitchFaultNames.size(); ++Fault) {
      const Worst Seen =
          measure(static_cast<SwitchFault>(Fault), Ranks, Options.m_Seed);
      report(std::string(SwitchFaultNames[Fault]), Ranks, Seen, Report);
    }
  return Report;
}

} // namespace

Scenario mapSwitchScenario() {
  return {"map-switch",
          "Switches the expert map of groups of 4, 8 and 32 ranks, one fault a "
          "variant, worst of six moments",
          run};
}

} // namespace corneldeck::bench

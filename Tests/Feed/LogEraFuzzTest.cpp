#include "Fakes/LogEraModel.h"

#include <gtest/gtest.h>

namespace corneldeck::tests {

using fakes::LogEraModel;
using fakes::LogEraPlant;

namespace {

/// Plays a random schedule.
/// \returns the number of violations.
int playSchedule(std::uint64_t Seed, LogEraPlant Plant) {
  constexpr int Steps = 300;
  base::Random Draw(Seed);
  LogEraModel Model(Seed, Plant);
  while (Model.step() < Steps) {
    if (Draw.chance(0.2))
      Model.write(Draw.below(LogEraModel::Keys), Draw.chance(0.8));
    if (Draw.chance(0.05))
      Model.saveCopy();
    if (Draw.chance(0.1))
      Model.returnLog();
    const std::size_t Node = Draw.below(LogEraModel::Nodes);
    switch (Draw.below(8)) {
    case 0:
      if (Draw.chance(0.1))
        Model.restart(Node);
      break;
    case 1:
    case 2:
    case 3:
      Model.read(Node);
      break;
    default:
      Model.copyState(Node, Draw.below(LogEraModel::Nodes), Draw.chance(0.3));
      break;
    }
    Model.endStep();
  }
  Model.converge();
  return Model.violations();
}

#ifdef CORNELDECK_FEW_SCHEDULES
constexpr std::uint64_t Schedules = 1'000;
#else
constexpr std::uint64_t Schedules = 20'000;
#endif

bool detects(LogEraPlant Plant) {
  constexpr std::uint64_t MaxSchedules = 100;
  for (std::uint64_t Seed = 1; Seed <= MaxSchedules; ++Seed)
    if (playSchedule(Seed, Plant) > 0)
      return true;
  return false;
}

} // namespace

// Failure: after a return of the log with an older copy, a node went back
// behind a record that it had, lost a key of a live writer, or kept one for
// ever.
TEST(LogEraFuzz, NodesKeepTheNewestRecords) {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed)
    ASSERT_EQ(playSchedule(Seed, LogEraPlant::None), 0) << "seed " << Seed;
}

TEST(LogEraFuzz, DetectsPlantedMistakes) {
  EXPECT_TRUE(detects(LogEraPlant::IgnoreEra));
  EXPECT_TRUE(detects(LogEraPlant::IgnoreOrder));
  EXPECT_TRUE(detects(LogEraPlant::DropMissing));
  EXPECT_TRUE(detects(LogEraPlant::NeverReload));
}

} // namespace corneldeck::tests

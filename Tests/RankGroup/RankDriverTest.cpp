#include "RankGroup/RankDriver.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {

namespace {

constexpr base::Millis Now{1000};
constexpr std::uint32_t Experts = 6;

RankState state() {
  RankState State;
  State.m_Group = "group";
  State.m_Epoch = 1;
  State.m_Size = 3;
  State.m_Open = true;
  return State;
}

wire::RankCommand command(std::uint64_t Number, SwitchOrderKind Kind) {
  wire::RankCommand Command;
  Command.set_group("group");
  Command.set_epoch(1);
  Command.set_planner_term(1);
  Command.set_planner("planner");
  Command.set_command(Number);
  Command.set_kind(static_cast<std::uint32_t>(Kind));
  Command.set_version(7);
  Command.set_step(20);
  if (Kind == SwitchOrderKind::Prepare) {
    Command.set_experts(Experts);
    for (const std::uint32_t Each : encodeMaps(initialMaps(1, 3, Experts)))
      Command.add_map(Each);
  }
  return Command;
}

} // namespace

// Guards against an agent that ignores the order to prepare after a restart,
// because it has not read the counts of its engine yet.
TEST(RankDriver, PreparesMapsWithoutCounts) {
  RankDriver Driver;
  Driver.updateState(state());
  Driver.acceptCommand(command(1, SwitchOrderKind::Prepare), Now);
  const auto Order = Driver.nextOrder(Now);
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->m_Maps, initialMaps(1, 3, Experts));
  EXPECT_TRUE(Driver.isPreparing());
}

// Guards against an undecodable command without an answer, for which the
// planner waits until its timeout.
TEST(RankDriver, RejectsUndecodableMaps) {
  RankDriver Driver;
  Driver.updateState(state());
  wire::RankCommand Command = command(1, SwitchOrderKind::Prepare);
  Command.set_experts(1);
  Driver.acceptCommand(Command, Now);
  EXPECT_FALSE(Driver.nextOrder(Now));
  wire::RankReport Report;
  Driver.fillReport(Report);
  EXPECT_EQ(Report.command(), 1U);
  EXPECT_EQ(Report.command_result(),
            1 + static_cast<std::uint32_t>(OrderResult::Rejected));
}

// Guards against a command that a relay delivers after a later one.
TEST(RankDriver, IgnoresCommandsThatArriveOutOfOrder) {
  RankDriver Driver;
  Driver.updateState(state());
  Driver.acceptCommand(command(2, SwitchOrderKind::Hold), Now);
  Driver.acceptCommand(command(1, SwitchOrderKind::Prepare), Now);
  const auto Order = Driver.nextOrder(Now);
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->m_Kind, SwitchOrderKind::Hold);
}

// Guards against a command of an aborted switch that is still executed.
TEST(RankDriver, DropsVoidCommands) {
  RankDriver Driver;
  Driver.updateState(state());
  Driver.acceptCommand(command(1, SwitchOrderKind::Prepare), Now);
  wire::RankCommand Request;
  Request.set_planner_term(1);
  Request.set_planner("planner");
  Request.set_round(1);
  Request.set_oldest_valid(2);
  Driver.acceptCommand(Request, Now);
  EXPECT_FALSE(Driver.nextOrder(Now));
  EXPECT_FALSE(Driver.isPreparing());
  Driver.acceptCommand(command(1, SwitchOrderKind::Prepare), Now);
  EXPECT_FALSE(Driver.nextOrder(Now));
}

} // namespace corneldeck::rankgroup

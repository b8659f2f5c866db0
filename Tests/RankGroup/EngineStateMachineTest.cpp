#include "RankGroup/EngineStateMachine.h"

#include <gtest/gtest.h>

namespace corneldeck::rankgroup {
namespace {

constexpr MapId Old{1, 1};
constexpr MapId New{1, 2};

EngineOrder join(std::uint64_t Number) {
  EngineOrder Order;
  Order.m_Kind = OrderKind::Join;
  Order.m_Formation = {{Number, 7}, Old, 1, {5}};
  return Order;
}

EngineOrder order(OrderKind Kind, MapId Map, Step At = 3) {
  EngineOrder Order;
  Order.m_Kind = Kind;
  Order.m_Epoch = {1, 7};
  Order.m_Map = Map;
  Order.m_Step = At;
  return Order;
}

TEST(EngineStateMachine, WaitsAtSwitchStepForOutcome) {
  EngineStateMachine Engine(5);
  Engine.apply(join(1));
  Engine.apply(order(OrderKind::Arm, New));
  EXPECT_EQ(Engine.beginStep(), Old);
  EXPECT_EQ(Engine.beginStep(), Old);
  EXPECT_FALSE(Engine.canBeginStep());
  Engine.apply(order(OrderKind::Commit, New));
  ASSERT_TRUE(Engine.canBeginStep());
  EXPECT_EQ(Engine.beginStep(), New);
}

TEST(EngineStateMachine, IgnoresOrdersOfEndedEpoch) {
  EngineStateMachine Engine(5);
  Engine.apply(join(2));
  Engine.apply(join(1));
  EXPECT_EQ(Engine.state().m_Formation.m_Epoch.m_Number, 2U);
  // The order names the first epoch, which has ended.
  Engine.apply(order(OrderKind::Arm, New));
  EXPECT_FALSE(Engine.state().m_HasPending);
}

TEST(EngineStateMachine, DoesNotArmRefusedMap) {
  EngineStateMachine Engine(5);
  Engine.apply(join(1));
  Engine.apply(order(OrderKind::Refuse, New));
  Engine.apply(order(OrderKind::Arm, New));
  EXPECT_FALSE(Engine.state().m_HasPending);
}

TEST(EngineStateMachine, DoesNotRefuseArmedMap) {
  EngineStateMachine Engine(5);
  Engine.apply(join(1));
  Engine.apply(order(OrderKind::Arm, New));
  Engine.apply(order(OrderKind::Refuse, New));
  EXPECT_TRUE(Engine.state().m_HasPending);
  EXPECT_FALSE(Engine.state().m_PendingCommitted);
}

} // namespace
} // namespace corneldeck::rankgroup

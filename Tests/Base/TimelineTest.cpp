#include "Base/Timeline.h"

#include <gtest/gtest.h>

using namespace corneldeck::base;

TEST(Timeline, CauseSortsBeforeEffectDespiteSlowClock) {
  Timeline Fast("fast", 10, [] { return Millis(5000); });
  Timeline Slow("slow", 10, [] { return Millis(1000); });
  Fast.record(EventId::AttemptSent);
  Slow.observe(Fast.stamp());
  Slow.record(EventId::RunStarted);
  const auto Merged = mergeTimelines({Slow.events(), Fast.events()});
  ASSERT_EQ(Merged.size(), 2U);
  EXPECT_EQ(Merged[0].m_Id, EventId::AttemptSent);
  EXPECT_EQ(Merged[1].m_Id, EventId::RunStarted);
}

TEST(Timeline, RetainsOnlyNewestEvents) {
  Timeline Buffer("node", 2, [] { return Millis(1); });
  Buffer.record(EventId::LinkUp);
  Buffer.record(EventId::LinkSilent);
  Buffer.record(EventId::LinkReplaced);
  const auto Events = Buffer.events();
  ASSERT_EQ(Events.size(), 2U);
  EXPECT_EQ(Events.front().m_Id, EventId::LinkSilent);
}

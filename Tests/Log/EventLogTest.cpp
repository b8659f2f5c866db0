#include "Log/EventLog.h"

#include <gtest/gtest.h>

namespace corneldeck::log {

namespace {

TEST(EventLogTest, QuotesValuesWithSpecialCharacters) {
  const base::TimelineEvent Event{
      1,
      "entry-1",
      base::EventId::LinkUp,
      {{"peer", "10.0.0.1:7000"}, {"why", "a \"b\"\nc"}, {"none", ""}}};
  EXPECT_EQ(formatEvent(Event),
            "event=1300 name=link-up node=entry-1 peer=10.0.0.1:7000 "
            "why=\"a \\\"b\\\" c\" none=\"\"");
}

} // namespace

} // namespace corneldeck::log

#include "Ctl/TimelineView.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>

namespace corneldeck::ctl {

namespace {

using testing::HasSubstr;
using testing::Not;

const std::uint64_t Stamp = std::uint64_t{1'700'000'000'123} << 16U;
const std::vector<base::TimelineEvent> Events{
    {Stamp, "entry-1", base::EventId::AttemptSent, {{"request", "r1"}}},
    {Stamp + 1,
     "agent-<1>",
     base::EventId::RunStarted,
     {{"request", "r1"}, {"path", "<script>alert('x')</script>\n"}}}};

TEST(TimelineViewTest, WritesALineAnEvent) {
  std::ostringstream Out;
  writeTimelineText(Events, Out);
  EXPECT_EQ(Out.str(),
            "2023-11-14T22:13:20.123Z entry-1 1110 attempt-sent request=r1\n"
            "2023-11-14T22:13:20.123Z agent-<1> 1200 run-started request=r1 "
            "path=<script>alert('x')</script> \n");
}

TEST(TimelineViewTest, WritesAPageThatNoFieldCanChange) {
  std::ostringstream Out;
  writeTimelineHtml(Events, Out);
  EXPECT_THAT(Out.str(), HasSubstr("&lt;script&gt;alert(&#39;x&#39;)"));
  EXPECT_THAT(Out.str(), Not(HasSubstr("<script>alert")));
  EXPECT_THAT(Out.str(), HasSubstr(">agent-&lt;1&gt;</text>"));
}

TEST(TimelineViewTest, Filters) {
  EXPECT_TRUE((TimelineFilter{"r1", {}, {}, {}}.lets(Events[0])));
  EXPECT_FALSE((TimelineFilter{"r2", {}, {}, {}}.lets(Events[0])));
  EXPECT_FALSE((TimelineFilter{{}, "g", {}, {}}.lets(Events[0])));
  EXPECT_FALSE((TimelineFilter{{}, {}, "7", {}}.lets(Events[0])));
  EXPECT_TRUE((TimelineFilter{{}, {}, {}, "entry-1"}.lets(Events[0])));
}

} // namespace

} // namespace corneldeck::ctl

#include "Direct/StopWindow.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

TEST(StopWindow, TakesAllWhileTheEntryGoesOn) {
  const StopWindow Window;
  EXPECT_TRUE(Window.takes(base::seconds(5), base::seconds(500)));
}

TEST(StopWindow, ALateStreamThatOutlastsTheProcessIsNotTaken) {
  StopWindow Window;
  Window.begin(base::seconds(100), base::Millis(107300));
  // Sent just after the order to stop: served to the end.
  EXPECT_TRUE(Window.takes(base::seconds(102), base::seconds(110)));
  // 5 s after it, with up to 8 s to go: it would be cut off at 107.3 s.
  EXPECT_FALSE(Window.takes(base::seconds(105), base::seconds(113)));
  // A short request is over before.
  EXPECT_TRUE(Window.takes(base::seconds(105), base::seconds(107)));
  EXPECT_FALSE(Window.takes(base::seconds(106), base::seconds(108)));
}

} // namespace corneldeck::direct

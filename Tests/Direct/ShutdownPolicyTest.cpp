#include "Direct/ShutdownPolicy.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

TEST(ShutdownPolicy, TakesAllWhileTheEntryGoesOn) {
  const ShutdownPolicy Policy;
  EXPECT_TRUE(Policy.accepts(base::seconds(5), base::seconds(500)));
}

TEST(ShutdownPolicy, ALateStreamThatOutlastsTheProcessIsNotTaken) {
  ShutdownPolicy Policy;
  Policy.begin(base::seconds(100), base::Millis(107300));
  // Sent just after the order to stop: served to the end.
  EXPECT_TRUE(Policy.accepts(base::seconds(102), base::seconds(110)));
  // 5 s after it, with up to 8 s to go: it would be cut off at 107.3 s.
  EXPECT_FALSE(Policy.accepts(base::seconds(105), base::seconds(113)));
  // A short request is over before.
  EXPECT_TRUE(Policy.accepts(base::seconds(105), base::seconds(107)));
  EXPECT_FALSE(Policy.accepts(base::seconds(106), base::seconds(108)));
}

} // namespace corneldeck::direct

#include "Direct/ShutdownPolicy.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

TEST(ShutdownPolicy, AcceptsAllRequestsBeforeShutdown) {
  const ShutdownPolicy Policy;
  EXPECT_TRUE(Policy.accepts(base::seconds(5), base::seconds(500)));
}

TEST(ShutdownPolicy, RefusesLateRequestsThatOutlastTheProcess) {
  ShutdownPolicy Policy;
  Policy.begin(base::seconds(100), base::Millis(107300));
  // Sent just after the start of the shutdown: accepted.
  EXPECT_TRUE(Policy.accepts(base::seconds(102), base::seconds(110)));
  // Sent 5 s after the start, with a timeout of 8 s: it would be cut off at
  // 107.3 s.
  EXPECT_FALSE(Policy.accepts(base::seconds(105), base::seconds(113)));
  // A short request ends before the process does.
  EXPECT_TRUE(Policy.accepts(base::seconds(105), base::seconds(107)));
  EXPECT_FALSE(Policy.accepts(base::seconds(106), base::seconds(108)));
}

} // namespace corneldeck::direct

#include "Fakes/FakeNetwork.h"

#include <gtest/gtest.h>

using namespace corneldeck;

TEST(FakeNetwork, FrozenNodeGetsItsMessagesInOrderWhenThawed) {
  fakes::VirtualTime Time;
  fakes::FakeNetwork Network(Time, 1);
  std::string Got;
  Network.freeze("b");
  Network.send("a", "b", [&] { Got += '1'; });
  Network.send("a", "b", [&] { Got += '2'; });
  Time.runUntil(base::Millis(10));
  EXPECT_EQ(Got, "");
  Network.thaw("b");
  EXPECT_EQ(Got, "12");
}

TEST(FakeNetwork, CutLosesMessagesUntilHealed) {
  fakes::VirtualTime Time;
  fakes::FakeNetwork Network(Time, 1);
  int Got = 0;
  Network.setCut("a", "b", true);
  Network.send("a", "b", [&] { ++Got; });
  Network.setCut("a", "b", false);
  Network.send("a", "b", [&] { ++Got; });
  Time.runUntil(base::Millis(10));
  EXPECT_EQ(Got, 1);
}

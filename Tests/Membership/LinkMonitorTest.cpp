#include "Membership/LinkMonitor.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using base::Millis;
using membership::LinkMonitor;

namespace {

constexpr Millis Tick(50);
constexpr Millis RoundTrip(2);

/// \returns when the link is up again after it receives no message from
/// \p SilentAt on, if new connections open and respond.
Millis timeOfReplacement(Millis SilentAt, Millis End) {
  LinkMonitor Monitor({}, Millis(0));
  bool SawSilent = false;
  for (Millis Now(0); Now < End; Now += Tick) {
    const membership::LinkActions Actions = Monitor.tick(Now);
    if (Actions.m_Open)
      Monitor.onOpened(Now + RoundTrip);
    SawSilent = SawSilent || Actions.m_Silent;
    if (Actions.m_Open && SawSilent)
      return Now + RoundTrip;
    if (Actions.m_SendHeartbeat && Now < SilentAt)
      Monitor.onMessage(Now + RoundTrip);
  }
  return End;
}

} // namespace

TEST(LinkMonitor, ReplacesSilentConnectionWithinTwoSeconds) {
  for (std::int64_t At = 500; At < 2500; At += 37) {
    const Millis SilentAt(At);
    const Millis Replaced = timeOfReplacement(SilentAt, base::seconds(20));
    EXPECT_GT(Replaced, SilentAt);
    EXPECT_LT(Replaced - SilentAt, base::seconds(2));
  }
}

TEST(LinkMonitor, KeepsHealthyConnectionAfterPauseOfProcess) {
  LinkMonitor Monitor({}, Millis(0));
  EXPECT_TRUE(Monitor.tick(Millis(0)).m_Open);
  Monitor.onOpened(Millis(2));
  Monitor.tick(Millis(50));
  const membership::LinkActions Woken = Monitor.tick(base::seconds(60));
  EXPECT_FALSE(Woken.m_Close);
  EXPECT_TRUE(Woken.m_SendHeartbeat);
}

TEST(LinkMonitor, BacksOffWhenNoConnectionOpens) {
  LinkMonitor Monitor({}, Millis(0));
  int Opened = 0;
  for (Millis Now(0); Now < base::seconds(60); Now += Tick)
    Opened += Monitor.tick(Now).m_Open ? 1 : 0;
  EXPECT_GE(Opened, 20);
  EXPECT_LE(Opened, 40);
}

#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Three entries, and servers in two zones: the first one in "b", the others in
/// "a".
class PlatformEvacuation : public PlatformEntry {
protected:
  PlatformEvacuation() : PlatformEntry(3) { m_ServerZones[0] = "b"; }

  StandinServer &first() { return *m_Servers[0]; }

  void evacuate(const std::string &Zone, const std::string &Value = "{}") {
    m_Store.put("keyed.op", "evacuate/" + Zone, Value);
  }
  void endEvacuation(const std::string &Zone) {
    m_Store.put("keyed.op", "evacuate/" + Zone, std::nullopt);
  }
  /// Waits until each entry applies \p Zones evacuations.
  void runUntilEvacuated(int Zones) {
    for (int Entry = 0; Entry < m_EntryCount; ++Entry)
      runUntil(
          [&] { return metric(Entry, "corneldeck_evacuated_zones") == Zones; });
  }
  /// Checks that all callers get an answer and that the first server gets no
  /// request.
  void expectUnused(milliseconds Duration) {
    const std::size_t Before = first().m_Received.size();
    for (const auto &OfEntry : sendTraffic(Duration, milliseconds(10)))
      for (const AnswerPtr &Each : OfEntry)
        EXPECT_EQ(Each->m_Status, 200);
    EXPECT_EQ(first().m_Received.size(), Before);
  }
  /// Sends requests until the first server gets some.
  void runUntilUsed() {
    const std::size_t Before = first().m_Received.size();
    runUntil([&] {
      sendTraffic(milliseconds(200), milliseconds(5));
      return first().m_Received.size() > Before;
    });
  }
};

} // namespace

// Failure: the servers of an evacuated zone got requests, also of entries that
// started while it was in force or while the log was out.
TEST_F(PlatformEvacuation, AnEvacuatedZoneGetsNothing) {
  runUntilUsed();
  evacuate("b", "not JSON");
  runUntilEvacuated(1);
  expectUnused(milliseconds(500));
  publish(2, "/added/");
  m_Store.m_Faults.m_Unavailable = true;
  m_Entries[1].reset();
  startEntry(1);
  runUntil([this] { return isReady(1); });
  expectUnused(milliseconds(500));
  m_Store.m_Faults.m_Unavailable = false;
  endEvacuation("b");
  runUntilEvacuated(0);
  runUntilUsed();
}

// Failure: the limit of 5 s from the record to the last request was exceeded.
TEST_F(PlatformEvacuation, ComesIntoForceWithinTheLimit) {
  runUntilUsed();
  evacuate("b");
  sendTraffic(milliseconds(5000), milliseconds(10));
  expectUnused(milliseconds(1000));
}

// Failure: with all servers in evacuated zones, requests waited, or the refusal
// did not say that they had not run.
TEST_F(PlatformEvacuation, RefusesAtOnceWithoutAnotherServer) {
  evacuate("a");
  evacuate("b");
  runUntilEvacuated(2);
  const auto Begin = std::chrono::steady_clock::now();
  const AnswerPtr Refused = finish(call("GET", "/plain/a", "r-1"));
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, milliseconds(1000));
  EXPECT_EQ(Refused->m_Status, 503);
  EXPECT_FALSE(net::findHeader(Refused->m_Headers, "Retry-After").empty());
  EXPECT_EQ(receivedCount("r-1"), 0U);
}

// Failure: the streams that ran in a zone were cut off by its evacuation.
TEST_F(PlatformEvacuation, StreamsInAnEvacuatedZoneGoOn) {
  evacuate("a");
  runUntilEvacuated(1);
  first().m_Events = 20;
  first().m_EventPause = 100;
  const AnswerPtr Stream = call("GET", "/stream/a", "s-1");
  runUntil([&Stream] { return !Stream->m_Body.empty(); });
  evacuate("b");
  endEvacuation("a");
  finish(Stream);
  EXPECT_EQ(Stream->m_Status, 200);
  EXPECT_FALSE(Stream->m_Broken);
  EXPECT_NE(Stream->m_Body.find("id: 20"), std::string::npos);
  EXPECT_EQ(receivedCount("s-1"), 1U);
}

// Failure: an empty zone name or a zone without servers had an effect.
TEST_F(PlatformEvacuation, OtherZonesStayInUse) {
  evacuate("");
  evacuate("unknown");
  runUntilEvacuated(1);
  runUntilUsed();
}

} // namespace corneldeck::tests

#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Entries whose log returns with an older copy of its records.
class PlatformLogEra : public PlatformEntry {
protected:
  PlatformLogEra() : PlatformEntry(3) {}

  void runUntilInForce(int Version) {
    for (int Entry = 0; Entry < m_EntryCount; ++Entry)
      runUntil([&] {
        return metric(Entry, "corneldeck_configuration_version") == Version;
      });
  }

  /// Returns the number of requests that a server gets from short traffic.
  std::size_t requestsAt(const StandinServer &Server) {
    const std::size_t Before = Server.m_Received.size();
    sendTraffic(milliseconds(200), milliseconds(5));
    return Server.m_Received.size() - Before;
  }

  /// Sends requests until no entry chooses a server any more.
  void runUntilUnused(const StandinServer &Server) {
    constexpr int Rounds = 3;
    int Unused = 0;
    runUntil([&] {
      Unused = requestsAt(Server) == 0 ? Unused + 1 : 0;
      return Unused == Rounds;
    });
  }

  void publishServer(const StandinServer &Server, const std::string &State,
                     int Sequence) {
    m_Store.put("keyed.servers", Server.id(), Server.record(State, Sequence));
  }
};

} // namespace

// Failure: a confirmed version was ignored because the log had assigned its
// offset before it returned with an older copy.
TEST_F(PlatformLogEra, AVersionAtAReusedOffsetComesIntoForce) {
  m_Store.saveCopy();
  for (const int Version : {2, 3, 4})
    publish(Version);
  runUntilInForce(4);
  m_Store.restoreCopy();
  publish(4);
  publish(5);
  runUntilInForce(5);
}

// Failure: an entry that started after the log had returned used an older
// version than the others until the operators wrote theirs again.
TEST_F(PlatformLogEra, AnEntryThatStartsGetsTheVersionInForce) {
  m_Store.saveCopy();
  publish(2);
  runUntilInForce(2);
  m_Store.restoreCopy();
  m_Entries[1].reset();
  startEntry(1);
  runUntilInForce(2);
}

// Failure: a server that was known to drain got requests again because the
// older copy lists it as ready.
TEST_F(PlatformLogEra, AServerThatDrainsIsNotUsedAgain) {
  StandinServer &Draining = *m_Servers[0];
  m_Store.saveCopy();
  publishServer(Draining, "draining", 2);
  runUntilUnused(Draining);
  m_Store.restoreCopy();
  for (int Count = 0; Count < 10; ++Count)
    EXPECT_EQ(requestsAt(Draining), 0U);
  publishServer(Draining, "draining", 3);
  EXPECT_EQ(requestsAt(Draining), 0U);
  // A later start of the server is used.
  Draining.restart(2);
  publishServer(Draining, "ready", 1);
  runUntil([&] { return requestsAt(Draining) > 0; });
}

// Failure: a server that the older copy lacks was dropped before it could write
// its record again, or stayed in use although it no longer existed.
TEST_F(PlatformLogEra, AServerThatTheCopyLacksIsKeptForAWhile) {
  StandinServer &Missing = *m_Servers[2];
  // No other server can be chosen instead.
  publishServer(*m_Servers[0], "draining", 2);
  publishServer(*m_Servers[1], "draining", 2);
  m_Store.put("keyed.servers", Missing.id(), std::nullopt);
  runUntilUnused(Missing);
  m_Store.saveCopy();
  publishServer(Missing, "ready", 5);
  runUntil([&] { return requestsAt(Missing) > 0; });
  m_Store.restoreCopy();
  const auto ReturnedAt = std::chrono::steady_clock::now();
  runUntil([&] {
    const bool IsUnused = requestsAt(Missing) == 0;
    return IsUnused &&
           std::chrono::steady_clock::now() - ReturnedAt > milliseconds(2500);
  });
  // The entries read the older list in the first half second.
  EXPECT_GT(Missing.m_Received.back().m_ReceivedAt - ReturnedAt,
            milliseconds(1000));
  publishServer(Missing, "ready", 6);
  runUntil([&] { return requestsAt(Missing) > 0; });
}

} // namespace corneldeck::tests

#include "EntryFixture.h"

#include "Net/DatagramSocket.h"
#include "Wire/Gossip.pb.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Three entries whose backend servers say that they leave, or that they want
/// no requests for some time.
class PlatformServerNotice : public PlatformEntry {
protected:
  PlatformServerNotice() : PlatformEntry(3) {}

  /// Sends requests until all entries know that \p Servers servers leave.
  void runUntilLeaving(int Servers) {
    runUntil([&] {
      sendTraffic(milliseconds(200), milliseconds(10));
      for (int Entry = 0; Entry < m_EntryCount; ++Entry)
        if (metric(Entry, "corneldeck_leaving_servers") != Servers)
          return false;
      return true;
    });
  }

  /// Checks that all callers get an answer and that a server gets no request.
  void expectUnused(const StandinServer &Server, milliseconds Duration) {
    const std::size_t Before = Server.m_Received.size();
    for (const auto &OfEntry : sendTraffic(Duration, milliseconds(10)))
      for (const AnswerPtr &Each : OfEntry)
        EXPECT_EQ(Each->m_Status, 200);
    EXPECT_EQ(Server.m_Received.size(), Before);
  }

  /// Sends requests to the first entry that are in flight together, and waits
  /// for the answers.
  void sendBurst() {
    constexpr int Requests = 12;
    std::vector<AnswerPtr> Answers;
    Answers.reserve(Requests);
    for (int Index = 0; Index < Requests; ++Index)
      Answers.push_back(
          call("GET", "/plain/a", "burst-" + std::to_string(++m_Calls)));
    for (const AnswerPtr &Each : Answers)
      finish(Each);
  }

  void publishServer(const StandinServer &Server) {
    m_Store.put("keyed.servers", Server.id(), Server.record());
  }
};

/// The same, with backend servers that are the ranks of one group.
class RankGroupNotice : public PlatformServerNotice {
protected:
  RankGroupNotice() { m_HasEngines = true; }

  void SetUp() override {
    PlatformServerNotice::SetUp();
    ASSERT_TRUE(m_Agent.open("127.0.0.1:0").has_value());
    reportGroup(1, true);
  }

  /// Reports the state of the group to all entries, as the agent of one rank.
  void reportGroup(std::uint64_t Epoch, bool IsOpen) {
    wire::Datagram Message;
    wire::FleetBeat &Beat = *Message.mutable_beat();
    Beat.mutable_sender()->set_node("agent");
    Beat.mutable_sender()->set_incarnation(1);
    Beat.mutable_sender()->set_peer_address("127.0.0.1:1");
    wire::GroupNews &Group = *Beat.mutable_group();
    Group.set_service("svc");
    Group.set_group("g");
    Group.set_epoch(Epoch);
    Group.set_open(IsOpen);
    for (const platform::NodeSettings &Each : m_Settings)
      ASSERT_TRUE(
          m_Agent.send(Each.m_PeerAddress, Message.SerializeAsString()));
  }

  /// Starts streams at all entries in turn, each after the one before is
  /// complete, so that none waits for a place.
  void expectCompleteStreams(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      const AnswerPtr Stream =
          finish(call("GET", "/stream/a", "s" + std::to_string(++m_Calls), {},
                      "key-1", Index % m_EntryCount));
      EXPECT_EQ(Stream->m_Status, 200);
      EXPECT_FALSE(Stream->m_Broken);
      EXPECT_NE(Stream->m_Body.find("id: 5"), std::string::npos)
          << Stream->m_Body;
    }
  }

  net::DatagramSocket m_Agent{m_Loop,
                              [](std::string_view, const std::string &) {}};
};

} // namespace

// Failure: a server that said in its answers that it leaves got requests for as
// long as the list of servers showed it as ready, or the store was out.
TEST_F(PlatformServerNotice, AServerThatLeavesGetsNoRequests) {
  StandinServer &Leaving = *m_Servers[0];
  Leaving.m_IsLeaving = true;
  runUntilLeaving(1);
  expectUnused(Leaving, milliseconds(500));
  publishServer(Leaving);
  expectUnused(Leaving, milliseconds(500));
  publish(2, "/added/");
  m_Store.m_Faults.m_Unavailable = true;
  expectUnused(Leaving, milliseconds(1000));
  m_Store.m_Faults.m_Unavailable = false;
  Leaving.restart(2);
  publishServer(Leaving);
  runUntilLeaving(0);
  const std::size_t Before = Leaving.m_Received.size();
  runUntil([&] {
    sendTraffic(milliseconds(100), milliseconds(10));
    return Leaving.m_Received.size() > Before;
  });
}

// Failure: only the entry that had received the answer knew that the server
// leaves, and an entry that started later did not.
TEST_F(PlatformServerNotice, AllEntriesLearnThatAServerLeaves) {
  m_Servers[0]->m_IsLeaving = true;
  int Calls = 0;
  runUntil([&] {
    finish(call("GET", "/plain/a", "first-" + std::to_string(Calls++)));
    return metric(0, "corneldeck_leaving_servers") == 1;
  });
  const std::size_t Before = m_Servers[0]->m_Received.size();
  for (const int Entry : {1, 2})
    runUntil([&] { return metric(Entry, "corneldeck_leaving_servers") == 1; });
  m_Entries[2].reset();
  startEntry(2);
  runUntil([&] { return isReady(2); });
  runUntil([&] { return metric(2, "corneldeck_leaving_servers") == 1; });
  EXPECT_EQ(m_Servers[0]->m_Received.size(), Before);
}

// Failure: streams that ran at a server were cut when it said that it leaves,
// or one that broke off there was resumed there.
TEST_F(PlatformServerNotice, StreamsOfAServerThatLeavesAreCompleted) {
  for (const auto &Each : m_Servers)
    Each->m_EventPause = 100;
  m_Servers[0]->m_IsLeaving = true;
  constexpr int Count = 6;
  std::vector<AnswerPtr> Streams;
  Streams.reserve(Count);
  for (int Index = 0; Index < Count; ++Index)
    Streams.push_back(call("GET", "/stream/a", "s" + std::to_string(Index)));
  for (const AnswerPtr &Each : Streams) {
    finish(Each);
    EXPECT_EQ(Each->m_Status, 200);
    EXPECT_FALSE(Each->m_Broken);
    EXPECT_NE(Each->m_Body.find("id: 5"), std::string::npos) << Each->m_Body;
  }
  EXPECT_GT(m_Servers[0]->m_Received.size(), 0U);
}

// Failure: a server that refused requests and named a time was sent more of
// them before that time was over.
TEST_F(PlatformServerNotice, APausedServerGetsNoRequests) {
  StandinServer &Paused = *m_Servers[0];
  Paused.m_RetryAfter = "2.5";
  Paused.m_Behavior = Behavior::NotRun;
  while (Paused.m_Received.empty())
    sendBurst();
  // Requests that were in flight when the server refused the first one.
  const std::size_t Refused = Paused.m_Received.size();
  const auto PausedAt = Paused.m_Received.front().m_ReceivedAt;
  // The other servers refuse too, so that their scores are not better.
  for (const auto &Each : m_Servers)
    Each->m_Behavior = Behavior::NotRun;
  runUntil([&] {
    sendBurst();
    return Paused.m_Received.size() > Refused;
  });
  EXPECT_GE(Paused.m_Received[Refused].m_ReceivedAt - PausedAt,
            milliseconds(2500));
}

// Failure: requests that no server wanted waited for their deadline.
TEST_F(PlatformServerNotice, CallersAreRefusedIfAllServersLeaveOrPause) {
  m_Servers[0]->m_IsLeaving = true;
  m_Servers[1]->m_IsLeaving = true;
  m_Servers[2]->m_RetryAfter = "30";
  m_Servers[2]->m_Behavior = Behavior::NotRun;
  int Calls = 0;
  AnswerPtr Got;
  runUntil([&] {
    Got = finish(call("GET", "/plain/a", "all-" + std::to_string(Calls++)));
    return Got->m_Status == 503;
  });
  Got = finish(call("GET", "/plain/a", "last"));
  EXPECT_EQ(Got->m_Status, 503);
  const auto RetryAfter = net::findHeader(Got->m_Headers, "Retry-After");
  ASSERT_FALSE(RetryAfter.empty());
  EXPECT_GT(std::stod(std::string(RetryAfter)), 25);
  EXPECT_EQ(receivedCount("last"), 0U);
}

// Failure: the ranks of a group that leave or want no requests got some, or the
// other ranks were not used.
TEST_F(RankGroupNotice, RanksThatLeaveOrPauseGetNoStreams) {
  StandinServer &Leaving = *m_Servers[0];
  StandinServer &Paused = *m_Servers[1];
  Leaving.m_IsLeaving = true;
  runUntilLeaving(1);
  Paused.m_RetryAfter = "30";
  Paused.m_Behavior = Behavior::NotRun;
  runUntil([&] {
    sendTraffic(milliseconds(200), milliseconds(10));
    for (int Entry = 0; Entry < m_EntryCount; ++Entry)
      if (metric(Entry, "corneldeck_paused_servers") != 1)
        return false;
    return true;
  });
  const std::size_t AtLeaving = Leaving.m_Received.size();
  const std::size_t AtPaused = Paused.m_Received.size();
  constexpr int Streams = 30;
  expectCompleteStreams(Streams);
  EXPECT_EQ(Leaving.m_Received.size(), AtLeaving);
  EXPECT_EQ(Paused.m_Received.size(), AtPaused);
}

// Failure: a rank that left got no requests after its group had formed again
// with a new start of it, or got some before.
TEST_F(RankGroupNotice, ARankIsUsedAgainAfterItsNewStart) {
  StandinServer &Leaving = *m_Servers[0];
  Leaving.m_IsLeaving = true;
  runUntilLeaving(1);
  const std::size_t Before = Leaving.m_Received.size();
  reportGroup(1, false);
  AnswerPtr Got;
  int Calls = 0;
  runUntil([&] {
    Got = finish(call("GET", "/stream/a", "out-" + std::to_string(Calls++)));
    return Got->m_Status == 503;
  });
  // The group needs its formation time at least.
  const auto RetryAfter = net::findHeader(Got->m_Headers, "Retry-After");
  ASSERT_FALSE(RetryAfter.empty());
  EXPECT_GT(std::stod(std::string(RetryAfter)), 2);
  // The group forms without the rank's new start being listed.
  reportGroup(2, true);
  runUntil([&] {
    return finish(call("GET", "/stream/a", "in-" + std::to_string(Calls++)))
               ->m_Status == 200;
  });
  expectCompleteStreams(12);
  EXPECT_EQ(Leaving.m_Received.size(), Before);
  Leaving.restart(2);
  publishServer(Leaving);
  runUntil([&] {
    expectCompleteStreams(3);
    return Leaving.m_Received.size() > Before;
  });
}

} // namespace corneldeck::tests

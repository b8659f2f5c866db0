#include "EntryFixture.h"

#include <set>

namespace corneldeck::tests {

namespace {

std::string events(int From, int To) {
  std::string All;
  for (int Index = From; Index <= To; ++Index) {
    All.append("id: ").append(std::to_string(Index));
    All.append("\ndata: ").append(std::to_string(Index * 7)).append("\n\n");
  }
  return All;
}

/// Entries that run before any version of the configuration is published.
class PlatformEntryWithoutRoutes : public PlatformEntry {
protected:
  PlatformEntryWithoutRoutes() { m_IsPublishedAtStart = false; }
};

bool reportsNotRun(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

TEST_F(PlatformEntry, ForwardsAResponseUnchanged) {
  const auto Got = finish(call("POST", "/once/a?b=c", "r1", {{"X-Own", "v"}}));
  EXPECT_EQ(Got->m_Status, 200);
  EXPECT_EQ(net::findHeader(Got->m_Headers, "Attempt-Id"), "r1");
  EXPECT_FALSE(net::findHeader(Got->m_Headers, "Response-Signature").empty());
  EXPECT_TRUE(Got->m_Body.starts_with("body of r1"));
  const ReceivedRequest &Received = receivedRequest("r1");
  EXPECT_EQ(Received.m_Line, "POST /once/a?b=c HTTP/1.1\r");
  EXPECT_EQ(Received.m_Body, "request r1");
  EXPECT_EQ(Received.m_Headers.at("X-Own"), "v");
  EXPECT_EQ(Received.m_Headers.at("Host"), "x.example");
  EXPECT_EQ(Received.m_Headers.at("Tenant"), "cust");
  EXPECT_EQ(Received.m_Headers.count("Authorization"), 0U);
  EXPECT_LE(std::stoi(Received.m_Headers.at("Deadline-Ms")), 4000);
}

TEST_F(PlatformEntry, CallersCannotSetWhatTheEntrySets) {
  finish(call("GET", "/plain/a", "r1",
              {{"Tenant", "other"},
               {"Expected-Instance", "i-9"},
               {"Connection", "X-Hop"},
               {"X-Hop", "1"}}));
  const ReceivedRequest &Received = receivedRequest("r1");
  EXPECT_EQ(Received.m_Headers.at("Tenant"), "cust");
  EXPECT_NE(Received.m_Headers.at("Expected-Instance"), "i-9");
  EXPECT_EQ(Received.m_Headers.count("X-Hop"), 0U);
}

TEST_F(PlatformEntry, RefusesInvalidRequests) {
  EXPECT_EQ(finish(call("GET", "/none/", "r1"))->m_Status, 404);
  EXPECT_EQ(finish(call("GET", "/plain/", "r2", {}, "bad"))->m_Status, 401);
  EXPECT_EQ(finish(call("GET", "/plain/", "r3", {}, ""))->m_Status, 401);
  EXPECT_EQ(finish(call("GET", "/plain/", ""))->m_Status, 400);
  net::HttpHeaders Large = {{"X-Large", std::string(5000, 'x')}};
  const int Status = finish(call("GET", "/plain/", "r4", Large))->m_Status;
  EXPECT_TRUE(Status == 431 || Status == 413);
  EXPECT_EQ(receivedCount("r1") + receivedCount("r2") + receivedCount("r3") +
                receivedCount("r4"),
            0U);
}

namespace {

class PlatformEntryWithoutTime : public PlatformEntry {
protected:
  PlatformEntryWithoutTime() { m_CallerDeadline = base::Millis(0); }
};

} // namespace

// Failure: a request whose caller waits no longer had the effect of one without
// a deadline, and servers got all the time of its route.
TEST_F(PlatformEntryWithoutTime, ARequestWithoutTimeIsRefusedAtOnce) {
  const auto Got = finish(call("POST", "/once/a", "r1"));
  EXPECT_EQ(Got->m_Status, 503);
  EXPECT_EQ(receivedCount("r1"), 0U);
}

// Failure: callers that came before the first version of the configuration were
// all given the same retry-after time and returned together.
TEST_F(PlatformEntryWithoutRoutes, RefusedCallersReturnAtDifferentTimes) {
  std::set<std::string> Times;
  constexpr int Callers = 20;
  for (int Count = 0; Count < Callers; ++Count) {
    const auto Got =
        finish(call("GET", "/plain/a", "r" + std::to_string(Count)));
    EXPECT_EQ(Got->m_Status, 503);
    Times.emplace(net::findHeader(Got->m_Headers, "Retry-After"));
  }
  EXPECT_GT(Times.size(), Callers / 2U);
}

// For each fault of all servers but one and each type of request: a request
// that must not run twice runs at most once, and "not run" is reported only if
// no server ran the request.
TEST_F(PlatformEntry, KeepsItsGuaranteesWithEachServerFault) {
  int Next = 0;
  for (const Behavior Mode :
       {Behavior::NotRun, Behavior::WrongServer, Behavior::ServerError,
        Behavior::Unsigned, Behavior::Reset, Behavior::NoContentLength,
        Behavior::ResetNoContentLength, Behavior::ForeignResponse,
        Behavior::Extra, Behavior::Malformed})
    for (const std::string Path : {"/plain/", "/once/", "/stream/"}) {
      setAll(Behavior::Serve);
      for (const auto &Each : m_Servers)
        if (Each != m_Servers.back())
          Each->m_Behavior = Mode;
      for (int Count = 0; Count < 4; ++Count) {
        const std::string Id = "q" + std::to_string(++Next);
        const auto Got = finish(call("POST", Path + "x", Id));
        std::string What = Id;
        What.append(" ").append(Path).append(" fault ");
        What.append(std::to_string(static_cast<int>(Mode)));
        if (Path == "/once/")
          EXPECT_LE(runs(Id), 1) << What;
        if (reportsNotRun(Got->m_Status))
          EXPECT_EQ(runs(Id), 0) << What;
        if (Got->m_Status != 200 || Got->m_Broken)
          continue;
        EXPECT_FALSE(
            net::findHeader(Got->m_Headers, "Response-Signature").empty())
            << What;
        EXPECT_EQ(net::findHeader(Got->m_Headers, "Attempt-Id"), Id) << What;
        if (Path == "/stream/" && Got->m_Body.starts_with("id:"))
          EXPECT_EQ(Got->m_Body, events(1, 5)) << What;
        else
          EXPECT_TRUE(Got->m_Body.starts_with("body of " + Id)) << What;
      }
    }
}

// Failure: a server repeated an earlier refusal on an open connection. It was
// taken for the response to a request that the server was running: the caller
// was told that it had not run, or it ran at a second server.
TEST_F(PlatformEntry, ARepeatedRefusalIsNotTakenForAResponse) {
  int Next = 0;
  for (const Behavior Mode :
       {Behavior::StaleRefusal, Behavior::UnnamedRefusal,
        Behavior::UnnamedWrongServer, Behavior::LateRefusal}) {
    setAll(Mode);
    for (int Count = 0; Count < 8; ++Count) {
      const std::string Id = "n" + std::to_string(++Next);
      const auto Got = finish(call("POST", "/once/a", Id));
      const std::string What =
          Id + " " + std::to_string(static_cast<int>(Mode));
      EXPECT_EQ(runs(Id), 1) << What;
      EXPECT_EQ(Got->m_Status, 200) << What;
      EXPECT_TRUE(Got->m_Body.starts_with("body of " + Id)) << What;
    }
  }
}

TEST_F(PlatformEntry, AResetResponseWithoutLengthIsIncomplete) {
  setAll(Behavior::ResetNoContentLength);
  EXPECT_NE(finish(call("POST", "/once/a", "r1"))->m_Status, 200);
  setAll(Behavior::NoContentLength);
  const auto Got = finish(call("POST", "/once/a", "r2"));
  EXPECT_EQ(Got->m_Status, 200);
  EXPECT_TRUE(Got->m_Body.starts_with("body of r2"));
}

TEST_F(PlatformEntry, ResumesStreamsAtAnotherServer) {
  for (const auto &Each : m_Servers)
    Each->m_Events = 8;
  m_Servers[0]->m_Behavior = Behavior::TruncatedStream;
  m_Servers[1]->m_Behavior = Behavior::TruncatedStream;
  for (int Count = 0; Count < 6; ++Count) {
    const auto Got =
        finish(call("POST", "/stream/a", "s" + std::to_string(Count)));
    EXPECT_FALSE(Got->m_Broken);
    EXPECT_EQ(Got->m_Body, events(1, 8));
  }
}

// Failure: after a stream had broken off, the error of the next server became
// part of it, or the stream ended as if it were complete.
TEST_F(PlatformEntry, OnlyEventsOfTheSameStreamFollowAnInterruption) {
  constexpr int Events = 8;
  for (const auto &Each : m_Servers) {
    Each->m_Events = Events;
    Each->m_EventPause = 40;
  }
  int Next = 0;
  for (const Behavior Mode :
       {Behavior::ClientError, Behavior::Redirect, Behavior::OtherContent,
        Behavior::ErrorEvents, Behavior::Restarted, Behavior::Skipping,
        Behavior::ServerError, Behavior::NotRun, Behavior::WrongServer,
        Behavior::Unsigned, Behavior::Malformed, Behavior::ForeignResponse,
        Behavior::NoContentLength, Behavior::UnnamedRefusal}) {
    setAll(Behavior::TruncatedStream);
    const std::string Id = "b" + std::to_string(++Next);
    const auto Got = call("POST", "/stream/a", Id);
    // The stream breaks off within its third event.
    runUntil([&Got] { return Got->m_Body == events(1, 2); });
    setAll(Mode);
    finish(Got);
    const std::string What = Id + " " + std::to_string(static_cast<int>(Mode));
    EXPECT_EQ(Got->m_Body, events(1, 2)) << What;
    EXPECT_TRUE(Got->m_Broken) << What;
  }
  setAll(Behavior::Serve);
  for (const auto &Each : m_Servers)
    Each->m_EventPause = 5;
  EXPECT_EQ(finish(call("POST", "/stream/a", "last"))->m_Body,
            events(1, Events));
}

TEST_F(PlatformEntry, CutsOffAnAtMostOnceStreamInsteadOfRetrying) {
  setAll(Behavior::TruncatedStream);
  const auto Got = finish(call("POST", "/stream/once/a", "s1"));
  EXPECT_TRUE(Got->m_Broken);
  EXPECT_EQ(runs("s1"), 1);
}

TEST_F(PlatformEntry, ForwardsEventsAsTheyArrive) {
  for (const auto &Each : m_Servers) {
    Each->m_Events = 3;
    Each->m_EventPause = 400;
  }
  const auto Got = call("POST", "/stream/a", "s1");
  runUntil([&Got] { return !Got->m_Body.empty(); });
  EXPECT_FALSE(Got->m_Ended);
  EXPECT_EQ(Got->m_Body, events(1, 1));
  finish(Got);
  EXPECT_EQ(Got->m_Body, events(1, 3));
}

// Failure: after open connections to servers had gone silent, each attempt of a
// request was sent on another silent one although new connections worked.
TEST_F(PlatformEntry, ARequestOnASilentConnectionIsRepeatedOnANewOne) {
  constexpr int Requests = 12;
  std::vector<AnswerPtr> Answers;
  Answers.reserve(Requests);
  for (int Count = 0; Count < Requests; ++Count)
    Answers.push_back(call("GET", "/plain/a", "w" + std::to_string(Count)));
  for (const AnswerPtr &Each : Answers)
    EXPECT_EQ(finish(Each)->m_Status, 200);
  for (const auto &Each : m_Servers) {
    EXPECT_GT(Each->m_Connections, 0);
    Each->silenceOpenConnections();
  }
  // It may run twice where a server takes long for other reasons.
  EXPECT_EQ(finish(call("GET", "/plain/a", "r1"))->m_Status, 200);
  EXPECT_GE(runs("r1"), 1);
}

TEST_F(PlatformEntry, ADisconnectedCallerCancelsItsRequest) {
  setAll(Behavior::NoResponse);
  const auto Got = call("POST", "/once/a", "r1");
  runUntil([this] { return receivedCount("r1") == 1; });
  m_LastCancel.cancel();
  runUntil([this] {
    int CutOff = 0;
    for (const auto &Each : m_Servers)
      CutOff += Each->m_Disconnects;
    return CutOff == 1;
  });
  EXPECT_FALSE(Got->m_Ended);
}

TEST_F(PlatformEntry, ReusesConnectionsToServers) {
  for (int Count = 0; Count < 20; ++Count)
    finish(call("GET", "/plain/a", "r" + std::to_string(Count)));
  int Connections = 0;
  for (const auto &Each : m_Servers)
    Connections += Each->m_Connections;
  EXPECT_LE(Connections, 3);
}

TEST_F(PlatformEntry, ADrainingServerGetsNoNewRequests) {
  m_Store.put("keyed.servers", "i-0", m_Servers[0]->record("draining"));
  m_Store.put("keyed.servers", "i-1", std::nullopt);
  const std::size_t Last = m_Servers[2]->m_Received.size();
  int Next = 0;
  runUntil([&] {
    const std::size_t Before =
        m_Servers[0]->m_Received.size() + m_Servers[1]->m_Received.size();
    for (int Count = 0; Count < 6; ++Count)
      finish(call("GET", "/plain/a", "d" + std::to_string(++Next)));
    return m_Servers[0]->m_Received.size() + m_Servers[1]->m_Received.size() ==
           Before;
  });
  EXPECT_GT(m_Servers[2]->m_Received.size(), Last);
}

TEST_F(PlatformEntry, AppliesNewVersionsAndNeverOlderOnes) {
  publish(2, "/added/");
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    runUntil([&] {
      return finish(call("GET", "/added/a", "v", {}, "key-1", Entry))
                 ->m_Status == 200;
    });
  publish(1);
  m_Store.put("keyed.op", "config", "{\"version\":9,\"routes\":5}");
  m_Store.dropHistory("keyed.op");
  runUntil([this] {
    return metric(0, "corneldeck_configuration_rejected_total") >= 1;
  });
  for (int Count = 0; Count < 30; ++Count)
    EXPECT_EQ(finish(call("GET", "/added/a", "w"))->m_Status, 200);
}

TEST_F(PlatformEntry, ServesWhileTheStoreIsUnavailable) {
  m_Store.m_Faults.m_Unavailable = true;
  for (int Count = 0; Count < 20; ++Count)
    EXPECT_EQ(finish(call("GET", "/plain/a", "r"))->m_Status, 200);
  EXPECT_TRUE(isReady(0));
  m_Store.m_Faults.m_Unavailable = false;
  publish(2, "/added/");
  runUntil(
      [&] { return finish(call("GET", "/added/a", "v"))->m_Status == 200; });
}

TEST_F(PlatformEntry, IgnoresMalformedServerRecords) {
  m_Store.put("keyed.servers", "bad-1", "\x01\x02");
  m_Store.put("keyed.servers", "bad-2", "{\"backend\":7}");
  m_Store.put("keyed.servers", "bad-3",
              "{\"backend\":\"svc\",\"address\":\"nowhere\","
              "\"lifecycle-state\":\"ready\"}");
  m_Store.put("keyed.servers", "i-0", std::nullopt);
  const std::size_t Before = m_Servers[0]->m_Received.size();
  for (int Count = 0; Count < 40; ++Count)
    EXPECT_EQ(finish(call("GET", "/plain/a", "r"))->m_Status, 200);
  EXPECT_LT(m_Servers[0]->m_Received.size(), Before + 40);
}

namespace {

/// Returns a record of a server with another field.
std::string withField(std::string Record, const std::string &Name,
                      const std::string &Value) {
  std::string Field = "\"";
  Field.append(Name).append("\":").append(Value).append(",");
  return Record.insert(1, Field);
}

std::string withCapacity(std::string Record, const std::string &Value) {
  const std::string Field = "\"capacity\":8";
  return Record.replace(Record.find(Field), Field.size(),
                        "\"capacity\":" + Value);
}

int countOf(const std::string &Text, const std::string &Part) {
  int Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

} // namespace

// Failure: one odd record of another writer among those of the servers ended
// the processes that read it, or kept them from following the list.
TEST_F(PlatformEntry, OddRecordsDoNotKeepEntriesFromFollowingTheList) {
  testing::internal::CaptureStdout();
  constexpr std::size_t Depth = 100'000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  const std::string Valid = m_Servers[0]->record();
  const auto At = [&](const std::string &Port) {
    std::string Record = Valid;
    const std::string &Address = m_Servers[0]->address();
    return Record.replace(Record.find(Address), Address.size(),
                          "127.0.0.1:" + Port);
  };
  const std::vector<std::pair<std::string, std::string>> Odd = {
      {"odd-nested", withField(Valid, "extra", Nested)},
      {"odd-open", std::string(Depth, '{')},
      {"odd-large", withField(Valid, "warmup-remaining-ms", "1e400")},
      {"odd-capacity", withCapacity(Valid, "-1")},
      {"odd-port", At("65536")},
      {"odd-zero", At("0")},
      {"odd\r\nX-Injected: 1", Valid},
      {"odd-\xff\xfe", Valid},
      {"\xf0odd", Valid}};
  const auto Write = [&] {
    for (const auto &[Key, Record] : Odd)
      m_Store.put("keyed.servers", Key, Record);
  };
  Write();
  m_Store.dropHistory("keyed.servers");
  m_Entries[1].reset();
  startEntry(1);
  runUntil([this] { return isReady(1); });
  Write();
  // Lines of requests could use up the rate limit of the log.
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    runUntil([&] {
      return metric(Entry, "corneldeck_unreadable_servers") >=
             static_cast<double>(Odd.size());
    });
  m_Store.put("keyed.servers", "i-0", m_Servers[0]->record("draining", 2));
  int Next = 0;
  for (int Entry = 0; Entry < m_EntryCount; ++Entry)
    runUntil([&] {
      const std::size_t Before = m_Servers[0]->m_Received.size();
      for (int Count = 0; Count < 9; ++Count)
        EXPECT_EQ(finish(call("GET", "/plain/a", "o" + std::to_string(++Next),
                              {}, "key-1", Entry))
                      ->m_Status,
                  200);
      return m_Servers[0]->m_Received.size() == Before;
    });
  for (const ReceivedRequest &Each : m_Servers[0]->m_Received) {
    EXPECT_EQ(Each.m_Headers.at("Expected-Instance"), "i-0");
    EXPECT_EQ(Each.m_Headers.count("X-Injected"), 0U);
  }
  const std::string Output = testing::internal::GetCapturedStdout();
  for (const char *Key :
       {"odd-nested", "odd-large", "odd-capacity", "odd-port", "odd-zero"}) {
    const int Lines = countOf(Output, "key=" + std::string(Key) + " ");
    // Entry 1 was started twice.
    EXPECT_GE(Lines, 2) << Key;
    EXPECT_LE(Lines, 3) << Key;
  }
}

TEST_F(PlatformEntry, ListsLiveEntriesOnly) {
  runUntil([this] { return addresses(0).size() == 2; });
  runUntil([this] { return addresses(1).size() == 2; });
  bool Stopped = false;
  m_Entries[1]->beginStop([&Stopped] { Stopped = true; });
  runUntil([this] { return addresses(0).size() == 1; });
  EXPECT_EQ(addresses(0)[0], m_Settings[0].m_CallerAddress);
  EXPECT_FALSE(isReady(1));
  // Callers that still use its address are served until the process ends.
  EXPECT_EQ(finish(call("GET", "/plain/a", "r1", {}, "key-1", 1))->m_Status,
            200);
  runUntil([&Stopped] { return Stopped; });
}

} // namespace corneldeck::tests

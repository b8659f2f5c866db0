#include "Direct/AdmissionQueue.h"
#include "Direct/ServerPool.h"

#include <gtest/gtest.h>

namespace corneldeck::direct {

namespace {

using Type = ServerNotices::Change::Type;

BackendServer server(const std::string &Id, std::uint64_t StartTime = 1) {
  BackendServer Made;
  Made.m_Id = Id;
  Made.m_Service = "s";
  Made.m_Address = "10.0.0.1:" + std::to_string(1000 + Id.back());
  Made.m_Zone = "a";
  Made.m_Capacity = 4;
  Made.m_StartTime = StartTime;
  return Made;
}

class ServerNoticesTest : public testing::Test {
protected:
  void SetUp() override {
    m_Pool.notices().onChange([this](const ServerNotices::Change &Change) {
      m_Changes.push_back(Change.m_Type);
    });
    list({server("s1"), server("s2")});
  }

  void list(const std::vector<BackendServer> &Servers) {
    m_Pool.replaceServers(Servers, m_Now);
  }

  /// Records a response of a server to a request that was sent just now.
  void respond(const std::string &Id, const ServerNotice &Notice,
               std::uint64_t StartTime = 1) {
    m_Pool.notices().recordResponse(Id, StartTime, Notice, m_Now, m_Now);
  }
  void leave(const std::string &Id, std::uint64_t StartTime = 1) {
    respond(Id, {.m_IsLeaving = true}, StartTime);
  }
  void pause(const std::string &Id, base::Millis Duration) {
    respond(Id, {.m_Pause = {PauseField::Kind::Named, Duration}});
  }
  void accept(const std::string &Id) { respond(Id, {.m_IsAccepted = true}); }

  /// Returns how often a server is chosen in \p Count choices that are not
  /// followed by a request.
  int choices(const std::string &Id, int Count = 40) {
    int Chosen = 0;
    for (int Index = 0; Index < Count; ++Index) {
      const BackendServer *Each = m_Pool.chooseServer("s", {}, m_Now, m_Rng);
      Chosen += Each && Each->m_Id == Id ? 1 : 0;
    }
    return Chosen;
  }
  bool isUsable(const std::string &Id) {
    return m_Pool.availability(Id, m_Now) == ServerAvailability::Available;
  }

  base::Millis m_Now = base::seconds(100);
  base::Random m_Rng{7};
  ServerPool m_Pool{"a"};
  std::vector<Type> m_Changes;
};

} // namespace

// Failure: a server that said that it leaves was sent requests until the list
// of servers said so too.
TEST_F(ServerNoticesTest, AServerThatLeavesIsNotChosen) {
  EXPECT_GT(choices("s1"), 0);
  leave("s1");
  EXPECT_EQ(choices("s1"), 0);
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Capacity, 4U);
  EXPECT_EQ(m_Changes, std::vector{Type::Leaving});
}

// Failure: the choice among servers in backoff returned one that leaves.
TEST_F(ServerNoticesTest, AServerThatLeavesIsNotChosenInBackoff) {
  for (const std::string Id : {"s1", "s2"})
    m_Pool.recordOutcome(Id, ServerOutcome::Unreachable, {}, m_Now);
  leave("s1");
  EXPECT_EQ(choices("s1"), 0);
  EXPECT_GT(choices("s2"), 0);
  leave("s2");
  EXPECT_EQ(choices("s2"), 0);
}

// Failure: a new or an older list made a server that leaves usable again.
TEST_F(ServerNoticesTest, LeavingEndsOnlyWithALaterStart) {
  list({server("s1", 5), server("s2")});
  leave("s1", 5);
  list({server("s1", 5), server("s2"), server("s3")});
  EXPECT_FALSE(isUsable("s1"));
  list({server("s2")});
  m_Now += base::minutes(2);
  list({server("s1", 5)});
  EXPECT_FALSE(isUsable("s1"));
  list({server("s1", 4)});
  EXPECT_FALSE(isUsable("s1"));
  list({server("s1", 6)});
  EXPECT_TRUE(isUsable("s1"));
  EXPECT_EQ(m_Changes, (std::vector{Type::Leaving, Type::Returned}));
}

// Failure: an entry with an older list ignored a server that leaves, and used
// it again with the next list.
TEST_F(ServerNoticesTest, AnOlderListDoesNotHideTheLatestStart) {
  list({server("s1", 9)});
  list({server("s1", 5)});
  leave("s1", m_Pool.notices().startTime("s1"));
  list({server("s1", 9)});
  EXPECT_FALSE(isUsable("s1"));
}

// Failure: a late response of an earlier start made the new one unusable.
TEST_F(ServerNoticesTest, AnEarlierStartSaysNothingAboutALaterOne) {
  list({server("s1", 9)});
  leave("s1", 5);
  EXPECT_TRUE(isUsable("s1"));
  m_Pool.notices().applyStatement({"s1", 5}, "e2", m_Now);
  EXPECT_TRUE(isUsable("s1"));
}

// Failure: entries without a response of the server continued to use it.
TEST_F(ServerNoticesTest, EntriesTellEachOtherWhichServersLeave) {
  leave("s1");
  const auto Statements = m_Pool.notices().statements();
  ASSERT_EQ(Statements.size(), 1U);
  ServerPool Other("b");
  Other.notices().applyStatement(Statements[0], "e1", m_Now);
  Other.replaceServers({server("s1"), server("s2")}, m_Now);
  EXPECT_EQ(Other.availability("s1", m_Now), ServerAvailability::Unavailable);
  // Only entries that received such a response send the statement.
  EXPECT_TRUE(Other.notices().statements().empty());
}

// Failure: a server that wanted no requests for some time was sent some.
TEST_F(ServerNoticesTest, APausedServerIsNotChosen) {
  pause("s1", base::seconds(3));
  m_Pool.recordOutcome("s2", ServerOutcome::Unreachable, {}, m_Now);
  EXPECT_EQ(choices("s1"), 0);
  m_Now += base::Millis(3000);
  EXPECT_EQ(choices("s1"), 0);
  m_Now += base::Millis(1);
  EXPECT_TRUE(isUsable("s1"));
}

// Failure: a shorter later pause, a success that was under way or a restart
// ended a pause early.
TEST_F(ServerNoticesTest, APauseEndsByItsTimeAlone) {
  pause("s1", base::seconds(3));
  pause("s1", base::seconds(1));
  pause("s1", base::Millis(0));
  accept("s1");
  list({server("s1", 7), server("s2")});
  m_Now += base::Millis(3000);
  EXPECT_FALSE(isUsable("s1"));
}

TEST_F(ServerNoticesTest, ALongPauseIsBounded) {
  pause("s1", base::seconds(1'000'000'000));
  m_Now += ServerNoticeSettings().m_MaxPause + base::Millis(1);
  EXPECT_TRUE(isUsable("s1"));
}

// Failure: all waiting requests were sent to a server as soon as its pause had
// ended.
TEST_F(ServerNoticesTest, FewRequestsAreSentAfterAPause) {
  pause("s1", base::seconds(1));
  m_Now += base::Millis(1001);
  m_Pool.attemptStarted("s1", 0, m_Now);
  EXPECT_FALSE(isUsable("s1"));
  m_Now += ServerNoticeSettings().m_TrialInterval;
  EXPECT_TRUE(isUsable("s1"));
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Capacity, 5U);
  m_Pool.attemptStarted("s1", 0, m_Now);
  accept("s1");
  EXPECT_TRUE(isUsable("s1"));
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_Capacity, 8U);
  EXPECT_EQ(m_Changes, (std::vector{Type::Paused, Type::Resumed}));
}

// Failure: a server that had named its pauses was avoided for long after them,
// since each refusal counted as a failure too.
TEST_F(ServerNoticesTest, ARefusalWithAPauseDoesNotLowerTheScore) {
  for (int Round = 0; Round < 5; ++Round) {
    pause("s1", base::seconds(1));
    m_Pool.recordOutcome("s1", ServerOutcome::Refused, {}, m_Now);
    m_Now += base::seconds(6);
  }
  EXPECT_GT(choices("s1"), 0);
}

// Failure: each of many entries tried a server that stayed full as soon as
// each pause had ended.
TEST_F(ServerNoticesTest, RepeatedPausesAreExtended) {
  const ServerNoticeSettings Settings;
  pause("s1", base::seconds(1));
  m_Now += base::Millis(1001);
  pause("s1", base::seconds(1));
  EXPECT_EQ(m_Pool.notices().pauseRemaining("s1", m_Now),
            base::Millis(1001) + Settings.m_PauseExtension);
  m_Now += base::Millis(1001) + Settings.m_PauseExtension;
  accept("s1");
  pause("s1", base::seconds(1));
  EXPECT_EQ(m_Pool.notices().pauseRemaining("s1", m_Now),
            base::Millis(1001) + Settings.m_PauseExtension * 2);
  m_Now += base::minutes(1);
  pause("s1", base::seconds(1));
  EXPECT_EQ(m_Pool.notices().pauseRemaining("s1", m_Now), base::Millis(1001));
}

// Failure: a server that had restarted was avoided for the extension of the
// pauses of its earlier start.
TEST_F(ServerNoticesTest, AnExtensionEndsWithALaterStart) {
  pause("s1", base::seconds(1));
  m_Now += base::Millis(1001);
  pause("s1", base::seconds(1));
  list({server("s1", 2), server("s2")});
  EXPECT_EQ(m_Pool.notices().pauseRemaining("s1", m_Now), base::Millis(1001));
  m_Now += base::Millis(1001);
  EXPECT_TRUE(isUsable("s1"));
}

// Failure: requests waited although no server would accept one, and the
// Retry-After of callers ended before the pause.
TEST_F(ServerNoticesTest, CallersReturnAfterTheFirstPause) {
  pause("s1", base::seconds(9));
  pause("s2", base::seconds(5));
  const auto Usage = m_Pool.usage("s", m_Now);
  EXPECT_TRUE(Usage.isUnwanted());
  EXPECT_EQ(Usage.m_PauseRemaining, base::Millis(5001));
  const AdmissionQueue Queue;
  EXPECT_GT(Queue.retryAfter("s", Usage, m_Rng), base::seconds(5));
  leave("s2");
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_PauseRemaining, base::Millis(9001));
  leave("s1");
  EXPECT_TRUE(m_Pool.usage("s", m_Now).isUnwanted());
  EXPECT_LE(Queue.retryAfter("s", m_Pool.usage("s", m_Now), m_Rng),
            AdmissionQueueSettings().m_MaxRetryAfter);
}

TEST_F(ServerNoticesTest, AServerInBackoffIsStillWanted) {
  pause("s1", base::seconds(9));
  m_Pool.recordOutcome("s2", ServerOutcome::Silent, {}, m_Now);
  EXPECT_FALSE(m_Pool.usage("s", m_Now).isUnwanted());
}

// Failure: requests of other entries at a paused server used up the capacity of
// the others.
TEST_F(ServerNoticesTest, RequestsAtAPausedServerUseNoOtherPlace) {
  m_Pool.setPeerLoads("e2", {{"s1", {4, 0}}}, m_Now);
  pause("s1", base::seconds(9));
  EXPECT_EQ(m_Pool.usage("s", m_Now).m_InFlight, 0U);
}

TEST_F(ServerNoticesTest, ReportsEachInvalidPauseOnce) {
  const PauseField Invalid = {PauseField::Kind::Invalid, {}, "soon"};
  respond("s1", {.m_Pause = Invalid});
  respond("s1", {.m_Pause = Invalid});
  EXPECT_TRUE(isUsable("s1"));
  EXPECT_EQ(m_Changes, std::vector{Type::Invalid});
}

} // namespace corneldeck::direct

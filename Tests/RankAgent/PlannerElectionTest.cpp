#include "RankAgent/PlannerElection.h"

#include <gtest/gtest.h>

namespace corneldeck::rankagent {

namespace {

/// Topic in memory that can be unavailable or lose replies.
class FakeTopic {
public:
  feed::KeyedLogClient port() {
    feed::KeyedLogClient Port;
    Port.m_ReadSnapshot =
        [this](
            const std::string &, const std::string &,
            const std::function<void()> &,
            const std::function<void(base::Result<feed::SnapshotPage>)> &Done) {
          if (m_Unavailable) {
            Done(base::failure(base::ResultCode::LogUnavailable, "down"));
            return;
          }
          feed::SnapshotPage Page;
          Page.m_EndOffset = m_Records.size();
          Page.m_Era = m_Era;
          if (!m_Records.empty())
            Page.m_Records.push_back(m_Records.back());
          if (m_BeforeReply)
            std::exchange(m_BeforeReply, nullptr)();
          Done(Page);
        };
    Port.m_Append =
        [this](
            const std::string &, const feed::KeyedRecord &Record,
            std::optional<std::uint64_t> At,
            const std::function<void(base::Result<feed::LogPosition>)> &Done) {
          if (At && *At != m_Records.size()) {
            Done(base::failure(base::ResultCode::RejectedVersion, "elsewhere"));
            return;
          }
          feed::KeyedRecord Added = Record;
          Added.m_Offset = m_Records.size();
          m_Records.push_back(Added);
          if (m_LoseReply)
            Done(base::failure(base::ResultCode::PublishUnknown, "lost"));
          else
            Done(feed::LogPosition{m_Era, Added.m_Offset});
        };
    return Port;
  }

  std::vector<feed::KeyedRecord> m_Records;
  std::uint64_t m_Era = 0;
  bool m_Unavailable = false;
  bool m_LoseReply = false;
  /// Called once between reading the topic and the reply.
  std::function<void()> m_BeforeReply;
};

ElectionSettings settings() {
  ElectionSettings Settings;
  Settings.m_Topic = "planners";
  Settings.m_RetryDelay = base::Millis(0);
  return Settings;
}

/// Returns the term of the claim with the number \p Number in an era.
std::uint64_t term(std::uint64_t Number, std::uint64_t Era = 0) {
  return Number << 8U | Era;
}

const base::Millis AfterTimeout = base::seconds(1'000'000'000);

/// Elections of the planner of group "g".
class PlannerElectionTest : public testing::Test {
protected:
  /// \returns the election as seen by \p Node. Its wins are recorded in m_Wins
  /// and m_Term.
  PlannerElection election(const std::string &Node) {
    return {m_Port, settings(), Node, [this](std::uint64_t Term) {
              ++m_Wins;
              m_Term = Term;
            }};
  }

  FakeTopic m_Log;
  const feed::KeyedLogClient m_Port = m_Log.port();
  int m_Wins = 0;
  std::uint64_t m_Term = 0;
};

} // namespace

TEST_F(PlannerElectionTest, WaitsUntilPlannerTimesOut) {
  m_Log.m_Records.push_back({0, "g", "n2 1"});
  PlannerElection Election = election("n1");
  Election.tick("g", 0, base::seconds(10), 1, base::seconds(10));
  Election.tick("g", 0, base::seconds(10), 1, base::seconds(11));
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
  Election.tick("g", 0, base::seconds(10), 1, AfterTimeout);
  EXPECT_EQ(m_Term, term(1));
}

TEST_F(PlannerElectionTest, ClaimsGroupWithoutPlannerAtOnce) {
  PlannerElection Election = election("n1");
  Election.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, term(1));
}

TEST_F(PlannerElectionTest, ReclaimsAfterOwnProcessRestarts) {
  m_Log.m_Records.push_back({0, "g", "n1 7"});
  PlannerElection Election = election("n1");
  Election.tick("g", 3, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, term(1));
}

TEST_F(PlannerElectionTest, LaterNodeWaitsForPlanner) {
  PlannerElection First = election("n1");
  PlannerElection Second = election("n2");
  const base::Millis Now = base::steadyClock().now();
  // Both processes started long before their engines reported the group.
  const base::Millis Started = Now - base::seconds(60);
  First.tick("g", 0, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now + base::Millis(30));
  EXPECT_EQ(m_Wins, 1);
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
}

TEST_F(PlannerElectionTest, DistinguishesNodesWithCommonNamePrefix) {
  m_Log.m_Records.push_back({0, "g", "n12 1"});
  PlannerElection Election = election("n1");
  Election.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Wins, 0);
}

TEST_F(PlannerElectionTest, OneOfTwoConcurrentClaimsWins) {
  PlannerElection First = election("n1");
  PlannerElection Second = election("n2");
  m_Log.m_BeforeReply = [&] { Second.tick("g", 0, {}, 0, AfterTimeout); };
  First.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 1);
  ASSERT_EQ(m_Log.m_Records.size(), 1U);
  EXPECT_TRUE(m_Log.m_Records[0].m_Value->starts_with("n2"));
}

TEST_F(PlannerElectionTest, WaitsForPlannerThatHasJustClaimed) {
  m_Log.m_Records.push_back({0, "g", "n2 1"});
  PlannerElection Election = election("n1");
  Election.tick("g", 0, {}, 0, AfterTimeout);
  m_Log.m_Records.push_back({1, "g", "n3 1"});
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 0);
  EXPECT_EQ(m_Log.m_Records.size(), 2U);
  // The claimant never made contact, so the next attempt takes over.
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 1);
}

TEST_F(PlannerElectionTest, LostReplyDoesNotWin) {
  m_Log.m_LoseReply = true;
  PlannerElection Election = election("n1");
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 0);
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
}

TEST_F(PlannerElectionTest, DoesNotClaimWhileLogIsUnavailable) {
  m_Log.m_Unavailable = true;
  PlannerElection Election = election("n1");
  for (int Count = 0; Count < 5; ++Count)
    Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 0);
  m_Log.m_Unavailable = false;
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 1);
}

TEST_F(PlannerElectionTest, EachClaimHasALaterTerm) {
  PlannerElection Election = election("n1");
  for (std::uint64_t Number = 1; Number <= 300; ++Number) {
    Election.tick("g", 0, {}, m_Term, AfterTimeout);
    EXPECT_EQ(m_Term, term(Number));
  }
}

// Failure: after the log had returned with an older copy, a new planner had an
// earlier term than the one before, and the ranks ignored it.
TEST_F(PlannerElectionTest, ANewPlannerHasALaterTermInALogWithoutItsClaims) {
  m_Log.m_Era = 1;
  PlannerElection First = election("n1");
  for (int Count = 0; Count < 5; ++Count)
    First.tick("g", 0, {}, m_Term, AfterTimeout);
  const std::uint64_t Before = m_Term;
  m_Log.m_Records.resize(1);
  m_Log.m_Era = 2;
  PlannerElection Second = election("n2");
  for (int Count = 0; Count < 2; ++Count)
    Second.tick("g", 1, {}, Before, AfterTimeout);
  EXPECT_EQ(m_Wins, 6);
  EXPECT_GT(m_Term, Before);
}

// Failure: two planners had the same term if the second had received no message
// of the first, and the ranks followed both.
TEST_F(PlannerElectionTest, TwoPlannersNeverHaveTheSameTerm) {
  m_Log.m_Era = 1;
  PlannerElection First = election("n1");
  First.tick("g", 0, {}, 0, AfterTimeout);
  const std::uint64_t Lost = m_Term;
  m_Log.m_Records.clear();
  m_Log.m_Era = 2;
  PlannerElection Second = election("n2");
  Second.tick("g", 1, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 2);
  EXPECT_NE(m_Term, Lost);
}

// Failure: a claim that was prepared on the log counted, although it was
// appended to the older copy with which the log had returned meanwhile.
TEST_F(PlannerElectionTest, AClaimInAnotherEraDoesNotWin) {
  m_Log.m_Era = 1;
  PlannerElection Election = election("n1");
  m_Log.m_BeforeReply = [this] { m_Log.m_Era = 2; };
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 0);
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
  // The claimant of that claim gets the time to make contact.
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 0);
  Election.tick("g", 0, {}, 0, AfterTimeout);
  EXPECT_EQ(m_Wins, 1);
}

} // namespace corneldeck::rankagent

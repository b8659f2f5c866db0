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
            const std::function<void(base::Result<feed::SnapshotPage>)> &Done) {
          if (m_Unavailable) {
            Done(base::failure(base::ResultCode::LogUnavailable, "down"));
            return;
          }
          feed::SnapshotPage Page;
          Page.m_EndOffset = m_Records.size();
          if (!m_Records.empty())
            Page.m_Records.push_back(m_Records.back());
          if (m_BeforeReply)
            std::exchange(m_BeforeReply, nullptr)();
          Done(Page);
        };
    Port.m_Append =
        [this](const std::string &, const feed::KeyedRecord &Record,
               std::optional<std::uint64_t> At,
               const std::function<void(base::Result<std::uint64_t>)> &Done) {
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
            Done(Added.m_Offset);
        };
    return Port;
  }

  std::vector<feed::KeyedRecord> m_Records;
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
  EXPECT_EQ(m_Term, 2U);
}

TEST_F(PlannerElectionTest, ClaimsGroupWithoutPlannerAtOnce) {
  PlannerElection Election = election("n1");
  Election.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, 1U);
}

TEST_F(PlannerElectionTest, ReclaimsAfterOwnProcessRestarts) {
  m_Log.m_Records.push_back({0, "g", "n1 7"});
  PlannerElection Election = election("n1");
  Election.tick("g", 3, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, 2U);
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

} // namespace corneldeck::rankagent

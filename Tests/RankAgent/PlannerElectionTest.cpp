#include "RankAgent/PlannerElection.h"

#include <gtest/gtest.h>

namespace corneldeck::rankagent {

namespace {

/// A topic in memory whose answers can be lost.
class Topic {
public:
  feed::LogPort port() {
    feed::LogPort Port;
    Port.m_Newest =
        [this](
            const std::string &, const std::string &,
            const std::function<void(base::Result<feed::NewestPage>)> &Done) {
          if (m_Down) {
            Done(base::failure(base::ResultCode::LogUnavailable, "down"));
            return;
          }
          feed::NewestPage Page;
          Page.m_EndOffset = m_Records.size();
          if (!m_Records.empty())
            Page.m_Records.push_back(m_Records.back());
          if (m_BeforeAnswer)
            std::exchange(m_BeforeAnswer, nullptr)();
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
          if (m_LoseAnswer)
            Done(base::failure(base::ResultCode::PublishUnknown, "lost"));
          else
            Done(Added.m_Offset);
        };
    return Port;
  }

  std::vector<feed::KeyedRecord> m_Records;
  bool m_Down = false;
  bool m_LoseAnswer = false;
  /// Runs between a reading of the topic and its answer.
  std::function<void()> m_BeforeAnswer;
};

ElectionSettings terms() {
  ElectionSettings Terms;
  Terms.m_Topic = "planners";
  Terms.m_RetryPause = base::Millis(0);
  return Terms;
}

const base::Millis Late = base::seconds(1'000'000'000);

/// A node that may become the planner of group "g".
class PlannerElectionTest : public testing::Test {
protected:
  /// \returns a lease whose wins are counted in m_Won and m_Term.
  PlannerElection lease(const std::string &Node) {
    return {m_Port, terms(), Node, [this](std::uint64_t Term) {
              ++m_Won;
              m_Term = Term;
            }};
  }

  Topic m_Log;
  const feed::LogPort m_Port = m_Log.port();
  int m_Won = 0;
  std::uint64_t m_Term = 0;
};

} // namespace

TEST_F(PlannerElectionTest, WaitsUntilPlannerTimesOut) {
  m_Log.m_Records.push_back({0, "g", "n2 1"});
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 0, base::seconds(10), 1, base::seconds(10));
  Lease.tick("g", 0, base::seconds(10), 1, base::seconds(11));
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
  Lease.tick("g", 0, base::seconds(10), 1, Late);
  EXPECT_EQ(m_Term, 2U);
}

TEST_F(PlannerElectionTest, ClaimsGroupWithoutPlannerAtOnce) {
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, 1U);
}

TEST_F(PlannerElectionTest, ReclaimsAfterOwnProcessRestarts) {
  m_Log.m_Records.push_back({0, "g", "n1 7"});
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 3, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Term, 2U);
}

TEST_F(PlannerElectionTest, LaterNodeWaitsForPlannerToReport) {
  PlannerElection First = lease("n1");
  PlannerElection Second = lease("n2");
  const base::Millis Now = base::steadyClock().now();
  // Both run for long already when their engines name the group.
  const base::Millis Started = Now - base::seconds(60);
  First.tick("g", 0, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now + base::Millis(30));
  EXPECT_EQ(m_Won, 1);
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
}

TEST_F(PlannerElectionTest, DistinguishesNodesWithCommonNamePrefix) {
  m_Log.m_Records.push_back({0, "g", "n12 1"});
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(m_Won, 0);
}

TEST_F(PlannerElectionTest, OneOfTwoConcurrentClaimsWins) {
  PlannerElection First = lease("n1");
  PlannerElection Second = lease("n2");
  m_Log.m_BeforeAnswer = [&] { Second.tick("g", 0, {}, 0, Late); };
  First.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 1);
  ASSERT_EQ(m_Log.m_Records.size(), 1U);
  EXPECT_TRUE(m_Log.m_Records[0].m_Value->starts_with("n2"));
}

TEST_F(PlannerElectionTest, WaitsForPlannerThatHasJustClaimed) {
  m_Log.m_Records.push_back({0, "g", "n2 1"});
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 0, {}, 0, Late);
  m_Log.m_Records.push_back({1, "g", "n3 1"});
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 0);
  EXPECT_EQ(m_Log.m_Records.size(), 2U);
  // It was never heard, so the next look takes over.
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 1);
}

TEST_F(PlannerElectionTest, LostAnswerIsNotAWin) {
  m_Log.m_LoseAnswer = true;
  PlannerElection Lease = lease("n1");
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 0);
  EXPECT_EQ(m_Log.m_Records.size(), 1U);
}

TEST_F(PlannerElectionTest, DoesNotClaimWhileLogIsUnavailable) {
  m_Log.m_Down = true;
  PlannerElection Lease = lease("n1");
  for (int Count = 0; Count < 5; ++Count)
    Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 0);
  m_Log.m_Down = false;
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(m_Won, 1);
}

} // namespace corneldeck::rankagent

#include "RankAgent/PlannerLease.h"

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

LeaseTerms terms() {
  LeaseTerms Terms;
  Terms.m_Topic = "planners";
  Terms.m_RetryPause = base::Millis(0);
  return Terms;
}

const base::Millis Late = base::seconds(1'000'000'000);

} // namespace

TEST(PlannerLease, WaitsUntilThePlannerIsSilent) {
  Topic Log;
  Log.m_Records.push_back({0, "g", "n2 1"});
  const feed::LogPort Port = Log.port();
  std::uint64_t Term = 0;
  PlannerLease Lease(Port, terms(), "n1",
                     [&](std::uint64_t Won) { Term = Won; });
  Lease.tick("g", 0, base::seconds(10), 1, base::seconds(10));
  Lease.tick("g", 0, base::seconds(10), 1, base::seconds(11));
  EXPECT_EQ(Log.m_Records.size(), 1U);
  Lease.tick("g", 0, base::seconds(10), 1, Late);
  EXPECT_EQ(Term, 2U);
}

TEST(PlannerLease, ClaimsAGroupWithoutAPlannerAtOnce) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  std::uint64_t Term = 0;
  PlannerLease Lease(Port, terms(), "n1",
                     [&](std::uint64_t Won) { Term = Won; });
  Lease.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(Term, 1U);
}

TEST(PlannerLease, GoesOnAfterItsOwnProcessEnded) {
  Topic Log;
  Log.m_Records.push_back({0, "g", "n1 7"});
  const feed::LogPort Port = Log.port();
  std::uint64_t Term = 0;
  PlannerLease Lease(Port, terms(), "n1",
                     [&](std::uint64_t Won) { Term = Won; });
  Lease.tick("g", 3, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(Term, 2U);
}

TEST(PlannerLease, ANodeThatStartsLaterLeavesThePlannerTimeToBeHeard) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  int Won = 0;
  PlannerLease First(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  PlannerLease Second(Port, terms(), "n2", [&](std::uint64_t) { ++Won; });
  const base::Millis Now = base::steadyClock().now();
  // Both run for long already when their engines name the group.
  const base::Millis Started = Now - base::seconds(60);
  First.tick("g", 0, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now);
  Second.tick("g", 1, Started, 0, Now + base::Millis(30));
  EXPECT_EQ(Won, 1);
  EXPECT_EQ(Log.m_Records.size(), 1U);
}

TEST(PlannerLease, ANameThatBeginsAlikeIsAnotherNode) {
  Topic Log;
  Log.m_Records.push_back({0, "g", "n12 1"});
  const feed::LogPort Port = Log.port();
  int Won = 0;
  PlannerLease Lease(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  Lease.tick("g", 0, base::seconds(10), 0, base::seconds(10));
  EXPECT_EQ(Won, 0);
}

TEST(PlannerLease, OneOfTwoThatReadTheSameWins) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  int Won = 0;
  PlannerLease First(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  PlannerLease Second(Port, terms(), "n2", [&](std::uint64_t) { ++Won; });
  Log.m_BeforeAnswer = [&] { Second.tick("g", 0, {}, 0, Late); };
  First.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 1);
  ASSERT_EQ(Log.m_Records.size(), 1U);
  EXPECT_TRUE(Log.m_Records[0].m_Value->starts_with("n2"));
}

TEST(PlannerLease, LeavesTimeToOneThatHasJustClaimed) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  Log.m_Records.push_back({0, "g", "n2 1"});
  int Won = 0;
  PlannerLease Lease(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  Lease.tick("g", 0, {}, 0, Late);
  Log.m_Records.push_back({1, "g", "n3 1"});
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 0);
  EXPECT_EQ(Log.m_Records.size(), 2U);
  // It was never heard, so the next look takes over.
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 1);
}

TEST(PlannerLease, ALostAnswerIsNoClaim) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  Log.m_LoseAnswer = true;
  int Won = 0;
  PlannerLease Lease(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 0);
  EXPECT_EQ(Log.m_Records.size(), 1U);
}

TEST(PlannerLease, NobodyTakesOverWhileTheLogIsAway) {
  Topic Log;
  const feed::LogPort Port = Log.port();
  Log.m_Down = true;
  int Won = 0;
  PlannerLease Lease(Port, terms(), "n1", [&](std::uint64_t) { ++Won; });
  for (int Count = 0; Count < 5; ++Count)
    Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 0);
  Log.m_Down = false;
  Lease.tick("g", 0, {}, 0, Late);
  EXPECT_EQ(Won, 1);
}

} // namespace corneldeck::rankagent

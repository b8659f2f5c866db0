#include "RankGroup/ReportCollector.h"
#include "RankGroup/GroupTraffic.h"

#include <gtest/gtest.h>
#include <set>

namespace corneldeck::rankgroup {

namespace {

constexpr base::Millis Start{1000};

wire::GroupReport report(std::uint32_t Rank, std::uint64_t Round,
                         std::vector<std::uint64_t> Chosen = {}) {
  wire::GroupReport Message;
  wire::RankReport &Report = *Message.add_ranks();
  Report.set_rank(Rank);
  Report.set_round(Round);
  Message.mutable_chosen()->Add(Chosen.begin(), Chosen.end());
  return Message;
}

std::vector<wire::RankAddress> addresses(std::uint32_t Count) {
  std::vector<wire::RankAddress> All(Count);
  for (std::uint32_t Rank = 0; Rank < Count; ++Rank)
    All[Rank].set_rank(Rank);
  return All;
}

} // namespace

TEST(ReportCollector, SendsOneMessageWhenAllRanksHaveReplied) {
  ReportCollector Collector;
  Collector.beginRound(4, 3);
  Collector.add(report(0, 4, {1, 2}), Start);
  Collector.add(report(1, 4, {10, 20}), Start);
  EXPECT_FALSE(Collector.takeDue(Start));
  Collector.add(report(2, 4, {100, 200}), Start);
  const auto Message = Collector.takeDue(Start);
  ASSERT_TRUE(Message);
  EXPECT_EQ(Message->ranks_size(), 3);
  ASSERT_EQ(Message->chosen_size(), 2);
  EXPECT_EQ(Message->chosen(0), 111U);
  EXPECT_EQ(Message->chosen(1), 222U);
  EXPECT_FALSE(Collector.takeDue(Start + base::seconds(1)));
}

// Guards against reports that are kept back because another rank is silent.
TEST(ReportCollector, SendsIncompleteRoundAfterTimeout) {
  CollectorSettings Settings;
  ReportCollector Collector(Settings);
  Collector.beginRound(4, 3);
  Collector.add(report(0, 4), Start);
  Collector.add(report(1, 4), Start + base::Millis(3));
  EXPECT_EQ(Collector.dueAt(), Start + Settings.m_RoundTimeout);
  const auto Message = Collector.takeDue(Start + Settings.m_RoundTimeout);
  ASSERT_TRUE(Message);
  EXPECT_EQ(Message->ranks_size(), 2);
}

TEST(ReportCollector, SendsUrgentReportSoon) {
  CollectorSettings Settings;
  ReportCollector Collector(Settings);
  Collector.beginRound(4, 3);
  wire::GroupReport Urgent = report(0, 3);
  Urgent.set_urgent(true);
  Collector.add(Urgent, Start);
  const auto Message = Collector.takeDue(Start + Settings.m_UrgentDelay);
  ASSERT_TRUE(Message);
  EXPECT_TRUE(Message->urgent());
}

// Guards against the loss of a rank's experts if its next report arrives before
// the first one was sent on.
TEST(ReportCollector, KeepsExpertsOfReplacedReport) {
  ReportCollector Collector;
  Collector.beginRound(1, 3);
  wire::GroupReport WithExperts = report(0, 1);
  WithExperts.mutable_ranks(0)->add_held(5);
  Collector.add(WithExperts, Start);
  Collector.add(report(0, 1), Start);
  const auto Message = Collector.takeDue(Start + base::seconds(1));
  ASSERT_TRUE(Message);
  EXPECT_EQ(Message->ranks(0).held_size(), 1);
}

TEST(GroupTraffic, EachAgentIsInOneBranch) {
  for (const std::uint32_t Count : {0U, 1U, 7U, 8U, 9U, 62U, 500U}) {
    const auto Branches = divideIntoBranches(addresses(Count), 8);
    EXPECT_LE(Branches.size(), 8U);
    std::set<std::uint32_t> Seen;
    std::size_t Total = 0;
    for (const RelayBranch &Each : Branches) {
      Seen.insert(Each.m_Relay.rank());
      for (const wire::RankAddress &Other : Each.m_Descendants)
        Seen.insert(Other.rank());
      Total += 1 + Each.m_Descendants.size();
    }
    EXPECT_EQ(Total, Count);
    EXPECT_EQ(Seen.size(), Count);
  }
}

TEST(GroupTraffic, FanoutAndIntervalFollowBandwidth) {
  TrafficLimits Limits;
  Limits.m_LinkBytesPerMs = 1000;
  EXPECT_EQ(Limits.fanout(4000), 10U);
  EXPECT_EQ(Limits.fanout(40000), 2U);
  EXPECT_EQ(Limits.fanout(10), Limits.m_MaxFanout);
  EXPECT_EQ(Limits.reportInterval(10, 4000), base::Millis(200));
  EXPECT_EQ(relayDepth(63, 8), 2U);
  EXPECT_EQ(relayDepth(12, 16), 1U);
  EXPECT_EQ(Limits.distributionTime(63, 4000), base::Millis(80));
}

} // namespace corneldeck::rankgroup

#include "Claims/ClaimTable.h"

#include "Base/ResultCode.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using namespace corneldeck::claims;
using base::Millis;

namespace {

const ClaimKey Key{1, 2};

wire::End answer(const std::string &Body) {
  wire::End End;
  End.set_ran(wire::RAN_YES);
  End.set_body(Body);
  return End;
}

} // namespace

TEST(ClaimTable, KeepsTheFirstAnswerForTheRetentionWindow) {
  ClaimTable Table({});
  ASSERT_TRUE(Table.claim(Millis(0), Millis(0), Key, 7, 1));
  Table.markFinished(Key, answer("first"));
  Table.expire(base::minutes(10));
  ASSERT_NE(Table.find(Key), nullptr);
  const wire::End Duplicate = Table.duplicateAnswer(*Table.find(Key));
  EXPECT_EQ(Duplicate.body(), "first");
  EXPECT_TRUE(Duplicate.duplicate());
  Table.expire(base::minutes(11));
  EXPECT_EQ(Table.find(Key), nullptr);
  EXPECT_EQ(Table.answerBytes(), 0U);
}

TEST(ClaimTable, DoesNotExpireARunningClaim) {
  ClaimTable Table({});
  ASSERT_TRUE(Table.claim(Millis(0), Millis(0), Key, 7, 1));
  Table.expire(base::minutes(60));
  EXPECT_NE(Table.find(Key), nullptr);
}

TEST(ClaimTable, RefusesNewClaimsWhenFull) {
  ClaimSettings Settings;
  Settings.m_MaxClaims = 1;
  ClaimTable Table(Settings);
  ASSERT_TRUE(Table.claim(Millis(0), Millis(0), Key, 7, 1));
  EXPECT_FALSE(Table.claim(Millis(0), Millis(0), {3, 4}, 7, 2));
}

TEST(ClaimTable, ReportsRanWithoutAnswerIfTheAnswerIsTooLarge) {
  ClaimSettings Settings;
  Settings.m_MaxAnswerBytes = 4;
  ClaimTable Table(Settings);
  ASSERT_TRUE(Table.claim(Millis(0), Millis(0), Key, 7, 1));
  Table.markFinished(Key, answer("long answer"));
  const wire::End Duplicate = Table.duplicateAnswer(*Table.find(Key));
  EXPECT_EQ(Duplicate.code(),
            static_cast<unsigned>(base::ResultCode::AnswerNotKept));
  EXPECT_EQ(Duplicate.ran(), wire::RAN_YES);
}

TEST(ClaimTable, RemembersWhenAKeyWasReportedNotRun) {
  ClaimTable Table({});
  Table.recordNotRun(Millis(100), Key);
  EXPECT_TRUE(Table.notRunReportedSince(Key, Millis(100)));
  EXPECT_FALSE(Table.notRunReportedSince(Key, Millis(101)));
}

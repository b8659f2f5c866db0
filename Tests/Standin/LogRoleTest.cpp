#include "Standin/LogRole.h"
#include "Net/Base64.h"
#include "Standin/RoleFixture.h"

namespace corneldeck::standin {

namespace {

class LogRoleTest : public RoleFixture<LogRole> {
protected:
  void SetUp() override { start(); }

  std::string dataAt(const nlohmann::json &Answer, std::size_t Index) {
    return net::decodeBase64(
               Answer["records"][Index]["data"].get<std::string>())
        .value_or("not base64");
  }
};

TEST_F(LogRoleTest, KeepsRecordsInOrder) {
  EXPECT_EQ(ask("/append", std::string("a\0b", 3))["offset"], 1);
  EXPECT_EQ(ask("/append", "second")["offset"], 2);
  const auto Answer = ask("/read?from=1&limit=10");
  EXPECT_EQ(Answer["oldest"], 1);
  EXPECT_EQ(Answer["next"], 3);
  EXPECT_EQ(dataAt(Answer, 0), std::string("a\0b", 3));
  EXPECT_EQ(dataAt(Answer, 1), "second");
  EXPECT_EQ(ask("/read?from=2&limit=1")["records"].size(), 1U);
}

TEST_F(LogRoleTest, HoldsAReaderUntilARecordComes) {
  std::optional<std::string> Body;
  net::HttpCall Call = call("/read?from=1&wait_ms=60000");
  Call.m_Address = m_Address;
  Call.m_Timeout = base::seconds(60);
  m_Client.fetch(Call, [&](auto Answer) { Body = Answer->m_Body; });
  EXPECT_EQ(ask("/append", "late")["offset"], 1);
  runUntil([&] { return Body.has_value(); });
  EXPECT_EQ(dataAt(nlohmann::json::parse(*Body), 0), "late");
}

TEST_F(LogRoleTest, DropsOldRecords) {
  order(R"({"retain_records":2})");
  for (const char *Data : {"1", "2", "3"})
    ask("/append", Data);
  const auto Answer = ask("/read?from=1");
  EXPECT_EQ(Answer["oldest"], 2);
  EXPECT_EQ(Answer["records"][0]["offset"], 2);
}

TEST_F(LogRoleTest, LosesAnswersOfAppendsThatLanded) {
  order(R"({"lose_answers":1})");
  EXPECT_EQ(fetch(call("/append", "x")).error().m_Code,
            base::ResultCode::OutcomeUnknown);
  EXPECT_EQ(ask("/read")["next"], 2);
}

TEST_F(LogRoleTest, LosesAppends) {
  order(R"({"lose_appends":1})");
  EXPECT_FALSE(fetch(call("/append", "x")));
  EXPECT_EQ(ask("/read")["next"], 1);
}

TEST_F(LogRoleTest, RefusesAppendsOverItsRate) {
  order(R"({"append_rate":0})");
  EXPECT_EQ(statusOf("/append", "x"), 429);
}

TEST_F(LogRoleTest, IsOutAsOrdered) {
  order(R"({"outage":"refuse"})");
  EXPECT_EQ(statusOf("/read"), 503);
  order(R"({"outage":"close"})");
  EXPECT_EQ(statusOf("/read"), 0);
  order(R"({"outage":"hang"})");
  net::HttpCall Call = call("/read");
  Call.m_Timeout = base::Millis(30);
  EXPECT_EQ(fetch(Call).error().m_Code, base::ResultCode::Timeout);
  order(R"({"outage":"none"})");
  EXPECT_EQ(statusOf("/read"), 200);
}

TEST_F(LogRoleTest, RefusesWrongOrdersWhole) {
  EXPECT_EQ(statusOf("/faults", R"({"append_rate":0,"unknown":1})"), 400);
  EXPECT_EQ(statusOf("/faults", R"({"outage":"sometimes"})"), 400);
  EXPECT_EQ(statusOf("/faults", R"({"delay_ms":-1})"), 400);
  EXPECT_EQ(statusOf("/faults", "[]"), 400);
  EXPECT_EQ(statusOf("/append", "x"), 200);
}

} // namespace

} // namespace corneldeck::standin

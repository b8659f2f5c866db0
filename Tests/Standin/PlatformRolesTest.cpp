#include "Standin/RoleFixture.h"
#include "Standin/ServiceRole.h"
#include "Standin/VmListRole.h"
#include "Standin/WeightStoreRole.h"

namespace corneldeck::standin {

namespace {

using ServiceRoleTest = RoleFixture<ServiceRole>;
using VmListRoleTest = RoleFixture<VmListRole>;
using WeightStoreRoleTest = RoleFixture<WeightStoreRole>;

TEST_F(ServiceRoleTest, CountsRuns) {
  start();
  net::HttpCall Call = call("/remit", "{}");
  Call.m_Headers.push_back({"Idempotency-Key", "k1"});
  ASSERT_TRUE(fetch(Call));
  const auto Runs = ask("/runs");
  EXPECT_EQ(Runs["count"], 1);
  EXPECT_EQ(Runs["runs"][0]["key"], "k1");
  EXPECT_EQ(Runs["runs"][0]["path"], "/remit");
}

TEST_F(ServiceRoleTest, FailsBeforeOrAfterTheRun) {
  start();
  order(R"({"fail_before":1})");
  EXPECT_FALSE(fetch(call("/remit", "{}")));
  EXPECT_EQ(ask("/runs")["count"], 0);
  order(R"({"fail_after":1})");
  EXPECT_FALSE(fetch(call("/remit", "{}")));
  EXPECT_EQ(ask("/runs")["count"], 1);
}

TEST_F(VmListRoleTest, ShowsTheListOfAWhileAgo) {
  start();
  const std::string Vms =
      R"({"vms":[{"name":"vm-1","zone":"ikeja","address":"127.0.0.1",)"
      R"("state":"leaving"}]})";
  EXPECT_EQ(statusOf("/vms", Vms), 200);
  EXPECT_EQ(ask("/vms")["vms"][0]["state"], "leaving");
  order(R"({"lag_ms":60000})");
  EXPECT_EQ(ask("/vms")["vms"].size(), 0U);
  EXPECT_EQ(statusOf("/vms", R"({"vms":[{"name":"vm-1"}]})"), 400);
}

TEST_F(WeightStoreRoleTest, SharesItsRate) {
  start();
  order(R"({"bytes_per_s":1000})");
  net::HttpCall Slow = call("/weights?name=e1&bytes=1000000");
  Slow.m_Timeout = base::Millis(50);
  EXPECT_EQ(fetch(Slow).error().m_Code, base::ResultCode::Timeout);
  Slow.m_Target = "/weights?name=e2&bytes=1";
  EXPECT_EQ(fetch(Slow).error().m_Code, base::ResultCode::Timeout);
}

TEST_F(WeightStoreRoleTest, AnswersWhatFits) {
  start();
  EXPECT_EQ(ask("/weights?name=e%201&bytes=10")["name"], "e 1");
}

} // namespace

} // namespace corneldeck::standin

#include "Status/StatusPages.h"
#include "Net/HttpFixture.h"

namespace corneldeck::status {

namespace {

class StatusPagesTest : public net::HttpFixture {
protected:
  void SetUp() override {
    serve([this](const auto &Exchange) {
      if (!m_Pages.handle(*Exchange))
        Exchange->respond(404, {}, "");
    });
  }

  net::HttpClient::Response get(const std::string &Target) {
    net::HttpCall Call;
    Call.m_Target = Target;
    const auto Answer = fetch(Call);
    EXPECT_TRUE(Answer);
    return Answer.value_or(net::HttpClient::Response{});
  }

  metrics::Registry m_Metrics;
  base::Timeline m_Events{"entry-1", 10};
  Readiness m_Ready{false, "no catalogue"};
  StatusPages m_Pages{m_Metrics, m_Events, [this] { return m_Ready; }};
};

TEST_F(StatusPagesTest, ReportsHealthAndReadinessSeparately) {
  EXPECT_EQ(get("/health").m_Status, 200);
  EXPECT_EQ(get("/ready").m_Status, 503);
  m_Ready.m_Ready = true;
  EXPECT_EQ(get("/ready").m_Status, 200);
  EXPECT_EQ(get("/else").m_Status, 404);
}

TEST_F(StatusPagesTest, ServesMetrics) {
  m_Metrics.counter("runs_total", "Runs.").add(2);
  EXPECT_NE(get("/metrics").m_Body.find("runs_total 2\n"), std::string::npos);
}

TEST_F(StatusPagesTest, ServesTimeLineThatCanBeParsed) {
  m_Events.record(base::EventId::LinkUp, {{"peer", "a\xff"}});
  const auto Events = timelineFromJson(get("/timeline?x=1").m_Body);
  ASSERT_TRUE(Events);
  ASSERT_EQ(Events->size(), 1U);
  EXPECT_EQ((*Events)[0].m_Id, base::EventId::LinkUp);
  EXPECT_EQ((*Events)[0].m_Stamp, m_Events.events()[0].m_Stamp);
  EXPECT_FALSE(timelineFromJson("{}"));
  EXPECT_FALSE(timelineFromJson(R"({"events":[{"stamp":"x"}]})"));
}

} // namespace

} // namespace corneldeck::status

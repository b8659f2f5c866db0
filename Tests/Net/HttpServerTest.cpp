#include "Net/HttpFixture.h"

namespace corneldeck::net {

namespace {

using HttpServerTest = HttpFixture;

void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(200, {},
                    std::string(Exchange->target()) + Exchange->body());
}

TEST_F(HttpServerTest, AnswersOverOneConnection) {
  serve(echo);
  for (int Round = 0; Round < 3; ++Round) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Target = "/x";
    Call.m_Body = "body" + std::to_string(Round);
    const auto Answer = fetch(Call);
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->m_Body, "/x" + Call.m_Body);
  }
  EXPECT_EQ(m_Server->connections(), 1U);
}

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  std::vector<std::shared_ptr<HttpExchange>> Held;
  serve([&](auto Exchange) { Held.push_back(std::move(Exchange)); });
  Socket Raw = connect();
  const std::string Two = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                          "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(Raw, boost::asio::buffer(Two));
  runUntil([&] { return !Held.empty(); });
  m_Context.poll();
  ASSERT_EQ(Held.size(), 1U);
  Held[0]->respond(200, {}, "first");
  ASSERT_EQ(Held.size(), 2U);
  Held[1]->respond(200, {}, "second");
  const std::string Text = readAll(Raw, "second");
  EXPECT_LT(Text.find("first"), Text.find("second"));
}

TEST_F(HttpServerTest, StreamsPieces) {
  serve([](const auto &Exchange) {
    Exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    for (int Index = 0; Index < 100; ++Index)
      Exchange->writeChunk("data: " + std::to_string(Index) + "\n\n");
    Exchange->endStream();
  });
  const auto Answer = fetch({});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(findHeader(Answer->m_Headers, "content-type"), "text/event-stream");
  EXPECT_TRUE(Answer->m_Body.ends_with("data: 99\n\n"));
}

TEST_F(HttpServerTest, EndsAStreamToAnOldCallerByClosing) {
  serve([](const auto &Exchange) {
    Exchange->startStream(200, {});
    Exchange->writeChunk("whole");
    Exchange->endStream();
  });
  const std::string Text = exchange("GET / HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(Text.ends_with("\r\n\r\nwhole")) << Text;
}

TEST_F(HttpServerTest, TellsThatTheCallerWentAway) {
  std::shared_ptr<HttpExchange> Held;
  bool Gone = false;
  serve([&](auto Exchange) {
    Held = std::move(Exchange);
    Held->onClosed([&] { Gone = true; });
  });
  HttpCall Call;
  Call.m_Address = m_Address;
  HttpCallHandle Cancel = m_Client.request(Call, {});
  runUntil([&] { return Held != nullptr; });
  EXPECT_EQ(m_Server->requestsInFlight(), 1U);
  Cancel.cancel();
  runUntil([&] { return Gone; });
  EXPECT_FALSE(Held->writeChunk("late"));
  EXPECT_EQ(m_Server->requestsInFlight(), 0U);
}

TEST_F(HttpServerTest, AnswersForADroppedExchange) {
  serve([](const auto &) {});
  const auto Answer = fetch({});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(findHeader(Answer->m_Headers, ResultCodeHeader), "499");
}

TEST_F(HttpServerTest, DescribesErrors) {
  serve([](const auto &Exchange) {
    Exchange->respondWithError({base::ResultCode::LimitExceeded,
                                "over \"the\" limit", base::Millis(1500)});
  });
  const auto Answer = fetch({});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->m_Status, 429);
  EXPECT_EQ(findHeader(Answer->m_Headers, RanHeader), "no");
  EXPECT_EQ(findHeader(Answer->m_Headers, "Retry-After"), "2");
  EXPECT_NE(Answer->m_Body.find(R"("code":110)"), std::string::npos);
}

TEST_F(HttpServerTest, ClosesAfterAnswersWhenStopping) {
  serve(echo);
  m_Server->closeAfterResponses();
  const std::string Text = exchange("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_NE(Text.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Text.ends_with("/a"));
}

} // namespace

} // namespace corneldeck::net

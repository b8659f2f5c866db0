#include "Net/HttpFixture.h"

namespace corneldeck::net {

namespace {

using HttpServerTest = HttpFixture;

void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(200, {},
                    std::string(Exchange->target()) + Exchange->body());
}

TEST_F(HttpServerTest, ReusesConnection) {
  serve(echo);
  for (int Round = 0; Round < 3; ++Round) {
    HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Target = "/x";
    Call.m_Body = "body" + std::to_string(Round);
    const auto Response = fetch(Call);
    ASSERT_TRUE(Response);
    EXPECT_EQ(Response->m_Body, "/x" + Call.m_Body);
  }
  EXPECT_EQ(m_Server->connections(), 1U);
}

TEST_F(HttpServerTest, RespondsToPipelinedRequestsInOrder) {
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  serve([&](auto Exchange) { Exchanges.push_back(std::move(Exchange)); });
  Socket Raw = connect();
  const std::string Two = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                          "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(Raw, boost::asio::buffer(Two));
  runUntil([&] { return !Exchanges.empty(); });
  m_Context.poll();
  ASSERT_EQ(Exchanges.size(), 1U);
  Exchanges[0]->respond(200, {}, "first");
  ASSERT_EQ(Exchanges.size(), 2U);
  Exchanges[1]->respond(200, {}, "second");
  const std::string Text = readAll(Raw, "second");
  EXPECT_LT(Text.find("first"), Text.find("second"));
}

TEST_F(HttpServerTest, StreamsBodyInPieces) {
  serve([](const auto &Exchange) {
    Exchange->startStream(200, {{"Content-Type", "text/event-stream"}});
    for (int Index = 0; Index < 100; ++Index)
      Exchange->writeChunk("data: " + std::to_string(Index) + "\n\n");
    Exchange->endStream();
  });
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(findHeader(Response->m_Headers, "content-type"),
            "text/event-stream");
  EXPECT_TRUE(Response->m_Body.ends_with("data: 99\n\n"));
}

TEST_F(HttpServerTest, EndsHttp10StreamByClosingConnection) {
  serve([](const auto &Exchange) {
    Exchange->startStream(200, {});
    Exchange->writeChunk("whole");
    Exchange->endStream();
  });
  const std::string Text = exchange("GET / HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(Text.ends_with("\r\n\r\nwhole")) << Text;
}

TEST_F(HttpServerTest, NotifiesWhenCallerDisconnects) {
  std::shared_ptr<HttpExchange> Received;
  bool Closed = false;
  serve([&](auto Exchange) {
    Received = std::move(Exchange);
    Received->onClosed([&] { Closed = true; });
  });
  HttpCall Call;
  Call.m_Address = m_Address;
  HttpCallHandle Handle = m_Client.request(Call, {});
  runUntil([&] { return Received != nullptr; });
  EXPECT_EQ(m_Server->requestsInFlight(), 1U);
  Handle.cancel();
  runUntil([&] { return Closed; });
  EXPECT_FALSE(Received->writeChunk("late"));
  EXPECT_EQ(m_Server->requestsInFlight(), 0U);
}

TEST_F(HttpServerTest, RespondsWithErrorForDroppedExchange) {
  serve([](const auto &) {});
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(findHeader(Response->m_Headers, ResultCodeHeader), "499");
}

TEST_F(HttpServerTest, DescribesErrors) {
  serve([](const auto &Exchange) {
    Exchange->respondWithError({base::ResultCode::LimitExceeded,
                                "over \"the\" limit", base::Millis(1500)});
  });
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->m_Status, 429);
  EXPECT_EQ(findHeader(Response->m_Headers, RanHeader), "no");
  EXPECT_EQ(findHeader(Response->m_Headers, "Retry-After"), "2");
  EXPECT_NE(Response->m_Body.find(R"("code":110)"), std::string::npos);
}

TEST_F(HttpServerTest, ClosesConnectionsAfterResponsesWhenStopping) {
  serve(echo);
  m_Server->closeAfterResponses();
  const std::string Text = exchange("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_NE(Text.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Text.ends_with("/a"));
}

} // namespace

} // namespace corneldeck::net

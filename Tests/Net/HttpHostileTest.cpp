#include "Net/HttpFixture.h"

namespace corneldeck::net {

namespace {

using HttpHostileTest = HttpFixture;

void respondFine(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(200, {}, "fine");
}

TEST_F(HttpHostileTest, RefusesOversizedHead) {
  serve(respondFine);
  const std::string Text =
      exchange("GET / HTTP/1.1\r\nA: " + std::string(100000, 'a'));
  EXPECT_TRUE(Text.starts_with("HTTP/1.1 413 ")) << Text;
  EXPECT_NE(Text.find("X-Corneldeck-Ran: no"), std::string::npos);
}

TEST_F(HttpHostileTest, RefusesOversizedBody) {
  HttpServerOptions Options;
  Options.m_MaxBodyBytes = 1000;
  serve(respondFine, Options);
  const std::string Announced =
      exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  EXPECT_TRUE(Announced.starts_with("HTTP/1.1 413 ")) << Announced;
  const std::string Chunked =
      exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
               std::string(1001, 'a'));
  EXPECT_TRUE(Chunked.starts_with("HTTP/1.1 413 ")) << Chunked;
}

TEST_F(HttpHostileTest, RefusesMalformedRequests) {
  serve(respondFine);
  for (const std::string Bad :
       {"\x16\x03\x01 hello\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"}) {
    const std::string Text = exchange(Bad);
    EXPECT_TRUE(Text.starts_with("HTTP/1.1 400 ")) << Bad << Text;
  }
}

TEST_F(HttpHostileTest, RefusesSlowSenders) {
  HttpServerOptions Options;
  Options.m_HeadTimeout = base::Millis(1);
  Options.m_BodyTimeout = base::Millis(1);
  serve(respondFine, Options);
  for (const std::string Partial :
       {"GET / HTTP/1.1\r\nA",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\na"}) {
    const std::string Text = exchange(Partial);
    EXPECT_TRUE(Text.starts_with("HTTP/1.1 408 ")) << Text;
  }
}

TEST_F(HttpHostileTest, ClosesIdleConnections) {
  HttpServerOptions Options;
  Options.m_IdleTimeout = base::Millis(1);
  serve(respondFine, Options);
  EXPECT_EQ(exchange(""), "");
}

TEST_F(HttpHostileTest, RefusesConnectionsOverLimit) {
  HttpServerOptions Options;
  Options.m_MaxConnections = 2;
  serve(respondFine, Options);
  const Socket First = connect();
  const Socket Second = connect();
  runUntil([&] { return m_Server->connections() == 2; });
  const std::string Text = exchange("");
  EXPECT_TRUE(Text.starts_with("HTTP/1.1 503 ")) << Text;
  EXPECT_NE(Text.find("Retry-After: 1"), std::string::npos);
}

TEST_F(HttpHostileTest, DisconnectsSlowReadersAtQueueLimit) {
  HttpServerOptions Options;
  Options.m_MaxQueuedBytes = 100000;
  bool Dropped = false;
  std::size_t MostQueued = 0;
  serve(
      [&](const auto &Exchange) {
        Exchange->startStream(200, {});
        const std::string Piece(1000, 'a');
        // The kernel buffers some megabytes before data is queued in the
        // process.
        for (int Index = 0; Index < 100000 && !Dropped; ++Index) {
          Dropped = !Exchange->writeChunk(Piece);
          MostQueued = std::max(MostQueued, Exchange->queuedBytes());
        }
      },
      Options);
  Socket Raw = connect();
  const std::string Text = "GET / HTTP/1.1\r\n\r\n";
  boost::asio::write(Raw, boost::asio::buffer(Text));
  runUntil([&] { return Dropped; });
  EXPECT_LE(MostQueued, Options.m_MaxQueuedBytes + 1100);
  EXPECT_EQ(m_Server->connections(), 0U);
}

TEST_F(HttpHostileTest, ServesRequestsBesideIdleConnections) {
  serve(respondFine);
  std::vector<Socket> Idle;
  for (int Index = 0; Index < 400; ++Index) {
    Idle.push_back(connect());
    runUntil([&] { return m_Server->connections() == Idle.size(); });
  }
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->m_Body, "fine");
}

} // namespace

} // namespace corneldeck::net

#include "Net/HttpFixture.h"

#include <chrono>
#include <vector>

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
  std::vector<std::shared_ptr<HttpExchange>> Waiting;
  serve([&Waiting](auto Exchange) { Waiting.push_back(std::move(Exchange)); },
        Options);
  const std::string Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  Socket First = connect();
  boost::asio::write(First, boost::asio::buffer(Request));
  Socket Second = connect();
  boost::asio::write(Second, boost::asio::buffer(Request));
  runUntil([&] { return Waiting.size() == 2; });
  const std::string Text = exchange("");
  EXPECT_TRUE(Text.starts_with("HTTP/1.1 503 ")) << Text;
  EXPECT_NE(Text.find("Retry-After: 1"), std::string::npos);
}

// Failure: idle connections kept all places, and other callers were refused
// until the idle timeout.
TEST_F(HttpHostileTest, ClosesTheLongestIdleConnectionAtTheLimit) {
  HttpServerOptions Options;
  Options.m_MaxConnections = 2;
  serve(respondFine, Options);
  Socket First = connect();
  runUntil([&] { return m_Server->connections() == 1; });
  // The order of idle connections is known to the millisecond.
  const auto Next =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(5);
  runUntil([&] { return std::chrono::steady_clock::now() >= Next; });
  const Socket Second = connect();
  runUntil([&] { return m_Server->connections() == 2; });
  const std::string Text =
      exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "fine");
  EXPECT_TRUE(Text.starts_with("HTTP/1.1 200 ")) << Text;
  EXPECT_EQ(readAll(First), "");
}

// Failure: trailers and extensions of chunks were kept without a bound.
TEST_F(HttpHostileTest, RefusesEndlessFramingOfBodies) {
  serve(respondFine);
  for (const std::string Start : {"1\r\na\r\n0\r\nA: ", "1;a="}) {
    const std::string Text =
        exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                 Start + std::string(64 * KiB, 'a'));
    EXPECT_TRUE(Text.starts_with("HTTP/1.1 413 ")) << Text;
    EXPECT_NE(Text.find("X-Corneldeck-Ran: no"), std::string::npos);
  }
}

// Failure: each body was within its limit, but together they filled the memory.
// The request that holds most is refused truthfully, and the account is empty
// when all connections are gone.
TEST_F(HttpHostileTest, RefusesTheLargestIncompleteRequestAboveTheBound) {
  HttpServerOptions Options;
  Options.m_Memory = std::make_shared<MemoryAccount>(100 * KiB);
  std::vector<CallerCutOff> CutOffs;
  Options.m_Memory->onCutOff(
      [&CutOffs](const CallerCutOff &Cut) { CutOffs.push_back(Cut); });
  serve(respondFine, Options);
  const auto Send = [this](std::size_t Bytes) {
    Socket Raw = connect();
    const std::string Text =
        "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
        std::string(Bytes, 'a');
    boost::asio::write(Raw, boost::asio::buffer(Text));
    return Raw;
  };
  {
    const Socket Small = Send(30'000);
    Socket Large = Send(90'000);
    const std::string Text = readAll(Large);
    EXPECT_TRUE(Text.starts_with("HTTP/1.1 503 ")) << Text;
    EXPECT_NE(Text.find("X-Corneldeck-Ran: no"), std::string::npos);
    ASSERT_EQ(CutOffs.size(), 1U);
    EXPECT_EQ(CutOffs[0].m_Limit, CallerLimit::Memory);
    EXPECT_GE(CutOffs[0].m_HeldBytes, 70'000U);
    EXPECT_GE(Options.m_Memory->total(), 30'000U);
    EXPECT_EQ(fetch({})->m_Body, "fine");
  }
  runUntil([this] { return m_Server->connections() <= 1; });
  EXPECT_EQ(Options.m_Memory->total(), 0U);
}

// Failure: responses to pipelined requests were queued without a bound.
TEST_F(HttpHostileTest, HandlesPipelinedRequestsAsResponsesAreRead) {
  int Handled = 0;
  serve([&Handled](const auto &Exchange) {
    ++Handled;
    Exchange->respond(200, {}, std::string(MiB, 'a'));
  });
  Socket Raw = connect();
  constexpr int Count = 100;
  std::string Text;
  for (int Index = 0; Index < Count; ++Index)
    Text += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(Raw, boost::asio::buffer(Text));
  for (int Step = 0; Step < 200; ++Step)
    m_Context.poll();
  // The system buffers some megabytes.
  EXPECT_LT(Handled, 20);
  std::vector<char> Piece(MiB);
  std::size_t Read = 0;
  Raw.non_blocking(true);
  while (Handled < Count || Read < Count * MiB) {
    boost::system::error_code Code;
    Read += Raw.read_some(boost::asio::buffer(Piece), Code);
    ASSERT_TRUE(!Code || Code == boost::asio::error::would_block);
    m_Context.poll();
  }
  EXPECT_EQ(Handled, Count);
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

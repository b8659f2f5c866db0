#include "Net/HttpFixture.h"

#include <chrono>
#include <set>
#include <vector>

namespace corneldeck::net {

namespace {

/// Serves raw bytes, to test the client against all kinds of server failures.
class HttpClientTest : public HttpFixture {
protected:
  void listenRaw() {
    m_Acceptor.emplace(m_Context, *parseEndpoint("127.0.0.1:0"));
    m_Address = formatEndpoint(m_Acceptor->local_endpoint());
  }

  /// Accepts one connection, reads a request, sends \p Response, and closes the
  /// connection if \p Close is set.
  void respondOnce(const std::string &Response, bool Close) {
    m_Acceptor->async_accept([this, Response, Close](const auto &, Socket Raw) {
      m_Raw.emplace(std::move(Raw));
      m_Raw->async_read_some(
          boost::asio::buffer(m_Piece),
          [this, Response, Close](const auto &, std::size_t) {
            ++m_Requests;
            boost::asio::write(*m_Raw, boost::asio::buffer(Response));
            if (Close)
              m_Raw->close();
          });
    });
  }

  base::ResultCode codeOf(const HttpCall &Call) {
    const auto Outcome = fetch(Call);
    return Outcome ? base::ResultCode::Ok : Outcome.error().m_Code;
  }

  std::optional<boost::asio::ip::tcp::acceptor> m_Acceptor;
  std::optional<Socket> m_Raw;
  std::array<char, 4096> m_Piece{};
  int m_Requests = 0;
};

TEST_F(HttpClientTest, ReportsConnectionFailedWithoutListener) {
  listenRaw();
  m_Acceptor->close();
  EXPECT_EQ(codeOf({}), base::ResultCode::ConnectionFailed);
  m_Address = "nonsense";
  EXPECT_EQ(codeOf({}), base::ResultCode::ConnectionFailed);
}

// Failure: a request was sent although it was no longer permitted by the time
// its connection was established, or on a connection that was already open.
TEST_F(HttpClientTest, ARequestIsNotSentIfItNoLongerMay) {
  int Received = 0;
  serve([&](const std::shared_ptr<HttpExchange> &Exchange) {
    ++Received;
    Exchange->respond(200, {}, "");
  });
  const auto SendOnce = [this](bool MaySend) {
    std::optional<base::Result<void>> Outcome;
    HttpCall Call;
    Call.m_Address = m_Address;
    HttpCallbacks Hooks;
    Hooks.m_MaySend = [MaySend] { return MaySend; };
    Hooks.m_OnEnd = [&](const base::Result<void> &Result) { Outcome = Result; };
    m_Client.request(std::move(Call), std::move(Hooks));
    runUntil([&] { return Outcome.has_value(); });
    return *Outcome;
  };
  const auto IsUnsent = [](const base::Result<void> &Outcome) {
    return !Outcome &&
           Outcome.error().m_Code == base::ResultCode::ConnectionFailed;
  };
  EXPECT_TRUE(IsUnsent(SendOnce(false)));
  EXPECT_TRUE(SendOnce(true).has_value());
  EXPECT_TRUE(IsUnsent(SendOnce(false)));
  EXPECT_TRUE(SendOnce(true).has_value());
  EXPECT_EQ(Received, 2);
}

TEST_F(HttpClientTest, ReportsOutcomeUnknownIfClosedBeforeResponse) {
  listenRaw();
  respondOnce("", true);
  EXPECT_EQ(codeOf({}), base::ResultCode::OutcomeUnknown);
  EXPECT_EQ(m_Requests, 1);
}

// Failure: a request that was cancelled before the server read it was delivered
// later.
TEST_F(HttpClientTest, ACancelledRequestIsNotDeliveredLater) {
  listenRaw();
  m_Acceptor->set_option(
      boost::asio::socket_base::receive_buffer_size(32 * KiB));
  m_Acceptor->async_accept(
      [this](const auto &, Socket Raw) { m_Raw.emplace(std::move(Raw)); });
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = m_Address;
  Call.m_Body.assign(1 * MiB, 'x');
  const std::size_t Size = Call.m_Body.size();
  auto Handle = m_Client.request(Call, {});
  runUntil([this] { return m_Raw && m_Raw->available() > 0; });
  // The rest goes to the send buffer of the operating system.
  while (m_Context.poll() > 0) {
  }
  Handle.cancel();
  m_Context.poll();
  std::size_t Received = 0;
  boost::system::error_code Code;
  while (!Code)
    Received += m_Raw->read_some(boost::asio::buffer(m_Piece), Code);
  EXPECT_LT(Received, Size);
}

TEST_F(HttpClientTest, ReportsOutcomeUnknownForMalformedResponse) {
  listenRaw();
  respondOnce("HTTP/x nonsense\r\n\r\n", false);
  EXPECT_EQ(codeOf({}), base::ResultCode::OutcomeUnknown);
}

TEST_F(HttpClientTest, ReportsStreamBrokenForTruncatedResponse) {
  listenRaw();
  respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true);
  EXPECT_EQ(codeOf({}), base::ResultCode::StreamBroken);
  respondOnce(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      true);
  EXPECT_EQ(codeOf({}), base::ResultCode::StreamBroken);
}

// Failure: the body of a refusal was taken for the progress of a read, so that
// entries that the log refused stayed its readers.
TEST_F(HttpClientTest, ARefusalIsNotProgress) {
  listenRaw();
  bool HasProgress = false;
  HttpCall Call;
  Call.m_OnProgress = [&HasProgress] { HasProgress = true; };
  for (const std::string Status : {"429 Too Many Requests", "200 OK"}) {
    respondOnce("HTTP/1.1 " + Status + "\r\nContent-Length: 4\r\n\r\nbody",
                true);
    Call.m_Address = m_Address;
    bool Ended = false;
    m_Client.fetch(
        Call, [&Ended](const base::Result<HttpResponse> &) { Ended = true; });
    runUntil([&Ended] { return Ended; });
    EXPECT_EQ(HasProgress, Status == "200 OK") << Status;
  }
}

// Failure: a body over the limit was read on until the timeout of the call.
TEST_F(HttpClientTest, ABodyOverTheLimitEndsTheConnection) {
  constexpr std::size_t Limit = 64 * KiB;
  // What the buffers of the system hold beside it.
  constexpr std::size_t MaxSentBytes = 16 * MiB;
  boost::asio::ip::tcp::acceptor Acceptor(m_Context,
                                          *parseEndpoint("127.0.0.1:0"));
  m_Address = formatEndpoint(Acceptor.local_endpoint());
  HttpClientOptions Options;
  Options.m_MaxBodyBytes = Limit;
  HttpClient Client(m_Context, Options);
  std::optional<base::Result<HttpResponse>> Outcome;
  Client.get(m_Address, "/", base::seconds(3),
             [&](auto Result) { Outcome = std::move(Result); });
  Socket Peer(m_Context);
  bool IsClosed = false;
  std::size_t Sent = 0;
  const std::string Block(64 * KiB, 'x');
  std::function<void()> SendMore = [&] {
    boost::asio::async_write(Peer, boost::asio::buffer(Block),
                             [&](const auto &Code, std::size_t Count) {
                               Sent += Count;
                               IsClosed = static_cast<bool>(Code);
                               if (!IsClosed && Sent <= 4 * MaxSentBytes)
                                 SendMore();
                             });
  };
  const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";
  Acceptor.async_accept(Peer, [&](const auto &) {
    boost::asio::write(Peer, boost::asio::buffer(Head));
    SendMore();
  });
  runUntil([&] { return Outcome.has_value() || Sent > 4 * MaxSentBytes; });
  runUntil([&] { return IsClosed || Sent > 4 * MaxSentBytes; });
  ASSERT_TRUE(Outcome.has_value());
  ASSERT_FALSE(*Outcome);
  EXPECT_EQ(Outcome->error().m_Code, base::ResultCode::StreamBroken);
  EXPECT_NE(Outcome->error().m_Message.find("65536"), std::string::npos);
  EXPECT_LE(Sent, MaxSentBytes);
}

TEST_F(HttpClientTest, TimesOutWithoutResponse) {
  listenRaw();
  respondOnce("", false);
  HttpCall Call;
  Call.m_Timeout = base::Millis(20);
  EXPECT_EQ(codeOf(Call), base::ResultCode::Timeout);
}

TEST_F(HttpClientTest, TimesOutIfStreamStalls) {
  listenRaw();
  respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false);
  HttpCall Call;
  Call.m_ReadTimeout = base::Millis(20);
  EXPECT_EQ(codeOf(Call), base::ResultCode::Timeout);
}

TEST_F(HttpClientTest, ReplacesClosedIdleConnection) {
  listenRaw();
  const std::string Response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  respondOnce(Response, false);
  EXPECT_EQ(codeOf({}), base::ResultCode::Ok);
  m_Raw->close();
  respondOnce(Response, false);
  EXPECT_EQ(codeOf({}), base::ResultCode::Ok);
  EXPECT_EQ(m_Requests, 2);
}

// Failure: open connections had gone silent, and each of them cost a timeout
// although new ones worked.
TEST_F(HttpClientTest, OneTimeoutShowsThatIdleConnectionsAreSilent) {
  constexpr int Connections = 3;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  std::set<std::string> SilentCallers;
  serve([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchanges.push_back(Exchange);
    if (SilentCallers.contains(Exchange->remoteAddress()))
      return;
    if (Exchanges.size() > Connections)
      Exchange->respond(200, {}, "ok");
  });
  int Responses = 0;
  for (int Count = 0; Count < Connections; ++Count)
    m_Client.get(m_Address, "/", base::seconds(10),
                 [&Responses](const auto &) { ++Responses; });
  runUntil([&] { return Exchanges.size() == Connections; });
  for (const auto &Each : Exchanges) {
    Each->respond(200, {}, "ok");
    SilentCallers.insert(Each->remoteAddress());
  }
  runUntil([&] { return Responses == Connections; });
  // Idle times are in milliseconds.
  m_Context.run_for(std::chrono::milliseconds(5));
  HttpCall Call;
  Call.m_ReadTimeout = base::Millis(50);
  EXPECT_EQ(codeOf(Call), base::ResultCode::Timeout);
  EXPECT_EQ(codeOf(Call), base::ResultCode::Ok);
}

TEST_F(HttpClientTest, SkipsInterimResponses) {
  listenRaw();
  respondOnce("HTTP/1.1 103 Early Hints\r\n\r\n"
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
              false);
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->m_Status, 200);
  EXPECT_EQ(Response->m_Body, "ok");
}

TEST_F(HttpClientTest, ReadsBodyUntilConnectionCloses) {
  listenRaw();
  respondOnce("HTTP/1.1 200 OK\r\n\r\nwhole", true);
  const auto Response = fetch({});
  ASSERT_TRUE(Response);
  EXPECT_EQ(Response->m_Body, "whole");
}

} // namespace

} // namespace corneldeck::net

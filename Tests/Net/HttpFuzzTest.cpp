#include "Base/Random.h"
#include "Net/HttpFixture.h"

namespace corneldeck::net {

namespace {

/// Fewer cases than for the other decoders, since each opens a connection.
constexpr int Cases = 300;

class HttpFuzzTest : public HttpFixture {
protected:
  void SetUp() override {
    HttpServerOptions Options;
    Options.m_MaxBodyBytes = 1000;
    serve([](const auto &Exchange) { Exchange->respond(200, {}, "fine"); },
          Options);
  }

  /// Sends \p Text, closes the sending side and reads until the server closes.
  std::string sendAll(const std::string &Text) {
    Socket Raw = connect();
    boost::system::error_code Code;
    boost::asio::write(Raw, boost::asio::buffer(Text), Code);
    Raw.shutdown(Socket::shutdown_send, Code);
    return readAll(Raw);
  }
};

TEST_F(HttpFuzzTest, RespondsOrClosesOnDamagedInput) {
  const std::string Valid = "POST /a?b=c HTTP/1.1\r\nHost: x\r\n"
                            "Content-Length: 4\r\nX-Customer: y\r\n\r\nbody"
                            "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked"
                            "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int Case = 0; Case < Cases; ++Case) {
    base::Random Numbers(static_cast<std::uint64_t>(Case));
    std::string Text = Valid;
    const std::size_t At = Numbers.below(Text.size());
    std::string Damage;
    for (std::uint64_t Left = Numbers.below(8); Left > 0; --Left)
      Damage += static_cast<char>(Numbers.below(256));
    Text.replace(At, Numbers.below(12), Damage);
    const std::string Response = sendAll(Text);
    if (!Response.empty()) {
      EXPECT_TRUE(Response.starts_with("HTTP/1.1 ")) << Case << Response;
    }
  }
  const auto Other = fetch({});
  ASSERT_TRUE(Other);
  EXPECT_EQ(Other->m_Body, "fine");
  EXPECT_EQ(m_Server->requestsInFlight(), 0U);
}

TEST_F(HttpFuzzTest, ParsesRequestSplitAtAnyByte) {
  const std::string Text = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
  for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
    Socket Raw = connect();
    Raw.set_option(boost::asio::ip::tcp::no_delay(true));
    boost::asio::write(Raw, boost::asio::buffer(Text.substr(0, Cut)));
    m_Context.poll();
    boost::asio::write(Raw, boost::asio::buffer(Text.substr(Cut)));
    EXPECT_TRUE(readAll(Raw, "fine").starts_with("HTTP/1.1 200 ")) << Cut;
  }
}

} // namespace

} // namespace corneldeck::net

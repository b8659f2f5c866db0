#include "Node/LogHttpClient.h"

#include "Net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <optional>

namespace corneldeck::node {

namespace {

/// Sends a response in pieces with a pause before each.
class SlowLog {
public:
  SlowLog(boost::asio::io_context &Context, std::size_t Pieces)
      : m_Timer(Context), m_Pieces(Pieces),
        m_Server(Context, {},
                 [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
                   Exchange->startStream(200, {});
                   m_Exchange = Exchange;
                   sendNext(0);
                 }) {}

  net::HttpServer &server() { return m_Server; }

private:
  void sendNext(std::size_t Sent) {
    m_Timer.expires_after(std::chrono::milliseconds(400));
    m_Timer.async_wait([this, Sent](const boost::system::error_code &Code) {
      if (Code)
        return;
      const std::size_t Length = (m_Body.size() + m_Pieces - 1) / m_Pieces;
      m_Exchange->writeChunk(m_Body.substr(Sent, Length));
      if (Sent + Length >= m_Body.size())
        m_Exchange->endStream();
      else
        sendNext(Sent + Length);
    });
  }

  const std::string m_Body = R"({"oldest":1,"next":7,"records":[]})";
  boost::asio::steady_timer m_Timer;
  const std::size_t m_Pieces;
  std::shared_ptr<net::HttpExchange> m_Exchange;
  net::HttpServer m_Server;
};

} // namespace

// Failure: a read that took longer than a fixed time was ended although it made
// progress, and was repeated in full, so a large record was never received.
TEST(LogHttpClient, AReadThatMakesProgressContinues) {
  boost::asio::io_context Context(1);
  SlowLog Log(Context, 5);
  const auto Address = Log.server().listen("127.0.0.1:0");
  ASSERT_TRUE(Address.has_value());
  net::HttpClient Http(Context);
  const catalogue::LogClient Client =
      makeLogClient(Http, *Address, [](std::size_t) {});
  std::optional<base::Result<catalogue::ReadResponse>> Response;
  Client.m_Read({}, [&Response](base::Result<catalogue::ReadResponse> Result) {
    Response = std::move(Result);
  });
  while (!Response && Context.run_one() > 0)
    ;
  ASSERT_TRUE(Response.has_value());
  ASSERT_TRUE(Response->has_value()) << Response->error().m_Message;
  EXPECT_EQ((*Response)->m_Next, 7U);
}

} // namespace corneldeck::node

#include "Base/Random.h"
#include "Net/HttpFixture.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <vector>

namespace corneldeck::net {

namespace {

namespace http = boost::beast::http;

/// Four requests of one caller: their lengths and framings differ.
const std::string Requests =
    "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
    "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nbytes"
    "POST /third HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n"
    "GET /fourth-and-last HTTP/1.1\r\nHost: a\r\n\r\n";

constexpr std::chrono::seconds WaitLimit{2};

std::string describe(std::string_view Method, std::string_view Target,
                     std::string_view Body) {
  return std::string(Method) + " " + std::string(Target) + " " +
         std::string(Body);
}

/// \returns the requests that a parser finds that sees all bytes at once.
std::vector<std::string> parseWhole(std::string_view Text) {
  std::vector<std::string> Found;
  while (!Text.empty()) {
    http::request_parser<http::string_body> Parser;
    Parser.eager(true);
    boost::system::error_code Code;
    Text.remove_prefix(
        Parser.put(boost::asio::buffer(Text.data(), Text.size()), Code));
    if (Code || !Parser.is_done())
      break;
    const auto &Message = Parser.get();
    const auto Method = Message.method_string();
    const auto Target = Message.target();
    Found.push_back(describe({Method.data(), Method.size()},
                             {Target.data(), Target.size()}, Message.body()));
  }
  return Found;
}

class HttpPipelineTest : public HttpFixture {
protected:
  void SetUp() override {
    serve([this](auto Exchange) {
      m_Seen.push_back(
          describe(Exchange->method(), Exchange->target(), Exchange->body()));
      m_Waiting.push_back(std::move(Exchange));
    });
  }

  /// Connects without Nagle's algorithm, so that each piece arrives by itself.
  Socket connectWithoutDelay() {
    Socket Raw = connect();
    Raw.set_option(boost::asio::ip::tcp::no_delay(true));
    return Raw;
  }

  /// Sends a piece and lets the server take it, so that the next read is
  /// outstanding.
  void send(Socket &Raw, std::string_view Piece) {
    boost::asio::write(Raw, boost::asio::buffer(Piece.data(), Piece.size()));
    m_Context.poll();
  }

  /// Responds to the request that is handled, if there is one.
  bool respondOnce() {
    if (m_Waiting.empty())
      return false;
    const auto Exchange = std::move(m_Waiting.front());
    m_Waiting.erase(m_Waiting.begin());
    Exchange->respond(200, {}, "to " + std::string(Exchange->target()) + ".");
    m_Context.poll();
    return true;
  }

  /// Responds to the rest and checks what the handler and the caller saw.
  void expectAll(Socket &Raw, const std::string &Case) {
    const std::vector<std::string> Expected = parseWhole(Requests);
    ASSERT_EQ(Expected.size(), 4U);
    // Bounds a wait for a request that the server does not find.
    const auto Bound = std::chrono::steady_clock::now() + WaitLimit;
    while (m_Seen.size() < Expected.size() || !m_Waiting.empty()) {
      if (respondOnce())
        continue;
      m_Context.run_one_for(WaitLimit);
      if (std::chrono::steady_clock::now() > Bound)
        break;
    }
    ASSERT_EQ(m_Seen, Expected) << Case;
    const std::string Text = readAll(Raw, "to /fourth-and-last.");
    std::size_t At = 0;
    for (const char *Body :
         {"to /first.", "to /second.", "to /third.", "to /fourth-and-last."}) {
      At = Text.find(Body, At);
      ASSERT_NE(At, std::string::npos) << Case << " " << Body << "\n" << Text;
    }
    m_Seen.clear();
  }

  std::vector<std::string> m_Seen;
  std::vector<std::shared_ptr<HttpExchange>> m_Waiting;
};

// Failure: a pipelined request was parsed while a read was outstanding, and the
// bytes that the read delivered were taken for those of the request before. A
// request ran twice, and the next one got its response.
TEST_F(HttpPipelineTest, ReadsRequestsSplitAtAnyByte) {
  for (std::size_t Cut = 1; Cut < Requests.size(); ++Cut) {
    Socket Raw = connectWithoutDelay();
    send(Raw, std::string_view(Requests).substr(0, Cut));
    respondOnce();
    respondOnce();
    send(Raw, std::string_view(Requests).substr(Cut));
    ASSERT_NO_FATAL_FAILURE(expectAll(Raw, "cut " + std::to_string(Cut)));
  }
}

// Failure: the same, at bytes and responses in any order.
TEST_F(HttpPipelineTest, ReadsRequestsInPiecesOfAnySize) {
  constexpr std::uint64_t Seeds = 300;
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    base::Random Numbers(Seed);
    const std::size_t Largest = 1 + Numbers.below(Requests.size());
    Socket Raw = connectWithoutDelay();
    for (std::string_view Rest = Requests; !Rest.empty();) {
      const std::size_t Count =
          std::min<std::size_t>(1 + Numbers.below(Largest), Rest.size());
      send(Raw, Rest.substr(0, Count));
      Rest.remove_prefix(Count);
      if (Numbers.below(2) == 0)
        respondOnce();
    }
    ASSERT_NO_FATAL_FAILURE(expectAll(Raw, "seed " + std::to_string(Seed)));
  }
}

// Failure: a connection that was closed while pipelined requests waited in its
// buffer; they must not be handled.
TEST_F(HttpPipelineTest, HandlesNoPipelinedRequestAfterAReset) {
  Socket Raw = connect();
  send(Raw, Requests);
  ASSERT_EQ(m_Waiting.size(), 1U);
  bool Closed = false;
  m_Waiting[0]->onClosed([&Closed] { Closed = true; });
  Raw.set_option(boost::asio::socket_base::linger(true, 0));
  Raw.close();
  runUntil([&Closed] { return Closed; });
  m_Waiting[0]->respond(200, {}, "late");
  m_Context.poll();
  EXPECT_EQ(m_Seen.size(), 1U);
  EXPECT_EQ(m_Server->connections(), 0U);
}

} // namespace

} // namespace corneldeck::net

#include "Base/Random.h"
#include "Net/Endpoint.h"
#include "Net/FramedConnection.h"
#include "Wire/Link.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>

namespace corneldeck::net {

namespace {

constexpr int Cases = 300;
constexpr std::size_t LengthBytes = 4;

std::string framed(const std::string &Body) {
  std::string Text(LengthBytes, '\0');
  Text[LengthBytes - 1] = static_cast<char>(Body.size());
  return Text + Body;
}

std::string validFrames() {
  wire::LinkFrame Start;
  Start.mutable_start()->set_request("r1");
  Start.mutable_start()->set_body("a body");
  wire::LinkFrame Heartbeat;
  Heartbeat.mutable_heartbeat()->set_sequence(7);
  return framed(Start.SerializeAsString()) +
         framed(Heartbeat.SerializeAsString());
}

std::string damage(std::string Text, std::uint64_t Seed) {
  base::Random Numbers(Seed);
  const std::size_t At = Numbers.below(Text.size());
  std::string Replacement;
  for (std::uint64_t Left = Numbers.below(8); Left > 0; --Left)
    Replacement += static_cast<char>(Numbers.below(256));
  return Text.replace(At, Numbers.below(8), Replacement);
}

/// Damaged frames must close the connection with a reason, and must not affect
/// the next connection.
TEST(LinkFuzzTest, ClosesConnectionWithReasonOnDamagedFrames) {
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Probe(Loop, *parseEndpoint("127.0.0.1:0"));
  const std::string Address = formatEndpoint(Probe.local_endpoint());
  Probe.close();
  LinkServer Server(Loop, 1);
  LinkConnectionPtr Accepted;
  std::optional<base::Error> Closed;
  std::size_t Frames = 0;
  ASSERT_TRUE(Server.listen(Address, [&](LinkConnectionPtr Link) {
    Accepted = std::move(Link);
    Accepted->start([&](wire::LinkFrame &) { ++Frames; },
                    [&](const base::Error &Reason) { Closed = Reason; });
  }));
  const std::string Valid = validFrames();
  for (int Case = 0; Case <= Cases; ++Case) {
    const bool Last = Case == Cases;
    Closed.reset();
    Accepted.reset();
    Frames = 0;
    boost::asio::ip::tcp::socket Raw(Loop);
    Raw.connect(*parseEndpoint(Address));
    const std::string Text =
        Last ? Valid : damage(Valid, static_cast<std::uint64_t>(Case));
    boost::asio::write(Raw, boost::asio::buffer(Text));
    boost::system::error_code Code;
    Raw.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Code);
    while (!Closed)
      Loop.run_one();
    EXPECT_FALSE(Closed->m_Message.empty());
  }
  EXPECT_EQ(Frames, 2U);
}

} // namespace

} // namespace corneldeck::net

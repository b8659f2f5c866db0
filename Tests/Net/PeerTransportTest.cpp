#include "Net/PeerTransport.h"

#include "Net/Endpoint.h"
#include "Wire/Peer.pb.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace corneldeck;

namespace {

std::string freeAddress(boost::asio::io_context &Loop) {
  boost::asio::ip::tcp::acceptor Probe(
      Loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return net::formatEndpoint(Probe.local_endpoint());
}

} // namespace

TEST(PeerTransport, DeliversMessagesToThePeer) {
  boost::asio::io_context Loop;
  const auto Work = boost::asio::make_work_guard(Loop);
  const std::string Where = freeAddress(Loop);
  net::PeerTransport Receiver(Loop, base::steadyClock());
  std::vector<std::uint64_t> Got;
  ASSERT_TRUE(Receiver
                  .listen(Where,
                          [&](wire::PeerMessage &Message) {
                            Got.push_back(Message.stamp());
                          })
                  .has_value());

  net::PeerTransport Sender(Loop, base::steadyClock());
  for (std::uint64_t Stamp = 1; Stamp <= 20; ++Stamp) {
    wire::PeerMessage Message;
    Message.set_from("a");
    Message.mutable_gossip();
    Message.set_stamp(Stamp);
    Sender.send(Where, Message);
  }
  while (Got.size() < 20)
    Loop.run_one();
  EXPECT_EQ(Got.front(), 1U);
  EXPECT_EQ(Got.back(), 20U);
}

TEST(PeerTransport, SilentConnectionIsReplaced) {
  boost::asio::io_context Loop;
  const auto Work = boost::asio::make_work_guard(Loop);
  const std::string Where = freeAddress(Loop);
  base::Millis Now{};
  net::PeerTransport Sender(Loop, base::Clock([&] { return Now; }));
  wire::PeerMessage Message;
  Message.mutable_gossip();
  // The first message goes to an address where nobody listens yet.
  Sender.send(Where, Message);

  net::PeerTransport Receiver(Loop, base::steadyClock());
  int Got = 0;
  ASSERT_TRUE(
      Receiver.listen(Where, [&](wire::PeerMessage &) { ++Got; }).has_value());
  Now = net::PeerTransport::SilenceTimeout + base::Millis(1);
  Sender.send(Where, Message);
  while (Got == 0)
    Loop.run_one();
  EXPECT_EQ(Got, 1);
}

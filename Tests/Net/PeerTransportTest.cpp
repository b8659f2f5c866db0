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
  const std::string Address = freeAddress(Loop);
  net::PeerTransport Receiver(Loop, base::steadyClock());
  std::vector<std::uint64_t> Received;
  ASSERT_TRUE(Receiver
                  .listen(Address,
                          [&](wire::PeerMessage &Message) {
                            Received.push_back(Message.stamp());
                          })
                  .has_value());

  net::PeerTransport Sender(Loop, base::steadyClock());
  for (std::uint64_t Stamp = 1; Stamp <= 20; ++Stamp) {
    wire::PeerMessage Message;
    Message.set_from("a");
    Message.mutable_gossip();
    Message.set_stamp(Stamp);
    Sender.send(Address, Message);
  }
  while (Received.size() < 20)
    Loop.run_one();
  EXPECT_EQ(Received.front(), 1U);
  EXPECT_EQ(Received.back(), 20U);
}

TEST(PeerTransport, SilentConnectionIsReplaced) {
  boost::asio::io_context Loop;
  const auto Work = boost::asio::make_work_guard(Loop);
  const std::string Address = freeAddress(Loop);
  base::Millis Now{};
  net::PeerTransport Sender(Loop, base::Clock([&] { return Now; }));
  wire::PeerMessage Message;
  Message.mutable_gossip();
  // The first message is sent before the receiver listens.
  Sender.send(Address, Message);

  net::PeerTransport Receiver(Loop, base::steadyClock());
  int Received = 0;
  ASSERT_TRUE(Receiver.listen(Address, [&](wire::PeerMessage &) { ++Received; })
                  .has_value());
  Now = net::PeerTransport::SilenceTimeout + base::Millis(1);
  Sender.send(Address, Message);
  while (Received == 0)
    Loop.run_one();
  EXPECT_EQ(Received, 1);
}

#include "Fleet/FleetNode.h"

#include <gtest/gtest.h>
#include <set>

namespace corneldeck::fleet {

namespace {

/// A socket that plays other nodes and collects what it receives.
class OtherNodes {
public:
  explicit OtherNodes(boost::asio::io_context &Context)
      : m_Socket(Context, [this](std::string_view Bytes, const std::string &) {
          m_LargestDatagram = std::max(m_LargestDatagram, Bytes.size());
          wire::Datagram Message;
          EXPECT_TRUE(Message.ParseFromArray(Bytes.data(),
                                             static_cast<int>(Bytes.size())));
          for (const wire::NodeNews &Each : Message.beat().known())
            m_Listed.insert(Each.node());
        }) {}

  base::Result<void> open(const std::string &Address) {
    m_Address = Address;
    return m_Socket.open(Address);
  }

  void sendHeartbeat(const std::string &To, const std::string &Node,
                     bool RequestMemberList) {
    wire::Datagram Message;
    wire::FleetBeat &Beat = *Message.mutable_beat();
    Beat.mutable_sender()->set_node(Node);
    Beat.mutable_sender()->set_incarnation(1);
    Beat.mutable_sender()->set_peer_address(m_Address);
    Beat.set_wants_known(RequestMemberList);
    EXPECT_TRUE(m_Socket.send(To, Message.SerializeAsString()));
  }

  std::string m_Address;
  std::set<std::string> m_Listed;
  std::size_t m_LargestDatagram = 0;

private:
  net::DatagramSocket m_Socket;
};

} // namespace

// Guards against a list of members that exceeds the size of a datagram in a
// large fleet, and against bursts that grow with the number of nodes.
TEST(FleetNode, SendsMemberListInDatagramsOfBoundedSize) {
  constexpr unsigned Nodes = 1000;
  constexpr std::size_t MaxDatagramBytes = 2000;
  boost::asio::io_context Context;
  base::Timeline Events("test", 100);
  metrics::Registry Metrics;
  FleetSettings Settings;
  Settings.m_Node = "entry";
  Settings.m_Incarnation = 1;
  Settings.m_PeerAddress = "127.0.0.1:28461";
  Settings.m_CallerAddress = "127.0.0.1:28462";
  FleetNode Entry(Context, Settings, Events, Metrics, {});
  ASSERT_TRUE(Entry.start());
  OtherNodes Others(Context);
  ASSERT_TRUE(Others.open("127.0.0.1:28463"));
  for (unsigned Index = 0; Index < Nodes; ++Index) {
    Others.sendHeartbeat(Settings.m_PeerAddress,
                         "agent-" + std::to_string(Index), false);
    Context.poll();
  }
  ASSERT_EQ(Entry.agents().size(), Nodes);
  Others.sendHeartbeat(Settings.m_PeerAddress, "agent-0", true);
  // The timer of the heartbeats bounds the wait.
  for (int Round = 0; Round < 1000 && Others.m_Listed.size() < Nodes; ++Round)
    Context.run_one();
  EXPECT_EQ(Others.m_Listed.size(), Nodes);
  EXPECT_LE(Others.m_LargestDatagram, MaxDatagramBytes);
}

} // namespace corneldeck::fleet

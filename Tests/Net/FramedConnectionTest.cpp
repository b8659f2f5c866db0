#include "Net/FramedConnection.h"

#include "Net/Endpoint.h"
#include "Wire/Link.pb.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

using namespace corneldeck;

namespace {

/// \returns an address with a free port, found by binding and closing a socket.
std::string freeAddress(boost::asio::io_context &Loop) {
  boost::asio::ip::tcp::acceptor Probe(
      Loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return net::formatEndpoint(Probe.local_endpoint());
}

/// Runs a server that records and echoes the received frames.
class FramedConnectionTest : public testing::Test {
protected:
  void SetUp() override {
    m_Address = freeAddress(m_Loop);
    const auto Listening =
        m_Server.listen(m_Address, [this](net::LinkConnectionPtr Link) {
          m_Accepted = std::move(Link);
          m_Accepted->start(
              [this](wire::LinkFrame &Frame) {
                m_Received.push_back(Frame);
                m_Accepted->send(Frame);
              },
              [this](const base::Error &Problem) { m_Closed = Problem; });
        });
    ASSERT_TRUE(Listening.has_value());
  }

  /// Sends raw bytes, as a faulty or malicious peer would, and waits until the
  /// server closes the connection.
  void sendRaw(const std::string &Bytes) {
    boost::asio::ip::tcp::socket Socket(m_Loop);
    Socket.connect(*net::parseEndpoint(m_Address));
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    while (!m_Closed)
      m_Loop.run_one();
  }

  boost::asio::io_context m_Loop;
  std::string m_Address;
  net::LinkServer m_Server{m_Loop, 4};
  net::LinkConnectionPtr m_Accepted;
  std::vector<wire::LinkFrame> m_Received;
  std::optional<base::Error> m_Closed;
};

} // namespace

TEST_F(FramedConnectionTest, CarriesFramesBothWaysInOrder) {
  net::LinkConnectionPtr Client;
  std::vector<std::uint64_t> Echoed;
  net::connectLink(m_Loop, m_Address, base::seconds(5),
                   [&](base::Result<net::LinkConnectionPtr> Link) {
                     ASSERT_TRUE(Link.has_value());
                     Client = *Link;
                     Client->start(
                         [&](wire::LinkFrame &Frame) {
                           Echoed.push_back(Frame.heartbeat().sequence());
                         },
                         [](const base::Error &) {});
                     for (std::uint64_t Number = 1; Number <= 100; ++Number) {
                       wire::LinkFrame Frame;
                       Frame.mutable_heartbeat()->set_sequence(Number);
                       Client->send(Frame);
                     }
                   });
  while (Echoed.size() < 100)
    m_Loop.run_one();
  EXPECT_EQ(m_Received.size(), 100U);
  for (std::uint64_t Number = 1; Number <= 100; ++Number)
    EXPECT_EQ(Echoed[Number - 1], Number);
}

TEST_F(FramedConnectionTest, OversizedFrameClosesTheConnection) {
  sendRaw("\xff\xff\xff\xff");
  EXPECT_EQ(m_Closed->m_Code, base::ResultCode::BadMessage);
  EXPECT_TRUE(m_Received.empty());
}

TEST_F(FramedConnectionTest, UnreadableFrameClosesTheConnection) {
  sendRaw(std::string("\x00\x00\x00\x03\xff\xff\xff", 7));
  EXPECT_EQ(m_Closed->m_Code, base::ResultCode::BadMessage);
}

TEST_F(FramedConnectionTest, TruncatedFrameIsNotDelivered) {
  sendRaw(std::string("\x00\x00\x00\x10\x08", 5));
  EXPECT_EQ(m_Closed->m_Code, base::ResultCode::ConnectionFailed);
  EXPECT_TRUE(m_Received.empty());
}

TEST(FramedConnect, RefusedConnectionIsAnError) {
  boost::asio::io_context Loop;
  const std::string Address = freeAddress(Loop);
  std::optional<base::ResultCode> Code;
  net::connectLink(Loop, Address, base::seconds(5),
                   [&](base::Result<net::LinkConnectionPtr> Link) {
                     Code = Link.error().m_Code;
                   });
  Loop.run();
  EXPECT_EQ(Code, base::ResultCode::ConnectionFailed);
}

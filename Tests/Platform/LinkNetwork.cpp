#include "LinkNetwork.h"

#include "Net/DatagramSocket.h"
#include "Net/Endpoint.h"
#include "Wire/Gossip.pb.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace corneldeck::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

/// The link of one node.
class LinkNetwork::Link {
public:
  Link(LinkNetwork &Network, std::string Target)
      : m_Network(Network), m_Target(std::move(Target)),
        m_Acceptor(Network.m_Context),
        m_Datagrams(Network.m_Context,
                    [this](std::string_view Bytes, const std::string &) {
                      forward(Bytes);
                    }) {}

  /// Listens on one free port for both protocols.
  std::string listen() {
    for (;;) {
      m_Acceptor =
          tcp::acceptor(m_Network.m_Context,
                        tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      m_Address = net::formatEndpoint(m_Acceptor.local_endpoint());
      if (m_Datagrams.open(m_Address))
        break;
    }
    accept();
    return m_Address;
  }

  /// Returns when \p Count bytes may be sent, and reserves the link for them.
  SteadyTime reserve(std::size_t Count) {
    const std::chrono::duration<double> Duration(static_cast<double>(Count) /
                                                 m_Network.m_BytesPerSecond);
    m_FreeAt = std::max(m_FreeAt, std::chrono::steady_clock::now()) +
               std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                   Duration);
    return m_FreeAt;
  }

  [[nodiscard]] const std::string &target() const { return m_Target; }
  [[nodiscard]] const std::string &address() const { return m_Address; }
  net::DatagramSocket &datagrams() { return m_Datagrams; }

  bool m_Stalled = false;

private:
  void accept();
  /// Passes a datagram to the node, from the address of its sender's link.
  void forward(std::string_view Bytes) {
    std::string Sender;
    const std::string Replaced = m_Network.replaceAddresses(Bytes, Sender);
    const auto From = m_Network.m_Links.find(Sender);
    net::DatagramSocket &Socket = From == m_Network.m_Links.end()
                                      ? m_Datagrams
                                      : From->second->datagrams();
    (void)Socket.send(m_Target, Replaced);
  }

  LinkNetwork &m_Network;
  const std::string m_Target;
  std::string m_Address;
  tcp::acceptor m_Acceptor;
  net::DatagramSocket m_Datagrams;
  SteadyTime m_FreeAt;
};

/// One connection to a node and the connection behind it.
class LinkNetwork::Connection
    : public std::enable_shared_from_this<Connection> {
public:
  Connection(LinkNetwork &Network, Link &Via, tcp::socket Caller)
      : m_Network(Network), m_Link(Via), m_Caller(std::move(Caller)),
        m_Node(Network.m_Context), m_Timer(Network.m_Context) {}

  void start() {
    m_Node.async_connect(
        *net::parseEndpoint(m_Link.target()),
        [Self = shared_from_this()](const boost::system::error_code &Code) {
          if (Code) {
            Self->reset();
            return;
          }
          Self->pass(Self->m_Caller, Self->m_Node, Self->m_Requests, false);
          Self->pass(Self->m_Node, Self->m_Caller, Self->m_Responses, true);
        });
  }

private:
  /// A piece occupies a link for a short time, so that transfers share it.
  using Buffer = std::array<char, 2048>;

  [[nodiscard]] bool isSilent() const {
    return m_SilencedBefore != m_Network.m_Silenced;
  }

  void reset() {
    boost::system::error_code Ignored;
    for (tcp::socket *Each : {&m_Caller, &m_Node}) {
      Each->set_option(asio::socket_base::linger(true, 0), Ignored);
      Each->close(Ignored);
    }
  }

  void pass(tcp::socket &From, tcp::socket &To, Buffer &Bytes, bool Limited) {
    From.async_read_some(
        asio::buffer(Bytes),
        [this, Self = shared_from_this(), &From, &To, &Bytes,
         Limited](const boost::system::error_code &Code, std::size_t Count) {
          if (Code)
            reset();
          else if (isSilent())
            discard(From, To, Bytes, Count, Limited);
          else if (Limited)
            sendLater(From, To, Bytes, Count);
          else
            send(From, To, Bytes, Count, Limited);
        });
  }

  void discard(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
               std::size_t Count, bool Limited) {
    if (&From == &m_Caller)
      m_Network.m_SilencedBytes += Count;
    pass(From, To, Bytes, Limited);
  }

  void sendLater(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
                 std::size_t Count) {
    m_Network.m_SentBytes += Count;
    m_Timer.expires_at(m_Link.reserve(Count));
    m_Timer.async_wait([this, Self = shared_from_this(), &From, &To, &Bytes,
                        Count](const boost::system::error_code &) {
      waitWhileStalled(From, To, Bytes, Count);
    });
  }

  void waitWhileStalled(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
                        std::size_t Count) {
    if (!m_Link.m_Stalled) {
      send(From, To, Bytes, Count, true);
      return;
    }
    m_Timer.expires_after(std::chrono::milliseconds(20));
    m_Timer.async_wait([this, Self = shared_from_this(), &From, &To, &Bytes,
                        Count](const boost::system::error_code &) {
      waitWhileStalled(From, To, Bytes, Count);
    });
  }

  void send(tcp::socket &From, tcp::socket &To, Buffer &Bytes,
            std::size_t Count, bool Limited) {
    asio::async_write(
        To, asio::buffer(Bytes, Count),
        [this, Self = shared_from_this(), &From, &To, &Bytes,
         Limited](const boost::system::error_code &Code, std::size_t) {
          if (Code)
            reset();
          else
            pass(From, To, Bytes, Limited);
        });
  }

  LinkNetwork &m_Network;
  Link &m_Link;
  /// Value of LinkNetwork::m_Silenced when the connection was opened.
  const unsigned m_SilencedBefore = m_Network.m_Silenced;
  tcp::socket m_Caller;
  tcp::socket m_Node;
  asio::steady_timer m_Timer;
  Buffer m_Requests{};
  Buffer m_Responses{};
};

void LinkNetwork::Link::accept() {
  m_Acceptor.async_accept([this](const boost::system::error_code &Code,
                                 tcp::socket Socket) {
    if (Code)
      return;
    std::make_shared<Connection>(m_Network, *this, std::move(Socket))->start();
    accept();
  });
}

LinkNetwork::LinkNetwork(asio::io_context &Context, double BytesPerSecond)
    : m_Context(Context), m_BytesPerSecond(BytesPerSecond) {}

LinkNetwork::~LinkNetwork() = default;

std::string LinkNetwork::addNode(const std::string &Node,
                                 const std::string &Address) {
  const auto Added = std::make_shared<Link>(*this, Address);
  m_Links[Node] = Added;
  return Added->listen();
}

void LinkNetwork::stall(const std::string &Node, bool Stalled) {
  m_Links.at(Node)->m_Stalled = Stalled;
}

std::string LinkNetwork::replaceAddresses(std::string_view Datagram,
                                          std::string &Sender) const {
  wire::Datagram Message;
  if (!Message.ParseFromArray(Datagram.data(),
                              static_cast<int>(Datagram.size())) ||
      !Message.has_beat())
    return std::string(Datagram);
  wire::FleetBeat &Beat = *Message.mutable_beat();
  Sender = Beat.sender().node();
  const auto Replace = [this](wire::NodeNews &News) {
    if (const auto Found = m_Links.find(News.node()); Found != m_Links.end())
      News.set_peer_address(Found->second->address());
  };
  Replace(*Beat.mutable_sender());
  for (wire::NodeNews &Each : *Beat.mutable_known())
    Replace(Each);
  return Message.SerializeAsString();
}

} // namespace corneldeck::tests

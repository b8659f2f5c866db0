#include "Net/PeerTransport.h"

#include "Net/FramedConnection.h"
#include "Wire/Peer.pb.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::net {

namespace {

using PeerConnectionPtr = FramedConnectionPtr<wire::PeerMessage>;

constexpr std::size_t MaxInboundConnections = 4096;
/// Maximum number of messages queued for one connection being opened; further
/// ones are dropped.
constexpr std::size_t MaxQueuedMessages = 256;
constexpr base::Millis ConnectTimeout{700};

/// The connection to one peer. It carries messages to the peer only; the peer
/// sends over its own connection.
struct OutboundConnection {
  /// Identifies the connection, so that late callbacks of an earlier one are
  /// ignored.
  std::uint64_t m_Generation = 0;
  PeerConnectionPtr m_Connection;
  std::vector<wire::PeerMessage> m_Queued;
  base::Millis m_OpenedAt{};
  base::Millis m_LastSent{};
  base::Millis m_LastHeard{};
};

} // namespace

/// The connections to and from peers. Callbacks hold weak references, since the
/// io_context may outlive this object.
class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Loop, base::Clock Clock)
      : m_Loop(Loop), m_Clock(std::move(Clock)),
        m_Server(Loop, MaxInboundConnections) {}

  base::Result<void> listen(const std::string &Address, MessageHook OnMessage) {
    m_OnMessage = std::move(OnMessage);
    return m_Server.listen(Address, [this](const PeerConnectionPtr &Inbound) {
      onAccepted(Inbound);
    });
  }

  void send(const std::string &Address, const wire::PeerMessage &Message) {
    closeIdle();
    OutboundConnection &Out = getOutbound(Address);
    Out.m_LastSent = m_Clock.now();
    m_Bytes += Message.ByteSizeLong();
    if (Out.m_Connection)
      Out.m_Connection->send(Message);
    else if (Out.m_Queued.size() < MaxQueuedMessages)
      Out.m_Queued.push_back(Message);
  }

  void close() {
    m_OnMessage = nullptr;
    m_Server.close();
    for (const PeerConnectionPtr &Inbound : m_Inbound)
      Inbound->close();
    m_Inbound.clear();
    for (auto &[Address, Out] : m_Outbound)
      if (Out.m_Connection)
        Out.m_Connection->close();
    m_Outbound.clear();
  }

  [[nodiscard]] std::uint64_t bytes() const { return m_Bytes; }

private:
  /// \returns the connection to \p Address; opens one if there is none or if
  /// the existing one is silent.
  OutboundConnection &getOutbound(const std::string &Address) {
    const auto Found = m_Outbound.find(Address);
    if (Found != m_Outbound.end()) {
      if (!isSilent(Found->second))
        return Found->second;
      closeOutbound(Address, Found->second.m_Generation);
    }
    OutboundConnection &New = m_Outbound[Address];
    New.m_Generation = ++m_LastGeneration;
    New.m_OpenedAt = m_Clock.now();
    connectFramed<wire::PeerMessage>(
        m_Loop, Address, ConnectTimeout,
        [Weak = weak_from_this(), Address, Generation = New.m_Generation](
            base::Result<PeerConnectionPtr> Opened) {
          if (const auto Self = Weak.lock())
            Self->onOpened(Address, Generation, std::move(Opened));
          else if (Opened)
            (*Opened)->close();
        });
    return New;
  }

  void onOpened(const std::string &Address, std::uint64_t Generation,
                base::Result<PeerConnectionPtr> Opened) {
    const auto Found = m_Outbound.find(Address);
    const bool Current =
        Found != m_Outbound.end() && Found->second.m_Generation == Generation;
    if (!Opened || !Current) {
      if (Opened)
        (*Opened)->close();
      closeOutbound(Address, Generation);
      return;
    }
    OutboundConnection &Out = Found->second;
    Out.m_Connection = std::move(*Opened);
    Out.m_Connection->start(
        [](const wire::PeerMessage &) {},
        [Weak = weak_from_this(), Address, Generation](const base::Error &) {
          if (const auto Self = Weak.lock())
            Self->closeOutbound(Address, Generation);
        });
    // A failed send closes the connection, which erases the entry.
    const PeerConnectionPtr Connection = Out.m_Connection;
    const std::vector<wire::PeerMessage> Queued = std::move(Out.m_Queued);
    Out.m_Queued.clear();
    for (const wire::PeerMessage &Message : Queued)
      Connection->send(Message);
  }

  void closeOutbound(const std::string &Address, std::uint64_t Generation) {
    const auto Found = m_Outbound.find(Address);
    if (Found == m_Outbound.end() || Found->second.m_Generation != Generation)
      return;
    const PeerConnectionPtr Connection = std::move(Found->second.m_Connection);
    m_Outbound.erase(Found);
    if (Connection)
      Connection->close();
  }

  [[nodiscard]] bool isSilent(const OutboundConnection &Out) const {
    const base::Millis Newest = std::max(Out.m_LastHeard, Out.m_OpenedAt);
    return m_Clock.now() - Newest > SilenceTimeout;
  }

  void closeIdle() {
    const base::Millis Now = m_Clock.now();
    if (Now - m_LastIdleCheck < IdleTimeout)
      return;
    m_LastIdleCheck = Now;
    std::erase_if(m_Outbound, [&](auto &Item) {
      const bool Idle = Now - Item.second.m_LastSent > IdleTimeout;
      if (Idle && Item.second.m_Connection)
        Item.second.m_Connection->close();
      return Idle;
    });
  }

  void onAccepted(const PeerConnectionPtr &Inbound) {
    m_Inbound.insert(Inbound);
    const std::weak_ptr<Impl> Weak = weak_from_this();
    Inbound->start(
        [Weak](const wire::PeerMessage &Message) {
          if (const auto Self = Weak.lock())
            Self->onMessage(Message);
        },
        [Weak, WeakInbound = std::weak_ptr(Inbound)](const base::Error &) {
          if (const auto Self = Weak.lock())
            Self->m_Inbound.erase(WeakInbound.lock());
        });
  }

  void onMessage(const wire::PeerMessage &Message) {
    m_Bytes += Message.ByteSizeLong();
    if (!m_OnMessage)
      return;
    const auto Out = m_Outbound.find(Message.reply_address());
    if (Out != m_Outbound.end())
      Out->second.m_LastHeard = m_Clock.now();
    wire::PeerMessage Copy = Message;
    m_OnMessage(Copy);
  }

  boost::asio::io_context &m_Loop;
  const base::Clock m_Clock;
  MessageHook m_OnMessage;
  FramedServer<wire::PeerMessage> m_Server;
  std::set<PeerConnectionPtr> m_Inbound;
  std::map<std::string, OutboundConnection> m_Outbound;
  std::uint64_t m_LastGeneration = 0;
  base::Millis m_LastIdleCheck{};
  std::atomic<std::uint64_t> m_Bytes{0};
};

PeerTransport::PeerTransport(boost::asio::io_context &Loop, base::Clock Clock)
    : m_Impl(std::make_shared<Impl>(Loop, std::move(Clock))) {}

PeerTransport::~PeerTransport() { m_Impl->close(); }

base::Result<void> PeerTransport::listen(const std::string &Address,
                                         MessageHook OnMessage) {
  return m_Impl->listen(Address, std::move(OnMessage));
}

void PeerTransport::send(const std::string &Address,
                         const wire::PeerMessage &Message) {
  m_Impl->send(Address, Message);
}

std::uint64_t PeerTransport::bytes() const { return m_Impl->bytes(); }

} // namespace corneldeck::net

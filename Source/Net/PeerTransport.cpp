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

constexpr std::size_t MaxInlets = 4096;
/// Messages that wait for a connection; further ones are dropped.
constexpr std::size_t MaxWaiting = 256;
constexpr base::Millis ConnectTimeout{700};

/// The connection to one peer, which only carries messages to it.
struct Outlet {
  /// Tells late hooks of an earlier connection.
  std::uint64_t m_Number = 0;
  PeerConnectionPtr m_Connection;
  std::vector<wire::PeerMessage> m_Waiting;
  base::Millis m_OpenedAt{};
  base::Millis m_LastSent{};
  base::Millis m_LastHeard{};
};

} // namespace

/// The connections to and from peers. Hooks hold weak references, since the
/// loop may run on after this object is gone.
class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Loop, base::Clock Time)
      : m_Loop(Loop), m_Time(std::move(Time)), m_Server(Loop, MaxInlets) {}

  base::Result<void> listen(const std::string &Where, MessageHook OnMessage) {
    m_OnMessage = std::move(OnMessage);
    return m_Server.listen(
        Where, [this](const PeerConnectionPtr &Inlet) { accept(Inlet); });
  }

  void send(const std::string &Where, const wire::PeerMessage &Message) {
    closeIdle();
    Outlet &Out = outlet(Where);
    Out.m_LastSent = m_Time.now();
    m_Bytes += Message.ByteSizeLong();
    if (Out.m_Connection)
      Out.m_Connection->send(Message);
    else if (Out.m_Waiting.size() < MaxWaiting)
      Out.m_Waiting.push_back(Message);
  }

  void close() {
    m_OnMessage = nullptr;
    m_Server.close();
    for (const PeerConnectionPtr &Inlet : m_Inlets)
      Inlet->close();
    m_Inlets.clear();
    for (auto &[Where, Out] : m_Outlets)
      if (Out.m_Connection)
        Out.m_Connection->close();
    m_Outlets.clear();
  }

  [[nodiscard]] std::uint64_t bytes() const { return m_Bytes; }

private:
  /// \returns the outlet to \p Where; replaces one that may be silent.
  Outlet &outlet(const std::string &Where) {
    const auto Found = m_Outlets.find(Where);
    if (Found != m_Outlets.end()) {
      if (!maybeSilent(Found->second))
        return Found->second;
      drop(Where, Found->second.m_Number);
    }
    Outlet &Fresh = m_Outlets[Where];
    Fresh.m_Number = ++m_LastNumber;
    Fresh.m_OpenedAt = m_Time.now();
    connectFramed<wire::PeerMessage>(
        m_Loop, Where, ConnectTimeout,
        [Weak = weak_from_this(), Where,
         Number = Fresh.m_Number](base::Result<PeerConnectionPtr> Opened) {
          if (const auto Self = Weak.lock())
            Self->onOpened(Where, Number, std::move(Opened));
          else if (Opened)
            (*Opened)->close();
        });
    return Fresh;
  }

  void onOpened(const std::string &Where, std::uint64_t Number,
                base::Result<PeerConnectionPtr> Opened) {
    const auto Found = m_Outlets.find(Where);
    const bool Wanted =
        Found != m_Outlets.end() && Found->second.m_Number == Number;
    if (!Opened || !Wanted) {
      if (Opened)
        (*Opened)->close();
      drop(Where, Number);
      return;
    }
    Outlet &Out = Found->second;
    Out.m_Connection = std::move(*Opened);
    Out.m_Connection->start(
        [](const wire::PeerMessage &) {},
        [Weak = weak_from_this(), Where, Number](const base::Error &) {
          if (const auto Self = Weak.lock())
            Self->drop(Where, Number);
        });
    // A send may fail and drop the outlet.
    const PeerConnectionPtr Connection = Out.m_Connection;
    const std::vector<wire::PeerMessage> Waiting = std::move(Out.m_Waiting);
    Out.m_Waiting.clear();
    for (const wire::PeerMessage &Message : Waiting)
      Connection->send(Message);
  }

  void drop(const std::string &Where, std::uint64_t Number) {
    const auto Found = m_Outlets.find(Where);
    if (Found == m_Outlets.end() || Found->second.m_Number != Number)
      return;
    const PeerConnectionPtr Connection = std::move(Found->second.m_Connection);
    m_Outlets.erase(Found);
    if (Connection)
      Connection->close();
  }

  [[nodiscard]] bool maybeSilent(const Outlet &Out) const {
    const base::Millis Newest = std::max(Out.m_LastHeard, Out.m_OpenedAt);
    return m_Time.now() - Newest > SilenceTimeout;
  }

  void closeIdle() {
    const base::Millis Now = m_Time.now();
    if (Now - m_LastIdleCheck < IdleTimeout)
      return;
    m_LastIdleCheck = Now;
    std::erase_if(m_Outlets, [&](auto &Item) {
      const bool Idle = Now - Item.second.m_LastSent > IdleTimeout;
      if (Idle && Item.second.m_Connection)
        Item.second.m_Connection->close();
      return Idle;
    });
  }

  void accept(const PeerConnectionPtr &Inlet) {
    m_Inlets.insert(Inlet);
    const std::weak_ptr<Impl> Weak = weak_from_this();
    Inlet->start(
        [Weak](const wire::PeerMessage &Message) {
          if (const auto Self = Weak.lock())
            Self->take(Message);
        },
        [Weak, Kept = std::weak_ptr(Inlet)](const base::Error &) {
          if (const auto Self = Weak.lock())
            Self->m_Inlets.erase(Kept.lock());
        });
  }

  void take(const wire::PeerMessage &Message) {
    m_Bytes += Message.ByteSizeLong();
    if (!m_OnMessage)
      return;
    const auto Out = m_Outlets.find(Message.reply_address());
    if (Out != m_Outlets.end())
      Out->second.m_LastHeard = m_Time.now();
    wire::PeerMessage Taken = Message;
    m_OnMessage(Taken);
  }

  boost::asio::io_context &m_Loop;
  const base::Clock m_Time;
  MessageHook m_OnMessage;
  FramedServer<wire::PeerMessage> m_Server;
  std::set<PeerConnectionPtr> m_Inlets;
  std::map<std::string, Outlet> m_Outlets;
  std::uint64_t m_LastNumber = 0;
  base::Millis m_LastIdleCheck{};
  std::atomic<std::uint64_t> m_Bytes{0};
};

PeerTransport::PeerTransport(boost::asio::io_context &Loop, base::Clock Time)
    : m_Impl(std::make_shared<Impl>(Loop, std::move(Time))) {}

PeerTransport::~PeerTransport() { m_Impl->close(); }

base::Result<void> PeerTransport::listen(const std::string &Where,
                                         MessageHook OnMessage) {
  return m_Impl->listen(Where, std::move(OnMessage));
}

void PeerTransport::send(const std::string &Where,
                         const wire::PeerMessage &Message) {
  m_Impl->send(Where, Message);
}

std::uint64_t PeerTransport::bytes() const { return m_Impl->bytes(); }

} // namespace corneldeck::net

#include "Net/PeerLink.h"

#include "Wire/Peer.pb.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <string>
#include <utility>

namespace corneldeck::net {

namespace {

constexpr int SendQueueLength = 256;

/// An nng socket to one peer.
struct Outlet {
  nng_socket m_Socket = NNG_SOCKET_INITIALIZER;
  base::Millis m_OpenedAt{};
  base::Millis m_LastSent{};
  base::Millis m_LastHeard{};
};

std::string url(const std::string &Where) { return "tcp://" + Where; }

bool openOutlet(Outlet &Out, const std::string &Where) {
  if (nng_push0_open(&Out.m_Socket) != 0)
    return false;
  nng_socket_set_int(Out.m_Socket, NNG_OPT_SENDBUF, SendQueueLength);
  return nng_dial(Out.m_Socket, url(Where).c_str(), nullptr,
                  NNG_FLAG_NONBLOCK) == 0;
}

} // namespace

/// The sockets. nng calls back on threads of its own; the guard below keeps
/// them from posting to a loop that is gone.
class PeerLink::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Loop, base::Clock Time)
      : m_Loop(Loop), m_Time(std::move(Time)) {}

  ~Impl() {
    if (m_Receive != nullptr)
      nng_aio_free(m_Receive);
  }

  base::Result<void> listen(const std::string &Where, MessageHook OnMessage) {
    m_OnMessage = std::move(OnMessage);
    int Problem = nng_pull0_open(&m_Inlet);
    if (Problem == 0) {
      nng_socket_set_size(m_Inlet, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
      m_InletOpen = true;
      Problem = nng_listen(m_Inlet, url(Where).c_str(), nullptr, 0);
    }
    if (Problem == 0)
      Problem = nng_aio_alloc(&m_Receive, &Impl::onReceived, this);
    if (Problem != 0)
      return base::failure(base::ResultCode::ConnectionFailed,
                           "Can't listen at " + Where + ": " +
                               nng_strerror(Problem) +
                               ". Choose a free address in the settings.");
    nng_recv_aio(m_Inlet, m_Receive);
    return {};
  }

  void send(const std::string &Where, const wire::PeerMessage &Message) {
    closeIdle();
    Outlet *Out = outlet(Where);
    if (Out == nullptr)
      return;
    Out->m_LastSent = m_Time.now();
    const std::string Bytes = Message.SerializeAsString();
    if (nng_send(Out->m_Socket, const_cast<char *>(Bytes.data()), Bytes.size(),
                 NNG_FLAG_NONBLOCK) == 0)
      m_Bytes += Bytes.size();
  }

  void close() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_Closed = true;
    }
    m_OnMessage = nullptr;
    if (m_InletOpen)
      nng_close(m_Inlet);
    if (m_Receive != nullptr)
      nng_aio_stop(m_Receive);
    for (auto &[Where, Out] : m_Outlets)
      nng_close(Out.m_Socket);
    m_Outlets.clear();
  }

  [[nodiscard]] std::uint64_t bytes() const { return m_Bytes; }

private:
  /// \returns the open outlet to \p Where; replaces one that may be silent.
  Outlet *outlet(const std::string &Where) {
    const auto Found = m_Outlets.find(Where);
    if (Found != m_Outlets.end()) {
      if (!maybeSilent(Found->second))
        return &Found->second;
      nng_close(Found->second.m_Socket);
      m_Outlets.erase(Found);
    }
    Outlet Fresh;
    if (!openOutlet(Fresh, Where))
      return nullptr;
    Fresh.m_OpenedAt = m_Time.now();
    return &m_Outlets.emplace(Where, Fresh).first->second;
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
      if (Idle)
        nng_close(Item.second.m_Socket);
      return Idle;
    });
  }

  static void onReceived(void *Argument) {
    auto *Self = static_cast<Impl *>(Argument);
    if (nng_aio_result(Self->m_Receive) != 0)
      return;
    nng_msg *Message = nng_aio_get_msg(Self->m_Receive);
    std::string Bytes(static_cast<const char *>(nng_msg_body(Message)),
                      nng_msg_len(Message));
    nng_msg_free(Message);
    Self->hand(std::move(Bytes));
    nng_recv_aio(Self->m_Inlet, Self->m_Receive);
  }

  void hand(std::string Bytes) {
    const std::lock_guard Lock(m_Mutex);
    if (m_Closed)
      return;
    boost::asio::post(m_Loop,
                      [Weak = weak_from_this(), Bytes = std::move(Bytes)] {
                        if (const auto Self = Weak.lock())
                          Self->take(Bytes);
                      });
  }

  void take(const std::string &Bytes) {
    m_Bytes += Bytes.size();
    wire::PeerMessage Message;
    if (!m_OnMessage || !Message.ParseFromString(Bytes))
      return;
    const auto Out = m_Outlets.find(Message.reply_address());
    if (Out != m_Outlets.end())
      Out->second.m_LastHeard = m_Time.now();
    m_OnMessage(Message);
  }

  boost::asio::io_context &m_Loop;
  const base::Clock m_Time;
  MessageHook m_OnMessage;
  nng_socket m_Inlet = NNG_SOCKET_INITIALIZER;
  bool m_InletOpen = false;
  nng_aio *m_Receive = nullptr;
  std::map<std::string, Outlet> m_Outlets;
  base::Millis m_LastIdleCheck{};
  std::atomic<std::uint64_t> m_Bytes{0};
  std::mutex m_Mutex;
  bool m_Closed = false;
};

PeerLink::PeerLink(boost::asio::io_context &Loop, base::Clock Time)
    : m_Impl(std::make_shared<Impl>(Loop, std::move(Time))) {}

PeerLink::~PeerLink() { m_Impl->close(); }

base::Result<void> PeerLink::listen(const std::string &Where,
                                    MessageHook OnMessage) {
  return m_Impl->listen(Where, std::move(OnMessage));
}

void PeerLink::send(const std::string &Where,
                    const wire::PeerMessage &Message) {
  m_Impl->send(Where, Message);
}

std::uint64_t PeerLink::bytes() const { return m_Impl->bytes(); }

} // namespace corneldeck::net

#include "Net/FramedConnection.h"

#include "Net/Endpoint.h"
#include "Wire/Link.pb.h"
#include "Wire/Peer.pb.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <string>
#include <utility>

namespace corneldeck::net {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t LengthBytes = 4;

/// A FramedConnection on a TCP socket.
template <typename Frame>
class TcpConnection final : public FramedConnection<Frame> {
  using Base = FramedConnection<Frame>;
  using Base::MaxFrameBytes;
  using Base::MaxUnsentBytes;
  using typename Base::ClosedHook;
  using typename Base::FrameHook;

public:
  explicit TcpConnection(tcp::socket Socket, std::shared_ptr<int> Slot = {})
      : m_Socket(std::move(Socket)), m_Slot(std::move(Slot)) {
    ErrorCode Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    const tcp::endpoint Remote = m_Socket.remote_endpoint(Ignored);
    m_Peer = Remote.address().to_string() + ":" + std::to_string(Remote.port());
  }

  void start(FrameHook OnFrame, ClosedHook OnClosed) override {
    m_OnFrame = std::move(OnFrame);
    m_OnClosed = std::move(OnClosed);
    readSome();
  }

  void send(const Frame &Message) override {
    if (m_Closed)
      return;
    append(Message);
    if (m_Unsent.size() + m_Writing.size() > MaxUnsentBytes) {
      fail("the peer does not read");
      return;
    }
    scheduleWrite();
  }

  void close() override {
    m_Closed = true;
    m_OnFrame = nullptr;
    m_OnClosed = nullptr;
    ErrorCode Ignored;
    m_Socket.close(Ignored);
  }

  [[nodiscard]] std::string peer() const override { return m_Peer; }

private:
  static constexpr std::size_t ReadBytes = 64U << 10U;

  std::shared_ptr<TcpConnection> self() {
    return std::static_pointer_cast<TcpConnection>(this->shared_from_this());
  }

  void append(const Frame &Message) {
    const std::size_t Size = Message.ByteSizeLong();
    std::array<unsigned char, LengthBytes> Length{};
    boost::endian::store_big_u32(Length.data(),
                                 static_cast<std::uint32_t>(Size));
    m_Unsent.append(reinterpret_cast<const char *>(Length.data()), LengthBytes);
    const std::size_t Start = m_Unsent.size();
    m_Unsent.resize(Start + Size);
    Message.SerializeToArray(m_Unsent.data() + Start, static_cast<int>(Size));
  }

  void scheduleWrite() {
    if (m_WriteScheduled)
      return;
    m_WriteScheduled = true;
    boost::asio::post(m_Socket.get_executor(),
                      [Self = self()] { Self->writeSome(); });
  }

  void writeSome() {
    if (m_Closed || m_Unsent.empty()) {
      m_WriteScheduled = false;
      return;
    }
    m_Writing.clear();
    m_Writing.swap(m_Unsent);
    boost::asio::async_write(m_Socket, boost::asio::buffer(m_Writing),
                             [Self = self()](ErrorCode Problem, std::size_t) {
                               Self->onWritten(Problem);
                             });
  }

  void onWritten(ErrorCode Problem) {
    if (m_Closed)
      return;
    if (Problem) {
      fail(Problem.message());
      return;
    }
    m_Writing.clear();
    writeSome();
  }

  void readSome() {
    const std::size_t OldSize = m_Input.size();
    m_Input.resize(OldSize + ReadBytes);
    m_Socket.async_read_some(
        boost::asio::buffer(m_Input.data() + OldSize, ReadBytes),
        [Self = self(), OldSize](ErrorCode Problem, std::size_t Count) {
          Self->m_Input.resize(OldSize + Count);
          Self->onRead(Problem);
        });
  }

  void onRead(ErrorCode Problem) {
    if (m_Closed)
      return;
    if (Problem) {
      fail(Problem.message());
      return;
    }
    if (handleFrames())
      readSome();
  }

  /// \returns false if the connection was closed.
  bool handleFrames() {
    std::size_t Used = 0;
    while (m_Input.size() - Used >= LengthBytes) {
      const std::size_t Size = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char *>(m_Input.data() + Used));
      if (Size > MaxFrameBytes) {
        fail("a frame of " + std::to_string(Size) + " bytes exceeds the limit",
             base::ResultCode::BadMessage);
        return false;
      }
      if (m_Input.size() - Used - LengthBytes < Size)
        break;
      if (!handleFrame(m_Input.data() + Used + LengthBytes, Size))
        return false;
      Used += LengthBytes + Size;
    }
    m_Input.erase(0, Used);
    return true;
  }

  bool handleFrame(const char *Data, std::size_t Size) {
    m_Frame.Clear();
    if (!m_Frame.ParseFromArray(Data, static_cast<int>(Size)) ||
        m_Frame.body_case() == Frame::BODY_NOT_SET) {
      fail("malformed frame", base::ResultCode::BadMessage);
      return false;
    }
    m_OnFrame(m_Frame);
    return !m_Closed;
  }

  void fail(const std::string &Reason,
            base::ResultCode Code = base::ResultCode::ConnectionFailed) {
    const ClosedHook OnClosed = std::move(m_OnClosed);
    const auto Keep = this->shared_from_this();
    // The frame hook may be running, so it is released in a later handler.
    boost::asio::post(m_Socket.get_executor(),
                      [Self = self()] { Self->m_OnFrame = nullptr; });
    m_Closed = true;
    ErrorCode Ignored;
    m_Socket.close(Ignored);
    if (OnClosed)
      OnClosed(base::Error{Code, "Connection to " + m_Peer + ": " + Reason});
  }

  tcp::socket m_Socket;
  /// Held while the connection is open, to count it against the server's limit.
  std::shared_ptr<int> m_Slot;
  std::string m_Peer;
  FrameHook m_OnFrame;
  ClosedHook m_OnClosed;
  std::string m_Input;
  std::string m_Unsent;
  std::string m_Writing;
  Frame m_Frame;
  bool m_WriteScheduled = false;
  bool m_Closed = false;
};

/// An attempt to connect, with its timeout.
template <typename Frame> struct ConnectAttempt {
  explicit ConnectAttempt(boost::asio::io_context &Loop)
      : m_Socket(Loop), m_Timer(Loop) {}

  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  std::function<void(base::Result<FramedConnectionPtr<Frame>>)> m_Done;
  bool m_Finished = false;
};

template <typename Frame>
void finish(const std::shared_ptr<ConnectAttempt<Frame>> &Attempt,
            const std::string &Address, const std::string &Problem) {
  if (Attempt->m_Finished)
    return;
  Attempt->m_Finished = true;
  Attempt->m_Timer.cancel();
  if (Problem.empty()) {
    Attempt->m_Done(
        std::make_shared<TcpConnection<Frame>>(std::move(Attempt->m_Socket)));
    return;
  }
  ErrorCode Ignored;
  Attempt->m_Socket.close(Ignored);
  Attempt->m_Done(base::failure(base::ResultCode::ConnectionFailed,
                                "Connection to " + Address + ": " + Problem));
}

} // namespace

template <typename Frame>
void connectFramed(
    boost::asio::io_context &Loop, const std::string &Address,
    base::Millis Timeout,
    std::function<void(base::Result<FramedConnectionPtr<Frame>>)> Done) {
  auto Attempt = std::make_shared<ConnectAttempt<Frame>>(Loop);
  Attempt->m_Done = std::move(Done);
  Attempt->m_Timer.expires_after(std::chrono::milliseconds(Timeout.count()));
  Attempt->m_Timer.async_wait([Attempt, Address](ErrorCode Problem) {
    if (!Problem)
      finish(Attempt, Address, "connect timeout");
  });
  const base::Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    boost::asio::post(Loop, [Attempt, Address, Problem = Endpoint.error()] {
      finish(Attempt, Address, Problem.m_Message);
    });
    return;
  }
  Attempt->m_Socket.async_connect(
      *Endpoint, [Attempt, Address](ErrorCode Problem) {
        finish(Attempt, Address, Problem ? Problem.message() : "");
      });
}

/// The listening socket. The pending accept keeps it alive.
template <typename Frame>
class FramedServer<Frame>::Impl
    : public std::enable_shared_from_this<typename FramedServer<Frame>::Impl> {
public:
  Impl(boost::asio::io_context &Loop, std::size_t MaxConnections)
      : m_Acceptor(Loop), m_Retry(Loop), m_MaxConnections(MaxConnections) {}

  base::Result<void> listen(const std::string &Address, AcceptHook OnAccept) {
    m_OnAccept = std::move(OnAccept);
    const base::Result<tcp::endpoint> Endpoint = parseEndpoint(Address);
    if (!Endpoint)
      return tl::unexpected(Endpoint.error());
    ErrorCode Problem;
    m_Acceptor.open(Endpoint->protocol(), Problem);
    if (!Problem)
      m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Problem);
    if (!Problem)
      m_Acceptor.bind(*Endpoint, Problem);
    if (!Problem)
      m_Acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        Problem);
    if (Problem)
      return base::failure(base::ResultCode::ConnectionFailed,
                           "Can't listen at " + Address + ": " +
                               Problem.message() +
                               ". Choose a free address in the settings.");
    acceptNext();
    return {};
  }

  void close() {
    m_Closed = true;
    m_OnAccept = nullptr;
    ErrorCode Ignored;
    m_Acceptor.close(Ignored);
    m_Retry.cancel();
  }

private:
  static constexpr std::chrono::milliseconds AcceptRetryDelay{100};

  void acceptNext() {
    m_Acceptor.async_accept([Self = this->shared_from_this()](
                                ErrorCode Problem, tcp::socket Socket) {
      Self->onAccepted(Problem, std::move(Socket));
    });
  }

  void onAccepted(ErrorCode Problem, tcp::socket Socket) {
    if (m_Closed)
      return;
    if (Problem) {
      // Most likely the process has no free file descriptor; accepting again at
      // once would loop without pause.
      m_Retry.expires_after(AcceptRetryDelay);
      m_Retry.async_wait(
          [Self = this->shared_from_this()](ErrorCode Cancelled) {
            if (!Cancelled)
              Self->acceptNext();
          });
      return;
    }
    if (static_cast<std::size_t>(m_Slots.use_count()) <= m_MaxConnections)
      m_OnAccept(
          std::make_shared<TcpConnection<Frame>>(std::move(Socket), m_Slots));
    acceptNext();
  }

  tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_Retry;
  const std::size_t m_MaxConnections;
  /// Held by all open connections; its use count is their number plus one.
  std::shared_ptr<int> m_Slots = std::make_shared<int>(0);
  AcceptHook m_OnAccept;
  bool m_Closed = false;
};

template <typename Frame>
FramedServer<Frame>::FramedServer(boost::asio::io_context &Loop,
                                  std::size_t MaxConnections)
    : m_Impl(std::make_shared<Impl>(Loop, MaxConnections)) {}

template <typename Frame> FramedServer<Frame>::~FramedServer() { close(); }

template <typename Frame>
base::Result<void> FramedServer<Frame>::listen(const std::string &Address,
                                               AcceptHook OnAccept) {
  return m_Impl->listen(Address, std::move(OnAccept));
}

template <typename Frame> void FramedServer<Frame>::close() { m_Impl->close(); }

template class FramedServer<wire::LinkFrame>;
template class FramedServer<wire::PeerMessage>;
template void connectFramed<wire::PeerMessage>(
    boost::asio::io_context &, const std::string &, base::Millis,
    std::function<void(base::Result<FramedConnectionPtr<wire::PeerMessage>>)>);

void connectLink(boost::asio::io_context &Loop, const std::string &Address,
                 base::Millis Timeout,
                 std::function<void(base::Result<LinkConnectionPtr>)> Done) {
  connectFramed<wire::LinkFrame>(Loop, Address, Timeout, std::move(Done));
}

} // namespace corneldeck::net

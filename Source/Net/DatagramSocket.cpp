#include "Net/DatagramSocket.h"

#include "Net/Endpoint.h"

namespace corneldeck::net {

namespace asio = boost::asio;

DatagramSocket::DatagramSocket(asio::io_context &Context, Receiver OnDatagram)
    : m_Socket(Context), m_OnDatagram(std::move(OnDatagram)) {}

base::Result<void> DatagramSocket::open(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected(Endpoint.error());
  const asio::ip::udp::endpoint Local(Endpoint->address(), Endpoint->port());
  boost::system::error_code Error;
  m_Socket.open(Local.protocol(), Error);
  if (!Error)
    m_Socket.bind(Local, Error);
  if (!Error)
    m_Socket.non_blocking(true, Error);
  if (Error)
    return base::failure(base::ResultCode::ConnectionFailed,
                         "cannot receive datagrams on " + Address + ": " +
                             Error.message() + "; choose a free address");
  receive();
  return {};
}

base::Result<void> DatagramSocket::send(const std::string &Address,
                                        std::string_view Bytes) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return tl::make_unexpected(Endpoint.error());
  if (Bytes.size() > MaxBytes)
    return base::failure(base::ResultCode::BadMessage,
                         "a datagram of " + std::to_string(Bytes.size()) +
                             " bytes exceeds the maximum of " +
                             std::to_string(MaxBytes));
  const asio::ip::udp::endpoint To(Endpoint->address(), Endpoint->port());
  boost::system::error_code Error;
  m_Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()), To, 0, Error);
  if (Error)
    return base::failure(base::ResultCode::ConnectionFailed,
                         "cannot send a datagram to " + Address + ": " +
                             Error.message());
  return {};
}

void DatagramSocket::close() {
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
}

void DatagramSocket::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_Sender,
      [this](const boost::system::error_code &Error, std::size_t Count) {
        if (Error == asio::error::operation_aborted || !m_Socket.is_open())
          return;
        // An unreachable peer of an earlier send is reported as an error here;
        // it does not affect later datagrams.
        if (!Error) {
          const asio::ip::tcp::endpoint From(m_Sender.address(),
                                             m_Sender.port());
          m_OnDatagram({m_Buffer.data(), Count}, formatEndpoint(From));
        }
        receive();
      });
}

} // namespace corneldeck::net

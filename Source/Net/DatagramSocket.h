#ifndef CORNELDECK_NET_DATAGRAMSOCKET_H
#define CORNELDECK_NET_DATAGRAMSOCKET_H

#include "Base/Error.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// Sends and receives datagrams on one address. What is lost, or finds no room
/// to be sent, is dropped without notice.
class DatagramSocket {
public:
  /// The most bytes of one datagram.
  static constexpr std::size_t MaxBytes = 60000;

  /// Is called with each datagram and its sender's "ip:port"; the bytes are
  /// gone after the call.
  using Receiver =
      std::function<void(std::string_view Bytes, const std::string &From)>;

  DatagramSocket(boost::asio::io_context &Context, Receiver OnDatagram);

  /// Opens the port on \p Address, "ip:port".
  base::Result<void> open(const std::string &Address);

  void send(const std::string &Address, std::string_view Bytes);

  void close();

private:
  void receive();

  boost::asio::ip::udp::socket m_Socket;
  const Receiver m_OnDatagram;
  boost::asio::ip::udp::endpoint m_Sender;
  std::array<char, MaxBytes> m_Buffer{};
};

} // namespace corneldeck::net

#endif

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

/// Sends and receives UDP datagrams on one address. Delivery is not guaranteed.
class DatagramSocket {
public:
  /// Maximum size of a datagram.
  static constexpr std::size_t MaxBytes = 60000;

  /// Receives each datagram and its sender's "ip:port". \p Bytes is valid only
  /// during the call.
  using Receiver =
      std::function<void(std::string_view Bytes, const std::string &From)>;

  DatagramSocket(boost::asio::io_context &Context, Receiver OnDatagram);

  /// Binds the socket to \p Address, "ip:port", and starts to receive.
  /// \returns nothing, or BadSettings or ConnectionFailed.
  base::Result<void> open(const std::string &Address);

  /// Sends one datagram to \p Address, "ip:port". A network may still drop it
  /// after a successful call.
  /// \returns nothing, BadSettings if the address is invalid, BadMessage if
  /// \p Bytes is larger than MaxBytes, or ConnectionFailed if the operating
  /// system does not accept the datagram, for example because its send buffer
  /// is full.
  base::Result<void> send(const std::string &Address, std::string_view Bytes);

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

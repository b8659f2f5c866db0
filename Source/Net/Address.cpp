#include "Net/Address.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace corneldeck::net {

namespace {

base::Result<Address> reject(std::string_view Text) {
  return base::failure(base::ResultCode::BadSettings,
                       "'" + std::string(Text) +
                           "' is no address: write an IP number and a port, "
                           "such as 127.0.0.1:7100.");
}

} // namespace

base::Result<Address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return reject(Text);

  const std::string Ip(Text.substr(0, Colon));
  boost::system::error_code Problem;
  boost::asio::ip::make_address_v4(Ip, Problem);
  if (Problem)
    return reject(Text);

  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Status] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  const bool Whole = End == PortText.data() + PortText.size();
  if (Status != std::errc() || !Whole || Port == 0)
    return reject(Text);
  return Address{Ip, Port};
}

std::string toString(const Address &Where) {
  return Where.m_Ip + ":" + std::to_string(Where.m_Port);
}

} // namespace corneldeck::net

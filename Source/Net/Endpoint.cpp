#include "Net/Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace corneldeck::net {

namespace asio = boost::asio;

base::Result<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address) {
  const auto Bad = [&] {
    return base::failure(base::ResultCode::BadSettings,
                         "expected ip:port, got \"" + Address + "\"");
  };
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return Bad();
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);

  const char *End = Address.data() + Address.size();
  std::uint16_t Port = 0;
  const auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return Bad();

  boost::system::error_code Code;
  const asio::ip::address Ip = asio::ip::make_address(Host, Code);
  if (Code)
    return Bad();
  return asio::ip::tcp::endpoint(Ip, Port);
}

std::string formatEndpoint(const asio::ip::tcp::endpoint &Endpoint) {
  std::ostringstream Out;
  Out << Endpoint;
  return Out.str();
}

} // namespace corneldeck::net

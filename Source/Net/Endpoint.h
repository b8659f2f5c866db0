#ifndef CORNELDECK_NET_ENDPOINT_H
#define CORNELDECK_NET_ENDPOINT_H

#include "Base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace corneldeck::net {

/// Parses "ip:port" or "[ip6]:port".
/// \returns the endpoint, or BadSettings with the expected format.
base::Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

/// \returns the endpoint as "ip:port".
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace corneldeck::net

#endif

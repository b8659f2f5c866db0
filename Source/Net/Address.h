#ifndef CORNELDECK_NET_ADDRESS_H
#define CORNELDECK_NET_ADDRESS_H

#include "Base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// An IP number and a port.
struct Address {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  bool operator==(const Address &) const = default;
};

/// Reads an address such as "127.0.0.1:7100".
///
/// \returns the address, or BadSettings if \p Text is no IPv4 number and port.
base::Result<Address> parseAddress(std::string_view Text);

/// \returns the address as "ip:port".
std::string toString(const Address &Where);

} // namespace corneldeck::net

#endif

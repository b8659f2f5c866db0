#ifndef CORNELDECK_CLAIMS_CLAIMKEY_H
#define CORNELDECK_CLAIMS_CLAIMKEY_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace corneldeck::claims {

/// An idempotency key of one customer at one service, as a 128-bit hash.
struct ClaimKey {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  bool operator==(const ClaimKey &Other) const {
    return m_High == Other.m_High && m_Low == Other.m_Low;
  }
};

/// Lets ClaimKey be the key of an unordered map.
struct ClaimKeyHash {
  std::size_t operator()(const ClaimKey &Key) const { return Key.m_Low; }
};

/// \returns the hash of \p Key, which is unique to \p Service and \p Customer.
ClaimKey claimKey(std::string_view Service, std::string_view Customer,
                  std::string_view Key);

/// Names the one backend server that may run a key.
///
/// \param Servers the backend servers of the catalogue entry, live or not.
/// \returns the home's name; empty if there are no servers.
std::string homeOf(const ClaimKey &Key, std::span<const std::string> Servers);

/// \returns the hash of a request's content, which tells a reused key from a
/// duplicate.
std::uint64_t fingerprint(std::string_view Method, std::string_view Path,
                          std::string_view Body);

} // namespace corneldeck::claims

#endif

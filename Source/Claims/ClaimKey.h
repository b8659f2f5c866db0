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

/// Hash function of ClaimKey for unordered containers.
struct ClaimKeyHash {
  std::size_t operator()(const ClaimKey &Key) const { return Key.m_Low; }
};

/// \returns the hash of \p Key together with \p Service and \p Customer.
ClaimKey claimKey(std::string_view Service, std::string_view Customer,
                  std::string_view Key);

/// Chooses the home of a key: the only backend server that may run it.
///
/// \param Servers backend servers of the catalogue entry, live or not.
/// \returns the name of the home; empty if there are no servers.
std::string homeOf(const ClaimKey &Key, std::span<const std::string> Servers);

/// \returns a hash of the request's content, which distinguishes a reused key
/// from a duplicate request.
std::uint64_t fingerprint(std::string_view Method, std::string_view Path,
                          std::string_view Body);

} // namespace corneldeck::claims

#endif

#ifndef CORNELDECK_NET_REQUESTTARGET_H
#define CORNELDECK_NET_REQUESTTARGET_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// The path and the query of an HTTP request target.
class RequestTarget {
public:
  /// \param Text the target as sent, such as "/read?from=1".
  explicit RequestTarget(std::string_view Text);

  /// \returns the path, not percent-decoded.
  [[nodiscard]] const std::string &path() const { return m_Path; }

  /// \returns the decoded value of the query parameter \p Key, or none.
  [[nodiscard]] std::optional<std::string> text(std::string_view Key) const;

  /// \returns the query parameter \p Key as a number, or \p Default if it is
  /// missing or not a number.
  [[nodiscard]] std::uint64_t number(std::string_view Key,
                                     std::uint64_t Default) const;

private:
  std::string m_Path;
  std::map<std::string, std::string, std::less<>> m_Query;
};

/// \returns \p Text percent-encoded for use as a query value.
std::string encodeQueryValue(std::string_view Text);

} // namespace corneldeck::net

#endif

#ifndef CORNELDECK_DIRECT_RESPONSEMEMORY_H
#define CORNELDECK_DIRECT_RESPONSEMEMORY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneldeck::direct {

/// The bytes of responses that an entry holds until it can forward them:
/// bodies, and incomplete events of streams.
///
/// If all together exceed the limit, a response of the backend server that
/// holds most has to end. A server that sends without end thus costs its own
/// requests, and not those of the other servers.
class ResponseMemory {
public:
  /// \param MaxBytes the limit for all responses together.
  /// \param OnChanged is called with the bytes of all responses when they have
  /// changed; optional.
  explicit ResponseMemory(std::size_t MaxBytes,
                          std::function<void(std::size_t)> OnChanged = {})
      : m_MaxBytes(MaxBytes), m_OnChanged(std::move(OnChanged)) {}

  /// Records how many bytes of its response a request holds.
  /// \param Request identifies the request.
  /// \param Server the backend server that sends the response.
  void set(std::uint64_t Request, const std::string &Server, std::size_t Bytes);

  /// Records that a request holds nothing.
  void remove(std::uint64_t Request);

  /// Returns the request whose response has to end: the largest of the server
  /// that holds most. Nothing if all are within the limit.
  [[nodiscard]] std::optional<std::uint64_t> excess() const;

  /// Returns the bytes of all responses.
  [[nodiscard]] std::size_t total() const { return m_Total; }

  /// Returns the bytes of the server that holds most.
  [[nodiscard]] std::size_t largestShare() const;

private:
  struct Server {
    std::size_t m_Bytes = 0;
    std::unordered_map<std::uint64_t, std::size_t> m_BytesByRequest;
  };

  [[nodiscard]] const Server *largest() const;

  void setTotal(std::size_t Bytes);

  const std::size_t m_MaxBytes;
  const std::function<void(std::size_t)> m_OnChanged;
  std::size_t m_Total = 0;
  std::unordered_map<std::string, Server> m_Servers;
  std::unordered_map<std::uint64_t, std::string> m_ServerByRequest;
};

} // namespace corneldeck::direct

#endif

#ifndef CORNELDECK_TESTS_PLATFORM_LINKNETWORK_H
#define CORNELDECK_TESTS_PLATFORM_LINKNETWORK_H

#include "Base/Millis.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// Puts a link of limited bandwidth before the peer address of each node.
///
/// The other nodes know a node by the address of its link only. Datagrams pass
/// without a limit; the addresses in them are replaced. All TCP responses of a
/// node share the bandwidth of its link.
class LinkNetwork {
public:
  /// \param BytesPerSecond the bandwidth of each link.
  LinkNetwork(boost::asio::io_context &Context, double BytesPerSecond);
  ~LinkNetwork();

  /// Adds the link of a node.
  /// \param Address the peer address on which the node listens.
  /// \returns the address of the link.
  std::string addNode(const std::string &Node, const std::string &Address);

  /// Returns the number of bytes that all nodes have sent over TCP.
  [[nodiscard]] std::uint64_t sentBytes() const { return m_SentBytes; }

  /// Stops (or resumes) the transfer of all bytes that a node sends over TCP.
  void stall(const std::string &Node, bool Stalled);

  /// Stops all bytes of the connections that are open now, without closing
  /// them. Later connections work.
  void silenceOpenConnections() { ++m_Silenced; }
  /// Returns the number of bytes of requests that were sent on connections
  /// after these had been silenced.
  [[nodiscard]] std::uint64_t silencedBytes() const { return m_SilencedBytes; }

private:
  class Link;
  class Connection;

  /// Replaces the addresses of nodes by those of their links.
  std::string replaceAddresses(std::string_view Datagram,
                               std::string &Sender) const;

  boost::asio::io_context &m_Context;
  const double m_BytesPerSecond;
  std::map<std::string, std::shared_ptr<Link>> m_Links;
  std::uint64_t m_SentBytes = 0;
  /// Number of calls of silenceOpenConnections().
  unsigned m_Silenced = 0;
  std::uint64_t m_SilencedBytes = 0;
};

} // namespace corneldeck::tests

#endif

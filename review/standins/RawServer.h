#ifndef CORNELDECK_REVIEW_RAWSERVER_H
#define CORNELDECK_REVIEW_RAWSERVER_H

#include "CaseWorld.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::review {

/// A request as a stand-in has received it.
struct RawRequest {
  std::string m_Line;
  std::map<std::string, std::string> m_Fields;
  std::string m_Body;
};

/// A server that reads requests with a length, one at a time on a connection.
/// What it answers, and how, is decided by its owner.
class RawServer {
public:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Handler =
      std::function<void(const ConnectionPtr &, const RawRequest &)>;

  class Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(RawServer &Server, boost::asio::ip::tcp::socket Accepted)
        : m_Server(Server), m_Socket(std::move(Accepted)) {}

    /// Reads the next request.
    void read();
    /// Sends bytes.
    /// \param Then called once they are sent; not called if the connection
    /// breaks.
    void send(const std::string &Bytes, std::function<void()> Then);
    void close();
    [[nodiscard]] bool isOpen() const { return m_Socket.is_open(); }

  private:
    void onHead(std::size_t Count);

    RawServer &m_Server;
    boost::asio::ip::tcp::socket m_Socket;
    boost::asio::streambuf m_Input;
    RawRequest m_Request;
    std::string m_Output;
  };

  RawServer(boost::asio::io_context &Loop, Handler OnRequest)
      : m_Loop(Loop), m_OnRequest(std::move(OnRequest)) {}

  /// Listens on a free loopback address.
  /// \returns the address.
  std::string listen();
  /// Closes all sockets, as the operating system does for a process that ends.
  void end();

private:
  void accept();

  boost::asio::io_context &m_Loop;
  const Handler m_OnRequest;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> m_Acceptor;
  std::vector<ConnectionPtr> m_Open;
};

/// \returns a whole response with a length.
std::string rawResponse(int Status, const std::string &Fields,
                        const std::string &Body);

} // namespace corneldeck::review

#endif

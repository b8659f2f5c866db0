#ifndef CORNELDECK_TESTS_PLATFORM_STANDINSERVER_H
#define CORNELDECK_TESTS_PLATFORM_STANDINSERVER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// What a stand-in backend server does with its next requests.
enum class Behaviour {
  Serve,
  NotRun,        ///< 503 that says that it did not run.
  WrongServer,   ///< 421.
  ServerError,   ///< A signed 500.
  Unsigned,      ///< A success without a signature.
  Reset,         ///< Runs and resets the connection.
  Mute,          ///< Runs and never answers.
  NoLength,      ///< An answer that ends with its connection.
  ResetNoLength, ///< The same, reset on the way.
  Stray,         ///< First another request's answer, then its own.
  Extra,         ///< A second answer right behind its own.
  Garbage,       ///< Bytes that are no answer.
  CutStream      ///< Breaks a stream within its third event.
};

/// One request as the server got it.
struct SeenRequest {
  std::string m_Id;
  std::string m_Line;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  bool m_Ran = false;
};

/// Takes the place of a backend server: a signed answer to each request, on
/// kept connections, or one of its faults.
class StandinServer {
public:
  StandinServer(boost::asio::io_context &Context, std::string Id,
                std::string Service);

  std::string listen();
  void stop();

  [[nodiscard]] const std::string &id() const { return m_Id; }
  [[nodiscard]] const std::string &address() const { return m_Address; }
  /// \returns the record by which the server registers itself.
  [[nodiscard]] std::string record(const std::string &State = "ready") const;
  [[nodiscard]] int runs(const std::string &Request) const;

  Behaviour m_Behaviour = Behaviour::Serve;
  /// Events of a stream, and the milliseconds between two of them.
  int m_Events = 5;
  int m_EventPause = 5;
  std::vector<SeenRequest> m_Seen;
  /// Connections that callers closed while their request was running.
  int m_CutOff = 0;
  int m_Connections = 0;

private:
  class Connection;

  void accept();

  boost::asio::io_context &m_Context;
  const std::string m_Id;
  const std::string m_Service;
  std::string m_Address;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::vector<std::weak_ptr<Connection>> m_Open;
};

} // namespace corneldeck::tests

#endif

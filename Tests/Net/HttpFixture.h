#ifndef CORNELDECK_TESTS_NET_HTTPFIXTURE_H
#define CORNELDECK_TESTS_NET_HTTPFIXTURE_H

#include "Net/Endpoint.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>

namespace corneldeck::net {

/// Provides a server, a client and raw sockets on one io_context.
class HttpFixture : public testing::Test {
protected:
  using Socket = boost::asio::ip::tcp::socket;

  void serve(HttpServer::Handler Handle, HttpServerOptions Options = {}) {
    m_Server.emplace(m_Context, std::move(Options), std::move(Handle));
    const auto Address = m_Server->listen("127.0.0.1:0");
    ASSERT_TRUE(Address) << Address.error().m_Message;
    m_Address = *Address;
  }

  /// Runs the io_context until \p Done holds.
  template <typename Predicate> void runUntil(Predicate Done) {
    while (!Done())
      m_Context.run_one();
  }

  Socket connect() {
    Socket Raw(m_Context);
    Raw.connect(*parseEndpoint(m_Address));
    return Raw;
  }

  /// \returns what the server sends until it closes the connection, or until
  /// the received text ends with \p End.
  std::string readAll(Socket &Raw, const std::string &End = "") {
    std::string Text;
    bool Closed = false;
    std::array<char, 4096> Piece{};
    std::function<void()> ReadMore = [&] {
      Raw.async_read_some(
          boost::asio::buffer(Piece), [&](const auto &Code, std::size_t Count) {
            Text.append(Piece.data(), Count);
            Closed = static_cast<bool>(Code);
            if (!Closed && (End.empty() || !Text.ends_with(End)))
              ReadMore();
          });
    };
    ReadMore();
    runUntil([&] { return Closed || (!End.empty() && Text.ends_with(End)); });
    return Text;
  }

  std::string exchange(const std::string &Text, const std::string &End = "") {
    Socket Raw = connect();
    boost::asio::write(Raw, boost::asio::buffer(Text));
    return readAll(Raw, End);
  }

  base::Result<HttpClient::Response> fetch(HttpCall Call) {
    std::optional<base::Result<HttpClient::Response>> Outcome;
    Call.m_Address = m_Address;
    m_Client.fetch(std::move(Call),
                   [&](auto Result) { Outcome = std::move(Result); });
    runUntil([&] { return Outcome.has_value(); });
    return *Outcome;
  }

  boost::asio::io_context m_Context;
  std::optional<HttpServer> m_Server;
  HttpClient m_Client{m_Context};
  std::string m_Address;
};

} // namespace corneldeck::net

#endif

#include "RawServer.h"

#include "Net/Endpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <sstream>

namespace corneldeck::review {

namespace asio = boost::asio;

std::string rawResponse(int Status, const std::string &Fields,
                        const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string RawServer::listen() {
  m_Acceptor = std::make_unique<asio::ip::tcp::acceptor>(
      m_Loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  accept();
  return net::formatEndpoint(m_Acceptor->local_endpoint());
}

void RawServer::end() {
  m_Acceptor.reset();
  const std::vector<ConnectionPtr> Open = std::exchange(m_Open, {});
  for (const ConnectionPtr &Each : Open)
    Each->close();
}

void RawServer::accept() {
  m_Acceptor->async_accept([this](const boost::system::error_code &Code,
                                  asio::ip::tcp::socket Accepted) {
    if (Code)
      return;
    m_Open.push_back(std::make_shared<Connection>(*this, std::move(Accepted)));
    m_Open.back()->read();
    accept();
  });
}

void RawServer::Connection::close() {
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  std::erase(m_Server.m_Open, shared_from_this());
}

void RawServer::Connection::read() {
  asio::async_read_until(
      m_Socket, m_Input, "\r\n\r\n",
      [Self = shared_from_this()](const boost::system::error_code &Code,
                                  std::size_t Count) {
        if (Code)
          Self->close();
        else
          Self->onHead(Count);
      });
}

void RawServer::Connection::onHead(std::size_t Count) {
  const auto Begin = asio::buffers_begin(m_Input.data());
  std::istringstream Lines(
      std::string(Begin, Begin + static_cast<std::ptrdiff_t>(Count)));
  m_Input.consume(Count);
  m_Request = {};
  std::getline(Lines, m_Request.m_Line);
  for (std::string Line; std::getline(Lines, Line) && Line != "\r";)
    if (const std::size_t Colon = Line.find(": "); Colon != Line.npos)
      m_Request.m_Fields[Line.substr(0, Colon)] =
          Line.substr(Colon + 2, Line.size() - Colon - 3);
  const std::string Length = m_Request.m_Fields["Content-Length"];
  const std::size_t Body = Length.empty() ? 0 : std::stoul(Length);
  const std::size_t Missing = Body > m_Input.size() ? Body - m_Input.size() : 0;
  asio::async_read(m_Socket, m_Input, asio::transfer_exactly(Missing),
                   [Self = shared_from_this(),
                    Body](const boost::system::error_code &Code, std::size_t) {
                     if (Code) {
                       Self->close();
                       return;
                     }
                     const auto From =
                         asio::buffers_begin(Self->m_Input.data());
                     Self->m_Request.m_Body.assign(
                         From, From + static_cast<std::ptrdiff_t>(Body));
                     Self->m_Input.consume(Body);
                     Self->m_Server.m_OnRequest(Self, Self->m_Request);
                   });
}

void RawServer::Connection::send(const std::string &Bytes,
                                 std::function<void()> Then) {
  if (!isOpen())
    return;
  m_Output = Bytes;
  asio::async_write(m_Socket, asio::buffer(m_Output),
                    [Self = shared_from_this(), Then = std::move(Then)](
                        const boost::system::error_code &Code, std::size_t) {
                      if (Code)
                        Self->close();
                      else
                        Then();
                    });
}

} // namespace corneldeck::review

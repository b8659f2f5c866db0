#include "EntryFixture.h"
#include "Net/Endpoint.h"

#include <boost/asio/write.hpp>

namespace corneldeck::tests {

namespace {

class PipelinedRequest : public PlatformEntry {
protected:
  static std::string request(const std::string &Target, const std::string &Id) {
    return "POST " + Target +
           " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token key-1\r\n"
           "Deadline-Ms: 8000\r\nContent-Length: 2\r\nAttempt-Id: " +
           Id + "\r\n\r\nhi";
  }

  /// Reads until there are \p Count responses.
  std::size_t readResponses(boost::asio::ip::tcp::socket &Raw,
                            std::size_t Count) {
    Raw.non_blocking(true);
    std::array<char, 4096> Piece{};
    runUntil([&] {
      boost::system::error_code Code;
      const std::size_t Read = Raw.read_some(boost::asio::buffer(Piece), Code);
      m_Text.append(Piece.data(), Read);
      return responses() >= Count ||
             (Code && Code != boost::asio::error::would_block);
    });
    return responses();
  }

  [[nodiscard]] std::size_t responses() const {
    std::size_t Count = 0;
    for (std::size_t At = m_Text.find("HTTP/1.1 200 "); At != std::string::npos;
         At = m_Text.find("HTTP/1.1 200 ", At + 1))
      ++Count;
    return Count;
  }

  std::string m_Text;
};

} // namespace

// Failure: after two pipelined requests, the next request on the connection got
// the response to the second one, which ran again although it must not.
TEST_F(PipelinedRequest, EachRunsOnceAndGetsItsResponse) {
  boost::asio::ip::tcp::socket Raw(m_Loop);
  Raw.connect(*net::parseEndpoint(m_Settings[0].m_CallerAddress));
  const std::string Two =
      request("/plain/a", "p-1") + request("/once/b", "p-2");
  boost::asio::write(Raw, boost::asio::buffer(Two));
  ASSERT_EQ(readResponses(Raw, 2), 2U) << m_Text;
  const std::string Last = request("/once/c", "p-3");
  boost::asio::write(Raw, boost::asio::buffer(Last));
  ASSERT_EQ(readResponses(Raw, 3), 3U) << m_Text;
  for (const char *Id : {"p-1", "p-2", "p-3"})
    EXPECT_EQ(runs(Id), 1) << Id;
}

} // namespace corneldeck::tests

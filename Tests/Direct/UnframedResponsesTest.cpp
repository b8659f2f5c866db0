#include "Direct/UnframedResponses.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>

namespace corneldeck::direct {

namespace {

using testing::ElementsAre;
using testing::IsEmpty;

constexpr std::uint64_t Born = 1000;

class UnframedResponsesTest : public testing::Test {
protected:
  /// A response ends at \p Server, whose port is checked afterwards.
  void end(const std::string &Server, ServerLife Life) {
    m_Responses.checked({{Server, Born}, "llm", {1}, m_Now, "", true}, Life);
  }

  /// A server accepts a request that is sent now.
  void respond(const std::string &Server) {
    m_Responses.recordResponse({Server, Born}, m_Now, m_Now);
  }

  void pass(base::Millis Time) {
    for (const base::Millis End = m_Now + Time; m_Now < End;) {
      m_Now += base::Millis(50);
      m_Responses.decide(m_Now);
    }
  }

  base::Millis m_Now = base::seconds(100);
  std::map<std::string, std::uint64_t> m_Listed{{"s1", Born}, {"s2", Born}};
  /// Results of later checks of ports.
  ServerLife m_LaterLife = ServerLife::Alive;
  int m_LaterChecks = 0;
  std::vector<std::string> m_Served;
  std::vector<std::string> m_Ended;
  UnframedResponses m_Responses{
      [this](const std::string &Server) -> std::optional<std::uint64_t> {
        const auto Found = m_Listed.find(Server);
        return Found == m_Listed.end() ? std::nullopt
                                       : std::optional(Found->second);
      },
      [this](const UnframedResponse &, const ServerEnds::Callback &Done) {
        ++m_LaterChecks;
        Done(m_LaterLife);
      },
      [this](const UnframedResponse &Each) {
        m_Served.push_back(Each.m_Start.m_Server);
      },
      [this](const UnframedResponse &Each) {
        m_Ended.push_back(Each.m_Start.m_Server);
      }};
};

} // namespace

// Failure: the end of the connection of a server that had crashed counted as
// the regular end of its response.
TEST_F(UnframedResponsesTest, AClosedPortShowsThatTheServerHasEnded) {
  end("s1", ServerLife::Ended);
  EXPECT_THAT(m_Ended, ElementsAre("s1"));
  pass(base::seconds(10));
  EXPECT_THAT(m_Ended, ElementsAre("s1"));
  EXPECT_THAT(m_Served, IsEmpty());
}

TEST_F(UnframedResponsesTest, AnUnchangedRecordShowsThatTheRequestWasServed) {
  end("s1", ServerLife::Alive);
  pass(base::seconds(3));
  respond("s1");
  pass(base::Millis(1900));
  EXPECT_THAT(m_Served, IsEmpty());
  pass(base::Millis(200));
  EXPECT_THAT(m_Served, ElementsAre("s1"));
  EXPECT_THAT(m_Ended, IsEmpty());
  EXPECT_EQ(m_Responses.size(), 0U);
}

// Failure: a server that is back at once, or another process on its port, was
// taken for the one that had crashed.
TEST_F(UnframedResponsesTest, ALaterStartInTheRecordShowsThatTheServerEnded) {
  end("s1", ServerLife::Alive);
  end("s2", ServerLife::Alive);
  respond("s2");
  pass(base::Millis(700));
  m_Listed["s1"] = Born + 1;
  pass(base::Millis(200));
  EXPECT_THAT(m_Ended, ElementsAre("s1"));
  pass(base::seconds(2));
  EXPECT_THAT(m_Served, ElementsAre("s2"));
}

// Failure: a process that ends closes its connections before its port, so that
// the first check still found the port open, and the request counted as served.
TEST_F(UnframedResponsesTest, APortThatClosesSoonShowsThatTheServerHasEnded) {
  end("s1", ServerLife::Alive);
  m_LaterLife = ServerLife::Ended;
  pass(base::Millis(150));
  EXPECT_THAT(m_Ended, ElementsAre("s1"));
  pass(base::seconds(3));
  EXPECT_THAT(m_Served, IsEmpty());
  EXPECT_EQ(m_LaterChecks, 1);
}

// Failure: the port of a server that had crashed was held by another process
// until the server was back after some seconds, and the request counted as
// served in the meantime.
TEST_F(UnframedResponsesTest, AnOpenPortAloneDecidesNothing) {
  respond("s1");
  m_Now += base::Millis(1);
  end("s1", ServerLife::Alive);
  end("s2", ServerLife::Alive);
  pass(base::seconds(5));
  EXPECT_THAT(m_Served, IsEmpty());
  EXPECT_THAT(m_Ended, IsEmpty());
  m_Listed["s1"] = Born + 1;
  pass(base::seconds(8));
  EXPECT_THAT(m_Served, IsEmpty());
  EXPECT_THAT(m_Ended, ElementsAre("s1"));
}

// Failure: a part was blamed or released while it was unknown whether the
// server had ended.
TEST_F(UnframedResponsesTest, WithoutAResponseOrARecordNothingIsDecided) {
  end("s1", ServerLife::Unknown);
  end("s2", ServerLife::Alive);
  respond("s2");
  m_Listed.clear();
  pass(base::seconds(11));
  EXPECT_THAT(m_Served, IsEmpty());
  EXPECT_THAT(m_Ended, IsEmpty());
  EXPECT_EQ(m_Responses.size(), 0U);
}

// Failure: callers could use up the memory with short responses.
TEST_F(UnframedResponsesTest, FewResponsesWait) {
  for (int Count = 0; Count < 5000; ++Count)
    end("s1", ServerLife::Alive);
  EXPECT_LE(m_Responses.size(), 512U);
}

} // namespace corneldeck::direct

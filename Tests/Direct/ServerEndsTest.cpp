#include "Direct/ServerEnds.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <optional>

namespace corneldeck::direct {

namespace {

using testing::ElementsAre;

/// Checks whose results the test chooses.
class ServerEndsTest : public testing::Test {
protected:
  void breakConnection(const ServerStart &Start) {
    m_Ends.connectionBroken(Start, "10.0.0.1:1", [this](ServerLife Life) {
      m_Decided.push_back(Life);
    });
  }

  base::Millis m_Now = base::seconds(10);
  std::vector<ServerEnds::Callback> m_Checks;
  std::vector<ServerLife> m_Decided;
  ServerEnds m_Ends{base::Clock([this] { return m_Now; }),
                    [this](const std::string &, ServerEnds::Callback Done) {
                      m_Checks.push_back(std::move(Done));
                    },
                    ServerEndSettings{base::Millis(300), 4}};
};

} // namespace

TEST_F(ServerEndsTest, ConnectionsThatBreakTogetherLeadToOneCheck) {
  breakConnection({"a", 1});
  breakConnection({"a", 1});
  ASSERT_EQ(m_Checks.size(), 1U);
  EXPECT_TRUE(m_Decided.empty());
  m_Checks[0](ServerLife::Ended);
  EXPECT_THAT(m_Decided, ElementsAre(ServerLife::Ended, ServerLife::Ended));
}

TEST_F(ServerEndsTest, AnEndedStartIsNotCheckedAgain) {
  breakConnection({"a", 1});
  m_Checks[0](ServerLife::Ended);
  m_Now += base::minutes(1);
  breakConnection({"a", 1});
  EXPECT_EQ(m_Checks.size(), 1U);
  EXPECT_EQ(m_Decided.size(), 2U);
}

// Failure: a server that had ended after a check was taken for alive by the
// result of that check.
TEST_F(ServerEndsTest, AClosedConnectionIsCheckedAfterItsEnd) {
  const auto Close = [this] {
    m_Ends.connectionClosed({"a", 1}, "10.0.0.1:1", [this](ServerLife Life) {
      m_Decided.push_back(Life);
    });
  };
  Close();
  m_Checks[0](ServerLife::Alive);
  Close();
  ASSERT_EQ(m_Checks.size(), 2U);
  m_Checks[1](ServerLife::Ended);
  Close();
  EXPECT_EQ(m_Checks.size(), 2U);
  EXPECT_THAT(m_Decided, ElementsAre(ServerLife::Alive, ServerLife::Ended,
                                     ServerLife::Ended));
}

// Failure: a server that was restarted under its old id was taken for ended.
TEST_F(ServerEndsTest, ALaterStartIsCheckedAnew) {
  breakConnection({"a", 1});
  m_Checks[0](ServerLife::Ended);
  breakConnection({"a", 2});
  ASSERT_EQ(m_Checks.size(), 2U);
  m_Checks[1](ServerLife::Alive);
  EXPECT_THAT(m_Decided, ElementsAre(ServerLife::Ended, ServerLife::Alive));
}

TEST_F(ServerEndsTest, ALiveServerIsCheckedAgainLater) {
  breakConnection({"a", 1});
  m_Checks[0](ServerLife::Alive);
  m_Now += base::Millis(299);
  breakConnection({"a", 1});
  EXPECT_EQ(m_Checks.size(), 1U);
  m_Now += base::Millis(1);
  breakConnection({"a", 1});
  EXPECT_EQ(m_Checks.size(), 2U);
}

TEST_F(ServerEndsTest, KeepsTheLatestResults) {
  for (std::uint64_t Start = 1; Start <= 100; ++Start) {
    breakConnection({"a", Start});
    m_Checks.back()(ServerLife::Ended);
    m_Now += base::Millis(1);
  }
  breakConnection({"a", 100});
  EXPECT_EQ(m_Checks.size(), 100U);
  breakConnection({"a", 1});
  EXPECT_EQ(m_Checks.size(), 101U);
}

TEST_F(ServerEndsTest, AResultAfterTheEndOfTheObjectIsIgnored) {
  std::optional<ServerEnds> Ends;
  ServerEnds::Callback Result;
  Ends.emplace(base::Clock([this] { return m_Now; }),
               [&Result](const std::string &, ServerEnds::Callback Done) {
                 Result = std::move(Done);
               });
  bool IsDecided = false;
  Ends->connectionBroken({"a", 1}, "10.0.0.1:1",
                         [&IsDecided](ServerLife) { IsDecided = true; });
  Ends.reset();
  Result(ServerLife::Ended);
  EXPECT_FALSE(IsDecided);
}

} // namespace corneldeck::direct

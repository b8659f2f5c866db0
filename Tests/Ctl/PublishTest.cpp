#include "Admin/Messages.h"
#include "Ctl/Command.h"
#include "Net/HttpServer.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

namespace corneldeck::ctl {

namespace {

using testing::HasSubstr;

constexpr const char *EntryText =
    "name: remittances\nowner: ajoke\nkind: service\nclass: interactive\n"
    "backend_servers:\n  - {name: s1, link: 10.0.0.1:7100, control: "
    "10.0.0.1:7101, zone: ikeja, capacity: 16}\n";

/// An entry that answers as ordered, on a thread of its own since the command
/// waits for its answers.
class PublishTest : public testing::Test {
protected:
  void SetUp() override {
    m_Address = m_Server.listen("127.0.0.1:0").value();
    m_Path = testing::TempDir() + "corneldeck-publish-" +
             m_Address.substr(m_Address.find(':') + 1) + ".yaml";
    std::ofstream(m_Path) << EntryText;
    m_List.m_Entries = {{"remittances", 4, 9, "ajoke", "old: text\n", false}};
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  void TearDown() override {
    m_Context.stop();
    m_Thread.join();
    std::remove(m_Path.c_str());
  }

  void handle(const std::shared_ptr<net::HttpExchange> &Exchange) {
    const std::string_view Path = Exchange->target();
    if (Path == admin::EntriesPath)
      Exchange->respond(net::jsonResponse(admin::encode(m_List)));
    else if (Path == admin::StatusPath)
      Exchange->respond(net::jsonResponse(admin::encode(m_Status)));
    else if (Path == admin::PublishPath)
      publish(Exchange);
    else
      Exchange->respondWithError({base::ResultCode::UnknownService, "", {}});
  }

  void publish(const std::shared_ptr<net::HttpExchange> &Exchange) {
    m_Requests.push_back(admin::decodePublishRequest(Exchange->body()).value());
    if (m_LostAnswers > 0) {
      --m_LostAnswers;
      Exchange->abort();
      return;
    }
    Exchange->respond(net::jsonResponse(admin::encode(m_Answer)));
  }

  ExitCode run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--entry", "127.0.0.1:1," + m_Address});
    m_Out.str("");
    return runCtl(Arguments, m_Out, m_Err);
  }

  boost::asio::io_context m_Context{1};
  net::HttpServer m_Server{
      m_Context, {}, [this](const auto &Exchange) { handle(Exchange); }};
  std::thread m_Thread;
  std::string m_Address;
  std::string m_Path;
  admin::EntryList m_List;
  admin::Status m_Status{
      "e1",
      17,
      {{"e1", "entry", "z", 17, base::Millis(0), true, false, ""},
       {"a1", "agent", "z", 16, base::Millis(0), true, false, ""}}};
  admin::PublishResponse m_Answer{admin::PublishResult::Accepted,
                                  base::ResultCode::Ok, 17, ""};
  int m_LostAnswers = 0;
  std::vector<admin::PublishRequest> m_Requests;
  std::ostringstream m_Out;
  std::ostringstream m_Err;
};

TEST_F(PublishTest, BuildsOnTheVersionInForce) {
  EXPECT_EQ(run({"publish", m_Path}), ExitCode::Ok) << m_Err.str();
  ASSERT_EQ(m_Requests.size(), 1U);
  EXPECT_EQ(m_Requests[0].m_Changes[0].m_ExpectedVersion, 4U);
  EXPECT_EQ(m_Requests[0].m_Changes[0].m_Body, EntryText);
  EXPECT_THAT(m_Out.str(), HasSubstr("accepted (ok) at offset 17"));
}

TEST_F(PublishTest, AsksAgainWithTheSameIdentifierIfAnAnswerIsLost) {
  m_LostAnswers = 2;
  EXPECT_EQ(run({"publish", m_Path}), ExitCode::Ok);
  ASSERT_EQ(m_Requests.size(), 3U);
  EXPECT_EQ(m_Requests[0].m_ChangeId, m_Requests[2].m_ChangeId);
}

TEST_F(PublishTest, SaysUnknownIfAllAnswersAreLost) {
  m_LostAnswers = 3;
  EXPECT_EQ(run({"publish", m_Path, "--change-id", "c7"}), ExitCode::Unknown);
  EXPECT_THAT(m_Out.str(), HasSubstr("change c7"));
}

TEST_F(PublishTest, StaysUnknownIfALaterTryIsRefused) {
  m_LostAnswers = 1;
  m_Answer = {admin::PublishResult::Rejected, base::ResultCode::LogUnavailable,
              0, "the log is out"};
  EXPECT_EQ(run({"publish", m_Path}), ExitCode::Unknown);
}

TEST_F(PublishTest, SaysThatItLost) {
  m_Answer = {admin::PublishResult::Rejected, base::ResultCode::RejectedVersion,
              17, "version 5 was accepted first"};
  EXPECT_EQ(run({"publish", m_Path}), ExitCode::Rejected);
  EXPECT_THAT(m_Out.str(), HasSubstr("version 5 was accepted first"));
  EXPECT_EQ(m_Requests.size(), 1U);
}

TEST_F(PublishTest, NamesTheNodesThatLag) {
  EXPECT_EQ(run({"publish", m_Path, "--wait", "--wait-ms", "150"}),
            ExitCode::NotInForceYet);
  EXPECT_THAT(m_Out.str(), HasSubstr("not yet in force at a1"));
}

TEST_F(PublishTest, DeletesWhatIsThere) {
  EXPECT_EQ(run({"publish", "--delete", "remittances"}), ExitCode::Ok);
  EXPECT_TRUE(m_Requests.at(0).m_Changes.at(0).m_Deletion);
  EXPECT_EQ(run({"publish", "--delete", "no-such"}), ExitCode::Failed);
}

TEST_F(PublishTest, ShowsStatusListAndDifference) {
  EXPECT_EQ(run({"status"}), ExitCode::Ok);
  EXPECT_THAT(m_Out.str(), HasSubstr("a1    agent  z     16      1 "));
  EXPECT_EQ(run({"list", "--format", "json"}), ExitCode::Ok);
  EXPECT_EQ(m_Out.str(), admin::encode(m_List) + "\n");
  EXPECT_EQ(run({"diff", m_Path}), ExitCode::Differs);
  EXPECT_THAT(m_Out.str(), HasSubstr("- old: text\n+ name: remittances"));
}

TEST_F(PublishTest, ReportsAnEntrysError) {
  EXPECT_EQ(run({"groups"}), ExitCode::Failed);
  EXPECT_THAT(m_Err.str(), HasSubstr("unknown-service"));
}

} // namespace

} // namespace corneldeck::ctl

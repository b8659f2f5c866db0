#include "RankAgent/EngineProfileReader.h"

#include "Net/HttpServer.h"

#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace corneldeck::tests {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;

/// A reader, entries that respond as the test sets, and a log.
class EngineProfileReader : public testing::Test {
protected:
  struct Entry {
    wire::NodeNews m_News;
    int m_Status = Ok;
    bool m_Silent = false;
    int m_Requests = 0;
    std::unique_ptr<net::HttpServer> m_Server;
  };

  Entry &addEntry(const std::string &Zone) {
    m_Entries.push_back(std::make_unique<Entry>());
    Entry &Added = *m_Entries.back();
    Added.m_Server = std::make_unique<net::HttpServer>(
        m_Loop, net::HttpServerOptions(),
        [&Added, this](const std::shared_ptr<net::HttpExchange> &Exchange) {
          ++Added.m_Requests;
          m_Target = Exchange->target();
          if (Added.m_Silent)
            m_Unanswered.push_back(Exchange);
          else
            respond(Added, *Exchange);
        });
    Added.m_News.set_node("entry-" + std::to_string(m_Entries.size()));
    Added.m_News.set_peer_address(*Added.m_Server->listen("127.0.0.1:0"));
    Added.m_News.set_zone(Zone);
    return Added;
  }

  static void respond(const Entry &From, net::HttpExchange &Exchange) {
    wire::EngineNews News;
    News.set_layer_sets(8);
    News.set_experts(252);
    News.set_slots_per_set(5);
    News.set_max_new_experts(2);
    Exchange.respond(From.m_Status, {},
                     From.m_Status == Ok ? News.SerializeAsString()
                                         : std::string("no\n"));
  }

  std::vector<wire::NodeNews> liveEntries() const {
    std::vector<wire::NodeNews> Live;
    for (const auto &Each : m_Entries)
      Live.push_back(Each->m_News);
    return Live;
  }

  /// Runs until the profile has been read.
  void run() {
    const auto Bound =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!m_Profile && std::chrono::steady_clock::now() < Bound)
      m_Loop.run_one_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(m_Profile.has_value()) << "no profile";
  }

  void readLog(
      const std::function<void(base::Result<direct::Configuration>)> &Done) {
    ++m_LogReads;
    if (m_LogReads <= m_FailedLogReads) {
      Done(base::failure(base::ResultCode::LogUnavailable, "no"));
      return;
    }
    direct::EngineProfile Engine;
    Engine.m_LayerSets = 4;
    direct::Service Service;
    Service.m_Name = "svc a";
    Service.m_Engine = Engine;
    direct::Configuration Published;
    Published.m_Services.push_back(Service);
    Done(Published);
  }

  boost::asio::io_context m_Loop{1};
  base::Timeline m_Events{"agent", 100};
  net::HttpClient m_Client{m_Loop};
  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::vector<std::shared_ptr<net::HttpExchange>> m_Unanswered;
  std::string m_Target;
  int m_LogReads = 0;
  int m_FailedLogReads = 0;
  std::optional<direct::EngineProfile> m_Profile;
  rankagent::EngineProfileReader m_Reader{
      m_Loop,
      m_Client,
      {.m_Service = "svc a", .m_Zone = "near"},
      m_Events,
      {[this] { return liveEntries(); },
       [this](const std::function<void(base::Result<direct::Configuration>)>
                  &Done) { readLog(Done); },
       [this](const direct::EngineProfile &Profile) { m_Profile = Profile; }}};
};

} // namespace

// Failure: a planner read the whole configuration from the log for a few
// numbers that every entry knows.
TEST_F(EngineProfileReader, AsksAnEntryOfItsZoneAndNotTheLog) {
  const Entry &Far = addEntry("far");
  addEntry("near");
  m_Reader.start();
  run();
  EXPECT_EQ(m_Profile->m_LayerSets, 8U);
  EXPECT_EQ(m_Profile->m_Experts, 252U);
  EXPECT_EQ(m_Profile->m_SlotsPerSet, 5U);
  EXPECT_EQ(m_Profile->m_MaxNewExperts, 2U);
  EXPECT_EQ(m_Target, "/engines?service=svc%20a");
  EXPECT_EQ(Far.m_Requests, 0);
  EXPECT_EQ(m_LogReads, 0);
  EXPECT_FALSE(m_Reader.isActive());
}

// Failure: a request that failed was not repeated, and the group had no planner
// until the next election.
TEST_F(EngineProfileReader, AsksTheNextEntryAfterAFailure) {
  addEntry("near").m_Silent = true;
  addEntry("near").m_Status = Unavailable;
  addEntry("far");
  m_Reader.start();
  run();
  EXPECT_EQ(m_Profile->m_LayerSets, 8U);
  EXPECT_EQ(m_LogReads, 0);
}

// Failure: without a known entry there was no planner.
TEST_F(EngineProfileReader, ReadsTheLogAgainUntilItSucceeds) {
  m_FailedLogReads = 2;
  m_Reader.start();
  run();
  EXPECT_EQ(m_Profile->m_LayerSets, 4U);
  EXPECT_EQ(m_LogReads, 3);
}

// Failure: entries that have no configuration yet kept a planner from the log.
TEST_F(EngineProfileReader, ReadsTheLogIfNoEntryHasTheProfile) {
  addEntry("near").m_Status = Unavailable;
  m_Reader.start();
  run();
  EXPECT_EQ(m_Profile->m_LayerSets, 4U);
  EXPECT_EQ(m_LogReads, 1);
}

// Failure: an agent that was elected no more started a planner.
TEST_F(EngineProfileReader, ACancelledReadHasNoResult) {
  Entry &Only = addEntry("near");
  Only.m_Silent = true;
  m_Reader.start();
  while (Only.m_Requests == 0)
    m_Loop.run_one_for(std::chrono::milliseconds(20));
  m_Reader.cancel();
  respond(Only, *m_Unanswered.front());
  m_Loop.run_for(std::chrono::milliseconds(600));
  EXPECT_FALSE(m_Profile.has_value());
  EXPECT_EQ(Only.m_Requests, 1);
  EXPECT_EQ(m_LogReads, 0);
}

} // namespace corneldeck::tests

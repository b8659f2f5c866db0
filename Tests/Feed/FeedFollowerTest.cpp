#include "Feed/FeedFollower.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace corneldeck::feed {

namespace {

/// An in-memory log that posts its results to the event loop.
class FollowerTest : public testing::Test {
protected:
  void SetUp() override {
    m_Log.m_ReadSnapshot =
        [this](const std::string &, const std::string &,
               std::function<void(base::Result<SnapshotPage>)> Done) {
          ++m_SnapshotReads;
          SnapshotPage Page;
          Page.m_EndOffset = m_Records.size();
          std::map<std::string, KeyedRecord> Newest;
          for (const KeyedRecord &Each : m_Records)
            Newest[Each.m_Key] = Each;
          for (const auto &[Key, Each] : Newest)
            Page.m_Records.push_back(Each);
          postResult<SnapshotPage>(std::move(Done), Page);
        };
    m_Log.m_Read = [this](const std::string &, std::uint64_t From, base::Millis,
                          std::function<void(base::Result<RecordBatch>)> Done) {
      ++m_Reads;
      if (From < m_FirstOffset) {
        boost::asio::post(m_Loop, [Done = std::move(Done)] {
          Done(base::failure(base::ResultCode::LogGap, "expired"));
        });
        return;
      }
      RecordBatch Batch;
      for (std::uint64_t At = From; At < m_Records.size(); ++At)
        Batch.m_Records.push_back(m_Records[At]);
      Batch.m_NextOffset = m_Records.size();
      postResult<RecordBatch>(std::move(Done), Batch);
    };
    FeedFollowerSettings Settings;
    Settings.m_PollInterval = base::Millis(1);
    Settings.m_InitialBackoff = base::Millis(1);
    Settings.m_MaxBackoff = base::Millis(2);
    m_Follower.emplace(m_Loop, m_Log, m_State, Settings,
                       FeedFollower::Hooks{[this] { ++m_Changes; },
                                           [](const base::Error *) {}});
  }

  template <typename Value>
  void postResult(std::function<void(base::Result<Value>)> Done, Value Result) {
    boost::asio::post(m_Loop, [this, Done = std::move(Done), Result] {
      if (m_Unavailable)
        Done(base::failure(base::ResultCode::LogUnavailable, "down"));
      else
        Done(Result);
    });
  }

  void put(const std::string &Key, std::optional<std::string> Value) {
    m_Records.push_back({m_Records.size(), Key, std::move(Value)});
  }

  void runUntil(const std::function<bool()> &Done) {
    for (int Count = 0; Count < 20000 && !Done(); ++Count)
      m_Loop.run_one_for(std::chrono::milliseconds(10));
    ASSERT_TRUE(Done());
  }

  boost::asio::io_context m_Loop;
  KeyedLogClient m_Log;
  KeyedState m_State{[](const std::string &, const std::string &Before,
                        const std::string &After) { return Before != After; }};
  std::optional<FeedFollower> m_Follower;
  std::vector<KeyedRecord> m_Records;
  std::uint64_t m_FirstOffset = 0;
  bool m_Unavailable = false;
  int m_SnapshotReads = 0;
  int m_Reads = 0;
  int m_Changes = 0;
};

} // namespace

TEST_F(FollowerTest, ReadsOneSnapshotThenRecords) {
  put("a", "1");
  m_Follower->setActive(true);
  runUntil([this] { return m_State.values().count("a") == 1; });
  put("a", "2");
  runUntil([this] { return m_State.values().at("a") == "2"; });
  EXPECT_EQ(m_SnapshotReads, 1);
  EXPECT_EQ(m_Changes, 2);
}

TEST_F(FollowerTest, ReadsASnapshotAgainAfterAGap) {
  put("a", "1");
  m_Follower->setActive(true);
  runUntil([this] { return m_State.values().count("a") == 1; });
  put("a", std::nullopt);
  put("b", "1");
  m_FirstOffset = 3;
  runUntil([this] { return m_State.values().count("b") == 1; });
  EXPECT_EQ(m_State.values().count("a"), 0U);
  EXPECT_EQ(m_SnapshotReads, 2);
}

TEST_F(FollowerTest, RecoversAfterAnOutage) {
  m_Unavailable = true;
  m_Follower->setActive(true);
  runUntil([this] { return m_SnapshotReads > 2; });
  EXPECT_FALSE(m_State.isLoaded());
  m_Unavailable = false;
  put("a", "1");
  runUntil([this] { return m_State.values().count("a") == 1; });
}

TEST_F(FollowerTest, MakesNoCallsWhileInactive) {
  m_Follower->setActive(true);
  runUntil([this] { return m_Reads > 0; });
  m_Follower->setActive(false);
  for (int Count = 0; Count < 20; ++Count)
    m_Loop.run_one_for(std::chrono::milliseconds(2));
  const int Before = m_Reads;
  for (int Count = 0; Count < 20; ++Count)
    m_Loop.run_one_for(std::chrono::milliseconds(2));
  EXPECT_EQ(m_Reads, Before);
}

} // namespace corneldeck::feed

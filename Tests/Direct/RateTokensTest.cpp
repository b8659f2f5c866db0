#include "Direct/RateTokens.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>

namespace corneldeck::direct {

namespace {

using Kind = RateLimitField::Kind;

/// Three entries that need tokens of one server. Their messages wait until
/// deliver() is called.
class RateTokensTest : public testing::Test {
protected:
  struct Entry {
    std::string m_Name;
    ServerRateLimits m_Limits;
    std::unique_ptr<RateTokens> m_Tokens;
  };
  struct Message {
    std::string m_From;
    std::string m_To;
    RateTokenMessage m_Content;
  };

  void SetUp() override {
    for (const std::string Name : {"a", "b", "c"})
      start(Name);
    for (Entry *Each : entries())
      named(*Each, 1);
  }

  void start(const std::string &Name) {
    Entry &Added = m_Entries[Name];
    Added.m_Name = Name;
    Added.m_Limits.replaceServers({{"s", {"10.0.0.1:1", 7}}}, m_Now);
    Added.m_Tokens = std::make_unique<RateTokens>(
        Added.m_Limits, RateTokenSettings{},
        static_cast<std::uint64_t>(m_Now.count()) << 10);
    Added.m_Tokens->onSend(
        [this, Name](const std::string &To, const RateTokenMessage &Content) {
          m_Messages.push_back({Name, To, Content});
        });
    Added.m_Tokens->setEntries(Name, {"a", "b", "c"}, m_Now);
  }
  /// Lets an entry receive a response that names a limit.
  void named(Entry &At, double PerSecond) {
    m_PerSecond = PerSecond;
    At.m_Limits.recordResponse("s", {Kind::Named, PerSecond}, true, m_Now,
                               m_Now);
    At.m_Tokens->update(m_Now);
  }
  std::vector<Entry *> entries() {
    std::vector<Entry *> All;
    for (auto &[Name, Each] : m_Entries)
      All.push_back(&Each);
    return All;
  }
  void deliver() {
    while (!m_Messages.empty()) {
      const Message Next = m_Messages.front();
      m_Messages.pop_front();
      m_Entries[Next.m_To].m_Tokens->receive(Next.m_From, Next.m_Content,
                                             m_Now);
    }
  }
  /// Lets time pass; each entry sends a request whenever it may.
  /// \returns the number of requests to the server.
  int run(base::Millis Duration,
          const std::vector<std::string> &Names = {"a", "b", "c"}) {
    int Sent = 0;
    for (const base::Millis End = m_Now + Duration; m_Now < End;
         m_Now += base::Millis(10))
      for (const std::string &Name : Names) {
        RateTokens &Tokens = *m_Entries[Name].m_Tokens;
        Tokens.update(m_Now);
        deliver();
        Tokens.request("s", m_Now);
        deliver();
        if (!Tokens.permits("s"))
          continue;
        Tokens.use("s", m_Now);
        deliver();
        ++Sent;
        ++m_Sent[Name];
        for (Entry *Each : entries())
          named(*Each, m_PerSecond);
      }
    return Sent;
  }
  /// Names another entry than the one that grants the tokens.
  std::string other() {
    return m_Entries["a"].m_Tokens->granter("s") == "a" ? "b" : "a";
  }
  Entry &granter() { return m_Entries[m_Entries["a"].m_Tokens->granter("s")]; }

  base::Millis m_Now = base::seconds(100);
  double m_PerSecond = 0;
  std::map<std::string, Entry> m_Entries;
  std::deque<Message> m_Messages;
  std::map<std::string, int> m_Sent;
};

} // namespace

// Failure: each entry applied the whole limit by itself.
TEST_F(RateTokensTest, DividesALimitOverTheEntriesThatNeedIt) {
  const int Sent = run(base::seconds(60));
  EXPECT_GE(Sent, 57);
  EXPECT_LE(Sent, 63);
  for (const auto &[Name, Count] : m_Sent)
    EXPECT_GE(Count, 10) << Name;
  EXPECT_GE(run(base::seconds(60), {"b"}), 57);
}

TEST_F(RateTokensTest, AppliesChangedLimits) {
  run(base::seconds(5));
  for (Entry *Each : entries())
    named(*Each, 8);
  const int Sent = run(base::seconds(10));
  EXPECT_GE(Sent, 76);
  EXPECT_LE(Sent, 91);
}

// Failure: tokens that were stored under a higher limit were used under a lower
// one.
TEST_F(RateTokensTest, ALowerLimitDiscardsStoredTokens) {
  for (int Count = 0; Count < 20; ++Count) {
    for (Entry *Each : entries())
      named(*Each, 20);
    m_Now += base::Millis(200);
  }
  for (Entry *Each : entries())
    named(*Each, 1);
  EXPECT_LE(run(base::Millis(500)), 4);
}

TEST_F(RateTokensTest, AServerWithALimitOfZeroGetsFewRequests) {
  for (Entry *Each : entries())
    named(*Each, 0);
  EXPECT_GE(run(base::seconds(20)), 4);
  EXPECT_LE(run(base::seconds(20)), 6);
}

// Failure: after a time without requests, one request for each entry was sent
// at once.
TEST_F(RateTokensTest, BoundsTheTokensAfterAnIdlePeriod) {
  for (int Count = 0; Count < 300; ++Count) {
    m_Now += base::Millis(200);
    for (Entry *Each : entries()) {
      Each->m_Tokens->update(m_Now);
      named(*Each, 1);
    }
    deliver();
  }
  EXPECT_LE(run(base::Millis(20)), 3);
}

TEST_F(RateTokensTest, AReturnedTokenIsGrantedAgain) {
  RateTokens &Holder = *m_Entries[other()].m_Tokens;
  m_Now += base::Millis(1000);
  Holder.request("s", m_Now);
  deliver();
  granter().m_Tokens->update(m_Now);
  deliver();
  ASSERT_TRUE(Holder.permits("s"));
  m_Now += base::Millis(500);
  Holder.update(m_Now);
  deliver();
  EXPECT_FALSE(Holder.permits("s"));
  RateTokens &Next = *m_Entries["c"].m_Tokens;
  Next.request("s", m_Now);
  deliver();
  EXPECT_TRUE(Next.permits("s"));
}

// Failure: a grant that was delayed in the network was used after its granter
// had counted it as used.
TEST_F(RateTokensTest, DropsLateAndDuplicateGrants) {
  const std::string Name = other();
  RateTokens &Holder = *m_Entries[Name].m_Tokens;
  m_Now += base::Millis(1100);
  Holder.request("s", m_Now);
  const Message Request = m_Messages.front();
  m_Messages.clear();
  m_Entries[Request.m_To].m_Tokens->receive(Name, Request.m_Content, m_Now);
  ASSERT_EQ(m_Messages.size(), 1U);
  const Message Grant = m_Messages.front();
  m_Messages.clear();
  Holder.receive(Grant.m_From, Grant.m_Content, m_Now);
  ASSERT_TRUE(Holder.permits("s"));
  Holder.use("s", m_Now);
  Holder.receive(Grant.m_From, Grant.m_Content, m_Now);
  EXPECT_FALSE(Holder.permits("s"));
  RateTokenMessage Late = Grant.m_Content;
  ++Late.m_Number;
  m_Now += base::Millis(400);
  Holder.receive(Grant.m_From, Late, m_Now);
  EXPECT_FALSE(Holder.permits("s"));
}

// Failure: entries that were cut off from each other each applied the whole
// limit.
TEST_F(RateTokensTest, CutOffEntriesApplyTheirPartOfALimit) {
  for (Entry *Each : entries()) {
    named(*Each, 3);
    Each->m_Tokens->setEntries(Each->m_Name, {Each->m_Name}, m_Now);
  }
  const int Sent = run(base::seconds(10));
  EXPECT_GE(Sent, 27);
  EXPECT_LE(Sent, 36);
}

// Failure: a new granter started with tokens that the former one had granted.
TEST_F(RateTokensTest, AnotherGranterStartsWithoutTokens) {
  run(base::seconds(10));
  const std::string Lost = granter().m_Name;
  std::vector<std::string> Live = {"a", "b", "c"};
  std::erase(Live, Lost);
  for (const std::string &Name : Live)
    m_Entries[Name].m_Tokens->setEntries(Name, Live, m_Now);
  EXPECT_LE(run(base::Millis(1000), Live), 1);
  EXPECT_GE(run(base::seconds(10), Live), 6);
}

TEST_F(RateTokensTest, ServersWithoutALimitNeedNoToken) {
  RateTokens &Tokens = *m_Entries["a"].m_Tokens;
  EXPECT_TRUE(Tokens.permits("t"));
  EXPECT_FALSE(Tokens.request("t", m_Now));
  m_Now += base::Millis(1);
  m_Entries["a"].m_Limits.recordResponse("s", {}, true, m_Now, m_Now);
  EXPECT_TRUE(Tokens.permits("s"));
}

} // namespace corneldeck::direct

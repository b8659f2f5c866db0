#include "Direct/ServerPool.h"

#include <deque>
#include <gtest/gtest.h>
#include <memory>

namespace corneldeck::direct {

namespace {

using base::Millis;
using base::seconds;

constexpr std::uint64_t WallTime = 1'000'000'000;

BackendServer server(const std::string &Id, std::optional<Millis> Remaining,
                     std::uint64_t StartTime = 1) {
  BackendServer Made;
  Made.m_Id = Id;
  Made.m_Service = "s";
  Made.m_Address = "10.0.0.1:" + std::to_string(1000 + Id.back());
  Made.m_Zone = "a";
  Made.m_Capacity = 100;
  Made.m_StartTime = StartTime;
  Made.m_NamesWarmUp = Remaining.has_value();
  Made.m_WarmUpRemaining = Remaining.value_or(Millis(0));
  return Made;
}

/// One entry before the server "c", and "w", which is warm.
class WarmUpLimitsTest : public testing::Test {
protected:
  WarmUpLimitsTest() {
    setRule({seconds(10), 4});
    m_Pool.rateTokens().setEntries("e", {"e"}, m_Now - seconds(10));
    list(Millis(0));
  }

  void setRule(const WarmUpRule &Rule) {
    m_Pool.warmUp().setRules({{"s", Rule}}, m_Now);
  }
  void list(std::optional<Millis> Remaining, std::uint64_t StartTime = 1,
            std::uint64_t Record = 0) {
    BackendServer Listed = server("c", Remaining, StartTime);
    Listed.m_WarmUpRecord = Record;
    m_Pool.replaceServers({Listed, server("w", Millis(0))}, m_Now, WallTime);
  }
  void pass(Millis Time) {
    m_Now += Time;
    m_Pool.warmUp().update(m_Now);
    m_Pool.rateTokens().update(m_Now);
  }
  bool isCold() { return m_Pool.warmUp().limit("c").has_value(); }

  Millis m_Now = seconds(1000);
  base::Random m_Rng{7};
  ServerPool m_Pool{"a"};
};

} // namespace

// Failure: a server whose record named a remaining time got its ordinary share.
TEST_F(WarmUpLimitsTest, AServerIsColdForTheTimeThatItsRecordNames) {
  EXPECT_FALSE(isCold());
  list(seconds(3));
  EXPECT_TRUE(isCold());
  EXPECT_EQ(m_Pool.availability("c", m_Now), ServerAvailability::NoToken);
  EXPECT_EQ(m_Pool.availability("w", m_Now), ServerAvailability::Available);
  pass(seconds(2));
  EXPECT_TRUE(isCold());
  pass(seconds(1));
  EXPECT_FALSE(isCold());
}

// Failure: a server that became warm early, or cold again, stayed as it was;
// another server's record prolonged the time.
TEST_F(WarmUpLimitsTest, EachRecordSaysHowColdItsServerIs) {
  list(seconds(3), 1, 5);
  pass(seconds(2));
  list(seconds(3), 1, 5);
  pass(seconds(1));
  EXPECT_FALSE(isCold());
  list(seconds(3), 1, 6);
  EXPECT_TRUE(isCold());
  list(Millis(0));
  EXPECT_FALSE(isCold());
}

// Failure: a server whose record names no time was taken for a warm one.
TEST_F(WarmUpLimitsTest, AServerThatNamesNothingIsColdAfterItsStart) {
  list(std::nullopt, WallTime - 4000);
  EXPECT_TRUE(isCold());
  pass(seconds(5));
  EXPECT_TRUE(isCold());
  list(std::nullopt, WallTime - 4000);
  pass(seconds(1));
  EXPECT_FALSE(isCold());
  list(std::nullopt, WallTime - 10'001);
  EXPECT_FALSE(isCold());
  // By the clock of its VM it has not started yet.
  list(std::nullopt, WallTime + 60'000);
  EXPECT_TRUE(isCold());
  list(std::nullopt, 0);
  EXPECT_TRUE(isCold());
}

// Failure: a service without a bound or a warm-up time limited its cold
// servers.
TEST_F(WarmUpLimitsTest, WithoutABoundColdServersAreUsedAsBefore) {
  for (const WarmUpRule &Rule :
       {WarmUpRule{seconds(10), 0}, WarmUpRule{Millis(0), 4}, WarmUpRule{}}) {
    setRule(Rule);
    list(seconds(3));
    EXPECT_FALSE(isCold());
    EXPECT_EQ(m_Pool.availability("c", m_Now), ServerAvailability::Available);
    EXPECT_EQ(m_Pool.usage("s", m_Now).m_LimitedServers, 0U);
  }
}

// Failure: after the end of an evacuation the servers of its zone, which may be
// cold, were flooded.
TEST_F(WarmUpLimitsTest, AServerIsColdAfterTheEvacuationOfItsZone) {
  m_Pool.evacuate({"a"}, m_Now);
  pass(seconds(5));
  m_Pool.evacuate({}, m_Now);
  EXPECT_TRUE(isCold());
  list(Millis(0));
  EXPECT_TRUE(isCold());
  pass(seconds(9));
  EXPECT_TRUE(isCold());
  pass(seconds(1));
  EXPECT_FALSE(isCold());
  m_Pool.evacuate({"a"}, m_Now);
  m_Pool.evacuate({}, m_Now);
  list(seconds(1), 1, 7);
  list(Millis(0));
  EXPECT_FALSE(isCold());
}

// Failure: requests waited for tokens of a cold server while others had
// capacity, or its whole capacity counted.
TEST_F(WarmUpLimitsTest, RequestsDoNotWaitForAColdServer) {
  list(seconds(30));
  for (int Count = 0; Count < 50; ++Count) {
    const BackendServer *Chosen = m_Pool.chooseServer("s", {}, m_Now, m_Rng);
    ASSERT_TRUE(Chosen);
    EXPECT_EQ(Chosen->m_Id, "w");
  }
  const auto Usage = m_Pool.usage("s", m_Now);
  EXPECT_EQ(Usage.m_Capacity, 100U);
  EXPECT_EQ(Usage.m_LimitedCapacity, 0U);
  EXPECT_EQ(Usage.m_ColdServers, 1U);
}

// Failure: the lower one of a named limit and that of a cold server was not
// applied.
TEST_F(WarmUpLimitsTest, TheLowerLimitApplies) {
  list(seconds(30));
  for (const auto &[Named, Limit] : {std::pair{1.0, 1.0}, {9.0, 4.0}}) {
    pass(Millis(10));
    m_Pool.rateLimits().recordResponse(
        "c", {RateLimitField::Kind::Named, Named}, true, m_Now, m_Now);
    EXPECT_EQ(m_Pool.rateTokens().limit("c"), Limit);
  }
}

// Failure: with a small overshoot and tolerance, the one token that has to
// exist came on top of the whole rate.
TEST_F(WarmUpLimitsTest, RateAndTokensStayWithinTheBound) {
  for (const WarmUpBounds &Bounds :
       {WarmUpBounds{}, WarmUpBounds{1, 0}, WarmUpBounds{1.1, 0.5}})
    for (const double PerSecond : {1.0, 2.0, 8.0, 100.0}) {
      const WarmUpLimits Limits(Bounds);
      EXPECT_LE(Limits.tokensPerSecond(PerSecond) + Limits.maxTokens(PerSecond),
                PerSecond * Bounds.m_Overshoot + Bounds.m_Tolerance);
    }
  EXPECT_EQ(WarmUpLimits().tokensPerSecond(8), 8);
}

// Failure: a token that had expired while its entry was frozen was used.
TEST_F(WarmUpLimitsTest, AnExpiredTokenDoesNotPermitARequest) {
  list(seconds(30));
  pass(Millis(10));
  pass(Millis(600));
  m_Pool.requestToken("s", m_Now, m_Rng);
  m_Pool.rateTokens().update(m_Now);
  ASSERT_EQ(m_Pool.availability("c", m_Now), ServerAvailability::Available);
  m_Now += seconds(5);
  EXPECT_EQ(m_Pool.availability("c", m_Now), ServerAvailability::NoToken);
}

namespace {

/// Entries that send as many requests to one cold server as they may.
class ColdServerTokensTest : public testing::Test {
protected:
  struct Entry {
    std::unique_ptr<ServerPool> m_Pool;
    std::vector<std::string> m_Live;
    bool m_IsFrozen = false;
  };
  struct Message {
    std::string m_From;
    std::string m_To;
    RateTokenMessage m_Content;
  };

  void start(std::size_t Entries, double PerSecond) {
    m_PerSecond = PerSecond;
    std::vector<std::string> Names;
    for (std::size_t Index = 0; Index < Entries; ++Index)
      Names.push_back("e" + std::to_string(Index));
    for (const std::string &Name : Names)
      startEntry(Name, Names);
    pass(seconds(3));
    m_Sent.clear();
  }
  void startEntry(const std::string &Name, std::vector<std::string> Live) {
    Entry &Added = m_Entries[Name];
    Added.m_Live = std::move(Live);
    Added.m_Pool = std::make_unique<ServerPool>(
        "a", ServerPoolSettings{},
        static_cast<std::uint64_t>(m_Now.count()) << 10U);
    Added.m_Pool->warmUp().setRules({{"s", {seconds(10), m_PerSecond}}}, m_Now);
    Added.m_Pool->replaceServers({server("c", seconds(3600))}, m_Now, WallTime);
    Added.m_Pool->rateTokens().onSend(
        [this, Name](const std::string &To, const RateTokenMessage &Content) {
          m_Messages.push_back({Name, To, Content});
        });
  }
  void pass(Millis Time) {
    for (const Millis End = m_Now + Time; m_Now < End; m_Now += Millis(10)) {
      for (auto &[Name, Each] : m_Entries)
        if (!Each.m_IsFrozen)
          act(Name, Each);
      deliver();
    }
  }
  void act(const std::string &Name, Entry &At) {
    At.m_Pool->rateTokens().setEntries(Name, At.m_Live, m_Now);
    At.m_Pool->rateTokens().update(m_Now);
    const BackendServer *Chosen =
        At.m_Pool->chooseServer("s", {}, m_Now, m_Rng);
    if (!Chosen)
      return;
    At.m_Pool->attemptStarted(Chosen->m_Id, 0, m_Now);
    At.m_Pool->attemptEnded(Chosen->m_Id, 0);
    m_Sent.push_back(m_Now);
  }
  void deliver() {
    for (std::deque<Message> Due = std::exchange(m_Messages, {}); !Due.empty();
         Due.pop_front()) {
      const Message &Next = Due.front();
      Entry &To = m_Entries[Next.m_To];
      const bool IsReached = std::find(To.m_Live.begin(), To.m_Live.end(),
                                       Next.m_From) != To.m_Live.end();
      if (!To.m_IsFrozen && IsReached)
        To.m_Pool->rateTokens().receive(Next.m_From, Next.m_Content, m_Now);
    }
  }
  void setLive(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      m_Entries[Name].m_Live = Names;
  }
  std::string granter() {
    return m_Entries.begin()->second.m_Pool->rateTokens().granter("c");
  }
  /// Checks the bound for each second, and the part of the rate that was used
  /// since \p Begin.
  void expectBounded() const {
    const WarmUpBounds Bounds;
    const double Bound = m_PerSecond * Bounds.m_Overshoot + Bounds.m_Tolerance;
    for (std::size_t First = 0, Last = 0; Last < m_Sent.size(); ++Last) {
      while (m_Sent[Last] - m_Sent[First] >= seconds(1))
        ++First;
      ASSERT_LE(static_cast<double>(Last - First + 1), Bound)
          << "at " << m_Sent[Last].count();
    }
  }
  [[nodiscard]] double usedRatio(Millis Begin) const {
    const auto Count =
        std::count_if(m_Sent.begin(), m_Sent.end(),
                      [Begin](Millis Each) { return Each >= Begin; });
    return static_cast<double>(Count) * 1000 / m_PerSecond /
           static_cast<double>((m_Now - Begin).count());
  }

  Millis m_Now = seconds(1000);
  double m_PerSecond = 0;
  base::Random m_Rng{7};
  std::map<std::string, Entry> m_Entries;
  std::deque<Message> m_Messages;
  std::vector<Millis> m_Sent;
};

} // namespace

// Load: as many requests as a cold server may get, from 1 to 30 entries.
TEST_F(ColdServerTokensTest, TheRateIsUsedAndTheBoundKept) {
  for (const std::size_t Entries : {1U, 7U, 30U})
    for (const double PerSecond : {0.5, 2.0, 8.0, 40.0}) {
      m_Entries.clear();
      start(Entries, PerSecond);
      const Millis Begin = m_Now;
      pass(seconds(20));
      expectBounded();
      EXPECT_GE(usedRatio(Begin), 0.8) << Entries << " " << PerSecond;
    }
}

// Failure: a granter that was frozen used the tokens that had been added
// meanwhile, beside those of its replacement.
TEST_F(ColdServerTokensTest, AFrozenGranterStartsAgainWithoutTokens) {
  start(5, 20);
  const std::string Frozen = granter();
  std::vector<std::string> Others;
  for (const auto &[Name, Each] : m_Entries)
    if (Name != Frozen)
      Others.push_back(Name);
  m_Entries[Frozen].m_IsFrozen = true;
  pass(seconds(1));
  setLive(Others);
  pass(seconds(5));
  m_Entries[Frozen].m_IsFrozen = false;
  Others.push_back(Frozen);
  setLive(Others);
  pass(seconds(5));
  expectBounded();
  EXPECT_GE(usedRatio(m_Now - seconds(3)), 0.8);
}

// Failure: while a partition began, lasted and healed, the tokens of both sides
// together exceeded the bound.
TEST_F(ColdServerTokensTest, BothSidesOfAPartitionKeepTheBound) {
  start(10, 20);
  std::vector<std::string> All;
  std::vector<std::string> Minority;
  std::vector<std::string> Majority;
  for (const auto &[Name, Each] : m_Entries) {
    All.push_back(Name);
    (All.size() <= 4 ? Minority : Majority).push_back(Name);
  }
  setLive(Minority);
  pass(Millis(300));
  setLive(Majority);
  pass(seconds(10));
  EXPECT_GE(usedRatio(m_Now - seconds(5)), 0.8);
  for (const std::string &Name : All) {
    m_Entries[Name].m_Live = All;
    pass(Millis(40));
  }
  pass(seconds(5));
  expectBounded();
}

// Failure: an entry that had just started, and did not know the others yet,
// granted itself the whole rate.
TEST_F(ColdServerTokensTest, ANewEntryDoesNotGrantBeforeItKnowsTheOthers) {
  start(5, 20);
  for (int Count = 0; Count < 5; ++Count) {
    const std::vector<std::string> All = m_Entries["e0"].m_Live;
    startEntry("e1", {"e1"});
    pass(Millis(800));
    m_Entries["e1"].m_Live = All;
    pass(Millis(500));
  }
  expectBounded();
}

} // namespace corneldeck::direct

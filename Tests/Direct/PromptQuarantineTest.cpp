#include "Direct/PromptQuarantine.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <memory>

namespace corneldeck::direct {

namespace {

using Verdict = PromptQuarantine::Verdict;
using testing::IsEmpty;

const std::string Service = "llm";
constexpr std::uint64_t Common = 0xC0;
constexpr std::uint64_t Other = 0xC1;
constexpr std::uint64_t Fatal = 0xDEAD;

/// Entries that exchange all that they know when a test says so.
class PromptQuarantineTest : public testing::Test {
protected:
  explicit PromptQuarantineTest(int Entries = 3) {
    for (int Index = 0; Index < Entries; ++Index)
      addEntry("e" + std::to_string(Index));
  }

  PromptQuarantine &addEntry(const std::string &Name) {
    m_Entries.push_back(std::make_unique<PromptQuarantine>(Name));
    return *m_Entries.back();
  }

  PromptQuarantine &entry(std::size_t Index) { return *m_Entries[Index]; }

  /// Ends a server under requests with \p Parts at one entry.
  void endServer(std::size_t Entry, const std::vector<PromptParts> &Requests,
                 const std::string &Id = {}) {
    const std::string Server =
        Id.empty() ? "s" + std::to_string(++m_Servers) : Id;
    for (const PromptParts &Each : Requests)
      entry(Entry).recordEnd({Server, 1}, Service, Each, m_Now);
  }

  void exchange() {
    for (const auto &From : m_Entries) {
      const auto Ends = From->endStatements(m_Now);
      const auto Parts = From->partStatements(m_Now);
      for (const auto &To : m_Entries) {
        if (To == From)
          continue;
        for (const ServerEndStatement &Each : Ends)
          To->applyEnd(Each, m_Now);
        for (const PartStatement &Each : Parts)
          To->applyPart(Each, "peer", m_Now);
      }
    }
  }

  void pass(base::Millis Time) {
    for (base::Millis End = m_Now + Time; m_Now < End;
         m_Now = std::min(End, m_Now + base::Millis(200)))
      exchange();
    exchange();
  }

  Verdict check(std::size_t Entry, const PromptParts &Parts,
                bool MayTry = true) {
    return entry(Entry).check(Service, Parts, m_Now, MayTry).m_Verdict;
  }

  /// Two ends at different times under requests with the fatal part.
  void quarantineFatal() {
    endServer(0, {{Common, Fatal}});
    pass(base::seconds(4));
    endServer(1, {{Other, Fatal}});
    exchange();
  }

  base::Millis m_Now = base::seconds(100);
  std::vector<std::unique_ptr<PromptQuarantine>> m_Entries;
  int m_Servers = 0;
};

} // namespace

TEST_F(PromptQuarantineTest, OneEndBlamesNoPart) {
  endServer(0, {{Common, Fatal}, {Other}});
  endServer(1, {{Fatal}}, "s1");
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    EXPECT_EQ(check(Entry, {Common, Fatal}), Verdict::Permitted);
}

// Failure: each entry saw one of the ends and related neither to the other.
TEST_F(PromptQuarantineTest, TwoEndsAtDifferentEntriesQuarantineTheCommonPart) {
  quarantineFatal();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Refused);
    EXPECT_EQ(check(Entry, {0x77, Fatal}), Verdict::Refused);
    EXPECT_EQ(check(Entry, {Common, Other}), Verdict::Permitted);
    ASSERT_EQ(entry(Entry).quarantined(m_Now).size(), 1U);
    EXPECT_TRUE(entry(Entry).quarantined(m_Now)[0].first.m_IsConfirmed);
  }
  EXPECT_EQ(entry(0).check("other", {Fatal}, m_Now, true).m_Verdict,
            Verdict::Permitted);
}

// Failure: a part of most requests was blamed for servers that end by
// themselves, one after the other or many at once.
TEST_F(PromptQuarantineTest, APartThatIsServedIsNotBlamed) {
  for (int Round = 0; Round < 20; ++Round) {
    entry(2).recordServed(Service, {Common}, m_Now);
    entry(0).recordServed(Service, {Common, Other}, m_Now);
    for (int Server = 0; Server < 4; ++Server)
      endServer(0, {{Common, Other}, {Common}});
    endServer(1, {{Common}});
    pass(base::seconds(4));
    for (std::size_t Entry = 0; Entry < 3; ++Entry)
      EXPECT_EQ(check(Entry, {Common, Other}), Verdict::Permitted) << Round;
  }
}

// Failure: an entry that has just started has served nothing, and blamed what
// the others serve all the time.
TEST_F(PromptQuarantineTest, EntriesThatServeAPartOverruleOneThatHasStarted) {
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    entry(Entry).recordServed(Service, {Common}, m_Now);
  pass(base::seconds(10));
  addEntry("new");
  endServer(3, {{Common}});
  pass(base::seconds(2));
  endServer(3, {{Common}});
  exchange();
  exchange();
  for (std::size_t Entry = 0; Entry < 4; ++Entry)
    EXPECT_EQ(check(Entry, {Common}), Verdict::Permitted) << Entry;
}

TEST_F(PromptQuarantineTest, ASoundPartOfTheSameRequestsIsNotBlamed) {
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    entry(Entry).recordServed(Service, {Common}, m_Now);
  endServer(0, {{Common, Fatal}, {Common, 5}, {6}});
  pass(base::seconds(4));
  endServer(1, {{Common, Fatal}, {7}});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, {Common, Fatal}), Verdict::Refused);
    EXPECT_EQ(check(Entry, {Common, 5}), Verdict::Permitted);
    EXPECT_EQ(check(Entry, {6}), Verdict::Permitted);
  }
}

TEST_F(PromptQuarantineTest, PartsThatAnotherPartExplainsAreReleased) {
  // Nothing was served yet, so two parts have the same ends in common.
  endServer(0, {{Common, Fatal}});
  pass(base::seconds(4));
  endServer(1, {{Common, Fatal}});
  exchange();
  EXPECT_EQ(entry(0).quarantinedCount(), 2U);
  endServer(2, {{Fatal}});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, {Common}), Verdict::Permitted) << Entry;
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Refused) << Entry;
    EXPECT_TRUE(entry(Entry).quarantined(m_Now)[0].first.m_IsConfirmed);
  }
}

TEST_F(PromptQuarantineTest, AnAmbiguousPartReturnsAfterOneTrial) {
  endServer(0, {{Common, Fatal}});
  pass(base::seconds(4));
  endServer(1, {{Common, Fatal}});
  pass(base::seconds(2));
  ASSERT_EQ(check(2, {Common}), Verdict::Trial);
  pass(base::Millis(800));
  ASSERT_TRUE(entry(2).confirmTrial(Service, Common));
  entry(2).recordServed(Service, {Common}, m_Now);
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, {Common}), Verdict::Permitted) << Entry;
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Refused) << Entry;
    EXPECT_TRUE(entry(Entry).quarantined(m_Now)[0].first.m_IsConfirmed);
  }
}

TEST_F(PromptQuarantineTest, APartThatReplacesOthersInOneMomentIsTriedSoon) {
  endServer(0, {{Fatal}});
  endServer(1, {{Fatal}});
  exchange();
  EXPECT_EQ(check(2, {Fatal}), Verdict::Refused);
  pass(base::seconds(2));
  EXPECT_EQ(check(2, {Fatal}), Verdict::Trial);
}

// Failure: each entry tried a part by itself, so it ended a server for each.
TEST_F(PromptQuarantineTest, OneEntryAtATimeTriesAPart) {
  quarantineFatal();
  pass(base::seconds(60));
  ASSERT_EQ(check(0, {Fatal}), Verdict::Trial);
  ASSERT_EQ(check(1, {Fatal}), Verdict::Trial);
  EXPECT_EQ(check(0, {Fatal}), Verdict::Refused);
  pass(base::Millis(800));
  EXPECT_TRUE(entry(0).confirmTrial(Service, Fatal));
  EXPECT_FALSE(entry(1).confirmTrial(Service, Fatal));
  EXPECT_EQ(check(2, {Fatal}), Verdict::Refused);
}

TEST_F(PromptQuarantineTest, TrialsOfAFatalPartAreFewOverADay) {
  quarantineFatal();
  int Trials = 0;
  for (base::Millis End = m_Now + base::minutes(1440); m_Now < End;
       m_Now += base::seconds(10)) {
    exchange();
    for (std::size_t Entry = 0; Entry < 3; ++Entry) {
      if (check(Entry, {Fatal}) != Verdict::Trial)
        continue;
      m_Now += base::Millis(800);
      exchange();
      ASSERT_TRUE(entry(Entry).confirmTrial(Service, Fatal));
      ++Trials;
      endServer(Entry, {{Fatal}});
      exchange();
    }
  }
  EXPECT_LE(Trials, 6);
  EXPECT_GE(Trials, 3);
}

TEST_F(PromptQuarantineTest, AnEntryThatStartsLearnsWhatIsQuarantined) {
  quarantineFatal();
  pass(base::seconds(30));
  addEntry("new");
  pass(base::seconds(1));
  EXPECT_EQ(check(3, {Fatal}), Verdict::Refused);
  m_Entries.erase(m_Entries.begin(), m_Entries.begin() + 3);
  addEntry("newer");
  pass(base::seconds(1));
  EXPECT_EQ(check(1, {Fatal}), Verdict::Refused);
}

TEST_F(PromptQuarantineTest, NoTrialWithoutServersOrWithTwoQuarantinedParts) {
  quarantineFatal();
  endServer(0, {{5}});
  pass(base::seconds(4));
  endServer(1, {{5}});
  pass(base::seconds(70));
  EXPECT_EQ(check(0, {Fatal}, false), Verdict::Refused);
  EXPECT_EQ(check(0, {Fatal, 5}), Verdict::Refused);
  EXPECT_EQ(check(0, {Fatal}), Verdict::Trial);
}

TEST_F(PromptQuarantineTest, TwoFatalPartsAreBothQuarantined) {
  endServer(0, {{Fatal, 1}, {5}});
  pass(base::seconds(4));
  endServer(1, {{Fatal, 2}});
  pass(base::seconds(4));
  endServer(2, {{5, 3}});
  exchange();
  EXPECT_EQ(check(0, {Fatal}), Verdict::Refused);
  EXPECT_EQ(check(0, {5}), Verdict::Refused);
  EXPECT_EQ(check(0, {1, 2, 3}), Verdict::Permitted);
}

TEST_F(PromptQuarantineTest, ReplacedServersMakeTheNextTrialDue) {
  quarantineFatal();
  EXPECT_EQ(check(0, {Fatal}), Verdict::Refused);
  entry(0).serviceReplaced(Service, m_Now);
  EXPECT_EQ(check(0, {Fatal}), Verdict::Trial);
}

// Failure: a part that was served before it became fatal was never blamed.
TEST_F(PromptQuarantineTest, AServedPartThatBecomesFatalIsQuarantined) {
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    entry(Entry).recordServed(Service, {Fatal}, m_Now);
  for (std::size_t End = 0; End < 4; ++End) {
    pass(base::seconds(4));
    EXPECT_EQ(check(0, {Fatal}), Verdict::Permitted);
    endServer(End % 3, {{Fatal}});
  }
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Refused) << Entry;
  // Since it was served before, a trial decides.
  EXPECT_FALSE(entry(0).quarantined(m_Now)[0].first.m_IsConfirmed);
  pass(base::seconds(2));
  EXPECT_EQ(check(0, {Fatal}), Verdict::Trial);
  pass(base::Millis(800));
  endServer(0, {{Fatal}});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    EXPECT_TRUE(entry(Entry).quarantined(m_Now)[0].first.m_IsConfirmed);
}

TEST_F(PromptQuarantineTest, AReleasedPartIsReleasedEverywhereForGood) {
  quarantineFatal();
  entry(2).recordServed(Service, {Fatal}, m_Now);
  pass(base::seconds(5));
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Permitted) << Entry;
  addEntry("new");
  pass(base::seconds(2));
  EXPECT_EQ(check(3, {Fatal}), Verdict::Permitted);
}

// Failure: callers choose the parts, so they could use up the memory.
TEST_F(PromptQuarantineTest, MemoryAndMessagesAreBounded) {
  std::uint64_t Part = 1;
  for (int Round = 0; Round < 500; ++Round) {
    PromptParts Parts;
    for (int Index = 0; Index < 60; ++Index)
      Parts.push_back(Part++);
    for (int Count = 0; Count < 60; ++Count)
      entry(0).recordServed(Service, {Part++}, m_Now);
    endServer(0, {Parts});
    m_Now += base::Millis(300);
    endServer(0, {Parts});
    m_Now += base::Millis(300);
  }
  EXPECT_LE(entry(0).size(), 8192U + 64 + 64);
  EXPECT_LE(entry(0).endStatements(m_Now).size(), 8U);
  for (const ServerEndStatement &Each : entry(0).endStatements(m_Now))
    EXPECT_LE(Each.m_Parts.size(), 16U);
  EXPECT_LE(entry(0).partStatements(m_Now).size(), 64U);
}

TEST_F(PromptQuarantineTest, OldEndsAreForgotten) {
  endServer(0, {{Fatal}});
  pass(base::minutes(11));
  endServer(1, {{Fatal}});
  exchange();
  EXPECT_EQ(check(0, {Fatal}), Verdict::Permitted);
  EXPECT_THAT(entry(2).endStatements(m_Now), IsEmpty());
}

} // namespace corneldeck::direct

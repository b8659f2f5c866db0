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

/// Returns \p Count consecutive parts.
PromptParts numbered(std::uint64_t First, std::uint64_t Count) {
  PromptParts Parts;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    Parts.push_back(First + Index);
  return Parts;
}

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

// Failure: a stream whose end was confirmed late released a quarantine that
// later ends had led to.
TEST_F(PromptQuarantineTest, ServingBeforeTheEndsDoesNotReleaseAPart) {
  const base::Millis Before = m_Now;
  pass(base::seconds(1));
  quarantineFatal();
  entry(0).confirmTrial(Service, Fatal);
  for (int End = 0; End < 3; ++End) {
    endServer(0, {{Fatal}});
    pass(base::seconds(1));
  }
  entry(2).recordServed(Service, {Fatal}, m_Now, Before);
  EXPECT_EQ(check(2, {Fatal}), Verdict::Refused);
  entry(2).recordServed(Service, {Fatal}, m_Now, m_Now - base::Millis(100));
  EXPECT_EQ(check(2, {Fatal}), Verdict::Permitted);
}

// Failure: what sound requests share was blamed after two ends while their
// responses were not confirmed yet, and the part at fault never if servers were
// back at once.
TEST_F(PromptQuarantineTest, AnUnconfirmedPartIsNotBlamed) {
  const auto EndTwo = [this](const PromptParts &Parts) {
    endServer(0, {Parts});
    m_Now += base::Millis(300);
    endServer(0, {Parts});
  };
  entry(0).recordUnconfirmed(Service, {Common, Fatal}, m_Now);
  const base::Millis FatalEnd = m_Now;
  m_Now += base::Millis(300);
  EndTwo({Common, Fatal});
  EXPECT_EQ(check(0, {Common, Fatal}), Verdict::Permitted);
  entry(0).recordUnconfirmed(Service, {Common}, m_Now);
  entry(0).dropUnconfirmed(Service, {Common, Fatal}, FatalEnd);
  endServer(0, {{Fatal}});
  EXPECT_EQ(check(0, {Fatal}), Verdict::Refused);
  EXPECT_EQ(check(0, {Common}), Verdict::Permitted);
  // Without a confirmation, the protection ends.
  m_Now += base::seconds(11);
  EndTwo({Common, 0x55});
  EXPECT_EQ(check(0, {Common}), Verdict::Refused);
}

// Failure: callers choose the parts, so they could use up the memory.
TEST_F(PromptQuarantineTest, MemoryAndMessagesAreBounded) {
  std::uint64_t Part = 1;
  for (int Round = 0; Round < 500; ++Round) {
    PromptParts Parts;
    for (int Index = 0; Index < 60; ++Index)
      Parts.push_back(Part++);
    for (int Count = 0; Count < 150; ++Count)
      entry(0).recordServed(Service, {Part++}, m_Now);
    endServer(0, {Parts});
    m_Now += base::Millis(300);
    endServer(0, {Parts});
    m_Now += base::Millis(300);
  }
  EXPECT_LE(entry(0).size(), 65'536U + 64 + 64);
  EXPECT_LE(entry(0).endStatements(m_Now).size(), 8U);
  for (const ServerEndStatement &Each : entry(0).endStatements(m_Now))
    EXPECT_LE(Each.m_Parts.size(), 16U);
  EXPECT_LE(entry(0).partStatements(m_Now).size(), 64U);
}

// Failure: only the first parts of a prompt were kept for an end and told to
// the other entries, so one at the end of a conversation was never found.
TEST_F(PromptQuarantineTest, APartBehindManyServedPartsIsQuarantined) {
  const PromptParts Document = numbered(1000, 200);
  for (std::size_t Entry = 0; Entry < 3; ++Entry)
    entry(Entry).recordServed(Service, Document, m_Now);
  PromptParts WithFatal = Document;
  WithFatal.push_back(Fatal);
  endServer(0, {WithFatal});
  pass(base::seconds(4));
  endServer(1, {WithFatal});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, WithFatal), Verdict::Refused) << Entry;
    EXPECT_EQ(check(Entry, Document), Verdict::Permitted) << Entry;
  }
}

// Failure: a part among hundreds that no request was served with was in no
// message to the other entries.
TEST_F(PromptQuarantineTest, APartAmongManyUnknownPartsIsQuarantined) {
  std::vector<PromptParts> Prompts;
  for (std::uint64_t Session = 0; Session < 2; ++Session) {
    Prompts.push_back(numbered(10'000 * (Session + 1), 500));
    Prompts.back().push_back(Fatal);
    const PromptParts Later = numbered(10'000 * (Session + 1) + 500, 500);
    Prompts.back().insert(Prompts.back().end(), Later.begin(), Later.end());
  }
  endServer(0, {Prompts[0]});
  exchange();
  pass(base::seconds(4));
  endServer(1, {Prompts[1]});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, {Fatal}), Verdict::Refused) << Entry;
    EXPECT_EQ(entry(Entry).quarantinedCount(), 1U) << Entry;
  }
}

// Failure: a prompt that repeats the part was taken for one with two parts in
// quarantine, which is never a trial.
TEST_F(PromptQuarantineTest, RepeatsOfAPartCountOnce) {
  endServer(0, {{Common, Fatal, Fatal}});
  EXPECT_EQ(check(0, {Fatal}), Verdict::Permitted);
  pass(base::seconds(4));
  endServer(1, {{Other, Fatal, Other, Fatal}});
  exchange();
  EXPECT_EQ(check(0, {Fatal, Common, Fatal}), Verdict::Refused);
  pass(base::seconds(70));
  EXPECT_EQ(check(0, {Fatal, Common, Fatal}), Verdict::Trial);
}

// Failure: a few long prompts displaced all that was known as served, and what
// sound requests share was blamed after two ends.
TEST_F(PromptQuarantineTest, LongPromptsDoNotDisplaceServedParts) {
  entry(0).recordServed(Service, {Common}, m_Now);
  for (std::uint64_t Prompt = 1; Prompt <= 20; ++Prompt)
    entry(0).recordServed(Service, numbered(Prompt * 10'000, 4000), m_Now);
  EXPECT_FALSE(entry(0).isSuspect(Service, {Common}, m_Now));
}

// Failure: callers choose the parts. Hundreds with the same ends would displace
// all other parts in quarantine.
TEST_F(PromptQuarantineTest, FewOfManyPartsWithTheSameEndsAreQuarantined) {
  const PromptParts Session = numbered(1000, 900);
  endServer(0, {Session});
  pass(base::seconds(4));
  endServer(1, {Session});
  exchange();
  for (std::size_t Entry = 0; Entry < 3; ++Entry) {
    EXPECT_EQ(check(Entry, Session), Verdict::Refused) << Entry;
    EXPECT_LE(entry(Entry).quarantinedCount(), 16U) << Entry;
  }
}

// Failure: ends under long prompts made messages larger than a datagram.
TEST_F(PromptQuarantineTest, MessagesAboutLongPromptsFitADatagram) {
  constexpr std::size_t MaxDatagramBytes = 60'000;
  for (std::uint64_t Server = 1; Server <= 30; ++Server)
    endServer(0, {numbered(Server * 10'000, 4000)});
  std::size_t Parts = 0;
  for (const ServerEndStatement &Each : entry(0).endStatements(m_Now))
    Parts += Each.m_Parts.size();
  EXPECT_LE(Parts * sizeof(std::uint64_t), MaxDatagramBytes / 2);
  m_Now += base::seconds(1);
  Parts = 0;
  for (const ServerEndStatement &Each : entry(0).endStatements(m_Now))
    Parts += Each.m_Parts.size();
  EXPECT_LE(Parts, 8U * 16);
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

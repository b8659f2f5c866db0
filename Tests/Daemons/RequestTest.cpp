#include "Fleet.h"

namespace corneldeck::tests {

class RequestTest : public Fleet {};

/// \returns the text of all tokens of a stream, without its event frames.
std::string tokensOf(const std::string &Stream) {
  std::string Text;
  std::size_t At = 0;
  while ((At = Stream.find("\"content\":\"", At)) != std::string::npos) {
    At += sizeof("\"content\":\"") - 1;
    Text += Stream.substr(At, Stream.find('"', At) - At);
  }
  return Text;
}

TEST_F(RequestTest, StreamIsWholeAndEndsWithItsMark) {
  publishAll();
  const auto Streamed = chat(0, 20, true);
  const auto Whole = chat(1, 20, false);
  runUntil([&] { return Streamed->m_Ended && Whole->m_Ended; });
  EXPECT_EQ(Streamed->m_Status, 200);
  EXPECT_TRUE(Streamed->hasEndMark());
  const auto Answer = nlohmann::json::parse(Whole->m_Body);
  EXPECT_EQ(tokensOf(Streamed->m_Body),
            Answer["choices"][0]["message"]["content"]);
  EXPECT_EQ(Whole->header("X-Corneldeck-Code"), "0");
  EXPECT_EQ(Whole->header("X-Corneldeck-Ran"), "yes");
}

TEST_F(RequestTest, UnknownNamesAreRefusedAsNotRun) {
  publishAll();
  const CallerAnswer Answer =
      fetch(entryAddress(0), "POST", "/services/none/x", "{}");
  EXPECT_EQ(Answer.m_Status, 404);
  EXPECT_EQ(Answer.header("X-Corneldeck-Ran"), "no");
}

TEST_F(RequestTest, DuplicateAtAnotherEntryGetsTheFirstAnswer) {
  publishAll();
  const auto First = remit(0, "remit-1", "{\"naira\":5}");
  runUntil([&] { return First->m_Ended; });
  const auto Second = remit(1, "remit-1", "{\"naira\":5}");
  runUntil([&] { return Second->m_Ended; });
  // Right after the agents' start the key may be refused, but only as unknown
  // and without a run; it never runs twice.
  EXPECT_LE(runsOf("remit-1"), 1);
  EXPECT_EQ(First->m_Status, Second->m_Status);
  if (First->m_Status == 200)
    EXPECT_EQ(First->m_Body, Second->m_Body);
  else
    EXPECT_EQ(First->header("X-Corneldeck-Ran"), "unknown");
}

TEST_F(RequestTest, StreamOutlivesItsAgentsPlannedStop) {
  publishAll();
  const auto Streamed = chat(0, 400, true);
  runUntil([&] { return !Streamed->m_Body.empty(); });
  int Stopped = 0;
  for (int Index = 0; Index < Engines; ++Index)
    if (Index == 0)
      m_Agents[Index]->beginStop([&Stopped] { ++Stopped; });
  runUntil([&] { return Streamed->m_Ended && Stopped == 1; });
  EXPECT_TRUE(Streamed->hasEndMark());
  const auto Whole = chat(1, 400, false);
  runUntil([&] { return Whole->m_Ended; });
  const auto Answer = nlohmann::json::parse(Whole->m_Body);
  EXPECT_EQ(tokensOf(Streamed->m_Body),
            Answer["choices"][0]["message"]["content"]);
}

TEST_F(RequestTest, IdempotentStreamResumesAfterItsAgentDied) {
  publishAll();
  const auto One = chat(0, 300, true);
  const auto Two = chat(0, 300, true);
  const auto Three = chat(1, 300, true);
  runUntil([&] {
    return !One->m_Body.empty() && !Two->m_Body.empty() &&
           !Three->m_Body.empty();
  });
  restartAgent(0);
  runUntil([&] { return One->m_Ended && Two->m_Ended && Three->m_Ended; });
  for (const auto &Streamed : {One, Two, Three}) {
    // Whole or an error that names where it ended, never in between.
    const bool Named =
        Streamed->m_Body.find("event: error") != std::string::npos;
    EXPECT_NE(Streamed->hasEndMark(), Named);
  }
  const auto Whole = chat(1, 300, false);
  runUntil([&] { return Whole->m_Ended; });
  const auto Text =
      nlohmann::json::parse(Whole->m_Body)["choices"][0]["message"]["content"]
          .get<std::string>();
  for (const auto &Streamed : {One, Two, Three})
    EXPECT_TRUE(Text.starts_with(tokensOf(Streamed->m_Body)));
}

} // namespace corneldeck::tests

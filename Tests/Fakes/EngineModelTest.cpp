#include "Fakes/EngineModel.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using base::Millis;
using fakes::EngineModel;
using fakes::EngineOutput;
using fakes::EngineRequest;
using fakes::EngineSettings;

namespace {

std::vector<std::uint64_t> blocks(std::uint64_t First, std::size_t Count) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Hashes.push_back(First + Index);
  return Hashes;
}

EngineRequest request(const std::string &Id, std::uint32_t Prompt,
                      std::uint32_t Output) {
  EngineRequest New;
  New.m_Id = Id;
  New.m_PromptTokens = Prompt;
  New.m_OutputTokens = Output;
  return New;
}

std::vector<std::uint32_t> tokensOf(const std::vector<EngineOutput> &Outputs,
                                    const std::string &Id) {
  std::vector<std::uint32_t> Tokens;
  for (const EngineOutput &Each : Outputs)
    if (Each.m_Id == Id)
      Tokens.push_back(Each.m_Token);
  return Tokens;
}

TEST(EngineModel, GivesEachTokenOnceAndInOrder) {
  EngineModel Engine({}, 1);
  Engine.submit(Millis(0), request("a", 1'200, 5));
  Engine.submit(Millis(3), request("b", 10, 3));
  const auto Outputs = Engine.advance(Millis(1'000));
  EXPECT_EQ(tokensOf(Outputs, "a"),
            (std::vector<std::uint32_t>{0, 1, 2, 3, 4}));
  EXPECT_EQ(tokensOf(Outputs, "b"), (std::vector<std::uint32_t>{0, 1, 2}));
  EXPECT_FALSE(Engine.nextStep().has_value());
}

TEST(EngineModel, ReusesCachedPrefixBlocks) {
  EngineModel Engine({}, 1);
  EngineRequest First = request("a", 640, 1);
  First.m_PrefixBlocks = blocks(100, 10);
  EngineRequest Second = First;
  Second.m_Id = "b";
  Engine.submit(Millis(0), First);
  Engine.advance(Millis(500));
  Engine.submit(Millis(500), Second);
  Engine.advance(Millis(1'000));
  EXPECT_EQ(Engine.prefixTokensHit(), 639U);
  EXPECT_EQ(Engine.promptTokensSeen(), 1'280U);
}

TEST(EngineModel, ServesUrgentRunsFirstWhenTheBatchIsFull) {
  EngineSettings Small;
  Small.m_MaxBatch = 1;
  EngineModel Engine(Small, 1);
  Engine.submit(Millis(0), request("running", 10, 20));
  EngineRequest Late = request("late", 10, 1);
  Late.m_Priority = 1;
  Engine.submit(Millis(1), Late);
  Engine.submit(Millis(2), request("urgent", 10, 1));
  const auto Outputs = Engine.advance(Millis(1'000));
  ASSERT_GE(Outputs.size(), 2U);
  EXPECT_EQ(Outputs[Outputs.size() - 2].m_Id, "urgent");
  EXPECT_EQ(Outputs.back().m_Id, "late");
}

TEST(EngineModel, CancelStopsTokensAndFreesMemory) {
  EngineSettings Small;
  Small.m_KvTokens = 100;
  EngineModel Engine(Small, 1);
  Engine.submit(Millis(0), request("a", 50, 40));
  Engine.submit(Millis(0), request("b", 50, 2));
  EXPECT_TRUE(Engine.cancel(Millis(20), "a"));
  EXPECT_FALSE(Engine.cancel(Millis(20), "a"));
  Engine.advance(Millis(20));
  const auto Outputs = Engine.advance(Millis(1'000));
  EXPECT_TRUE(tokensOf(Outputs, "a").empty());
  EXPECT_EQ(tokensOf(Outputs, "b").size(), 2U);
}

TEST(EngineModel, ContinuesAnExportedSequenceAtItsToken) {
  EngineModel From({}, 1);
  EngineModel To({}, 2);
  From.submit(Millis(0), request("a", 100, 50));
  const std::size_t Before = From.advance(Millis(60)).size();
  auto Kv = From.exportKv(Millis(60), "a");
  ASSERT_TRUE(Kv.has_value());
  To.importKv(Millis(60), *Kv);
  const auto Tokens = tokensOf(To.advance(Millis(2'000)), "a");
  EXPECT_EQ(Tokens.front(), Before);
  EXPECT_EQ(Tokens.back(), 49U);
}

TEST(EngineModel, ResumesFromAToken) {
  EngineModel Engine({}, 1);
  EngineRequest Resumed = request("a", 100, 10);
  Resumed.m_ResumeFrom = 7;
  Engine.submit(Millis(0), Resumed);
  EXPECT_EQ(tokensOf(Engine.advance(Millis(1'000)), "a"),
            (std::vector<std::uint32_t>{7, 8, 9}));
}

TEST(EngineModel, AStalledEngineProducesNothingUntilResumed) {
  EngineModel Engine({}, 1);
  Engine.submit(Millis(0), request("a", 10, 5));
  Engine.stall(Millis(1));
  EXPECT_TRUE(Engine.advance(Millis(5'000)).empty());
  EXPECT_FALSE(Engine.nextStep().has_value());
  Engine.resume(Millis(5'000));
  EXPECT_EQ(Engine.advance(Millis(6'000)).size(), 5U);
}

TEST(EngineModel, ReportsLoadWithALag) {
  EngineModel Engine({}, 1);
  Engine.submit(Millis(1'000), request("a", 10, 200));
  EXPECT_EQ(Engine.loadReport(Millis(1'100)).m_Running, 0U);
  EXPECT_EQ(Engine.trueLoad().m_Running, 1U);
  Engine.advance(Millis(1'300));
  EXPECT_EQ(Engine.loadReport(Millis(1'300)).m_Running, 1U);
}

TEST(EngineModel, PublishesCacheEventsLateAndWithGaps) {
  EngineSettings Lossy;
  Lossy.m_CacheEventLoss = 0.5;
  EngineModel Engine(Lossy, 7);
  for (int Number = 0; Number < 40; ++Number) {
    EngineRequest New = request("r" + std::to_string(Number), 128, 1);
    New.m_PrefixBlocks = blocks(1'000 + 10 * Number, 2);
    Engine.submit(Millis(50) * Number, New);
  }
  EXPECT_TRUE(Engine.cacheEvents(Millis(10), 0).m_Added.empty());
  Engine.advance(Millis(5'000));
  std::uint64_t Next = 0;
  std::size_t Had = 0;
  std::size_t Gaps = 0;
  for (;;) {
    const auto Batch = Engine.cacheEvents(Millis(5'000), Next);
    if (Batch.m_Added.empty())
      break;
    Gaps += Batch.m_FirstSequence != Next ? 1 : 0;
    Had += Batch.m_Added.size();
    Next = Batch.m_FirstSequence + Batch.m_Added.size();
  }
  EXPECT_GT(Gaps, 0U);
  EXPECT_GT(Had, 0U);
  EXPECT_LT(Had, 80U);
}

} // namespace

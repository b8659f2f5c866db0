#include "Direct/ResponseMemory.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <map>

namespace corneldeck::direct {

TEST(ResponseMemory, NothingEndsWithinTheLimit) {
  ResponseMemory Memory(100);
  EXPECT_FALSE(Memory.excess());
  EXPECT_EQ(Memory.largestShare(), 0U);
  Memory.set(1, "a", 60);
  Memory.set(2, "b", 40);
  EXPECT_FALSE(Memory.excess());
  EXPECT_EQ(Memory.total(), 100U);
}

// Failure: the response that arrived last was cut off, whichever server had
// used up the memory.
TEST(ResponseMemory, TheLargestResponseOfTheLargestServerEnds) {
  ResponseMemory Memory(100);
  Memory.set(1, "faulty", 30);
  Memory.set(2, "faulty", 35);
  Memory.set(3, "sound", 36);
  EXPECT_EQ(Memory.excess(), 2U);
  EXPECT_EQ(Memory.largestShare(), 65U);
  Memory.remove(2);
  EXPECT_FALSE(Memory.excess());
  Memory.set(3, "sound", 90);
  EXPECT_EQ(Memory.excess(), 3U);
}

// A request that is sent to another server holds nothing of the first one.
TEST(ResponseMemory, ARequestMovesToAnotherServer) {
  ResponseMemory Memory(100);
  Memory.set(1, "a", 50);
  Memory.set(1, "b", 20);
  EXPECT_EQ(Memory.total(), 20U);
  EXPECT_EQ(Memory.largestShare(), 20U);
  Memory.set(1, "b", 0);
  EXPECT_EQ(Memory.total(), 0U);
  Memory.remove(1);
  EXPECT_EQ(Memory.total(), 0U);
}

TEST(ResponseMemory, AgreesWithASimpleModel) {
  base::Random Rng(3);
  ResponseMemory Memory(2000);
  std::map<std::uint64_t, std::pair<std::string, std::size_t>> Model;
  for (int Count = 0; Count < 20'000; ++Count) {
    const std::uint64_t Request = Rng.below(40);
    const std::string Server(1, static_cast<char>('a' + Rng.below(5)));
    const std::size_t Bytes = Rng.below(200);
    if (Rng.chance(0.2) || Bytes == 0) {
      Memory.remove(Request);
      Model.erase(Request);
    } else {
      Memory.set(Request, Server, Bytes);
      Model[Request] = {Server, Bytes};
    }
    std::size_t Total = 0;
    std::map<std::string, std::size_t> Shares;
    for (const auto &[Each, Held] : Model) {
      Total += Held.second;
      Shares[Held.first] += Held.second;
    }
    ASSERT_EQ(Memory.total(), Total);
    const auto Excess = Memory.excess();
    ASSERT_EQ(Excess.has_value(), Total > 2000);
    if (!Excess)
      continue;
    const auto &[Largest, Held] = Model.at(*Excess);
    for (const auto &[Each, Share] : Shares)
      ASSERT_LE(Share, Shares.at(Largest));
    for (const auto &[Each, Other] : Model)
      ASSERT_TRUE(Other.first != Largest || Other.second <= Held);
    ASSERT_EQ(Memory.largestShare(), Shares.at(Largest));
  }
}

} // namespace corneldeck::direct

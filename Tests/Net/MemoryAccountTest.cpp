#include "Net/MemoryAccount.h"

#include "Base/Random.h"

#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <vector>

namespace corneldeck::net {

namespace {

/// A holder that frees its bytes if it is cut off.
struct Connection {
  explicit Connection(MemoryAccount &Account)
      : m_Holder(Account, [this] {
          ++m_CutOffs;
          m_Holder.set(0, base::Millis(0));
        }) {}

  int m_CutOffs = 0;
  MemoryHolder m_Holder;
};

} // namespace

TEST(MemoryAccount, NobodyIsCutOffWithinTheBound) {
  MemoryAccount Account(100);
  Connection Only(Account);
  Only.m_Holder.set(100, base::Millis(0));
  Account.reduce(base::Millis(1'000'000));
  EXPECT_EQ(Only.m_CutOffs, 0);
}

// Failure: a large request that had just arrived was cut off for many that
// stopped short of their end.
TEST(MemoryAccount, TheLargestAndSlowestIsCutOffFirst) {
  MemoryAccount Account(100);
  Connection Stalled(Account);
  Connection Recent(Account);
  Connection Small(Account);
  Stalled.m_Holder.set(40, base::Millis(0));
  Small.m_Holder.set(5, base::Millis(0));
  Recent.m_Holder.set(60, base::Millis(2000));
  Account.reduce(base::Millis(2100));
  EXPECT_EQ(Stalled.m_CutOffs, 1);
  EXPECT_EQ(Recent.m_CutOffs, 0);
  EXPECT_EQ(Small.m_CutOffs, 0);
  EXPECT_EQ(Account.total(), 65U);
}

// Failure: a connection that had been used for long lost against a stalled one.
TEST(MemoryAccount, TheTimeCountsFromTheFirstByteHeld) {
  MemoryAccount Account(100);
  Connection Long(Account);
  Connection Stalled(Account);
  Long.m_Holder.set(10, base::Millis(0));
  Long.m_Holder.set(0, base::Millis(1000));
  Stalled.m_Holder.set(50, base::Millis(60'000));
  Long.m_Holder.set(60, base::Millis(62'000));
  Account.reduce(base::Millis(62'000));
  EXPECT_EQ(Long.m_CutOffs, 0);
  EXPECT_EQ(Stalled.m_CutOffs, 1);
}

// Failure: responses from servers and what callers hold were within their own
// bounds, and together above the memory.
TEST(MemoryAccount, ResponsesOfServersCount) {
  MemoryAccount Account(100);
  Connection Only(Account);
  Only.m_Holder.set(60, base::Millis(0));
  Account.setResponseBytes(50);
  EXPECT_TRUE(Account.isExceeded());
  Account.reduce(base::Millis(1));
  EXPECT_EQ(Only.m_CutOffs, 1);
  EXPECT_EQ(Account.total(), 50U);
  Account.setResponseBytes(200);
  Account.reduce(base::Millis(2));
  EXPECT_EQ(Only.m_CutOffs, 1);
}

// Failure: bytes that were counted twice, or were still counted after their
// connection had gone. The oracle adds up all holders.
TEST(MemoryAccount, IsTheSumOfItsHoldersInAnyOrder) {
  constexpr std::uint64_t Schedules = 2000;
  constexpr std::size_t Bound = 500;
  for (std::uint64_t Seed = 0; Seed < Schedules; ++Seed) {
    base::Random Numbers(Seed);
    MemoryAccount Account(Bound);
    std::vector<std::unique_ptr<Connection>> Open;
    for (std::int64_t Step = 0; Step < 40; ++Step) {
      const base::Millis Now(Step * 10);
      if (Open.empty() || Numbers.below(3) == 0)
        Open.push_back(std::make_unique<Connection>(Account));
      const std::size_t Index = Numbers.below(Open.size());
      if (Numbers.below(5) == 0)
        Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Index));
      else
        Open[Index]->m_Holder.set(Numbers.below(300), Now);
      if (Numbers.below(2) == 0)
        Account.reduce(Now);
      std::size_t Sum = 0;
      for (const auto &Each : Open)
        Sum += Each->m_Holder.bytes();
      ASSERT_EQ(Account.total(), Sum) << Seed;
    }
    Account.reduce(base::Millis(1000));
    ASSERT_LE(Account.total(), Bound) << Seed;
    Open.clear();
    ASSERT_EQ(Account.total(), 0U) << Seed;
  }
}

} // namespace corneldeck::net

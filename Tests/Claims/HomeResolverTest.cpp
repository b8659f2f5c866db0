#include "Claims/HomeResolver.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using namespace corneldeck::claims;
using base::Millis;

namespace {

constexpr Millis StartWall = base::minutes(1000);

HomeQuery makeQuery(const std::string &Key, Millis Created,
                    std::uint64_t Offset) {
  return {"pay", claimKey("pay", "c", Key), Created, Offset};
}

/// \returns a key whose home is \p Server among \p Servers.
std::string keyWithHome(const std::string &Server,
                        const std::vector<std::string> &Servers) {
  for (int Number = 0;; ++Number) {
    std::string Key = "k" + std::to_string(Number);
    if (homeOf(claimKey("pay", "c", Key), Servers) == Server)
      return Key;
  }
}

} // namespace

TEST(HomeResolver, RefusesKeysThatMayPredateItsRecords) {
  HomeResolver Resolver("a", StartWall, {});
  Resolver.onPlacement(Millis(0), "pay", 1, {"a"});
  const Millis Wall = StartWall + base::seconds(10);
  const auto VerdictOf = [&](Millis Created) {
    return Resolver.check(base::seconds(10), Wall, makeQuery("k", Created, 1))
        .m_Verdict;
  };
  EXPECT_EQ(VerdictOf(Millis(0)), HomeVerdict::MayHaveRun);
  EXPECT_EQ(VerdictOf(StartWall), HomeVerdict::MayHaveRun);
  EXPECT_EQ(VerdictOf(StartWall + base::seconds(6)), HomeVerdict::Home);
  EXPECT_EQ(VerdictOf(StartWall - base::minutes(11)), HomeVerdict::TooOld);
}

TEST(HomeResolver, RequiresFencesUntilRetentionAndDisconnectedTimeHavePassed) {
  const std::vector<std::string> Both{"a", "b"};
  const std::string Key = keyWithHome("b", Both);
  HomeResolver Resolver("a", StartWall, {});
  Resolver.onPlacement(Millis(0), "pay", 1, Both);
  Resolver.onPlacement(base::minutes(20), "pay", 2, {"a"});
  const auto Check = [&](Millis Now) {
    return Resolver.check(Now, StartWall + Now, makeQuery(Key, Millis(0), 2));
  };
  EXPECT_EQ(Check(base::minutes(30)).m_FormerHomes,
            std::vector<std::string>{"b"});
  EXPECT_EQ(Check(base::minutes(41)).m_Verdict, HomeVerdict::Home);
}

TEST(HomeResolver, SkipsAFormerHomeWhoseVmWasRemoved) {
  const std::vector<std::string> Both{"a", "b"};
  const std::string Key = keyWithHome("b", Both);
  HomeResolver Resolver("a", StartWall, {});
  Resolver.onPlacement(Millis(0), "pay", 1, Both);
  Resolver.onPlacement(base::minutes(20), "pay", 2, {"a"});
  const Millis Wall = StartWall + base::minutes(21);
  Resolver.onServerRemoved("b", Wall);
  const auto VerdictOf = [&](Millis Created) {
    return Resolver.check(base::minutes(21), Wall, makeQuery(Key, Created, 2))
        .m_Verdict;
  };
  EXPECT_EQ(VerdictOf(Wall - base::minutes(2)), HomeVerdict::FenceRequired);
  EXPECT_EQ(VerdictOf(Wall + base::seconds(6)), HomeVerdict::Home);
}

TEST(HomeResolver, DetectsAnOldCatalogueAndAForeignKey) {
  const std::vector<std::string> Both{"a", "b"};
  HomeResolver Resolver("a", StartWall, {});
  Resolver.onPlacement(Millis(0), "pay", 5, Both);
  const Millis Wall = StartWall + base::minutes(20);
  const auto VerdictOf = [&](const std::string &Key, std::uint64_t Offset) {
    return Resolver.check(base::minutes(20), Wall, makeQuery(Key, Wall, Offset))
        .m_Verdict;
  };
  EXPECT_EQ(VerdictOf(keyWithHome("a", Both), 6), HomeVerdict::CatalogueBehind);
  EXPECT_EQ(VerdictOf(keyWithHome("b", Both), 5), HomeVerdict::NotHome);
  EXPECT_EQ(VerdictOf(keyWithHome("a", Both), 4), HomeVerdict::Home);
}

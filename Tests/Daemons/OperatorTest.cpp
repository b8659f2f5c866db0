#include "Fleet.h"

namespace corneldeck::tests {

class OperatorTest : public Fleet {};

TEST_F(OperatorTest, RacingChangeIsRejectedWithTheReason) {
  publishAll();
  const auto Winner = publish("race-1", Model, 1, modelEntry(1));
  const auto Loser = publish("race-2", Model, 1, modelEntry(Engines));
  EXPECT_EQ(Winner["result"], "accepted");
  EXPECT_EQ(Loser["result"], "rejected");
  EXPECT_EQ(Loser["code"], 300);
  EXPECT_FALSE(Loser["message"].get<std::string>().empty());
}

TEST_F(OperatorTest, RepeatedChangeIdGetsTheFirstOutcome) {
  publishAll();
  const auto First = publish("same", Model, 1, modelEntry(1));
  const auto Again = publish("same", Model, 1, modelEntry(1));
  EXPECT_EQ(First["result"], "accepted");
  EXPECT_EQ(Again["result"], "accepted");
  EXPECT_EQ(First["offset"], Again["offset"]);
}

TEST_F(OperatorTest, WrongEntryIsRefusedWithLineAndKey) {
  runUntil([this] {
    return fetch(entryAddress(0), "GET", "/ready").m_Status == 200;
  });
  const auto Answer =
      publish("wrong", Model, 0, modelEntry(1) + "nonsense: 1\n");
  EXPECT_EQ(Answer["result"], "rejected");
  EXPECT_NE(Answer["message"].get<std::string>().find("nonsense"),
            std::string::npos);
}

TEST_F(OperatorTest, AddressesNameTheEntries) {
  publishAll();
  const auto Answer = nlohmann::json::parse(
      fetch(entryAddress(0), "GET", "/v1/addresses?zone=kadikoy").m_Body);
  EXPECT_EQ(Answer["addresses"].size(), Entries);
  EXPECT_GT(Answer["lifetime_ms"].get<int>(), 0);
}

TEST_F(OperatorTest, RestartedAgentTakesTheCatalogueWhileTheLogIsOut) {
  publishAll();
  fetch(m_LogAddress, "POST", "/faults", R"({"outage":"refuse"})");
  restartAgent(0);
  runUntil([&] {
    const auto Status = nlohmann::json::parse(
        fetch(entryAddress(0), "GET", "/operator/status").m_Body);
    for (const auto &Node : Status["nodes"])
      if (Node["node"] == "server-0")
        return Node["ready"].get<bool>() && Node["offset"] == 2;
    return false;
  });
  const auto Answer = publish("while-out", Model, 1, modelEntry(1));
  EXPECT_NE(Answer["result"], "accepted");
}

} // namespace corneldeck::tests

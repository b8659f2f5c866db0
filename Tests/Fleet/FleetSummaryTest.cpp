#include "Fleet/FleetSummary.h"

#include <gtest/gtest.h>

namespace corneldeck::fleet {

namespace {

wire::FleetBeat beat(const std::string &Node, std::uint32_t Requests,
                     std::uint64_t Offset) {
  wire::FleetBeat Beat;
  Beat.mutable_sender()->set_node(Node);
  wire::ServerWork &Work = *Beat.add_work();
  Work.set_server("s");
  Work.set_requests(Requests);
  Work.set_prompt_tokens(10 * Requests);
  Beat.mutable_servers()->set_loaded(true);
  Beat.mutable_servers()->set_content_offset(Offset);
  Beat.mutable_servers()->set_source_age_ms(
      static_cast<std::uint32_t>(1000 - Offset));
  return Beat;
}

wire::GroupNews group(std::uint64_t Epoch, bool Open) {
  wire::GroupNews News;
  News.set_service("s");
  News.set_group("g");
  News.set_epoch(Epoch);
  News.set_open(Open);
  return News;
}

} // namespace

TEST(SummarySum, AddsEntriesAndSummariesOnce) {
  SummarySum Zone;
  Zone.addEntry(beat("a", 2, 1), base::Millis(100));
  Zone.addEntry(beat("b", 3, 2), base::Millis(200));
  wire::FleetSummary Partial;
  Zone.write(Partial);
  EXPECT_EQ(Partial.entries(), 2U);
  EXPECT_EQ(Partial.age_ms(), 150U);
  SummarySum All;
  All.addSummary(Partial, base::Millis(50));
  All.addEntry(beat("c", 4, 3), base::Millis(50));
  wire::FleetSummary Total;
  All.write(Total);
  EXPECT_EQ(Total.entries(), 3U);
  EXPECT_EQ(Total.age_ms(), 150U);
  ASSERT_EQ(Total.servers_size(), 1);
  EXPECT_EQ(Total.servers(0), serverHash("s"));
  EXPECT_EQ(Total.requests(0), 9U);
  EXPECT_EQ(Total.prompt_tokens(0), 90U);
}

// Failure: nodes did not learn which entries have the newest state of a feed,
// or that others read the log.
TEST(SummarySum, KeepsThePositionsThatMatter) {
  SummarySum Sum;
  for (std::uint64_t Offset = 1; Offset <= 40; ++Offset)
    Sum.addEntry(beat("e" + std::to_string(Offset), 0, Offset), {});
  wire::FleetSummary Summary;
  Sum.write(Summary);
  EXPECT_LE(Summary.positions_size(), 8);
  bool HasNewest = false;
  for (const wire::NodePositions &Each : Summary.positions())
    HasNewest = HasNewest || Each.node() == "e40";
  EXPECT_TRUE(HasNewest);
}

// Failure: an agent that was cut off during a new epoch made a group look
// closed.
TEST(SummarySum, CountsAgentsOfTheLatestEpochOnly) {
  SummarySum Sum;
  Sum.addAgent(group(1, false));
  Sum.addAgent(group(2, true));
  Sum.addAgent(group(1, false));
  Sum.addAgent(group(2, true));
  wire::FleetSummary Summary;
  Sum.write(Summary);
  ASSERT_EQ(Summary.groups_size(), 1);
  EXPECT_EQ(Summary.groups(0).epoch(), 2U);
  EXPECT_EQ(Summary.groups(0).open(), 2U);
  EXPECT_EQ(Summary.groups(0).closed(), 0U);
}

// Failure: with relays, each entry's statement on the same end or part would
// have been forwarded to all, and an older one could have replaced a newer one.
TEST(SummarySum, ForwardsEachEndAndPartOnce) {
  SummarySum Sum;
  for (std::uint32_t Entry = 0; Entry < 100; ++Entry) {
    wire::FleetBeat Beat = beat("e" + std::to_string(Entry), 1, 1);
    wire::ServerEnd &End = *Beat.add_ends();
    End.set_server("s1");
    End.set_service("llm");
    End.set_age_ms(1000);
    End.add_parts(7);
    End.add_parts(100 + Entry % 4);
    wire::PartQuarantine &Part = *Beat.add_parts();
    Part.set_service("llm");
    Part.set_part(7);
    Part.set_number(1);
    Part.set_released(Entry == 50);
    Part.set_age_ms(10 * Entry);
    Sum.addEntry(Beat, base::Millis(40));
  }
  wire::FleetSummary Zone;
  Sum.write(Zone);
  SummarySum All;
  All.addSummary(Zone, base::Millis(60));
  All.addSummary(Zone, base::Millis(60));
  wire::FleetSummary Total;
  All.write(Total);
  ASSERT_EQ(Total.ends_size(), 1);
  EXPECT_EQ(Total.ends(0).parts_size(), 5);
  EXPECT_EQ(Total.ends(0).age_ms(), 1100U);
  ASSERT_EQ(Total.parts_size(), 1);
  EXPECT_TRUE(Total.parts(0).released());
  EXPECT_EQ(Total.parts(0).age_ms(), 600U);
}

} // namespace corneldeck::fleet

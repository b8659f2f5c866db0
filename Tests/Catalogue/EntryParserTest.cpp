#include "Catalogue/EntryParser.h"

#include <gmock/gmock.h>

using namespace corneldeck::catalogue;
using ::testing::HasSubstr;

namespace {

constexpr const char *Writer = R"(name: writer
owner: vakif
kind: model
class: interactive
customers:
  - {name: floor, requests_per_s: 50, tokens_per_s: 5000, share: 2}
backend_servers:
  - {name: m1, link: "10.0.0.1:7100", control: "10.0.0.1:7101", zone: kadikoy,
     capacity: 16, enforces_fencing: true, group: g, rank: 0}
weights: {skew: 3, cost: 1}
deadlines: {default_ms: 10000, max_ms: 60000}
idempotent: {default: true, except_paths: [/receipts]}
bidding_window: {open: true, rebalancing: false}
)";

} // namespace

TEST(EntryParser, ReadsAllKeys) {
  const auto Read = parseEntry(Writer, "writer.yaml");
  ASSERT_TRUE(Read) << Read.error().m_Message;
  EXPECT_EQ(Read->m_Class, ServiceClass::Interactive);
  EXPECT_EQ(Read->m_Deadlines.m_Max, corneldeck::base::seconds(60));
  EXPECT_EQ(Read->m_BackendServers.at(0).m_RankAssignment->m_Group, "g");
  EXPECT_EQ(Read->customerLimit("floor")->m_Share, 2);
  EXPECT_TRUE(Read->isIdempotent("/lots"));
  EXPECT_FALSE(Read->isIdempotent("/receipts/7"));
  EXPECT_FALSE(Read->allowsRebalancing());
}

TEST(EntryParser, BodyOfDocumentParsesToSameEntry) {
  const ParsedFile Parsed = parseEntries(Writer, "writer.yaml");
  ASSERT_TRUE(Parsed.m_Problems.empty());
  const auto Again = parseEntry(Parsed.m_Entries.at(0).m_Body, "body");
  ASSERT_TRUE(Again) << Again.error().m_Message;
  EXPECT_EQ(*Again, Parsed.m_Entries.at(0).m_Entry);
}

TEST(EntryParser, ReportsEveryProblemWithLineAndKey) {
  const std::string Text = "name: writer\nowner: vakif\nkind: modle\n"
                           "class: batch\ncolour: red\nbackend_servers:\n"
                           "  - name: m1\n    link: localhost:80\n"
                           "    control: 10.0.0.1:7101\n    zone: z\n"
                           "    capacity: 0\n";
  const auto Read = parseEntry(Text, "w.yaml");
  ASSERT_FALSE(Read);
  const std::string &Message = Read.error().m_Message;
  EXPECT_THAT(Message, HasSubstr("w.yaml:3: kind: expected one of model"));
  EXPECT_THAT(Message, HasSubstr("w.yaml:5: colour: expected one of"));
  EXPECT_THAT(Message, HasSubstr("w.yaml:8: backend_servers[0].link"));
  EXPECT_THAT(parseEntry(Text + "name: again\n", "w").error().m_Message,
              HasSubstr("w:12: name: expected each key once"));
  EXPECT_THAT(Message, HasSubstr("w.yaml:11: backend_servers[0].capacity"));
}

TEST(EntryParser, RefusesInvalidYaml) {
  for (const char *Text :
       {"", "name: [", "- a\n- b\n", "a: *b\n", "{{{{", "name: a\nname: b\n"})
    EXPECT_FALSE(parseEntry(Text, "x")) << Text;
}

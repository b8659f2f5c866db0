#include "Catalogue/EntryParser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace corneldeck::ctl {

namespace {

constexpr const char *Valid = R"(name: remittances
owner: ajoke
kind: service
class: interactive
customers:
  - {name: payroll, requests_per_s: 50, tokens_per_s: 0, share: 2}
backend_servers:
  - {name: s1, link: "10.0.0.1:7100", control: "10.0.0.1:7101", zone: ikeja,
     capacity: 16, enforces_fencing: true}
weights: {skew: 1, cost: 3}
deadlines: {default_ms: 10000, max_ms: 60000}
idempotent: {default: false, except_paths: [/status]}
)";

/// A parse gives either an entry that its own text gives again, or problems.
void expectWhole(const std::string &Text) {
  const catalogue::ParsedFile Parsed = catalogue::parseEntries(Text, "f.yaml");
  for (const catalogue::Problem &Found : Parsed.m_Problems)
    RC_ASSERT(Found.text().find("f.yaml") == 0U);
  if (!Parsed.m_Problems.empty())
    return;
  for (const catalogue::ParsedEntry &Item : Parsed.m_Entries) {
    const auto Again = catalogue::parseEntry(Item.m_Body, "again.yaml");
    RC_ASSERT(Again.has_value());
    RC_ASSERT(*Again == Item.m_Entry);
  }
}

TEST(EntryFuzzTest, ReadsOrRefusesDamagedEntries) {
  EXPECT_TRUE(rc::check("damage", [] {
    std::string Text = Valid;
    const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    const auto Count = *rc::gen::inRange<std::size_t>(0, 12);
    const auto New = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab: \n-[]{}\"'|>&*!%#,?019.\t")));
    expectWhole(Text.replace(At, Count, New));
  }));
}

TEST(EntryFuzzTest, ReadsOrRefusesAnyBytes) {
  EXPECT_TRUE(rc::check("any bytes",
                        [](const std::string &Text) { expectWhole(Text); }));
}

} // namespace

} // namespace corneldeck::ctl

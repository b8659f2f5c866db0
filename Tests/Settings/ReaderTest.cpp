#include "Settings/Reader.h"

#include <array>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace corneldeck::settings {

namespace {

using testing::ElementsAre;
using testing::HasSubstr;

constexpr std::array<std::string_view, 2> Classes{"interactive", "batch"};

std::vector<std::string> problemsOf(const Reader &Settings) {
  std::vector<std::string> Texts;
  for (const Problem &Found : Settings.problems())
    Texts.push_back(Found.describe());
  return Texts;
}

TEST(ReaderTest, ReadsEveryType) {
  Reader Root = Reader::fromText("name: entry-1\n"
                                 "port: 8080\n"
                                 "share: 0.25\n"
                                 "fast: true\n"
                                 "wait_ms: 20\n"
                                 "listen: 127.0.0.1:80\n"
                                 "class: batch\n"
                                 "peers: ['127.0.0.1:81', '[::1]:82']\n"
                                 "log: {address: 127.0.0.1:83}\n"
                                 "items: [{name: a}, {name: b}]\n",
                                 "a.yaml");
  EXPECT_EQ(Root.text("name"), "entry-1");
  EXPECT_EQ(Root.integer("port", {1, 65535}), 8080);
  EXPECT_DOUBLE_EQ(Root.number("share", {0, 1}), 0.25);
  EXPECT_TRUE(Root.boolean("fast"));
  EXPECT_EQ(Root.millis("wait_ms", {0, 100}), base::Millis(20));
  EXPECT_EQ(Root.address("listen"), "127.0.0.1:80");
  EXPECT_EQ(Root.choice("class", Classes), 1U);
  EXPECT_THAT(Root.addresses("peers"), ElementsAre("127.0.0.1:81", "[::1]:82"));
  EXPECT_EQ(Root.section("log").address("address"), "127.0.0.1:83");
  std::vector<Reader> Items = Root.sections("items");
  ASSERT_EQ(Items.size(), 2U);
  EXPECT_EQ(Items[0].text("name") + Items[1].text("name"), "ab");
  EXPECT_TRUE(Root.validate()) << Root.validate().error().m_Message;
}

TEST(ReaderTest, UsesDefaultsForMissingKeys) {
  Reader Root = Reader::fromText("{}", "a.yaml");
  EXPECT_EQ(Root.text("name", "x"), "x");
  EXPECT_EQ(Root.integer("port", {1, 9}, 5), 5);
  EXPECT_EQ(Root.section("log").integer("size", {1, 9}, 7), 7);
  EXPECT_TRUE(Root.validate());
}

TEST(ReaderTest, ReportsAllProblemsWithLineAndRemedy) {
  Reader Root = Reader::fromText("port: 70000\n"
                                 "listen: localhost:80\n"
                                 "log:\n"
                                 "  sise: 3\n"
                                 "class: slow\n",
                                 "a.yaml");
  Root.integer("port", {1, 65535});
  Root.address("listen");
  Root.section("log").integer("size", {1, 9}, 7);
  Root.choice("class", Classes);
  Root.text("name");
  EXPECT_THAT(
      problemsOf(Root),
      ElementsAre(
          "a.yaml:1: port: expected a whole number from 1 to 65535, found "
          "\"70000\"; correct the value",
          "a.yaml:1: name: expected a text, found nothing; add the key",
          "a.yaml:2: listen: expected an address ip:port, found "
          "\"localhost:80\"; use an IP address, not a host name, and a port",
          "a.yaml:4: log.sise: expected a known key, found an unknown one; "
          "correct its spelling or remove it",
          "a.yaml:5: class: expected one of interactive, batch, found "
          "\"slow\"; correct the value"));
}

TEST(ReaderTest, ReportsRepeatedKeys) {
  Reader Root = Reader::fromText("a: 1\na: 2\n", "a.yaml");
  Root.integer("a", {0, 9});
  EXPECT_THAT(problemsOf(Root),
              ElementsAre("a.yaml:2: a: expected each key once, found a "
                          "second one; remove one of them"));
}

TEST(ReaderTest, RefusesTextThatIsNotAYamlMapping) {
  for (const std::string Bad :
       {"a: [", "- a\n", "just text", "\"\\xZZ\"", ""}) {
    const Reader Root = Reader::fromText(Bad, "a.yaml");
    ASSERT_FALSE(Root.validate()) << Bad;
    EXPECT_EQ(Root.validate().error().m_Code, base::ResultCode::BadSettings);
  }
}

TEST(ReaderTest, LimitsFileSize) {
  const Reader Root = Reader::fromText(std::string(2000000, ' '), "a.yaml");
  EXPECT_THAT(problemsOf(Root), ElementsAre(HasSubstr("at most 1 MiB")));
}

TEST(ReaderTest, RefusesASecondDocument) {
  Reader Root = Reader::fromText("a: 1\n---\nb: 2\n", "a.yaml");
  Root.integer("a", {0, 9}, 0);
  EXPECT_THAT(problemsOf(Root), ElementsAre(HasSubstr("one YAML document")));
}

TEST(ReaderTest, HandlesDeepNesting) {
  const Reader Root = Reader::fromText(std::string(100000, '['), "a.yaml");
  EXPECT_FALSE(Root.validate());
}

TEST(ReaderTest, ReportsAMissingFile) {
  const Reader Root = Reader::fromFile("/nonexistent/a.yaml");
  EXPECT_THAT(problemsOf(Root), ElementsAre(HasSubstr("a readable file")));
}

} // namespace

} // namespace corneldeck::settings

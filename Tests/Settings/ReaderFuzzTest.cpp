#include "Settings/Reader.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace corneldeck::settings {

namespace {

/// Generates texts from characters that have a meaning in YAML, so that many of
/// them can be parsed.
rc::Gen<std::string> yamlLikeText() {
  return rc::gen::container<std::string>(rc::gen::elementOf(
      std::string("ab: \n-[]{}\"'|>&*!%#,?0159.\t\\~:  \n")));
}

void readAllKeys(Reader &Root) {
  Root.text("a");
  Root.integer("b", {0, 5});
  Root.number("ab", {0, 1});
  Root.addresses("ba");
  Reader Section = Root.section("a");
  Section.boolean("a");
  for (Reader &Item : Root.sections("b"))
    Item.text("a");
}

TEST(ReaderFuzzTest, HandlesAnyYamlLikeText) {
  const bool Passed = rc::check("any text gives values or problems", [] {
    Reader Root = Reader::fromText(*yamlLikeText(), "fuzz.yaml");
    readAllKeys(Root);
    for (const Problem &Found : Root.problems())
      RC_ASSERT(Found.describe().find('\n') == std::string::npos);
    RC_ASSERT(Root.validate().has_value() == Root.problems().empty());
  });
  EXPECT_TRUE(Passed);
}

TEST(ReaderFuzzTest, HandlesAnyBytes) {
  const bool Passed = rc::check("any bytes give values or problems", [] {
    Reader Root =
        Reader::fromText(*rc::gen::arbitrary<std::string>(), "fuzz.yaml");
    readAllKeys(Root);
    RC_ASSERT(Root.validate().has_value() == Root.problems().empty());
  });
  EXPECT_TRUE(Passed);
}

} // namespace

} // namespace corneldeck::settings

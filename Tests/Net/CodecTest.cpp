#include "Net/Base64.h"
#include "Net/RequestTarget.h"
#include "Net/ServerSentEventParser.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace corneldeck::net {

namespace {

TEST(Base64Test, RoundTripsAnyBytes) {
  EXPECT_TRUE(rc::check("decode(encode(x)) == x", [](const std::string &Bytes) {
    RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }));
}

TEST(Base64Test, RejectsOrDecodesAnyText) {
  EXPECT_EQ(encodeBase64("ab"), "YWI=");
  for (const char *Bad : {"a", "ab=c", "====", "a b=", "abc\xff"})
    EXPECT_FALSE(decodeBase64(Bad)) << Bad;
  EXPECT_TRUE(rc::check("any text",
                        [](const std::string &Text) { decodeBase64(Text); }));
}

TEST(RequestTargetTest, RoundTripsAnyValue) {
  EXPECT_TRUE(rc::check("value", [](const std::string &Value) {
    const RequestTarget Target("/p?a=1&b=" + encodeQueryValue(Value) + "&n=12");
    RC_ASSERT(Target.path() == "/p");
    RC_ASSERT(Target.text("b") == Value);
    RC_ASSERT(Target.number("n", 0) == 12U);
    RC_ASSERT(Target.number("none", 3) == 3U);
  }));
}

TEST(RequestTargetTest, ParsesAnyText) {
  EXPECT_TRUE(rc::check("any text", [](const std::string &Text) {
    const RequestTarget Target(Text);
    RC_ASSERT(Text.starts_with(Target.path()));
  }));
}

TEST(ServerSentEventParserTest, SplitsEventsIndependentlyOfPieceBoundaries) {
  EXPECT_TRUE(rc::check("pieces", [] {
    const std::string Text =
        "data: a\n\n: note\n\ndata: b\ndata: c\n\ndata:d\n\n"
        "data: rest";
    std::vector<std::string> Events;
    ServerSentEventParser Parser(
        [&](std::string_view Data) { Events.emplace_back(Data); });
    std::size_t At = 0;
    while (At < Text.size()) {
      const auto Count = *rc::gen::inRange<std::size_t>(1, Text.size() + 1);
      RC_ASSERT(Parser.feed(std::string_view(Text).substr(At, Count)));
      At += Count;
    }
    RC_ASSERT(Events == (std::vector<std::string>{"a", "b\nc", "d"}));
  }));
}

TEST(ServerSentEventParserTest, RejectsOversizedEvent) {
  ServerSentEventParser Parser([](std::string_view) {}, 10);
  EXPECT_FALSE(Parser.feed("data: 0123456789"));
}

} // namespace

} // namespace corneldeck::net

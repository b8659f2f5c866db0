#include "platform/CallerCodec.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace corneldeck::platform {

namespace {

using Kind = direct::RateLimitField::Kind;
using PauseKind = direct::PauseField::Kind;

direct::RateLimitField decode(const std::vector<std::string> &Values) {
  net::HttpResponseHead Head;
  Head.m_Status = 200;
  for (const std::string &Each : Values)
    Head.m_Headers.push_back({"Server-Limit", Each});
  return callerCodec().m_DecodeResponse(Head).m_RateLimit;
}

direct::ResponseInfo decodeResponse(int Status, const std::string &Name,
                                    const std::vector<std::string> &Values) {
  net::HttpResponseHead Head;
  Head.m_Status = Status;
  for (const std::string &Each : Values)
    Head.m_Headers.push_back({Name, Each});
  return callerCodec().m_DecodeResponse(Head);
}

direct::PauseField decodePause(const std::vector<std::string> &Values,
                               int Status = 503) {
  return decodeResponse(Status, "Retry-After", Values).m_Pause;
}

} // namespace

TEST(CallerCodec, DecodesRateLimits) {
  EXPECT_EQ(decode({}).m_Kind, Kind::Absent);
  EXPECT_EQ(decode({"1"}).m_PerSecond, 1);
  EXPECT_EQ(decode({"0.25"}).m_PerSecond, 0.25);
  EXPECT_EQ(decode({"0"}).m_Kind, Kind::Named);
  EXPECT_EQ(decode({"1000000000"}).m_PerSecond, 1e9);
}

TEST(CallerCodec, UsesTheLowestOfSeveralRateLimits) {
  EXPECT_EQ(decode({"3", "1.5", "2"}).m_PerSecond, 1.5);
}

// Failure: a field that is not a plain decimal number must neither end the
// server's limit nor be taken for another one.
TEST(CallerCodec, ReportsInvalidRateLimits) {
  for (const std::string Each :
       {"", "-1", "+1", "1e3", "nan", "inf", "0x10", "1,5", "1 2", "two", ".5",
        "1.", "1.2.3", "1/s"})
    EXPECT_EQ(decode({Each}).m_Kind, Kind::Invalid) << Each;
  EXPECT_EQ(decode({std::string(400, '9')}).m_Kind, Kind::Invalid);
  EXPECT_EQ(decode({"1", "x"}).m_Kind, Kind::Invalid);
  EXPECT_EQ(decode({std::string(5000, 'x')}).m_Text.size(), 64U);
}

// An empty field of a response states nothing.
TEST(CallerCodec, EmptyFieldsOfAResponseStateNothing) {
  EXPECT_FALSE(decodeResponse(503, "Not-Executed", {""}).m_NotRun);
  EXPECT_TRUE(decodeResponse(503, "Not-Executed", {"1"}).m_NotRun);
  EXPECT_FALSE(decodeResponse(200, "Response-Signature", {""}).m_Signed);
  EXPECT_TRUE(decodeResponse(200, "Response-Signature", {"x"}).m_Signed);
  EXPECT_FALSE(decodeResponse(200, "Server-Leaving", {""}).m_IsLeaving);
  EXPECT_TRUE(decodeResponse(200, "Server-Leaving", {"1"}).m_IsLeaving);
}

TEST(CallerCodec, DecodesPausesOfRefusals) {
  EXPECT_EQ(decodePause({}).m_Kind, PauseKind::Absent);
  EXPECT_EQ(decodePause({"2"}, 429).m_Kind, PauseKind::Absent);
  EXPECT_EQ(decodePause({"2"}).m_Duration, base::Millis(2000));
  EXPECT_EQ(decodePause({"0.0004"}).m_Duration, base::Millis(1));
  EXPECT_EQ(decodePause({"0"}).m_Kind, PauseKind::Named);
  EXPECT_EQ(decodePause({"0"}).m_Duration, base::Millis(0));
  EXPECT_EQ(decodePause({std::string(200, '9')}).m_Duration,
            base::seconds(1'000'000'000));
}

TEST(CallerCodec, UsesTheLongestOfSeveralPauses) {
  EXPECT_EQ(decodePause({"1", "3", "2"}).m_Duration, base::seconds(3));
}

// Failure: a field that is not a plain decimal number must not start a pause.
TEST(CallerCodec, ReportsInvalidPauses) {
  for (const std::string Each :
       {"", "-1", "+1", "1e3", "nan", "soon", "Fri, 04 Dec 2026 10:00:00 GMT",
        "1;2", ".5", "1."})
    EXPECT_EQ(decodePause({Each}).m_Kind, PauseKind::Invalid) << Each;
  EXPECT_EQ(decodePause({"1", "x"}).m_Kind, PauseKind::Invalid);
  EXPECT_EQ(decodePause({std::string(5000, 'x')}).m_Text.size(), 64U);
}

// Failure: a response that named no request was believed that another request
// had not run.
TEST(CallerCodec, BelievesResponsesOnlyToTheRequestThatTheyName) {
  const auto Matches = [](int Status, net::HttpHeaders Headers) {
    net::HttpResponseHead Head;
    Head.m_Status = Status;
    Head.m_Headers = std::move(Headers);
    return callerCodec().m_MatchesRequest(Head, "r1");
  };
  for (const int Status : {200, 302, 400, 421, 429, 500, 503}) {
    EXPECT_TRUE(Matches(Status, {{"Attempt-Id", "r1"}})) << Status;
    EXPECT_FALSE(Matches(Status, {{"Attempt-Id", "r2"}})) << Status;
    EXPECT_FALSE(Matches(Status, {{"Not-Executed", "1"}})) << Status;
    EXPECT_EQ(Matches(Status, {}), Status >= 500) << Status;
  }
}

// Failure: the last part belongs to one request or session alone, so it cannot
// be what several requests have in common; a malformed list says nothing.
TEST(CallerCodec, DecodesThePromptPartsThatRequestsShare) {
  EXPECT_THAT(parsePromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
              testing::ElementsAre(0x5c1e07a2, 0x91bd3f06));
  EXPECT_THAT(parsePromptParts("FFFFFFFFFFFFFFFF:1, 0:0,2:3"),
              testing::ElementsAre(0xFFFFFFFFFFFFFFFF, 0));
  for (const std::string &Each :
       {std::string(), std::string("1:2"), std::string("1:2,"),
        std::string(",1:2,3:4"), std::string("1:2,,3:4"),
        std::string("xyz:1,2:3,4:5"), std::string("1,2:3,4:5"),
        std::string("1:,2:3,4:5"), std::string("1:-2,2:3,4:5"),
        std::string("0x1:2,3:4"), std::string(5000, ',')})
    EXPECT_TRUE(parsePromptParts(Each).empty()) << Each;
}

// Failure: prompts of over 64 parts, with a repeated part or with a long id
// were taken as empty and passed the quarantine.
TEST(CallerCodec, DecodesLongPromptsRepeatedPartsAndLongIds) {
  for (const int Count : {64, 65, 80, 3000}) {
    std::string Many = "fa7a1:1";
    for (int Part = 1; Part < Count; ++Part)
      Many += "," + std::to_string(Part) + ":1";
    const auto Parts = parsePromptParts(Many);
    ASSERT_EQ(Parts.size(), static_cast<std::size_t>(Count - 1));
    EXPECT_EQ(Parts.front(), 0xfa7a1U);
  }
  EXPECT_THAT(parsePromptParts("1:2,1:2,3:4"), testing::Contains(1));
  // The last part is left out also if it repeats one that is shared.
  EXPECT_THAT(parsePromptParts("1:2,3:4,3:4"), testing::ElementsAre(1, 3));

  const std::string Long = "0123456789abcdef01234567";
  const auto Keys =
      parsePromptParts(Long + "a1:1," + Long + "a2:1," + Long + "A1:1,5:1");
  ASSERT_EQ(Keys.size(), 3U);
  EXPECT_NE(Keys[0], Keys[1]);
  EXPECT_EQ(Keys[0], Keys[2]);
  // Zeros at the begin do not change an id, as with short ids.
  EXPECT_THAT(parsePromptParts("00000000000000000000fa7a1:1,5:1"),
              testing::ElementsAre(0xfa7a1));
  EXPECT_EQ(parsePromptParts("0" + Long + ":1,5:1"),
            parsePromptParts(Long + ":1,5:1"));
  EXPECT_EQ(parsePromptParts(std::string(16000, 'f') + ":1,5:1").size(), 1U);
}

TEST(CallerCodec, DecodesServersThatLeave) {
  const auto IsLeaving = [](const std::vector<std::string> &Values) {
    return decodeResponse(200, "Server-Leaving", Values).m_IsLeaving;
  };
  EXPECT_FALSE(IsLeaving({}));
  EXPECT_TRUE(IsLeaving({"1"}));
  EXPECT_TRUE(IsLeaving({"0", "1"}));
  EXPECT_FALSE(IsLeaving({"0"}));
  EXPECT_FALSE(IsLeaving({"yes"}));
}

} // namespace corneldeck::platform

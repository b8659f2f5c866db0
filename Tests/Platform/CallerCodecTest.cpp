#include "platform/CallerCodec.h"

#include <gtest/gtest.h>

namespace corneldeck::platform {

namespace {

using Kind = direct::RateLimitField::Kind;

direct::RateLimitField decode(const std::vector<std::string> &Values) {
  net::HttpResponseHead Head;
  Head.m_Status = 200;
  for (const std::string &Each : Values)
    Head.m_Headers.push_back({"Server-Limit", Each});
  return callerCodec().m_DecodeResponse(Head).m_RateLimit;
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

} // namespace corneldeck::platform

#include "Admin/Messages.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace corneldeck::admin {

namespace {

TEST(MessagesTest, DecodeWhatWasEncoded) {
  const PublishRequest Request{
      "c1", {{"a", 3, "o", "name: a\n", false}, {"b", 0, "o", "", true}}};
  const auto Read = decodePublishRequest(encode(Request));
  ASSERT_TRUE(Read) << Read.error().m_Message;
  EXPECT_EQ(encode(*Read), encode(Request));

  const PublishResponse Response{PublishResult::Rejected,
                                 base::ResultCode::RejectedVersion, 17, "late"};
  EXPECT_EQ(encode(decodePublishResponse(encode(Response)).value()),
            encode(Response));

  const EntryList List{5, {{"a", 1, 5, "o", "name: a", false}}};
  EXPECT_EQ(encode(decodeEntryList(encode(List)).value()), encode(List));

  const History Past{"a", 2, {{5, 1, "o", true, "won"}}};
  EXPECT_EQ(encode(decodeHistory(encode(Past)).value()), encode(Past));

  const Status All{
      "e1",
      9,
      {{"e1", "entry", "z", 9, base::Millis(3), true, false, "1.2.3.4:5"}}};
  EXPECT_EQ(encode(decodeStatus(encode(All)).value()), encode(All));

  const Groups Some{{{"g", true, "7.2", 100, {{0, "b1", "joined"}}}}};
  EXPECT_EQ(encode(decodeGroups(encode(Some)).value()), encode(Some));

  EXPECT_EQ(decodeDrainRequest(encode(DrainRequest{"b1"}))->m_BackendServer,
            "b1");
}

TEST(MessagesTest, RefuseInvalidBodies) {
  for (const char *Bad :
       {"", "null", "[]", R"({"change_id":"c"})",
        R"({"change_id":1,"changes":[]})", R"({"change_id":"c","changes":{}})",
        R"({"change_id":"c","changes":[{"entry":"a","owner":"o",)"
        R"("expected_version":-1,"body":"x"}]})",
        R"({"change_id":"c","changes":[{"entry":"a","owner":"o",)"
        R"("expected_version":1}]})",
        R"({"change_id":"c","changes":[{"entry":"a","owner":"o",)"
        R"("expected_version":1,"body":"x","deletion":true}]})"}) {
    const auto Read = decodePublishRequest(Bad);
    ASSERT_FALSE(Read) << Bad;
    EXPECT_EQ(Read.error().m_Code, base::ResultCode::BadMessage);
  }
  EXPECT_FALSE(decodePublishResponse(
      R"({"result":"maybe","offset":1,"message":"","code":0})"));
}

/// Replaces up to three bytes of a valid body by arbitrary bytes. A decoder
/// must refuse the body, or return a message that can be encoded and decoded
/// again.
TEST(MessagesTest, HandleAnyCorruptedBody) {
  const std::string Publish = encode(PublishRequest{
      "c1", {{"a", 3, "o", "name: a\n", false}, {"b", 0, "o", "", true}}});
  const std::string All = encode(Status{
      "e1",
      9,
      {{"e1", "entry", "z", 9, base::Millis(3), true, false, "1.2.3.4:5"}}});
  EXPECT_TRUE(rc::check("corrupted body", [&] {
    for (std::string Body : {Publish, All}) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Body.size());
      const auto Count = *rc::gen::inRange<std::size_t>(0, 4);
      Body.replace(At, Count, *rc::gen::arbitrary<std::string>());
      const auto Request = decodePublishRequest(Body);
      if (Request)
        RC_ASSERT(decodePublishRequest(encode(*Request)).has_value());
      const auto Read = decodeStatus(Body);
      if (Read)
        RC_ASSERT(decodeStatus(encode(*Read)).has_value());
    }
  }));
}

} // namespace

} // namespace corneldeck::admin

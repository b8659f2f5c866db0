#include "Request/AttemptTable.h"

#include "Claims/ClaimKey.h"

#include <gtest/gtest.h>

using namespace corneldeck;
using namespace corneldeck::request;
using base::Millis;
using base::ResultCode;

namespace {

constexpr std::uint64_t Incarnation = 3;

AttemptTable makeTable() {
  AttemptHooks Hooks;
  Hooks.m_WallClock = [] { return base::minutes(1000); };
  return {{"a", Incarnation}, {}, Hooks, Millis(0)};
}

wire::LinkFrame start(const std::string &Request, Millis Issued,
                      const std::string &Key = "") {
  wire::LinkFrame Frame;
  wire::Start &Start = *Frame.mutable_start();
  Start.set_request(Request);
  Start.set_attempt(1);
  Start.set_service("pay");
  Start.set_deadline_ms(30000);
  Start.set_agent_incarnation(Incarnation);
  Start.set_issued_ms(Issued.count());
  Start.set_key(Key);
  Start.set_key_created_ms(base::minutes(1001).count());
  Start.set_catalogue_offset(1);
  Start.set_stream(true);
  return Frame;
}

wire::LinkFrame attach(const std::string &Request, Millis Issued,
                       std::uint32_t From) {
  wire::LinkFrame Frame;
  Frame.mutable_attach()->set_request(Request);
  Frame.mutable_attach()->set_attempt(1);
  Frame.mutable_attach()->set_agent_incarnation(Incarnation);
  Frame.mutable_attach()->set_issued_ms(Issued.count());
  Frame.mutable_attach()->set_from_token(From);
  return Frame;
}

std::size_t startedRuns(const AttemptActions &Actions) {
  std::size_t Count = 0;
  for (const AttemptAction &Each : Actions)
    Count += std::holds_alternative<StartBackendRun>(Each) ? 1 : 0;
  return Count;
}

/// \returns the frames sent over \p Link.
std::vector<wire::LinkFrame> sent(const AttemptActions &Actions, LinkId Link) {
  std::vector<wire::LinkFrame> Frames;
  for (const AttemptAction &Each : Actions)
    if (const auto *Send = std::get_if<SendOnLink>(&Each))
      if (Send->m_Link == Link)
        Frames.push_back(Send->m_Frame);
  return Frames;
}

} // namespace

TEST(AttemptTable, RunsADuplicateStartOnce) {
  AttemptTable Table = makeTable();
  EXPECT_EQ(startedRuns(Table.onFrame(Millis(5), 1, start("r", Millis(4)))),
            1U);
  EXPECT_EQ(startedRuns(Table.onFrame(Millis(6), 1, start("r", Millis(4)))),
            0U);
}

TEST(AttemptTable, DoesNotRunAStartReceivedAfterItsAttachWasRefused) {
  AttemptTable Table = makeTable();
  const auto Answer =
      sent(Table.onFrame(Millis(10), 1, attach("r", Millis(4), 0)), 1);
  ASSERT_EQ(Answer.size(), 1U);
  EXPECT_EQ(Answer[0].end().ran(), wire::RAN_NO);
  EXPECT_EQ(startedRuns(Table.onFrame(Millis(20), 2, start("r", Millis(4)))),
            0U);
}

TEST(AttemptTable, RefusesAStartDelayedTooLong) {
  AttemptTable Table = makeTable();
  const auto Answer =
      sent(Table.onFrame(base::seconds(11), 1, start("r", Millis(4))), 1);
  ASSERT_EQ(Answer.size(), 1U);
  EXPECT_EQ(Answer[0].end().code(),
            static_cast<unsigned>(ResultCode::NotStarted));
}

TEST(AttemptTable, ReplaysFromTheTokenOfTheAttach) {
  AttemptTable Table = makeTable();
  Table.onFrame(Millis(5), 1, start("r", Millis(4)));
  Table.onBackendChunk(Millis(6), 1, 2, "ab");
  Table.onLinkClosed(Millis(7), 1);
  Table.onBackendChunk(Millis(8), 1, 1, "c");
  Table.onBackendEnd(Millis(9), 1, {});
  const auto Replay =
      sent(Table.onFrame(Millis(20), 2, attach("r", Millis(4), 2)), 2);
  ASSERT_EQ(Replay.size(), 2U);
  EXPECT_EQ(Replay[0].chunk().data(), "c");
  EXPECT_EQ(Replay[1].end().tokens(), 3U);
}

TEST(AttemptTable, CancelsWorkNotReattachedInTime) {
  AttemptTable Table = makeTable();
  Table.onFrame(Millis(5), 1, start("r", Millis(4)));
  Table.onLinkClosed(Millis(7), 1);
  Table.onTimer(Millis(7) + base::seconds(5));
  EXPECT_EQ(Table.running(), 0U);
}

TEST(AttemptTable, ReturnsTheFirstAnswerForADuplicateKey) {
  AttemptTable Table = makeTable();
  Table.onPlacement(Millis(0), "pay", 1, {"a"});
  EXPECT_EQ(
      startedRuns(Table.onFrame(Millis(5), 1, start("r1", Millis(4), "k"))),
      1U);
  Table.onBackendChunk(Millis(6), 1, 2, "ab");
  EXPECT_EQ(
      startedRuns(Table.onFrame(Millis(7), 2, start("r2", Millis(6), "k"))),
      0U);
  EXPECT_EQ(sent(Table.onBackendEnd(Millis(8), 1, {}), 2).size(), 1U);
  const auto Late =
      sent(Table.onFrame(Millis(9), 3, start("r3", Millis(8), "k")), 3);
  ASSERT_EQ(Late.size(), 2U);
  EXPECT_EQ(Late[0].chunk().data(), "ab");
  EXPECT_TRUE(Late[1].end().duplicate());
}

TEST(AttemptTable, DoesNotRunAKeyFencedByItsNewHome) {
  AttemptTable Table = makeTable();
  Table.onPlacement(Millis(0), "pay", 1, {"a"});
  wire::ClaimFence Fence;
  Fence.set_service("pay");
  Fence.set_key("k");
  Fence.set_catalogue_offset(2);
  AttemptActions Actions;
  EXPECT_FALSE(Table.onFence(Millis(4), "b", Fence, Actions).known());
  EXPECT_EQ(
      startedRuns(Table.onFrame(Millis(5), 1, start("r", Millis(4), "k"))), 0U);
}

TEST(AttemptTable, FencesTheFormerHomeBeforeRunningAMovedKey) {
  AttemptTable Table = makeTable();
  std::string Key;
  for (int Number = 0; Key.empty(); ++Number)
    if (const std::string Tried = "k" + std::to_string(Number);
        claims::homeOf(claims::claimKey("pay", "", Tried),
                       std::vector<std::string>{"a", "b"}) == "b")
      Key = Tried;
  Table.onPlacement(Millis(0), "pay", 1, {"a", "b"});
  Table.onPlacement(Millis(1), "pay", 2, {"a"});
  const AttemptActions Asked =
      Table.onFrame(Millis(5), 1, start("r", Millis(4), Key));
  ASSERT_EQ(Asked.size(), 1U);
  const auto &Sent = std::get<SendFence>(Asked[0]);
  EXPECT_EQ(Sent.m_Server, "b");
  wire::ClaimFenceReply Reply;
  Reply.set_ask(Sent.m_Fence.ask());
  Reply.set_remembers_since_ms(1);
  EXPECT_EQ(startedRuns(Table.onFenceReply(Millis(6), "b", Reply)), 1U);
}

TEST(AttemptTable, DrainExportsStreamsAndRefusesNewWork) {
  AttemptTable Table = makeTable();
  Table.onFrame(Millis(5), 1, start("r", Millis(4)));
  Table.onBackendChunk(Millis(6), 1, 2, "ab");
  Table.beginDrain(Millis(10), Millis(1010));
  EXPECT_EQ(startedRuns(Table.onFrame(Millis(11), 1, start("s", Millis(10)))),
            0U);
  const AttemptActions Half = Table.onTimer(Millis(510));
  ASSERT_EQ(Half.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<ExportBackendStream>(Half[0]));
  const auto Moved = sent(Table.onBackendExported(Millis(511), 1, "kv"), 1);
  ASSERT_EQ(Moved.size(), 1U);
  EXPECT_TRUE(Moved[0].end().moved());
  EXPECT_EQ(Moved[0].end().tokens(), 2U);
  EXPECT_TRUE(Table.drained(Millis(512)));
}

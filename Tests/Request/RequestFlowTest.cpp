#include "Request/RequestFlow.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace corneldeck;
using namespace corneldeck::request;
using base::Millis;
using base::Ran;
using base::ResultCode;

namespace {

RequestSpec spec(bool Idempotent, const std::string &Key = "") {
  RequestSpec Spec;
  Spec.m_Id = "r";
  Spec.m_Deadline = Millis(10000);
  Spec.m_Idempotent = Idempotent;
  Spec.m_Key = Key;
  Spec.m_Stream = true;
  return Spec;
}

/// Chooses the first of "a" and "b" that is not excluded.
FlowHooks hooks() {
  FlowHooks Hooks;
  Hooks.m_ChooseAgent =
      [](Millis Now,
         const std::vector<std::string> &Excluded) -> base::Result<Target> {
    for (const std::string Agent : {"a", "b"})
      if (std::find(Excluded.begin(), Excluded.end(), Agent) == Excluded.end())
        return Target{Agent, 1, Now};
    return base::failure(ResultCode::NoReplica, "");
  };
  Hooks.m_TryConsumeRetry = [] { return true; };
  return Hooks;
}

wire::LinkFrame chunk(std::uint32_t Attempt, std::uint32_t First,
                      const std::string &Data) {
  wire::LinkFrame Frame;
  Frame.mutable_chunk()->set_request("r");
  Frame.mutable_chunk()->set_attempt(Attempt);
  Frame.mutable_chunk()->set_first_token(First);
  Frame.mutable_chunk()->set_tokens(static_cast<std::uint32_t>(Data.size()));
  Frame.mutable_chunk()->set_data(Data);
  return Frame;
}

wire::LinkFrame end(std::uint32_t Attempt, ResultCode Code, wire::RanState Ran,
                    std::uint32_t Tokens) {
  wire::LinkFrame Frame;
  Frame.mutable_end()->set_request("r");
  Frame.mutable_end()->set_attempt(Attempt);
  Frame.mutable_end()->set_code(static_cast<std::uint32_t>(Code));
  Frame.mutable_end()->set_ran(Ran);
  Frame.mutable_end()->set_tokens(Tokens);
  return Frame;
}

const Outcome *outcome(const RequestFlow::Actions &Actions) {
  for (const FlowAction &Each : Actions)
    if (const auto *Last = std::get_if<Finish>(&Each))
      return &Last->m_Outcome;
  return nullptr;
}

const wire::Start *started(const RequestFlow::Actions &Actions) {
  for (const FlowAction &Each : Actions)
    if (const auto *Send = std::get_if<SendFrame>(&Each))
      if (Send->m_Frame.has_start())
        return &Send->m_Frame.start();
  return nullptr;
}

} // namespace

TEST(RequestFlow, RetriesAtAnotherAgentAfterARefusal) {
  RequestFlow Flow(spec(false), {}, hooks());
  Flow.begin(Millis(0));
  const auto Next = Flow.onFrame(
      Millis(2), "a", end(1, ResultCode::Overloaded, wire::RAN_NO, 0));
  ASSERT_NE(started(Next), nullptr);
  EXPECT_EQ(started(Next)->attempt(), 2U);
}

TEST(RequestFlow,
     ReportsUnknownOutcomeWhenANonIdempotentRequestLosesItsConnection) {
  RequestFlow Flow(spec(false), {}, hooks());
  Flow.begin(Millis(0));
  Flow.onLinkClosed(Millis(100), "a");
  const auto Last = Flow.onTimer(*Flow.nextTimer());
  ASSERT_NE(outcome(Last), nullptr);
  EXPECT_EQ(outcome(Last)->m_Code, ResultCode::OutcomeUnknown);
  EXPECT_EQ(outcome(Last)->m_Ran, Ran::Unknown);
  EXPECT_GT(outcome(Last)->m_RetryAfter, Millis(0));
}

TEST(RequestFlow, ResumesAnIdempotentStreamAtTheNextToken) {
  RequestFlow Flow(spec(true), {}, hooks());
  Flow.begin(Millis(0));
  Flow.onFrame(Millis(1), "a", chunk(1, 0, "ab"));
  Flow.onLinkClosed(Millis(100), "a");
  const auto Next = Flow.onTimer(*Flow.nextTimer());
  ASSERT_NE(started(Next), nullptr);
  EXPECT_EQ(started(Next)->resume_from(), 2U);
  EXPECT_EQ(started(Next)->resume_text(), "ab");
  EXPECT_TRUE(Flow.onFrame(Millis(2000), "a", chunk(1, 2, "xx")).empty());
  EXPECT_EQ(Flow.onFrame(Millis(2001), "b", chunk(2, 2, "cd")).size(), 1U);
}

TEST(RequestFlow, ReattachesOverANewConnection) {
  RequestFlow Flow(spec(false), {}, hooks());
  Flow.begin(Millis(0));
  Flow.onFrame(Millis(1), "a", chunk(1, 0, "ab"));
  Flow.onLinkClosed(Millis(100), "a");
  const auto Up = Flow.onLinkUp(Millis(200), "a", 1);
  ASSERT_EQ(Up.size(), 1U);
  EXPECT_EQ(std::get<SendFrame>(Up[0]).m_Frame.attach().from_token(), 2U);
}

TEST(RequestFlow, RequestsMissingTokensBeforeFinishing) {
  RequestFlow Flow(spec(true), {}, hooks());
  Flow.begin(Millis(0));
  Flow.onFrame(Millis(1), "a", chunk(1, 0, "ab"));
  const auto Gap =
      Flow.onFrame(Millis(2), "a", end(1, ResultCode::Ok, wire::RAN_YES, 4));
  ASSERT_EQ(Gap.size(), 1U);
  EXPECT_TRUE(std::get<SendFrame>(Gap[0]).m_Frame.has_attach());
}

TEST(RequestFlow, ReportsAKeyNotRunOnlyIfItsHomeSaysSo) {
  RequestFlow Silent(spec(false, "k"), {}, hooks());
  Silent.begin(Millis(0));
  const auto Early = Silent.onTimer(Millis(10000));
  ASSERT_NE(outcome(Early), nullptr);
  EXPECT_EQ(outcome(Early)->m_Ran, Ran::Unknown);

  RequestFlow Refused(spec(false, "k"), {}, hooks());
  Refused.begin(Millis(0));
  const auto Said = Refused.onFrame(
      Millis(2), "a", end(1, ResultCode::Overloaded, wire::RAN_NO, 0));
  ASSERT_NE(outcome(Said), nullptr);
  EXPECT_EQ(outcome(Said)->m_Ran, Ran::No);
}

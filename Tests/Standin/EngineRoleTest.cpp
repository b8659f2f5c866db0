#include "Standin/EngineRole.h"
#include "Standin/RoleFixture.h"

namespace corneldeck::standin {

namespace {

using nlohmann::json;

constexpr std::string_view End = "data: [DONE]\n\n";

class EngineRoleTest : public RoleFixture<EngineRole> {
protected:
  void SetUp() override {
    fakes::EngineSettings Settings;
    Settings.m_StepMicros = 1000;
    Settings.m_CacheEventDelay = base::Millis(0);
    Settings.m_LoadLag = base::Millis(0);
    start(Settings);
  }

  static json completion(std::uint32_t Tokens, bool Stream) {
    return {{"model", "catalogue-writer"},
            {"messages", {{{"role", "user"}, {"content", "a tin robot"}}}},
            {"max_tokens", Tokens},
            {"stream", Stream}};
  }

  /// \returns the joined text of the tokens of a streamed answer.
  static std::string textOf(const std::string &Stream) {
    std::string Text;
    for (std::size_t At = Stream.find("data: {"); At != std::string::npos;
         At = Stream.find("data: {", At + 1)) {
      const std::string Event =
          Stream.substr(At + 6, Stream.find('\n', At) - At - 6);
      const json Delta = json::parse(Event)["choices"][0]["delta"];
      Text += Delta.value("content", "");
    }
    return Text;
  }

  std::string stream(const json &Asked) {
    const auto Answer = fetch(call("/v1/chat/completions", Asked.dump()));
    return Answer ? Answer->m_Body : "";
  }

  /// Begins a stream under \p Id and waits for its head.
  net::HttpCallHandle beginStream(const std::string &Id, std::uint32_t Tokens) {
    net::HttpCall Call =
        call("/v1/chat/completions", completion(Tokens, true).dump());
    Call.m_Address = m_Address;
    Call.m_Headers.push_back({"X-Request-Id", Id});
    bool Begun = false;
    net::HttpCallbacks Callbacks;
    Callbacks.m_OnHead = [&Begun](const auto &) { Begun = true; };
    net::HttpCallHandle Cancel = m_Client.request(Call, Callbacks);
    runUntil([&] { return Begun; });
    return Cancel;
  }
};

TEST_F(EngineRoleTest, StreamsTheTextOfTheWholeAnswer) {
  const std::string Stream = stream(completion(20, true));
  EXPECT_TRUE(Stream.ends_with(End));
  const json Whole = ask("/v1/chat/completions", completion(20, false).dump());
  EXPECT_EQ(textOf(Stream),
            Whole["choices"][0]["message"]["content"].get<std::string>());
  EXPECT_EQ(Whole["usage"]["completion_tokens"], 20);
}

TEST_F(EngineRoleTest, ResumesAtTheExactToken) {
  const std::string Whole = textOf(stream(completion(20, true)));
  const std::string Begun = textOf(stream(completion(7, true)));
  json Resume = completion(20, true);
  Resume["resume_from"] = 7;
  Resume["resume_text"] = Begun;
  EXPECT_EQ(Begun + textOf(stream(Resume)), Whole);
  Resume["resume_text"] = "another generation";
  EXPECT_EQ(statusOf("/v1/chat/completions", Resume.dump()), 400);
}

TEST_F(EngineRoleTest, CancelsWhenTheConnectionCloses) {
  beginStream("r1", 100000).cancel();
  json Runs;
  do
    Runs = ask("/runs");
  while (!Runs["runs"][0]["cancelled"].get<bool>());
  // The load is noted at the end of each step.
  while (ask("/load")["running"] != 0)
    EXPECT_EQ(ask("/runs")["runs"][0]["finished"], false);
}

TEST_F(EngineRoleTest, CancelsById) {
  beginStream("r1", 100000);
  EXPECT_EQ(ask("/cancel", R"({"id":"r1"})")["cancelled"], true);
  EXPECT_EQ(ask("/cancel", R"({"id":"r1"})")["cancelled"], false);
}

TEST_F(EngineRoleTest, StallsAndGoesOn) {
  order(R"({"stall":true})");
  net::HttpCall Call =
      call("/v1/chat/completions", completion(2, false).dump());
  Call.m_Timeout = base::Millis(50);
  EXPECT_FALSE(fetch(Call));
  order(R"({"stall":false})");
  EXPECT_EQ(statusOf("/v1/chat/completions", completion(2, false).dump()), 200);
}

TEST_F(EngineRoleTest, BreaksStreamsAsOrdered) {
  order(R"({"break_streams":1})");
  EXPECT_EQ(stream(completion(20, true)), "");
  EXPECT_TRUE(stream(completion(20, true)).ends_with(End));
}

TEST_F(EngineRoleTest, MovesASequenceToAnotherEngine) {
  const std::string Whole = textOf(stream(completion(300, true)));
  beginStream("r1", 300);
  json State;
  do
    State = ask("/kv/export", R"({"id":"r1"})");
  while (State.value("next_token", 0) == 0);
  EXPECT_EQ(statusOf("/kv/import", State.dump()), 400);
  start(fakes::EngineSettings{.m_StepMicros = 100});
  const auto Moved = fetch(call("/kv/import", State.dump()));
  ASSERT_TRUE(Moved);
  EXPECT_FALSE(textOf(Moved->m_Body).empty());
  EXPECT_TRUE(Whole.ends_with(textOf(Moved->m_Body)));
}

TEST_F(EngineRoleTest, RefusesOldFencingNumbersIfItEnforcesThem) {
  EXPECT_EQ(statusOf("/orders", R"({"fencing":7,"kind":"load-model"})"), 200);
  EXPECT_EQ(statusOf("/orders", R"({"fencing":6,"kind":"load-model"})"), 409);
  order(R"({"enforce_fencing":false})");
  EXPECT_EQ(statusOf("/orders", R"({"fencing":6,"kind":"change-role"})"), 200);
  EXPECT_EQ(ask("/orders")["applied"], 2);
}

TEST_F(EngineRoleTest, PublishesCacheEvents) {
  json Long = completion(1, false);
  Long["messages"][0]["content"] = std::string(2000, 'x');
  ask("/v1/chat/completions", Long.dump());
  const json Events = ask("/cache-events?from=0");
  EXPECT_EQ(Events["added"].size(), 7U);
  EXPECT_EQ(Events["next"], 7);
}

TEST_F(EngineRoleTest, RefusesWrongBodies) {
  for (const char *Bad : {"{", "[]", "{}", R"({"model":1,"messages":[]})",
                          R"({"model":"m","messages":[]})",
                          R"({"model":"m","messages":[{"role":"user"}]})"})
    EXPECT_EQ(statusOf("/v1/chat/completions", Bad), 400) << Bad;
  json TooMany = completion(100001, true);
  EXPECT_EQ(statusOf("/v1/chat/completions", TooMany.dump()), 400);
  EXPECT_EQ(statusOf("/kv/import", R"({"id":"x"})"), 400);
}

} // namespace

} // namespace corneldeck::standin

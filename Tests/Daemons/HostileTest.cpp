#include "Fleet.h"

namespace corneldeck::tests {

namespace {

/// Bytes that no UTF-8 text has.
constexpr const char *NotUtf8 = "a\xff\xfe";

} // namespace

class HostileTest : public Fleet {
protected:
  CallerAnswer askService(const std::string &Path,
                          const net::HttpHeaders &Extra) {
    net::HttpCall Call;
    Call.m_Method = "POST";
    Call.m_Address = entryAddress(0);
    Call.m_Target = std::string("/services/") + Service + Path;
    Call.m_Headers = Extra;
    Call.m_Headers.push_back({"X-Customer", "floor"});
    Call.m_Body = NotUtf8;
    const auto Answer = call(std::move(Call));
    runUntil([&] { return Answer->m_Ended; });
    return *Answer;
  }

  /// \returns whether an agent got a frame that it could not read.
  bool anyBadFrame() {
    for (const agent::AgentSettings &Settings : m_AgentSettings) {
      const CallerAnswer Answer =
          fetch(Settings.m_HttpAddress, "GET", "/timeline");
      if (Answer.m_Body.find("bad-frame") != std::string::npos)
        return true;
    }
    return false;
  }
};

TEST_F(HostileTest, BytesThatAreNoTextHarmNobodyElse) {
  publishAll();
  const auto Other = chat(0, 200, true);
  runUntil([&] { return !Other->m_Body.empty(); });
  // A body may be of any bytes; the rest goes into messages as text.
  EXPECT_EQ(askService("/plain", {}).m_Status, 200);
  for (const CallerAnswer &Answer :
       {askService("/x", {{"Idempotency-Key", NotUtf8}}),
        askService("/x", {{"Content-Type", NotUtf8}}),
        askService(std::string("/") + NotUtf8, {}),
        askService(std::string("/x?") + NotUtf8, {})}) {
    EXPECT_EQ(Answer.m_Status, 400);
    EXPECT_EQ(Answer.header("X-Corneldeck-Ran"), "no");
  }
  runUntil([&] { return Other->m_Ended; });
  EXPECT_TRUE(Other->hasEndMark());
  EXPECT_FALSE(anyBadFrame());
}

TEST_F(HostileTest, WrongBodiesAreRefusedAsNotRun) {
  publishAll();
  for (const char *Bad :
       {"", "{", "[]", "null", R"({"model":"lot-writer"})",
        R"({"model":"lot-writer","messages":[{"role":1,"content":"a"}]})",
        R"({"model":"lot-writer","messages":[],"max_tokens":-1})",
        R"({"model":"lot-writer","messages":[],"stream":"yes"})",
        "{\"a\":\"\xff\"}"}) {
    const CallerAnswer Answer =
        fetch(entryAddress(0), "POST", "/v1/chat/completions", Bad);
    EXPECT_EQ(Answer.m_Status, 400) << Bad;
    EXPECT_EQ(Answer.header("X-Corneldeck-Ran"), "no") << Bad;
  }
  const std::string Deep(100000, '[');
  EXPECT_EQ(
      fetch(entryAddress(0), "POST", "/v1/chat/completions", Deep).m_Status,
      400);
  for (const char *Path : {"/operator/publish", "/operator/drain"})
    EXPECT_EQ(fetch(entryAddress(0), "POST", Path, "{").m_Status, 400) << Path;
}

} // namespace corneldeck::tests

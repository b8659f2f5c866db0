#include "EntryFixture.h"

#include "platform/EngineHttp.h"

namespace corneldeck::tests {

namespace {

constexpr std::size_t MiB = 1024UL * 1024;

/// Entries before servers that send bytes without end.
class EndlessResponse : public PlatformEntry {
protected:
#ifdef CORNELDECK_SLOW_BUILD
  // Instrumented code needs more time to read up to the bounds.
  EndlessResponse() {
    m_RouteTimeout = base::seconds(30);
    m_CallerDeadline = base::seconds(30);
  }
#endif

  std::size_t endlessBytes() {
    std::size_t Sum = 0;
    for (const auto &Each : m_Servers)
      Sum += Each->m_EndlessBytes;
    return Sum;
  }
  int endlessResponses() {
    int Sum = 0;
    for (const auto &Each : m_Servers)
      Sum += Each->m_EndlessResponses;
    return Sum;
  }
};

struct EndlessCase {
  Behavior m_Behavior;
  std::string m_Path;
};

} // namespace

// Failure: bytes without end from a server were read until the deadline of the
// request, or filled the memory.
TEST_F(EndlessResponse, IsCutOffAndReportedAsFailed) {
  for (const EndlessCase &Case :
       std::vector<EndlessCase>{{Behavior::EndlessHead, "/once/"},
                                {Behavior::EndlessField, "/once/"},
                                {Behavior::EndlessInterim, "/once/"},
                                {Behavior::EndlessBody, "/once/"},
                                {Behavior::EndlessChunk, "/once/"},
                                {Behavior::EndlessTrailer, "/once/"},
                                {Behavior::EndlessForeign, "/once/"},
                                {Behavior::EndlessHead, "/stream/once/"},
                                {Behavior::EndlessTrailer, "/stream/once/"},
                                {Behavior::EndlessForeign, "/stream/once/"},
                                {Behavior::EndlessEvent, "/stream/once/"},
                                {Behavior::EndlessComments, "/stream/once/"}}) {
    setAll(Case.m_Behavior);
    const std::size_t Before = endlessBytes();
    const std::string Id = "r" + std::to_string(++m_Calls);
    const auto Got = finish(call("POST", Case.m_Path + "a", Id));
    const std::string What = "fault " +
                             std::to_string(static_cast<int>(Case.m_Behavior)) +
                             " at " + Case.m_Path;
    runUntil([this] { return endlessResponses() == 0; });
    EXPECT_TRUE(Got->m_Broken || Got->m_Status == 502) << What;
    EXPECT_EQ(runs(Id), 1) << What;
    // The bound of a buffered response, and what the system's buffers hold.
    EXPECT_LE(endlessBytes() - Before, 24 * MiB) << What;
  }
}

// Failure: an engine's report without end was kept up to 64 MiB, and read on
// until the timeout of the call.
TEST_F(EndlessResponse, ReportsOfAnEngineAreCutOff) {
  m_Servers[0]->m_Behavior = Behavior::EndlessBody;
  net::HttpClient Client(m_Loop);
  const auto Port = platform::enginePort(Client, m_Servers[0]->address());
  int Failed = 0;
  const auto Count = [&Failed](const auto &Result) {
    EXPECT_FALSE(Result);
    ++Failed;
  };
  Port.m_GetState(Count);
  Port.m_GetExperts(Count);
  Port.m_GetCounts(Count);
  rankgroup::SwitchOrder Order;
  Order.m_Kind = rankgroup::SwitchOrderKind::Hold;
  Port.m_SendOrder(Order, Count);
  runUntil([&] { return Failed == 4 && endlessResponses() == 0; });
  // What the buffers of the system hold of each.
  EXPECT_LE(endlessBytes(), 32 * MiB);
}

// Failure: other callers waited while the bytes of one server were read.
TEST_F(EndlessResponse, OtherCallersAreServed) {
  m_Servers[0]->m_Behavior = Behavior::EndlessForeign;
  m_Servers[1]->m_Behavior = Behavior::EndlessComments;
  // The servers have 24 places.
  constexpr int Calls = 20;
  std::vector<AnswerPtr> Answers;
  Answers.reserve(Calls);
  for (int Count = 0; Count < Calls; ++Count)
    Answers.push_back(call("POST", Count % 2 == 0 ? "/plain/a" : "/stream/a",
                           "o" + std::to_string(Count)));
  for (const AnswerPtr &Each : Answers) {
    finish(Each);
    EXPECT_EQ(Each->m_Status, 200);
    EXPECT_FALSE(Each->m_Broken);
  }
}

} // namespace corneldeck::tests

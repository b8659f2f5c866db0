#include "EntryFixture.h"

namespace corneldeck::tests {

namespace {

using std::chrono::milliseconds;

/// Entries whose backend servers end responses in the middle, and entries that
/// stop while requests are in flight.
class PlatformBrokenResponse : public PlatformEntry {
protected:
  static std::string events(int Count) {
    std::string Text;
    for (int Event = 1; Event <= Count; ++Event)
      Text += "id: " + std::to_string(Event) +
              "\ndata: " + std::to_string(Event * 7) + "\n\n";
    return Text;
  }

  /// Starts requests that have their servers cut off the heads of the
  /// responses, one for each number of bytes from \p First on.
  std::vector<AnswerPtr> cutHeads(const std::string &Target, int First,
                                  int Count, const std::string &How) {
    std::vector<AnswerPtr> Answers;
    Answers.reserve(static_cast<std::size_t>(Count));
    for (int Bytes = First; Bytes < First + Count; ++Bytes)
      Answers.push_back(
          call("POST", Target, "c" + std::to_string(++m_Calls),
               {{"X-Cut-Head", std::to_string(Bytes) + " " + How}}));
    return Answers;
  }

  /// Opens idle connections to the servers.
  void warmUp(int Count) {
    std::vector<AnswerPtr> Answers;
    Answers.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Answers.push_back(
          call("GET", "/plain/w", "w" + std::to_string(++m_Calls)));
    for (const AnswerPtr &Each : Answers)
      EXPECT_EQ(finish(Each)->m_Status, 200);
  }
};

/// The same, with a grace period that is long enough for late requests.
class PlatformLateStop : public PlatformBrokenResponse {
protected:
  void SetUp() override {
    m_RouteTimeout = base::seconds(20);
    m_CallerDeadline = base::seconds(20);
    PlatformBrokenResponse::SetUp();
  }
};

} // namespace

// Failure: a server stopped in the middle of the head of its response and
// closed. Callers got a success with an empty or short body that looked
// complete.
TEST_F(PlatformBrokenResponse, AHeadCutAtAnyByteIsNoResponse) {
  // Longer than the head of any response.
  constexpr int MaxHead = 140;
  constexpr int Batch = 20;
  for (const std::string Target : {"/once/a", "/stream/once/a"})
    for (const std::string Framing : {"length", "chunks", "close"})
      for (const std::string Ending : {" fin", " reset"})
        for (const bool IsFirst : {true, false})
          for (int Bytes = 0; Bytes < MaxHead; Bytes += Batch) {
            if (!IsFirst)
              warmUp(Batch);
            for (const AnswerPtr &Each :
                 cutHeads(Target, Bytes, Batch, Framing + Ending)) {
              finish(Each);
              EXPECT_NE(Each->m_Status, 200)
                  << Target << " " << Framing << Ending << " " << Bytes
                  << (IsFirst ? " first" : " later");
              EXPECT_FALSE(Each->m_Broken);
            }
          }
}

// Failure: a head without a length and chunks whose connection ended before any
// event was taken for a complete stream without events.
TEST_F(PlatformBrokenResponse, AStreamThatEndsBeforeItsFirstEventIsBroken) {
  setAll(Behavior::UnframedEmptyStream);
  const AnswerPtr Got = finish(call("GET", "/stream/once/a", "s1"));
  EXPECT_EQ(Got->m_Status, 502);
  m_Servers[0]->m_Behavior = Behavior::Serve;
  for (int Count = 0; Count < 6; ++Count) {
    const AnswerPtr Resumed =
        finish(call("GET", "/stream/a", "r" + std::to_string(Count)));
    EXPECT_EQ(Resumed->m_Status, 200);
    EXPECT_EQ(Resumed->m_Body, events(5));
  }
}

TEST_F(PlatformBrokenResponse, AnUnframedResponseEndsWithItsConnection) {
  setAll(Behavior::UnframedStream);
  const AnswerPtr Whole = finish(call("GET", "/stream/a", "s1"));
  EXPECT_EQ(Whole->m_Status, 200);
  EXPECT_FALSE(Whole->m_Broken);
  EXPECT_EQ(Whole->m_Body, events(5));
  setAll(Behavior::NoContentLength);
  EXPECT_TRUE(
      finish(call("POST", "/once/a", "p1"))->m_Body.starts_with("body of p1"));
  setAll(Behavior::ResetNoContentLength);
  EXPECT_EQ(finish(call("POST", "/once/a", "p2"))->m_Status, 502);
}

// Failure: a stream that ended inside an event looked complete.
TEST_F(PlatformBrokenResponse, AnUnframedStreamThatEndsInsideAnEventIsBroken) {
  setAll(Behavior::UnframedTruncatedStream);
  const AnswerPtr Broken = finish(call("GET", "/stream/once/a", "s1"));
  EXPECT_TRUE(Broken->m_Broken);
  EXPECT_EQ(Broken->m_Body, events(2));
  m_Servers[0]->m_Behavior = Behavior::UnframedStream;
  m_Servers[1]->m_Behavior = Behavior::UnframedStream;
  for (int Count = 0; Count < 6; ++Count) {
    const AnswerPtr Resumed =
        finish(call("GET", "/stream/a", "r" + std::to_string(Count)));
    EXPECT_FALSE(Resumed->m_Broken);
    EXPECT_EQ(Resumed->m_Body, events(5));
  }
}

// Failure: requests that a stopping entry had sent on were cut off without an
// answer when its process ended.
TEST_F(PlatformLateStop, EveryRequestIsAnsweredBeforeTheProcessEnds) {
  setAll(Behavior::NoResponse);
  std::vector<AnswerPtr> Answers;
  bool Stopped = false;
  m_Entries[1]->beginStop([&Stopped] { Stopped = true; });
  for (const std::string Target : {"/once/a", "/plain/a", "/stream/a"})
    for (int Count = 0; Count < 3; ++Count)
      Answers.push_back(call("POST", Target, "l" + std::to_string(++m_Calls),
                             {}, "key-1", 1));
  runUntil([&Stopped] { return Stopped; });
  m_Entries[1].reset();
  for (const AnswerPtr &Each : Answers) {
    finish(Each);
    EXPECT_FALSE(Each->m_Broken);
    EXPECT_EQ(Each->m_Status, 502);
  }
}

// Failure: requests that came late in the grace period were sent on, and cut
// off at its end, among them requests that must not run twice.
TEST_F(PlatformLateStop, LateRequestsAreRefusedBeforeTheyAreSentOn) {
  m_Settings[1].m_GracePeriod = base::seconds(8);
  m_Entries[1].reset();
  startEntry(1);
  runUntil([this] { return isReady(1); });
  bool Stopped = false;
  m_Entries[1]->beginStop([&Stopped] { Stopped = true; });
  // Keeps the process until the end of its grace period.
  m_Servers[0]->m_Behavior = Behavior::NoResponse;
  std::vector<AnswerPtr> Answers;
  const auto Begin = std::chrono::steady_clock::now();
  int Sent = 0;
  runUntil([&] {
    const auto Elapsed = std::chrono::steady_clock::now() - Begin;
    for (; Sent * milliseconds(50) <= Elapsed && !Stopped; ++Sent)
      Answers.push_back(call("POST", "/once/a", "l" + std::to_string(++m_Calls),
                             {}, "key-1", 1));
    return Stopped;
  });
  m_Entries[1].reset();
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    const AnswerPtr &Each = finish(Answers[Index]);
    const std::string Id = "l" + std::to_string(Index + 1);
    if (Each->m_Status == 0) {
      // A request that crosses the end of the process is not sent on.
      EXPECT_EQ(receivedCount(Id), 0U) << Id;
      continue;
    }
    EXPECT_FALSE(Each->m_Broken) << Index;
    EXPECT_TRUE(Each->m_Status == 200 || Each->m_Status == 502 ||
                Each->m_Status == 503)
        << Each->m_Status;
    if (Each->m_Status == 503) {
      EXPECT_EQ(runs(Id), 0) << Id;
    }
  }
}

} // namespace corneldeck::tests

#include "EntryFixture.h"

#include <algorithm>
#include <fstream>
#include <unistd.h>

namespace corneldeck::tests {

namespace {

constexpr std::size_t MiB = 1024UL * 1024;

/// Returns the resident memory of this process in bytes.
std::size_t residentBytes() {
  std::size_t Pages = 0;
  std::ifstream File("/proc/self/statm");
  File >> Pages >> Pages;
  return Pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

class EndlessMemory : public PlatformEntry {};

/// Servers that accept many requests at once.
class EndlessMemoryOfMany : public PlatformEntry {
protected:
  EndlessMemoryOfMany() { m_ServerCapacity = 400; }
};

} // namespace

// Failure: buffered responses filled the memory together, although each one was
// bounded.
TEST_F(EndlessMemory, ManyBufferedResponsesStayWithinTheMemory) {
  setAll(Behavior::EndlessBody);
  const std::size_t Before = residentBytes();
  std::size_t Most = 0;
  constexpr int Calls = 60;
  std::vector<AnswerPtr> Answers;
  Answers.reserve(Calls);
  for (int Count = 0; Count < Calls; ++Count)
    Answers.push_back(call("POST", "/once/a", "m" + std::to_string(Count)));
  runUntil([&] {
    Most = std::max(Most, residentBytes());
    return std::all_of(Answers.begin(), Answers.end(),
                       [](const AnswerPtr &Each) { return Each->m_Ended; });
  });
  for (const AnswerPtr &Each : Answers)
    EXPECT_NE(Each->m_Status, 200);
  EXPECT_LE(Most - Before, 100 * MiB);
}

// Failure: a server that sent without end used up the memory for the responses
// of all servers, so that responses of the others were cut off.
TEST_F(EndlessMemory, SoundResponsesAreServedBesideAnEndlessOne) {
  constexpr std::size_t SoundBytes = 300UL * 1024;
  for (const auto &Each : m_Servers)
    Each->m_BodyBytes = SoundBytes;
  StandinServer &Faulty = *m_Servers[0];
  Faulty.m_Behavior = Behavior::EndlessBody;
  Faulty.m_EndlessLimit = 7 * MiB;
  constexpr int Calls = 120;
  std::vector<AnswerPtr> Answers;
  // More at once than the faulty server needs to use up the memory.
  for (int First = 0; First < Calls; First += 20) {
    for (int Count = First; Count < First + 20; ++Count)
      Answers.push_back(call("POST", "/once/a", "s" + std::to_string(Count)));
    const auto IsSound = [&](std::size_t Index) {
      const std::string Id = "s" + std::to_string(Index);
      return Faulty.runs(Id) == 0;
    };
    runUntil([&] {
      for (std::size_t Index = 0; Index < Answers.size(); ++Index)
        if (!Answers[Index]->m_Ended &&
            (IsSound(Index) || Faulty.m_EndlessBytes < 40 * MiB))
          return false;
      return true;
    });
  }
  int Sound = 0;
  for (int Count = 0; Count < Calls; ++Count) {
    const std::string Id = "s" + std::to_string(Count);
    finish(Answers[Count]);
    if (Faulty.runs(Id) > 0) {
      EXPECT_NE(Answers[Count]->m_Status, 200) << Id;
      continue;
    }
    ++Sound;
    EXPECT_EQ(Answers[Count]->m_Status, 200) << Id;
    EXPECT_EQ(Answers[Count]->m_Body.size(), SoundBytes) << Id;
  }
  EXPECT_GT(Sound, 60);
  EXPECT_GT(metric(0, "corneldeck_responses_cut_off_total"), 0);
  EXPECT_EQ(metric(0, "corneldeck_response_bytes"), 0);
}

// Failure: incomplete events of streams were outside the bound of the memory
// for responses.
TEST_F(EndlessMemoryOfMany, IncompleteEventsStayWithinTheMemory) {
  setAll(Behavior::EndlessEvent);
  for (const auto &Each : m_Servers)
    Each->m_EndlessLimit = 900UL * 1024;
  const std::size_t Before = residentBytes();
  std::size_t Most = 0;
  constexpr int Calls = 240;
  std::vector<AnswerPtr> Answers;
  Answers.reserve(Calls);
  for (int Count = 0; Count < Calls; ++Count)
    Answers.push_back(
        call("POST", "/stream/once/a", "e" + std::to_string(Count)));
  runUntil([&] {
    Most = std::max(Most, residentBytes());
    return std::all_of(Answers.begin(), Answers.end(),
                       [](const AnswerPtr &Each) { return Each->m_Ended; });
  });
  std::size_t Received = 0;
  for (const auto &Each : m_Servers)
    Received += Each->m_Received.size();
  EXPECT_EQ(Received, static_cast<std::size_t>(Calls));
  EXPECT_LE(Most - Before, 100 * MiB);
}

} // namespace corneldeck::tests

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

} // namespace corneldeck::tests

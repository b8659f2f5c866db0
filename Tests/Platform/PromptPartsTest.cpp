#include "Direct/PromptQuarantine.h"
#include "platform/CallerCodec.h"

#include <algorithm>
#include <chrono>
#include <gtest/gtest.h>
#include <random>
#include <sstream>

namespace corneldeck::platform {

namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

constexpr std::size_t MaxHeaderBytes = 16'384;
/// From docs/design/UNEVEN_LOAD.md, part 8.
constexpr double MaxMicroseconds = 100;
const std::string Service = "llm";

/// Returns a list of parts as long as a header section may be.
std::string longestList(std::size_t IdDigits) {
  std::mt19937_64 Random(1);
  std::string Text;
  while (true) {
    std::ostringstream Id;
    Id << std::hex;
    while (Id.str().size() < IdDigits)
      Id << Random();
    const std::string Part = Id.str().substr(0, IdDigits) + ":9,";
    if (Text.size() + Part.size() > MaxHeaderBytes)
      break;
    Text += Part;
  }
  Text.pop_back();
  return Text;
}

/// Quarantines as many parts as are kept.
void quarantineParts(direct::PromptQuarantine &Quarantine,
                     const direct::PromptParts &Parts) {
  for (const std::uint64_t Each : Parts) {
    direct::PartStatement Statement;
    Statement.m_Service = Service;
    Statement.m_Part = Each;
    Statement.m_Number = 1;
    Quarantine.applyPart(Statement, "peer", base::seconds(1));
  }
}

/// Returns the shortest of many times to decode and check a prompt.
double measure(direct::PromptQuarantine &Quarantine, const std::string &Text) {
  constexpr int Runs = 2000;
  double Shortest = 1e9;
  for (int Run = 0; Run < Runs; ++Run) {
    const auto Begin = steady_clock::now();
    const auto Parts = parsePromptParts(Text);
    Quarantine.check(Service, Parts, base::seconds(2), false);
    Shortest = std::min(
        Shortest,
        duration<double, std::micro>(steady_clock::now() - Begin).count());
  }
  return Shortest;
}

} // namespace

// Failure: a caller could use up the processor of an entry by the parts of its
// prompts.
TEST(PromptParts, TheLongestListIsDecodedAndCheckedInTime) {
#ifdef CORNELDECK_SLOW_BUILD
  GTEST_SKIP() << "the bound holds without sanitizers";
#endif
  direct::PromptQuarantine Quarantine("e1");
  direct::PromptParts Parts;
  for (std::uint64_t Part = 1; Part <= 64; ++Part)
    Parts.push_back(0xfa7a10000 + Part);
  quarantineParts(Quarantine, Parts);
  ASSERT_EQ(Quarantine.quarantinedCount(), 64U);
  for (const std::size_t Digits : {1, 2, 3, 8, 16, 17, 24, 64, 4000}) {
    const double Time = measure(Quarantine, longestList(Digits));
    RecordProperty("us_" + std::to_string(Digits), std::to_string(Time));
    EXPECT_LT(Time, MaxMicroseconds) << Digits;
  }
  std::string Repeated;
  while (Repeated.size() + 12 <= MaxHeaderBytes)
    Repeated += "fa7a10001:9,";
  EXPECT_LT(measure(Quarantine, Repeated + "1:1"), MaxMicroseconds);
  RecordProperty("us_plain",
                 std::to_string(measure(
                     Quarantine, "5c1e07a2:800,91bd3f06:410,e4402b7d:250")));
}

} // namespace corneldeck::platform

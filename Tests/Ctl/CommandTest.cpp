#include "Ctl/Command.h"
#include "Ctl/LineDiff.h"

#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>

namespace corneldeck::ctl {

namespace {

using testing::HasSubstr;

struct Output {
  ExitCode m_Code = ExitCode::Ok;
  std::string m_Out;
  std::string m_Err;
};

Output runLine(const std::vector<std::string> &Arguments) {
  std::ostringstream Out;
  std::ostringstream Err;
  const ExitCode Code = runCtl(Arguments, Out, Err);
  return {Code, Out.str(), Err.str()};
}

std::string readPage(const std::string &Name) {
  std::ifstream Input(std::string(CORNELDECK_DOCS) + "/" + Name);
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

TEST(CommandTest, DescribesItselfAndEachCommand) {
  EXPECT_EQ(runLine({"--help"}).m_Code, ExitCode::Ok);
  for (const Command &Each : allCommands()) {
    const Output Help = runLine({Each.m_Name, "--help"});
    EXPECT_EQ(Help.m_Code, ExitCode::Ok);
    EXPECT_THAT(Help.m_Out, HasSubstr("usage: corneldeckctl " + Each.m_Name));
    EXPECT_THAT(runLine({"--help"}).m_Out, HasSubstr(Each.m_Summary));
  }
}

TEST(CommandTest, RefusesWrongCommandLines) {
  const std::vector<std::vector<std::string>> Wrong{
      {},
      {"no-such-command"},
      {"list", "argument"},
      {"check"},
      {"list", "--no-such-option"},
      {"list", "--format", "xml"},
      {"list", "--timeout-ms", "0"},
      {"list", "--timeout-ms", "x"},
      {"completion", "fish"}};
  for (const auto &Line : Wrong)
    EXPECT_EQ(runLine(Line).m_Code, ExitCode::Usage)
        << (Line.empty() ? "" : Line.back());
}

TEST(CommandTest, SaysThatNoEntryCouldBeAsked) {
  const Output Run = runLine({"list", "--entry", "127.0.0.1:1"});
  EXPECT_EQ(Run.m_Code, ExitCode::Unreachable);
  EXPECT_THAT(Run.m_Err, HasSubstr("connection-failed"));
}

TEST(CommandTest, CommittedPagesAreCurrent) {
  EXPECT_EQ(runLine({"codes", "--format", "markdown"}).m_Out,
            readPage("RESULT_CODES.md"));
  EXPECT_EQ(runLine({"events", "--format", "markdown"}).m_Out,
            readPage("EVENTS.md"));
}

TEST(CommandTest, ManualHasAllCommandsAndExitCodes) {
  const std::string Manual = readPage("CLI.md");
  for (const Command &Each : allCommands())
    EXPECT_THAT(Manual, HasSubstr("`" + Each.m_Name));
  for (const ExitCodeInfo &Info : exitCodes())
    EXPECT_THAT(Manual,
                HasSubstr("| " + std::to_string(static_cast<int>(Info.m_Code)) +
                          " | " + std::string(Info.m_Name) + " |"));
}

TEST(CommandTest, CompletesCommandsAndOptions) {
  const Output Run = runLine({"completion", "bash"});
  EXPECT_THAT(Run.m_Out, HasSubstr("check publish diff"));
  EXPECT_THAT(Run.m_Out, HasSubstr("--wait"));
}

TEST(CommandTest, NamesEveryMissingFile) {
  const Output Run = runLine({"check", "/nonexistent/a", "/nonexistent/b"});
  EXPECT_EQ(Run.m_Code, ExitCode::Invalid);
  EXPECT_THAT(Run.m_Err, HasSubstr("/nonexistent/a"));
  EXPECT_THAT(Run.m_Err, HasSubstr("/nonexistent/b"));
}

TEST(LineDiffTest, ShowsOldAndNewLines) {
  EXPECT_EQ(diffLines("a\nb\n", "a\nb\n"), "");
  EXPECT_EQ(diffLines("a\nb\nc\n", "a\nx\nc\nd\n"),
            "  a\n- b\n+ x\n  c\n+ d\n");
  EXPECT_EQ(diffLines("", "a\n"), "+ a\n");
}

} // namespace

} // namespace corneldeck::ctl

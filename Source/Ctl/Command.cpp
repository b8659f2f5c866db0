#include "Ctl/Command.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace corneldeck::ctl {

namespace po = boost::program_options;

namespace {

constexpr const char *DefaultEntry = "127.0.0.1:7000";
constexpr const char *EntryVariable = "CORNELDECK_ENTRY";
constexpr std::int64_t DefaultTimeoutMillis = 10'000;
constexpr std::int64_t MostTimeoutMillis = 3'600'000;
constexpr const char *Hidden = "argument";

/// A command line that can't be run.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    if (End > Begin)
      Parts.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Parts;
}

std::vector<std::string> entriesOf(const po::variables_map &Values) {
  if (Values.count("entry") > 0) {
    std::vector<std::string> Entries;
    for (const auto &Text : Values["entry"].as<std::vector<std::string>>())
      for (const std::string &Part : splitAtCommas(Text))
        Entries.push_back(Part);
    return Entries;
  }
  const char *Variable = std::getenv(EntryVariable);
  return splitAtCommas(Variable ? Variable : DefaultEntry);
}

std::string joinFormats(const Command &Of) {
  std::string Text;
  for (const std::string &Format : Of.m_Formats)
    Text += (Text.empty() ? "" : "|") + Format;
  return Text;
}

void printHelp(std::ostream &Out) {
  Out << "usage: corneldeckctl COMMAND [OPTION...] [ARGUMENT...]\n\n"
         "commands:\n";
  constexpr std::size_t Width = 14;
  for (const Command &Each : allCommands()) {
    std::string Name = Each.m_Name;
    Name.resize(std::max(Name.size() + 1, Width), ' ');
    Out << "  " << Name << Each.m_Summary << '\n';
  }
  Out << "\ncorneldeckctl COMMAND --help describes one. Exit codes:\n";
  for (const ExitCodeInfo &Info : exitCodes())
    Out << "  " << static_cast<int>(Info.m_Code) << "  " << Info.m_Name << ": "
        << Info.m_Meaning << '\n';
}

void printCommandHelp(const Command &Of, std::ostream &Out) {
  Out << "usage: corneldeckctl " << Of.m_Name << " [OPTION...]";
  if (!Of.m_ArgumentNames.empty())
    Out << ' ' << Of.m_ArgumentNames;
  Out << "\n\n" << Of.m_Summary << "\n\n" << optionsOf(Of);
}

po::variables_map parse(const Command &Of,
                        const std::vector<std::string> &Arguments) {
  po::options_description Options = optionsOf(Of);
  Options.add_options()(Hidden, po::value<std::vector<std::string>>(), "");
  po::positional_options_description Positional;
  Positional.add(Hidden, -1);
  po::variables_map Values;
  po::store(po::command_line_parser(Arguments)
                .options(Options)
                .positional(Positional)
                .run(),
            Values);
  po::notify(Values);
  return Values;
}

void checkUsage(const Command &Of, const Invocation &Run) {
  const std::size_t Count = Run.m_Arguments.size();
  if (Count < Of.m_LeastArguments || Count > Of.m_MostArguments)
    throw UsageError(
        "expected " +
        (Of.m_ArgumentNames.empty() ? "no argument" : Of.m_ArgumentNames) +
        ", got " + std::to_string(Count) + " arguments");
  if (std::find(Of.m_Formats.begin(), Of.m_Formats.end(), Run.m_Format) ==
      Of.m_Formats.end())
    throw UsageError("expected --format " + joinFormats(Of));
}

ExitCode runCommand(const Command &Of,
                    const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  const po::variables_map Values = parse(Of, Arguments);
  if (Values.count("help") > 0) {
    printCommandHelp(Of, Out);
    return ExitCode::Ok;
  }
  const auto Timeout = Values["timeout-ms"].as<std::int64_t>();
  if (Timeout < 1 || Timeout > MostTimeoutMillis)
    throw UsageError("expected --timeout-ms from 1 to " +
                     std::to_string(MostTimeoutMillis));
  OperatorClient Client(entriesOf(Values), base::Millis(Timeout));
  Invocation Run{Values, {},  Values["format"].as<std::string>(),
                 Out,    Err, Client};
  if (Values.count(Hidden) > 0)
    Run.m_Arguments = Values[Hidden].as<std::vector<std::string>>();
  checkUsage(Of, Run);
  return Of.m_Run(Run);
}

} // namespace

std::vector<Command> allCommands() {
  std::vector<Command> All = catalogueCommands();
  for (auto *Part : {&fleetCommands, &referenceCommands})
    for (Command &Each : Part())
      All.push_back(std::move(Each));
  return All;
}

po::options_description optionsOf(const Command &Of) {
  po::options_description Options("options");
  Options.add_options()(
      "entry,e", po::value<std::vector<std::string>>()->composing(),
      "address ip:port of an entry; may be repeated, the next is asked if one "
      "can't be reached [$CORNELDECK_ENTRY, 127.0.0.1:7000]");
  Options.add_options()(
      "format,f", po::value<std::string>()->default_value(Of.m_Formats.front()),
      joinFormats(Of).c_str());
  Options.add_options()(
      "timeout-ms",
      po::value<std::int64_t>()->default_value(DefaultTimeoutMillis),
      "for one request");
  Options.add_options()("help,h", "print this text");
  if (Of.m_AddOptions)
    Of.m_AddOptions(Options);
  return Options;
}

ExitCode reportError(const Invocation &Run, const base::Error &Failure) {
  const base::ResultCodeInfo &Info = base::info(Failure.m_Code);
  Run.m_Err << "error " << static_cast<int>(Info.m_Code) << " " << Info.m_Name
            << ": " << Failure.m_Message << "\n"
            << Info.m_CallerAction << std::endl;
  return Failure.m_Code == base::ResultCode::ConnectionFailed
             ? ExitCode::Unreachable
             : ExitCode::Failed;
}

ExitCode runCtl(const std::vector<std::string> &Arguments, std::ostream &Out,
                std::ostream &Err) {
  if (Arguments.empty() || Arguments[0] == "--help" || Arguments[0] == "-h" ||
      Arguments[0] == "help") {
    printHelp(Arguments.empty() ? Err : Out);
    return Arguments.empty() ? ExitCode::Usage : ExitCode::Ok;
  }
  if (Arguments[0] == "--version") {
    Out << "corneldeckctl " CORNELDECK_VERSION << std::endl;
    return ExitCode::Ok;
  }
  const std::vector<Command> All = allCommands();
  const auto Found =
      std::find_if(All.begin(), All.end(), [&](const Command &Each) {
        return Each.m_Name == Arguments[0];
      });
  if (Found == All.end()) {
    Err << "corneldeckctl: unknown command \"" << Arguments[0]
        << "\"; see corneldeckctl --help" << std::endl;
    return ExitCode::Usage;
  }
  try {
    return runCommand(*Found, {Arguments.begin() + 1, Arguments.end()}, Out,
                      Err);
  } catch (const po::error &Failure) {
    Err << "corneldeckctl " << Found->m_Name << ": " << Failure.what()
        << "; see --help" << std::endl;
  } catch (const UsageError &Failure) {
    Err << "corneldeckctl " << Found->m_Name << ": " << Failure.what()
        << "; see --help" << std::endl;
  }
  return ExitCode::Usage;
}

} // namespace corneldeck::ctl

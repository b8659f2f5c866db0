#include "Base/Events.h"
#include "Ctl/Command.h"
#include "Ctl/TextTable.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace corneldeck::ctl {

using nlohmann::json;

namespace {

constexpr std::string_view CodesHeading =
    "# Result codes\n\n"
    "Every answer carries its code in `X-Corneldeck-Code` and whether the "
    "request ran\n(`yes`, `no`, `unknown`) in `X-Corneldeck-Ran`. \"no\" is "
    "said only if it did not run\nand will not. A code may carry another value "
    "than the usual one below where more\nis known.\n\n"
    "Written by `corneldeckctl codes --format markdown`.\n\n"
    "| code | name | HTTP | ran | meaning | what to do |\n"
    "|---|---|---|---|---|---|\n";

constexpr std::string_view EventsHeading =
    "# Events\n\n"
    "The numbered events of the logs and the time line.\n\n"
    "Written by `corneldeckctl events --format markdown`.\n\n"
    "| event | name | meaning |\n"
    "|---|---|---|\n";

std::string text(std::string_view View) { return std::string(View); }

template <typename T> std::string numberOf(T Value) {
  return std::to_string(static_cast<int>(Value));
}

void printMarkdownRow(const std::vector<std::string> &Cells,
                      std::ostream &Out) {
  Out << '|';
  for (const std::string &Cell : Cells)
    Out << ' ' << Cell << " |";
  Out << '\n';
}

/// A table that can be printed in each format.
struct Reference {
  std::string_view m_Heading;
  std::vector<std::string> m_Columns;
  std::vector<std::vector<std::string>> m_Rows;

  void print(const Invocation &Run) const {
    if (Run.isJson())
      printJson(Run.m_Out);
    else if (Run.m_Format == "markdown")
      printMarkdown(Run.m_Out);
    else
      printText(Run.m_Out);
  }

private:
  void printJson(std::ostream &Out) const {
    json List = json::array();
    for (const auto &Row : m_Rows) {
      json Item = json::object();
      for (std::size_t Column = 0; Column < Row.size(); ++Column)
        Item[m_Columns[Column]] = Row[Column];
      List.push_back(std::move(Item));
    }
    Out << List.dump(2) << std::endl;
  }

  void printMarkdown(std::ostream &Out) const {
    Out << m_Heading;
    for (const auto &Row : m_Rows)
      printMarkdownRow(Row, Out);
  }

  void printText(std::ostream &Out) const {
    TextTable Table(m_Columns);
    for (const auto &Row : m_Rows)
      Table.add(Row);
    Table.print(Out);
  }
};

ExitCode codes(Invocation &Run) {
  Reference Table{
      CodesHeading, {"code", "name", "http", "ran", "meaning", "action"}, {}};
  for (const base::ResultCodeInfo &Info : base::resultCodes())
    Table.m_Rows.push_back({numberOf(Info.m_Code), text(Info.m_Name),
                            std::to_string(Info.m_HttpStatus),
                            text(base::name(Info.m_Ran)), text(Info.m_Meaning),
                            text(Info.m_CallerAction)});
  Table.print(Run);
  return ExitCode::Ok;
}

ExitCode events(Invocation &Run) {
  Reference Table{EventsHeading, {"event", "name", "meaning"}, {}};
  for (const base::EventInfo &Info : base::events())
    Table.m_Rows.push_back(
        {numberOf(Info.m_Id), text(Info.m_Name), text(Info.m_Meaning)});
  Table.print(Run);
  return ExitCode::Ok;
}

std::string optionWords(const Command &Of) {
  const auto Options = optionsOf(Of);
  std::string Words;
  for (const auto &Option : Options.options()) {
    if (!Words.empty())
      Words += ' ';
    Words += "--" + Option->long_name();
  }
  return Words;
}

void printCompletion(std::ostream &Out) {
  std::string Names;
  for (const Command &Each : allCommands())
    Names += (Names.empty() ? "" : " ") + Each.m_Name;
  Out << "# bash completion; load with: source <(corneldeckctl completion "
         "bash)\n"
         "_corneldeckctl() {\n"
         "  local Word=${COMP_WORDS[COMP_CWORD]} Words\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    COMPREPLY=($(compgen -W \""
      << Names
      << " --help --version\" -- \"$Word\"))\n"
         "    return\n"
         "  fi\n"
         "  case ${COMP_WORDS[1]} in\n";
  for (const Command &Each : allCommands())
    Out << "  " << Each.m_Name << ") Words=\"" << optionWords(Each)
        << "\" ;;\n";
  Out << "  esac\n"
         "  if [[ $Word == -* ]]; then\n"
         "    COMPREPLY=($(compgen -W \"$Words\" -- \"$Word\"))\n"
         "  else\n"
         "    COMPREPLY=($(compgen -f -- \"$Word\"))\n"
         "  fi\n"
         "}\n"
         "complete -o filenames -F _corneldeckctl corneldeckctl\n";
}

ExitCode completion(Invocation &Run) {
  if (Run.m_Arguments[0] != "bash") {
    Run.m_Err << "corneldeckctl completion: expected bash" << std::endl;
    return ExitCode::Usage;
  }
  printCompletion(Run.m_Out);
  return ExitCode::Ok;
}

} // namespace

std::vector<Command> referenceCommands() {
  const std::vector<std::string> Formats{"text", "json", "markdown"};
  return {
      {"codes", "List the result codes.", "", 0, 0, Formats, nullptr, codes},
      {"events", "List the events of logs and the time line.", "", 0, 0,
       Formats, nullptr, events},
      {"completion",
       "Print the completion of a shell.",
       "bash",
       1,
       1,
       {"text"},
       nullptr,
       completion},
  };
}

} // namespace corneldeck::ctl

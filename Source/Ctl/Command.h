#ifndef CORNELDECK_CTL_COMMAND_H
#define CORNELDECK_CTL_COMMAND_H

#include "Base/Error.h"
#include "Ctl/ExitCode.h"
#include "Ctl/OperatorClient.h"

#include <boost/program_options.hpp>
#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace corneldeck::ctl {

/// One run of a command.
struct Invocation {
  boost::program_options::variables_map m_Options;
  /// The arguments that are not options.
  std::vector<std::string> m_Arguments;
  std::string m_Format = "text";
  std::ostream &m_Out;
  std::ostream &m_Err;
  OperatorClient &m_Client;

  [[nodiscard]] bool isJson() const { return m_Format == "json"; }
};

/// One sub-command.
struct Command {
  std::string m_Name;
  std::string m_Summary;
  /// Names of the arguments, such as "FILE...", for the help.
  std::string m_ArgumentNames;
  std::size_t m_LeastArguments = 0;
  std::size_t m_MostArguments = 0;
  std::vector<std::string> m_Formats = {"text", "json"};
  /// Adds the command's own options; may be unset.
  std::function<void(boost::program_options::options_description &)>
      m_AddOptions;
  std::function<ExitCode(Invocation &)> m_Run;
};

/// All sub-commands, in the order of the help.
std::vector<Command> allCommands();

std::vector<Command> catalogueCommands();
std::vector<Command> fleetCommands();
std::vector<Command> referenceCommands();

/// Runs corneldeckctl.
///
/// \param Arguments the command line without the program's name.
ExitCode runCtl(const std::vector<std::string> &Arguments, std::ostream &Out,
                std::ostream &Err);

/// Prints \p Failure with its code and what to do.
/// \returns the exit code that it asks for.
ExitCode reportError(const Invocation &Run, const base::Error &Failure);

/// \returns the options of \p Of with the common ones.
boost::program_options::options_description optionsOf(const Command &Of);

} // namespace corneldeck::ctl

#endif

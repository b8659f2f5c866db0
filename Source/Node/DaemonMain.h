#ifndef CORNELDECK_NODE_DAEMONMAIN_H
#define CORNELDECK_NODE_DAEMONMAIN_H

#include "Base/Error.h"
#include "Settings/Reader.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <iostream>
#include <optional>
#include <string>

namespace corneldeck::node {

/// Exit codes of the daemons.
enum class ExitCode { Ok = 0, Failed = 1, Usage = 2, BadSettings = 3 };

/// The parsed command line of a daemon.
struct DaemonArguments {
  /// Path of the settings file.
  std::string m_Config;
  /// Whether to exit after the settings are validated.
  bool m_CheckOnly = false;
};

/// Parses the command line; prints the help or the version if requested.
/// \param Config the settings file if the command line names none.
/// \returns the arguments, or the code with which to exit immediately.
tl::expected<DaemonArguments, ExitCode>
parseDaemonArguments(int ArgumentCount, char **ArgumentValues,
                     const std::string &Program,
                     const std::string &Config = {});

/// Runs \p Loop until a graceful shutdown is complete.
///
/// The first SIGTERM or SIGINT calls \p BeginStop, whose callback stops the
/// loop; a second signal stops the loop immediately.
void runUntilStopped(
    boost::asio::io_context &Loop,
    const std::function<void(std::function<void()> Done)> &BeginStop);

/// Starts the log of this process on standard error.
void startDaemonLog(const std::string &Program);

/// Reads the settings of a daemon and runs it until its graceful shutdown.
///
/// \param Read reads and validates the settings of \p Daemon.
/// \returns the exit code.
template <typename Daemon, typename ReadSettings>
int daemonMain(int ArgumentCount, char **ArgumentValues,
               const std::string &Program, ReadSettings Read) {
  const auto Arguments =
      parseDaemonArguments(ArgumentCount, ArgumentValues, Program);
  if (!Arguments)
    return static_cast<int>(Arguments.error());
  const auto Settings = Read(settings::Reader::fromFile(Arguments->m_Config));
  if (!Settings) {
    std::cerr << Settings.error().m_Message << '\n';
    return static_cast<int>(ExitCode::BadSettings);
  }
  if (Arguments->m_CheckOnly) {
    std::cout << Arguments->m_Config << ": the settings are valid.\n";
    return static_cast<int>(ExitCode::Ok);
  }
  startDaemonLog(Program);
  boost::asio::io_context Loop(1);
  Daemon Process(Loop, *Settings);
  if (const auto Started = Process.start(); !Started) {
    std::cerr << Started.error().m_Message << '\n';
    return static_cast<int>(ExitCode::Failed);
  }
  runUntilStopped(Loop, [&Process](std::function<void()> Done) {
    Process.beginStop(std::move(Done));
  });
  return static_cast<int>(ExitCode::Ok);
}

} // namespace corneldeck::node

#endif

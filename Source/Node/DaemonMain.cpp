#include "Node/DaemonMain.h"

#include "Log/EventLog.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>

namespace corneldeck::node {

namespace po = boost::program_options;

namespace {
constexpr const char *Version = CORNELDECK_VERSION;
} // namespace

tl::expected<DaemonArguments, ExitCode>
parseDaemonArguments(int ArgumentCount, char **ArgumentValues,
                     const std::string &Program, const std::string &Config) {
  DaemonArguments Arguments;
  Arguments.m_Config = Config;
  po::options_description Options(Program + " options");
  Options.add_options()("config", po::value(&Arguments.m_Config),
                        "the YAML file with the settings")(
      "check-config", po::bool_switch(&Arguments.m_CheckOnly),
      "check the settings and exit")("version", "print the version and exit")(
      "help", "print this text and exit");
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(ArgumentCount, ArgumentValues, Options),
              Values);
    po::notify(Values);
    if (Values.count("help") > 0) {
      std::cout << Options;
      return tl::unexpected(ExitCode::Ok);
    }
    if (Values.count("version") > 0) {
      std::cout << Program << ' ' << Version << '\n';
      return tl::unexpected(ExitCode::Ok);
    }
  } catch (const po::error &Problem) {
    std::cerr << Program << ": " << Problem.what() << "; see --help\n";
    return tl::unexpected(ExitCode::Usage);
  }
  if (Arguments.m_Config.empty()) {
    std::cerr << Program << ": specify the settings file with --config FILE\n";
    return tl::unexpected(ExitCode::Usage);
  }
  return Arguments;
}

void runUntilStopped(
    boost::asio::io_context &Loop,
    const std::function<void(std::function<void()> Done)> &BeginStop) {
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Problem, int) {
    if (Problem)
      return;
    Signals.async_wait([&Loop](const boost::system::error_code &Again, int) {
      if (!Again)
        Loop.stop();
    });
    BeginStop([&Loop] { Loop.stop(); });
  });
  Loop.run();
}

void startDaemonLog(const std::string &Program) { log::startLog(Program); }

} // namespace corneldeck::node

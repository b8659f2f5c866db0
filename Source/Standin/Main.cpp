#include "Standin/EngineRole.h"
#include "Standin/LogRole.h"
#include "Standin/ServiceRole.h"
#include "Standin/VmListRole.h"
#include "Standin/WeightStoreRole.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <list>

namespace {

namespace po = boost::program_options;
using namespace corneldeck;

using Addresses = std::vector<std::string>;

po::options_description describeOptions() {
  po::options_description Options(
      "corneldeck-standin: small stand-ins for the platform and the backend "
      "servers.\nEach role may be given several times, with an address ip:port "
      "(port 0 takes a free one).\nFaults are ordered by POST /faults; see "
      "docs/STANDINS.md");
  const auto Role = [&Options](const char *Name, const char *Summary) {
    Options.add_options()(Name, po::value<Addresses>()->composing(), Summary);
  };
  Role("log", "append-only log service");
  Role("vm-list", "list of live and leaving VMs");
  Role("weight-store", "rate-limited weight store");
  Role("engine", "model engine");
  Role("service", "plain service");
  const fakes::EngineSettings Engine;
  Options.add_options()(
      "step-us", po::value<std::int64_t>()->default_value(Engine.m_StepMicros),
      "engines: microseconds a step");
  Options.add_options()(
      "max-batch", po::value<std::uint32_t>()->default_value(Engine.m_MaxBatch),
      "engines: sequences in one step");
  Options.add_options()("help", "print this text");
  return Options;
}

/// All stand-ins of this process.
class Standins {
public:
  explicit Standins(boost::asio::io_context &Context) : m_Context(Context) {}

  void start(const po::variables_map &Values) {
    fakes::EngineSettings Engine;
    Engine.m_StepMicros = Values["step-us"].as<std::int64_t>();
    Engine.m_MaxBatch = Values["max-batch"].as<std::uint32_t>();
    add(Values, "log", m_Logs);
    add(Values, "vm-list", m_VmLists);
    add(Values, "weight-store", m_WeightStores);
    add(Values, "engine", m_Engines, Engine);
    add(Values, "service", m_Services);
  }

  [[nodiscard]] bool failed() const { return m_Failed; }

private:
  template <typename RoleType, typename... Extra>
  void add(const po::variables_map &Values, const char *Name,
           std::list<RoleType> &Roles, const Extra &...More) {
    if (Values.count(Name) == 0)
      return;
    for (const std::string &Address : Values[Name].as<Addresses>()) {
      RoleType &New = Roles.emplace_back(m_Context, More...);
      const auto Listening = New.listen(Address);
      if (Listening) {
        std::cout << Name << " " << *Listening << std::endl;
        continue;
      }
      std::cerr << Listening.error().m_Message << std::endl;
      m_Failed = true;
    }
  }

  boost::asio::io_context &m_Context;
  std::list<standin::LogRole> m_Logs;
  std::list<standin::VmListRole> m_VmLists;
  std::list<standin::WeightStoreRole> m_WeightStores;
  std::list<standin::EngineRole> m_Engines;
  std::list<standin::ServiceRole> m_Services;
  bool m_Failed = false;
};

int run(int Count, const char *const *Arguments) {
  const po::options_description Options = describeOptions();
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, Options), Values);
  po::notify(Values);
  if (Values.count("help") > 0) {
    std::cout << Options;
    return 0;
  }
  boost::asio::io_context Context(1);
  Standins All(Context);
  All.start(Values);
  if (All.failed())
    return 1;
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&Context](const auto &, int) { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int UsageError = 2;
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Failure) {
    std::cerr << "corneldeck-standin: " << Failure.what() << "; see --help"
              << std::endl;
    return UsageError;
  }
}

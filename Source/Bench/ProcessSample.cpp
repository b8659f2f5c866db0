#include "Bench/ProcessSample.h"

#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace corneldeck::bench {

namespace {

constexpr double KbPerMb = 1024;
constexpr base::Millis ScrapeTimeout = base::seconds(5);

/// Place of the user time among the fields behind the program's name.
constexpr int UserTimeField = 11;

double cpuSeconds(const std::string &Folder) {
  std::ifstream File(Folder + "/stat");
  std::string Line;
  if (!std::getline(File, Line))
    throw std::runtime_error("No process has the folder " + Folder + ".");
  // The program's name may hold spaces, and ends at the last parenthesis.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int Field = 0; Field < UserTimeField; ++Field)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double memoryMb(const std::string &Folder) {
  std::ifstream File(Folder + "/status");
  std::string Word;
  while (File >> Word) {
    if (Word != "VmRSS:")
      continue;
    double Kb = 0;
    File >> Kb;
    return Kb / KbPerMb;
  }
  return 0;
}

double controlBytes(const std::string &Http) {
  boost::asio::io_context Loop;
  net::HttpClient Client(Loop);
  std::string Page;
  Client.get(Http, "/metrics", ScrapeTimeout,
             [&](base::Result<net::HttpResponse> Answer) {
               if (Answer)
                 Page = Answer->m_Body;
               Loop.stop();
             });
  Loop.run();
  const std::string Name = "\ncorneldeck_control_bytes ";
  const std::size_t At = Page.find(Name);
  if (At == std::string::npos)
    throw std::runtime_error("No control bytes at http://" + Http +
                             "/metrics.");
  return std::stod(Page.substr(At + Name.size()));
}

} // namespace

ProcessSample sampleProcess(int Pid, const std::string &Http) {
  const std::string Folder = "/proc/" + std::to_string(Pid);
  return {cpuSeconds(Folder), memoryMb(Folder), controlBytes(Http)};
}

} // namespace corneldeck::bench

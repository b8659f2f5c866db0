#ifndef CORNELDECK_TESTS_PLATFORM_ENTRYFIXTURE_H
#define CORNELDECK_TESTS_PLATFORM_ENTRYFIXTURE_H

#include "EngineServers.h"
#include "LinkNetwork.h"
#include "StandinServer.h"
#include "StandinStore.h"

#include "Fakes/RateLimitOracle.h"
#include "Net/HttpClient.h"
#include "platform/EntryProcess.h"

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// What a caller has received of one response.
struct Answer {
  bool m_Ended = false;
  bool m_Broken = false;
  int m_Status = 0;
  std::chrono::steady_clock::time_point m_HeadAt;
  net::HttpHeaders m_Headers;
  std::string m_Body;
};
using AnswerPtr = std::shared_ptr<Answer>;
/// Answers by entry.
using EntryAnswers = std::vector<std::vector<AnswerPtr>>;

/// Platform entries on loopback, with stand-ins for the platform's store and
/// three backend servers.
class PlatformEntry : public testing::Test {
protected:
  explicit PlatformEntry(int EntryCount = 2) : m_EntryCount(EntryCount) {}

  void SetUp() override;

  void startEntry(int Index);
  /// Returns an address that was not returned before.
  static std::string nextAddress();
  /// Publishes a version of the configuration.
  /// \param Extra path prefix of an additional route; none if empty.
  /// \param Unused number of routes that no request uses.
  /// \param PrefixNumbers how many random numbers the prefix of each of them
  /// consists of. More bytes at the same number of routes take longer to
  /// transfer, and hardly longer to decode.
  void publish(int Version, const std::string &Extra = {}, int Unused = 0,
               int PrefixNumbers = 1);
  /// Runs the I/O context until \p Done returns true.
  void runUntil(const std::function<bool()> &Done);

  /// Starts a request of a caller.
  AnswerPtr call(const std::string &Method, const std::string &Target,
                 const std::string &Id, net::HttpHeaders Extra = {},
                 const std::string &Key = "key-1", int Entry = 0);
  /// Runs until the answer is complete.
  AnswerPtr finish(AnswerPtr Got);

  /// Sends requests to all entries in turn and waits for the answers.
  /// \param Interval the time between two requests.
  EntryAnswers sendTraffic(std::chrono::milliseconds Duration,
                           std::chrono::milliseconds Interval,
                           const std::string &Target = "/plain/a");
  /// Adds what \p Server received and what the entries forwarded to \p Oracle.
  static void addTraffic(fakes::RateLimitOracle &Oracle,
                         const StandinServer &Server,
                         const EntryAnswers &Answers);

  /// Returns the value of a metric without labels of an entry.
  double metric(int Entry, const std::string &Name);

  bool isReady(int Entry);
  std::vector<std::string> addresses(int Entry);
  void setAll(Behavior Mode);
  int runs(const std::string &Id);
  std::size_t receivedCount(const std::string &Id);
  const ReceivedRequest &receivedRequest(const std::string &Id);

  const int m_EntryCount;
  /// Whether the service runs on engines, whose servers are the ranks of a
  /// group.
  bool m_HasEngines = false;
  /// Dimensions of that group; without a rank, its engines have no experts.
  GroupShape m_Group;
  /// Whether the first version is published before the entries start.
  bool m_IsPublishedAtStart = true;
  /// The availability zones that the servers register with.
  std::vector<std::string> m_ServerZones = {"a", "a", "a"};
  /// Fields of the service's warm-up; none if the rate is zero.
  double m_WarmUpSeconds = 60;
  double m_WarmUpPerSecond = 0;
  /// The capacity that each server registers with.
  unsigned m_ServerCapacity = 8;
  /// Timeout of the routes, and the deadline that callers set.
  base::Millis m_RouteTimeout{4000};
  base::Millis m_CallerDeadline{8000};
  /// Bandwidth of the entries' links in bytes per second; unlimited if zero.
  double m_LinkRate = 0;
  boost::asio::io_context m_Loop{1};
  StandinStore m_Store{m_Loop};
  std::vector<std::unique_ptr<StandinServer>> m_Servers;
  /// Null if the bandwidth is unlimited.
  std::unique_ptr<LinkNetwork> m_Links;
  std::vector<platform::NodeSettings> m_Settings;
  std::vector<std::unique_ptr<platform::EntryProcess>> m_Entries;
  net::HttpClient m_Http{m_Loop};
  net::HttpCallHandle m_LastCancel;
  int m_Calls = 0;
};

} // namespace corneldeck::tests

#endif

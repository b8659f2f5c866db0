#ifndef CORNELDECK_TESTS_DAEMONS_FLEET_H
#define CORNELDECK_TESTS_DAEMONS_FLEET_H

#include "Agent/AgentDaemon.h"
#include "Entry/EntryDaemon.h"
#include "Net/HttpClient.h"
#include "Standin/EngineRole.h"
#include "Standin/LogRole.h"
#include "Standin/ServiceRole.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// What a caller got.
struct CallerAnswer {
  bool m_Ended = false;
  bool m_Broken = false;
  int m_Status = 0;
  net::HttpHeaders m_Headers;
  std::string m_Body;

  [[nodiscard]] std::string header(const char *Name) const {
    return std::string(net::findHeader(m_Headers, Name));
  }
  [[nodiscard]] bool hasEndMark() const {
    return m_Body.ends_with("data: [DONE]\n\n");
  }
};

using CallerAnswerPtr = std::shared_ptr<CallerAnswer>;

/// Real daemons and stand-ins in one process on loopback: two entries, two
/// agents before engines and two before plain services.
class Fleet : public testing::Test {
protected:
  static constexpr int Entries = 2;
  static constexpr int Engines = 2;
  static constexpr int Services = 2;
  static constexpr const char *Model = "lot-writer";
  static constexpr const char *Service = "receipts";

  void SetUp() override;

  /// Runs the loop until \p Done; fails the test after a long while.
  void runUntil(const std::function<bool()> &Done);

  /// Publishes both entries and waits until they are in force everywhere.
  void publishAll();

  /// Publishes one entry's text and gives the operator's answer.
  nlohmann::json publish(const std::string &ChangeId, const std::string &Entry,
                         std::uint64_t ExpectedVersion,
                         const std::string &Body);

  /// Sends a chat completion; the answer is filled in as the loop runs.
  CallerAnswerPtr chat(int Entry, std::uint32_t Tokens, bool Stream,
                       const net::HttpHeaders &Extra = {});

  /// Sends a POST to the plain service under an idempotency key.
  CallerAnswerPtr remit(int Entry, const std::string &Key,
                        const std::string &Body);

  CallerAnswerPtr call(net::HttpCall Call);

  /// Sends a request and waits for its answer.
  CallerAnswer fetch(const std::string &Address, const std::string &Method,
                     const std::string &Target, const std::string &Body = "");

  /// Replaces an agent's process, as a crash and a restart would.
  void restartAgent(int Index);

  /// \returns how often plain services ran a POST with \p Key.
  int runsOf(const std::string &Key);

  [[nodiscard]] std::string modelEntry(std::uint32_t Servers) const;
  [[nodiscard]] std::string serviceEntry() const;
  [[nodiscard]] const std::string &entryAddress(int Index) const {
    return m_EntrySettings[Index].m_HttpAddress;
  }

  boost::asio::io_context m_Loop{1};
  net::HttpClient m_Http{m_Loop};
  std::unique_ptr<standin::LogRole> m_Log;
  std::string m_LogAddress;
  std::vector<std::unique_ptr<standin::EngineRole>> m_Engines;
  std::vector<std::unique_ptr<standin::ServiceRole>> m_ServiceRoles;
  std::vector<std::string> m_BackendAddresses;
  std::vector<entry::EntrySettings> m_EntrySettings;
  std::vector<agent::AgentSettings> m_AgentSettings;
  std::vector<std::unique_ptr<entry::EntryDaemon>> m_Entries;
  std::vector<std::unique_ptr<agent::AgentDaemon>> m_Agents;

private:
  std::string freeAddress();
  void startStandins();
  void makeSettings();
  bool inForce(std::uint64_t Offset);
};

} // namespace corneldeck::tests

#endif

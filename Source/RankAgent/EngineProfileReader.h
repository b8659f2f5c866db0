#ifndef CORNELDECK_RANKAGENT_ENGINEPROFILEREADER_H
#define CORNELDECK_RANKAGENT_ENGINEPROFILEREADER_H

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Base/Random.h"
#include "Base/Timeline.h"
#include "Direct/Configuration.h"
#include "Net/HttpClient.h"
#include "Wire/Gossip.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace corneldeck::rankagent {

/// Settings of EngineProfileReader.
struct EngineProfileReaderSettings {
  std::string m_Service;
  /// Availability zone whose entries are preferred.
  std::string m_Zone;
  std::uint64_t m_Seed = 0;
  /// Time for the response of an entry, which fits into one packet.
  base::Millis m_EntryTimeout = base::Millis(300);
  /// Backoff after a failure, doubled up to the maximum.
  base::Millis m_InitialBackoff = base::Millis(50);
  base::Millis m_MaxBackoff = base::Millis(1000);
  /// Number of entries that fail before the log is read too.
  unsigned m_EntriesBeforeLog = 3;
  /// Minimum time between two reads of the log.
  base::Millis m_LogInterval = base::Millis(600);
};

/// Reads the properties of a service's engines, which an elected planner needs.
///
/// Entries respond with these alone, whatever the size of the configuration.
/// The log has only the whole configuration, which is read as well if no entry
/// is known or some do not respond with the properties. Failed requests are
/// repeated until one succeeds.
class EngineProfileReader {
public:
  /// Reads the published configuration from the log.
  using ReadConfiguration = std::function<void(
      std::function<void(base::Result<direct::Configuration>)>)>;

  /// Callbacks; all are required.
  struct Hooks {
    /// Returns the entries that may respond.
    std::function<std::vector<wire::NodeNews>()> m_LiveEntries;
    ReadConfiguration m_ReadConfiguration;
    /// Called once for each start.
    std::function<void(const direct::EngineProfile &)> m_OnRead;
  };

  /// \p Client and \p Events must outlive this object.
  EngineProfileReader(boost::asio::io_context &Context, net::HttpClient &Client,
                      EngineProfileReaderSettings Settings,
                      base::Timeline &Events, Hooks Callbacks);

  /// Starts to read. Does nothing while a read is active.
  void start();
  /// Ends an active read without a result.
  void cancel();
  [[nodiscard]] bool isActive() const { return m_Active; }

private:
  void askNextEntry();
  /// Fills m_Remaining with the live entries, in random order within a zone.
  void listEntries();
  void handleResponse(const wire::NodeNews &Entry,
                      const base::Result<net::HttpResponse> &Response);
  void readLogIfDue();
  void
  handleConfiguration(const base::Result<direct::Configuration> &Published);
  void retryLater();
  /// \param From the entry that responded, or "log".
  void finish(const direct::EngineProfile &Profile, const std::string &From,
              std::uint64_t Version);

  net::HttpClient &m_Client;
  const EngineProfileReaderSettings m_Settings;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  base::Random m_Rng;
  boost::asio::steady_timer m_Timer;
  bool m_Active = false;
  base::Millis m_StartedAt{};
  net::HttpCallHandle m_Call;
  /// Entries that are still to be asked, the next one last.
  std::vector<wire::NodeNews> m_Remaining;
  unsigned m_FailedEntries = 0;
  base::Millis m_Backoff{};
  bool m_LogReadInFlight = false;
  base::Millis m_NextLogRead{};
};

} // namespace corneldeck::rankagent

#endif

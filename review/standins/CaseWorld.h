#ifndef CORNELDECK_REVIEW_CASEWORLD_H
#define CORNELDECK_REVIEW_CASEWORLD_H

#include "Base/Clock.h"
#include "Net/HttpClient.h"
#include "Platform/StandinServer.h"
#include "Platform/StandinStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace corneldeck::review {

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// What a client has sent, and what it has received so far.
struct ClientCall {
  std::string m_Id;
  int m_Entry = 0;
  base::Millis m_SentAt{};
  base::Millis m_EndedAt{};
  bool m_Ended = false;
  /// Whether the response ended as the protocol says.
  bool m_Whole = false;
  int m_Status = 0;
  net::HttpHeaders m_Headers;
  std::string m_Body;
  net::HttpCallHandle m_Handle;
};
using ClientCallPtr = std::shared_ptr<ClientCall>;

/// One process of a program of the deploy file. Only this process is signalled,
/// by its id, and only until it has been waited for.
class Child {
public:
  /// \param Words the path of the program and its arguments.
  /// \param LogPath takes standard output and standard error.
  Child(std::vector<std::string> Words, std::string LogPath);
  /// Kills the process.
  ~Child();
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void start();
  void signal(int Number);
  bool isRunning();
  [[nodiscard]] pid_t id() const { return m_Id; }

private:
  const std::vector<std::string> m_Words;
  const std::string m_LogPath;
  pid_t m_Id = -1;
};

/// Entries of the deploy file as processes, before a stand-in for the
/// platform's store. Everything runs on loopback addresses and the real clock.
class CaseWorld {
public:
  /// \param Record path of the file that takes what was sent, answered and run.
  explicit CaseWorld(const std::string &Record);
  ~CaseWorld();

  /// Writes the configuration to the store.
  void publish(const nlohmann::json &Configuration);
  /// Starts \p Count entries with settings like those of a small deployment.
  void startEntries(int Count);
  /// Waits until all entries say that they are ready.
  /// \returns false if they do not within \p Limit.
  bool waitUntilReady(base::Millis Limit);

  /// Sends a request to an entry.
  ClientCallPtr call(int Entry, const std::string &Method,
                     const std::string &Target, const std::string &Id,
                     const net::HttpHeaders &Extra = {},
                     const std::string &Body = {});

  /// Runs the event loop for some time.
  void runFor(base::Millis Time);
  /// Calls \p Do again and again while the event loop runs.
  void every(base::Millis Period, std::function<void()> Do);
  void after(base::Millis Time, std::function<void()> Do);

  /// Writes a line with the time to the record.
  void record(const std::string &Line);
  [[nodiscard]] base::Millis now() const { return m_Clock.now() - m_Start; }
  [[nodiscard]] int entries() const {
    return static_cast<int>(m_Entries.size());
  }
  [[nodiscard]] Child &process(int Entry) {
    return *m_Entries[static_cast<std::size_t>(Entry)].m_Process;
  }
  [[nodiscard]] const std::string &callerAddress(int Entry) const {
    return m_Entries[static_cast<std::size_t>(Entry)].m_CallerAddress;
  }

  boost::asio::io_context m_Loop{1};
  tests::StandinStore m_Store{m_Loop};
  net::HttpClient m_Http{m_Loop};
  /// Key and host that all requests name.
  std::string m_Key = "k";
  std::string m_Host = "x.example";
  std::string m_DeadlineMs = "8000";
  std::string m_StoreAddress;

private:
  struct Entry {
    std::string m_CallerAddress;
    std::string m_ReadyAddress;
    std::unique_ptr<Child> m_Process;
  };

  std::string freeAddress();

  const base::Clock m_Clock = base::steadyClock();
  const base::Millis m_Start = m_Clock.now();
  std::ofstream m_Record;
  std::string m_Folder;

  std::vector<Entry> m_Entries;
};

/// \returns whether the disruption is to be played: TROUBLE is not 0.
bool hasTrouble();

} // namespace corneldeck::review

#endif

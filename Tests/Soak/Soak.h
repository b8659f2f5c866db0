#ifndef CORNELDECK_TESTS_SOAK_SOAK_H
#define CORNELDECK_TESTS_SOAK_SOAK_H

#include "Base/Clock.h"
#include "Base/Random.h"
#include "ChildProcess.h"
#include "Fakes/RateLimitOracle.h"
#include "LoopbackProxy.h"
#include "Net/HttpClient.h"
#include "Platform/StandinServer.h"
#include "Platform/StandinStore.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// Id of the part of prompts that ends servers, hexadecimal.
inline constexpr const char *FatalPart = "fa7a1";

/// A mistake that is played from outside; the soak must report it.
enum class Plant {
  None,
  RetryAfterSilence, ///< A request that may run once reaches a second server.
  VersionGoesBack,   ///< An entry answers as before a version that it served.
  LeavingStillUsed,  ///< A server that leaves goes on getting work.
  AnswerOfAnother,   ///< A caller gets the answer to another request.
  LimitExceeded,     ///< A server with a rate limit gets requests 30 times.
  NoticeIgnored,  ///< A server gets requests after it has said that it leaves.
  PauseIgnored,   ///< A server gets three requests before its pause is over.
  EraIgnored,     ///< An older copy of the log counts as newer than itself.
  FatalPartHidden ///< Entries cannot see the part of prompts that ends servers.
};

struct SoakSettings {
  std::uint64_t m_Seed = 1;
  base::Millis m_Length = base::seconds(12);
  std::string m_EntryProgram;
  std::string m_Folder;
  Plant m_Plant = Plant::None;
  int m_Entries = 3;
};

/// Runs entries as processes before stand-ins, with callers and random faults
/// from outside, and checks what callers and servers see against the promises.
class Soak {
public:
  explicit Soak(SoakSettings Settings);
  ~Soak();

  /// Plays the whole run.
  void run();

  /// \returns the broken promises, one line each.
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }
  [[nodiscard]] std::string summary() const;

private:
  /// How long a fault excuses an entry from the bounds of time.
  static constexpr base::Millis Touch = base::seconds(3);

  /// A notice of a server to an entry.
  struct Notice {
    base::Millis m_At{};
    /// Start of the entry that received it.
    std::uint64_t m_EntryStart = 0;
    /// Requests that arrived in spite of it.
    int m_Requests = 0;
  };
  struct Server {
    std::unique_ptr<StandinServer> m_Server;
    std::unique_ptr<LoopbackProxy> m_Proxy;
    std::string m_Address;
    /// When its leaving was acknowledged; zero while it stays.
    base::Millis m_LeftAt{};
    std::size_t m_Checked = 0;
    /// Records the requests that count towards the rate limit.
    fakes::RateLimitOracle m_Oracle;
    /// When the server stops naming a rate limit; zero while it names none.
    base::Millis m_LimitUntil{};
    /// Until when requests are left out, since its link was slow.
    base::Millis m_HeldUntil{};
    std::uint64_t m_StartTime = 1;
    /// When the server starts again after it has said that it leaves; zero if
    /// it has not.
    base::Millis m_StartsAgainAt{};
    /// When it starts again after a request has ended it; zero if it runs.
    base::Millis m_RevivesAt{};
    /// What the server has said to each entry, by index.
    std::map<std::size_t, Notice> m_Leaving;
    std::map<std::size_t, Notice> m_Pauses;
  };
  struct Entry {
    std::string m_Name;
    std::string m_CallerAddress;
    std::string m_DirectoryAddress;
    std::unique_ptr<ChildProcess> m_Process;
    /// Until when faults excuse it from the bounds of time.
    base::Millis m_ExcusedUntil{};
    /// The latest version that its present process has served.
    int m_SeenVersion = 0;
    std::uint64_t m_Starts = 0;
    base::Millis m_RestartAt{};
    base::Millis m_ContinueAt{};
  };
  struct Asked {
    std::string m_Id;
    std::string m_Path;
    std::size_t m_Entry = 0;
    std::uint64_t m_Start = 0;
    base::Millis m_SentAt{};
    int m_Version = 0;
    int m_Status = 0;
    bool m_Whole = false;
    net::HttpHeaders m_Headers;
    std::string m_Body;
  };
  using AskedPtr = std::shared_ptr<Asked>;

  void addServer();
  void addEntry(int Index);
  void startEntry(Entry &Of);
  void publish();
  void writeConfiguration();
  void registerServer(const Server &Of, const std::string &State);
  void ask();
  void answered(const AskedPtr &Request);
  void checkBody(const Asked &Request);
  void injectFault();
  /// Returns false if the planted mistake shows only at entries that are not
  /// excused.
  [[nodiscard]] bool mayDisturbEntries() const;
  void faultOfEntry();
  void faultOfServer();
  /// Lets a server leave. Invalidates references to servers.
  void startLeaving(Server &Of);
  void faultOfStore();
  /// Lets the store return with an older copy of its records.
  void changeStore();
  void returnStore();
  /// Writes again what the operators and the servers have written.
  void writeAgain();
  /// Checks that a version was in force when a request was sent.
  void checkInForce(const Asked &Request, const Entry &Of);
  /// Lets servers name a rate limit for a while.
  void changeLimits();
  void checkLimits();
  /// Lets servers say that they leave, and starts them again.
  void changeNotices();
  /// Records that a caller got an answer of a server that leaves.
  void recordLeaving(const Asked &Request);
  /// Checks a request that a server received against its notices.
  void checkNotices(Server &Of, const ReceivedRequest &Received);
  /// Returns the parts of the prompt of a stream. Some have a part that ends
  /// the server.
  std::string drawPrompt();
  /// Ends a server under a request.
  void endServer(const std::string &Id);
  /// Starts servers again that requests have ended.
  void reviveServers();
  /// Counts a request with the part that ends servers.
  void checkFatal(const ReceivedRequest &Received, const Entry &From);
  void heal();
  void checkServers();
  void checkPromises();
  void excuseAll(base::Millis For);
  void violate(const std::string &What);
  void every(base::Millis Period, std::function<void()> Do);
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  const SoakSettings m_Settings;
  const base::Clock m_Clock = base::steadyClock();
  base::Random m_Draw;
  /// Draws of the rate limits, so that they do not change the other faults.
  base::Random m_LimitDraw;
  base::Random m_NoticeDraw;
  base::Random m_StoreDraw;
  base::Random m_PromptDraw;
  /// When servers ended under requests, and the requests with the part that
  /// arrived when all entries had to know it.
  std::vector<base::Millis> m_FatalEnds;
  int m_LateFatal = 0;
  boost::asio::io_context m_Loop{1};
  StandinStore m_Store{m_Loop};
  std::string m_StoreAddress;
  std::string m_PeerPort;
  net::HttpClient m_Http{m_Loop};
  std::vector<Server> m_Servers;
  std::vector<Entry> m_Entries;
  std::vector<AskedPtr> m_Promised;
  std::set<std::string> m_RunOnce;
  std::set<std::string> m_Cancelled;
  std::map<std::string, int> m_Statuses;
  std::vector<std::string> m_Violations;
  std::vector<std::string> m_Faults;
  int m_Version = 0;
  /// When each version was written, the first one at index 1.
  std::vector<base::Millis> m_PublishedAt{{}};
  /// When the store kept its copy; zero if it has none.
  base::Millis m_CopiedAt{};
  /// When everything is written again after a return; zero if that is done.
  base::Millis m_WriteAgainAt{};
  int m_Records = 0;
  int m_NextRequest = 0;
  int m_NextServer = 0;
  bool m_Asking = true;
  bool m_Planted = false;
};

} // namespace corneldeck::tests

#endif

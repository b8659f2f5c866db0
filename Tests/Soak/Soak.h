#ifndef CORNELDECK_TESTS_SOAK_SOAK_H
#define CORNELDECK_TESTS_SOAK_SOAK_H

#include "Base/Clock.h"
#include "ChildProcess.h"
#include "Fakes/RateLimitOracle.h"
#include "LoopbackProxy.h"
#include "Net/HttpClient.h"
#include "Platform/StandinServer.h"
#include "Platform/StandinStore.h"
#include "SoakPlan.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// What the soak checks.
enum class Promise {
  AtMostOnce,     ///< A request that may run once runs at most once.
  TrueRefusal,    ///< A request that was refused has not run.
  OwnResponse,    ///< A caller gets the complete response to its request.
  Permitted,      ///< No request of a known customer and route is denied.
  VersionOrder,   ///< An entry does not go back behind a version.
  VersionInForce, ///< Versions come into force in time.
  Draining,       ///< A server that has left gets no requests.
  RateLimit,      ///< All entries together keep to a server's rate limit.
  LeavingNotice,  ///< A server gets no requests once it says that it leaves.
  PauseNotice,    ///< A server gets no requests in a pause that it names.
  FatalPart,      ///< Requests with a part that ends servers are refused.
  Served,         ///< Requests are served where a server can serve them.
  Process         ///< No entry ends by itself.
};

struct SoakSettings {
  std::uint64_t m_Seed = 1;
  base::Millis m_Length = base::seconds(12);
  std::string m_EntryProgram;
  std::string m_Folder;
  Plant m_Plant = Plant::None;
  int m_Entries = 3;
};

/// Runs entries as processes before stand-ins, with the callers and faults of a
/// plan, and checks what callers and servers see against the promises. The
/// faults end before the run does, and all requests have to be served then.
class Soak {
public:
  explicit Soak(SoakSettings Settings);
  ~Soak();

  /// Plays the whole run, or until the planted mistake has shown.
  void run();

  /// \returns whether the promise that the planted mistake breaks is reported.
  [[nodiscard]] bool isPlantFound() const;

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
    /// Since when it can serve any request; zero if it cannot.
    base::Millis m_FreeSince{};
    /// Whether the store may not show its latest record.
    bool m_IsHidden = false;
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
    /// Until when its own faults keep it from serving.
    base::Millis m_DisturbedUntil{};
    int m_Faults = 0;
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
    /// A server that could serve it when it was sent, and since when it could;
    /// zero if there was none.
    std::size_t m_FreeServer = 0;
    base::Millis m_FreeSince{};
    /// Number of faults of the entry when it was sent.
    int m_EntryFaults = 0;
    /// Whether it was sent after all faults had ended.
    bool m_IsAfterFaults = false;
  };
  using AskedPtr = std::shared_ptr<Asked>;

  void addServer();
  void addEntry(int Index);
  void startEntry(Entry &Of);
  void publish();
  void writeConfiguration();
  void registerServer(Server &Of, const std::string &State);
  void ask();
  void answered(const AskedPtr &Request);
  void checkBody(const Asked &Request);
  /// Counts a response if a server could serve the request.
  void countServed(const Asked &Request, const Entry &Of);
  /// Performs the steps of the plan that are due.
  void performSteps();
  void perform(const Step &Due);
  void disturbEntry(const Step &Due);
  void disturbServer(const Step &Due);
  /// Lets a server leave. Invalidates references to servers.
  void startLeaving(Server &Of);
  void disturbStore(const Step &Due);
  /// Returns whether the store does not answer, or answers late.
  [[nodiscard]] bool isStoreDown() const;
  /// Returns whether the store may not show what was written last.
  [[nodiscard]] bool isStoreFaulty() const;
  void healStore();
  /// Lets the store return with its older copy of the records.
  void returnStore(base::Millis WriteAgainAfter);
  /// Writes again what the operators and the servers have written.
  void writeAgain();
  /// Ends all faults, limits and notices.
  void endFaults();
  /// Runs until \p End or until the planted mistake is found.
  void runUntil(base::Millis End);
  /// Updates since when each server can serve.
  void updateFreeServers();
  void checkServed();
  /// Checks that a version was in force when a request was sent.
  void checkInForce(const Asked &Request, const Entry &Of);
  void nameLimit(Server &Of, std::uint64_t PerSecond, base::Millis Duration);
  static void endLimit(Server &Of, base::Millis Now);
  void endLimits();
  void checkLimits();
  /// Starts servers again that have said that they leave.
  void endNotices();
  void startAgain(Server &Of);
  /// Records that a caller got an answer of a server that leaves.
  void recordLeaving(const Asked &Request);
  /// Checks a request that a server received against its notices.
  void checkNotices(Server &Of, const ReceivedRequest &Received);
  /// Returns the prompt of a stream.
  [[nodiscard]] std::string prompt(const PlannedRequest &Planned) const;
  /// Ends a server under a request.
  void endServer(const std::string &Id);
  /// Starts servers again that requests have ended.
  void reviveServers();
  void revive(Server &Of);
  /// Counts a request with the part that ends servers.
  void checkFatal(const ReceivedRequest &Received, const Entry &From);
  void heal();
  void checkServers();
  void checkPromises();
  void excuseAll(base::Millis For);
  void violate(Promise Broken, const std::string &What);
  void every(base::Millis Period, std::function<void()> Do);
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  const SoakSettings m_Settings;
  const base::Clock m_Clock = base::steadyClock();
  const SoakPlan m_Plan;
  std::size_t m_NextStep = 0;
  base::Millis m_StartedAt{};
  /// Whether the faults of the plan go on, and whether they have been over for
  /// long enough that all requests are served.
  bool m_HasFaults = true;
  bool m_IsAfterFaults = false;
  /// Requests that a server could serve during the faults, those after the
  /// faults, and how many of each were served.
  int m_Servable = 0;
  int m_ServedOfServable = 0;
  int m_SentAfterFaults = 0;
  int m_ServedAfterFaults = 0;
  int m_Answered = 0;
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
  std::set<Promise> m_Broken;
  /// The last step or end of a server, for the reports of violations.
  std::string m_LastFault = "none";
  int m_Version = 0;
  /// When each version was written, the first one at index 1.
  std::vector<base::Millis> m_PublishedAt{{}};
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

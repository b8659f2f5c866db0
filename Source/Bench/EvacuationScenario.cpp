#include "Bench/FeedSpreadModel.h"
#include "Bench/Scenarios.h"
#include "Direct/ServerPool.h"

#include <algorithm>

namespace corneldeck::bench {
namespace {

using base::Millis;

constexpr Millis Step{5};
constexpr Millis Settling = base::seconds(2);
/// Time for which the evacuation is in force.
constexpr Millis Evacuation = base::seconds(15);
constexpr Millis AfterEnd = base::seconds(5);
/// The users' limit from the acknowledgement of the record.
constexpr Millis Limit = base::seconds(5);
/// Time in which an entry that is in contact again gets the state.
constexpr Millis CatchUp = base::seconds(2);
/// Longest time for which a connection is established.
constexpr Millis ConnectTimeout{700};
constexpr Millis RestartInterval = base::seconds(1);
/// Begin of the partition before the record, and its end after it.
constexpr Millis CutBefore = base::seconds(1);
constexpr Millis CutAfter = base::seconds(8);
/// Every fifth entry is cut off.
constexpr std::size_t CutPeriod = 5;
constexpr std::size_t Servers = 24;
constexpr std::size_t Zones = 3;
constexpr double RequestsPerSecond = 20;
constexpr double FailureRatio = 0.1;
constexpr double NewConnectionRatio = 0.2;
constexpr unsigned MaxAttempts = 3;
constexpr double MillisPerSecond = 1000;
const std::string Service = "service";
const std::string Evacuated = "zone-1";

/// What the entries do with the record.
enum class EvacuationMode {
  Applied,           ///< As the product does.
  Ignored,           ///< Nothing.
  FirstAttemptsOnly, ///< Retries go to any server.
  ForgottenByRestart ///< Only a change that an entry has seen counts.
};

/// Returns the zone of a server or an entry.
std::string zoneOf(std::size_t Index) {
  return "zone-" + std::to_string(Index % Zones);
}

/// Entries that learn of an evacuation through the configuration's feed, while
/// some of them restart or are cut off. Runs the product's pool and choice of
/// sources.
class EvacuationRun {
public:
  EvacuationRun(std::size_t Entries, EvacuationMode Mode, std::uint64_t Seed)
      : m_Mode(Mode), m_Feed(feedOptions(Entries, Seed)), m_Random(Seed + 1),
        m_Entries(Entries) {}

  void run() {
    runFor(Settling);
    cut(true);
    runFor(CutBefore);
    m_Feed.publish();
    m_OrderedAt = m_Feed.now();
    m_Feed.restartEntry(m_Feed.firstReader());
    for (Millis Elapsed{}; Elapsed < Evacuation; Elapsed += RestartInterval) {
      if (Elapsed == CutAfter)
        cut(false);
      m_Feed.restartEntry(m_Random.below(m_Entries.size()));
      runFor(RestartInterval);
    }
    m_Feed.publish();
    m_EndedAt = m_Feed.now();
    runFor(AfterEnd);
  }

  /// Returns the requests that reached the zone after the limit.
  [[nodiscard]] std::uint64_t lateArrivals() const { return m_Late; }
  /// Returns when the last of the requests reached the zone that were sent
  /// while the evacuation was in force, after the record.
  [[nodiscard]] Millis lastArrival() const { return m_LastArrival; }
  /// Returns the part of the entries that use the zone again.
  [[nodiscard]] double usingRatio() const {
    const auto Using = std::count_if(
        m_Entries.begin(), m_Entries.end(), [this](const Entry &Each) {
          return Each.m_Pool && Each.m_Pool->availability("s1", m_Feed.now()) ==
                                    direct::ServerAvailability::Available;
        });
    return static_cast<double>(Using) / static_cast<double>(m_Entries.size());
  }

private:
  struct Entry {
    std::unique_ptr<direct::ServerPool> m_Pool;
    std::uint64_t m_Process = 0;
    std::uint64_t m_Version = 0;
    Millis m_ExcusedUntil{};
  };
  /// A request whose connection is being established.
  struct Connecting {
    Millis m_Due{};
    std::size_t m_Entry = 0;
    std::uint64_t m_Process = 0;
    std::string m_Server;
    bool m_IsChecked = true;
  };

  static FeedSpreadOptions feedOptions(std::size_t Entries,
                                       std::uint64_t Seed) {
    FeedSpreadOptions Options;
    Options.m_Entries = Entries;
    Options.m_Seed = Seed;
    return Options;
  }

  void cut(bool IsCut) {
    for (std::size_t Index = 0; Index < m_Entries.size(); Index += CutPeriod) {
      m_Feed.cutEntry(Index, IsCut);
      m_Entries[Index].m_ExcusedUntil =
          m_Feed.now() + (IsCut ? CutBefore + CutAfter : Millis(0)) + CatchUp;
    }
  }

  void runFor(Millis Duration) {
    for (const Millis End = m_Feed.now() + Duration; m_Feed.now() < End;) {
      m_Feed.runFor(Step);
      for (std::size_t Index = 0; Index < m_Entries.size(); ++Index) {
        update(Index);
        const double Expected = RequestsPerSecond *
                                static_cast<double>(Step.count()) /
                                MillisPerSecond;
        if (m_Random.uniform() < Expected)
          send(Index);
      }
      connect();
    }
  }

  void update(std::size_t Index) {
    Entry &At = m_Entries[Index];
    if (At.m_Process != m_Feed.process(Index)) {
      At.m_Process = m_Feed.process(Index);
      At.m_Version = 0;
      At.m_Pool = std::make_unique<direct::ServerPool>(zoneOf(Index));
      std::vector<direct::BackendServer> Listed;
      for (std::size_t Server = 0; Server < Servers; ++Server) {
        direct::BackendServer Added;
        Added.m_Id = "s" + std::to_string(Server);
        Added.m_Service = Service;
        Added.m_Zone = zoneOf(Server);
        Listed.push_back(Added);
      }
      At.m_Pool->replaceServers(Listed, m_Feed.now());
    }
    const std::uint64_t Before =
        std::exchange(At.m_Version, m_Feed.version(Index));
    constexpr std::uint64_t OrderVersion = 2;
    const bool IsIgnored =
        m_Mode == EvacuationMode::Ignored ||
        (m_Mode == EvacuationMode::ForgottenByRestart && Before == 0);
    if (Before != At.m_Version && !IsIgnored)
      At.m_Pool->evacuate(At.m_Version == OrderVersion
                              ? std::set<std::string>{Evacuated}
                              : std::set<std::string>{},
                          m_Feed.now());
  }

  void send(std::size_t Index) {
    Entry &At = m_Entries[Index];
    // Without a configuration an entry refuses all requests.
    if (At.m_Version == 0)
      return;
    std::vector<std::string> Tried;
    for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
      const bool IsUnchecked =
          Attempt > 0 && m_Mode == EvacuationMode::FirstAttemptsOnly;
      const direct::BackendServer *Chosen =
          At.m_Pool->chooseServer(Service, Tried, m_Feed.now(), m_Random);
      if (!Chosen && !IsUnchecked)
        return;
      const std::string Id = IsUnchecked
                                 ? "s" + std::to_string(m_Random.below(Servers))
                                 : Chosen->m_Id;
      Tried.push_back(Id);
      const bool IsNew = m_Random.uniform() < NewConnectionRatio;
      const Millis Delay(static_cast<std::int64_t>(
          IsNew ? m_Random.below(
                      static_cast<std::uint64_t>(ConnectTimeout.count()))
                : 0));
      m_Connecting.push_back(
          {m_Feed.now() + Delay, Index, At.m_Process, Id, !IsUnchecked});
      if (m_Random.uniform() >= FailureRatio)
        return;
    }
  }

  void connect() {
    std::erase_if(m_Connecting, [this](const Connecting &Each) {
      if (Each.m_Due > m_Feed.now())
        return false;
      const Entry &At = m_Entries[Each.m_Entry];
      const bool IsSent =
          At.m_Process == Each.m_Process &&
          !(Each.m_IsChecked && At.m_Pool->isEvacuated(Each.m_Server));
      if (IsSent)
        arrive(At, Each.m_Server);
      return true;
    });
  }

  void arrive(const Entry &From, const std::string &Server) {
    const bool IsInForce = m_OrderedAt > Millis(0) && m_EndedAt == Millis(0) &&
                           zoneOf(std::stoul(Server.substr(1))) == Evacuated;
    if (!IsInForce || From.m_ExcusedUntil > m_Feed.now())
      return;
    m_LastArrival = m_Feed.now() - m_OrderedAt;
    if (m_LastArrival > Limit)
      ++m_Late;
  }

  const EvacuationMode m_Mode;
  FeedSpreadModel m_Feed;
  base::Random m_Random;
  std::vector<Entry> m_Entries;
  std::vector<Connecting> m_Connecting;
  /// When the record and its deletion were acknowledged; zero before.
  Millis m_OrderedAt{};
  Millis m_EndedAt{};
  std::uint64_t m_Late = 0;
  Millis m_LastArrival{};
};

ScenarioReport runEvacuation(const ScenarioOptions &Options) {
  const std::vector<std::pair<std::string, EvacuationMode>> Variants = {
      {"not-read", EvacuationMode::Ignored},
      {"first-attempts-only", EvacuationMode::FirstAttemptsOnly},
      {"forgotten-by-restart", EvacuationMode::ForgottenByRestart},
      {"corneldeck", EvacuationMode::Applied}};
  ScenarioReport Report;
  for (const std::size_t Entries : {7UL, 46UL, 149UL, 360UL})
    for (const auto &[Name, Mode] : Variants) {
      EvacuationRun Run(Entries, Mode, Options.m_Seed);
      Run.run();
      const auto Late = static_cast<double>(Run.lateArrivals());
      const std::map<std::string, std::string> Columns = {
          {"entries", std::to_string(Entries)}};
      Report.m_Measurements.push_back(
          {Name, "late_arrivals", Late, "requests", Columns});
      Report.m_Measurements.push_back(
          {Name, "last_arrival_ms",
           static_cast<double>(Run.lastArrival().count()), "ms", Columns});
      Report.m_Measurements.push_back(
          {Name, "using_ratio", Run.usingRatio(), "ratio", Columns});
      const std::string Where =
          Name + " with " + std::to_string(Entries) + " entries: ";
      if (Mode != EvacuationMode::Applied) {
        // The scenario has to detect the mistakes of the other variants.
        Report.m_Bounds.push_back(
            {Where + "late_arrivals > 0", Late, Late > 0});
        continue;
      }
      Report.m_Bounds.push_back({Where + "late_arrivals = 0", Late, Late == 0});
      Report.m_Bounds.push_back({Where + "using_ratio = 1 after the end",
                                 Run.usingRatio(), Run.usingRatio() == 1});
    }
  return Report;
}

} // namespace

Scenario evacuationScenario() {
  return {"evacuation", "nothing reaches the servers of an evacuated zone",
          runEvacuation};
}

} // namespace corneldeck::bench

#include "Direct/ServerPool.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>

namespace corneldeck::direct {

namespace {

/// A mistake that is planted to show that the schedules detect it.
enum class Plant {
  None,
  IgnoreLeaving,   ///< Entries use servers that leave.
  ForgetOnNewList, ///< Each new list ends what servers have said.
  HalvePauses      ///< Pauses last half as long as the server named.
};

constexpr std::size_t Servers = 4;
constexpr int Steps = 120;
constexpr base::Millis StepDuration{50};
/// Every entry has received a list with a new start after this many steps.
constexpr int ListSteps = 12;
/// A server does not leave earlier after its start. A response does not contain
/// the start, so an entry without the new list assigns it to the earlier start.
constexpr int MinLifetimeSteps = 24;

/// Random schedules of servers that leave, restart and want no requests, and of
/// entries whose lists and heartbeats arrive late, out of order or never.
class Schedule {
public:
  Schedule(std::uint64_t Seed, std::size_t Entries, Plant Fault)
      : m_Rng(Seed), m_Fault(Fault), m_Servers(Servers), m_Entries(Entries) {
    for (Entry &Each : m_Entries) {
      ServerPoolSettings Settings;
      Each.m_Pool = std::make_unique<ServerPool>("a", Settings);
      Each.m_NoticedStart.assign(Servers, 0);
      Each.m_PausedUntil.assign(Servers, base::Millis(0));
      list(Each, true);
    }
  }

  /// Returns the number of requests that reached a server which had said to the
  /// entry that it leaves or wants none.
  int run() {
    for (m_Step = 0; m_Step < Steps; ++m_Step) {
      changeServers();
      const bool IsListDue = std::any_of(
          m_Servers.begin(), m_Servers.end(), [&](const auto &Each) {
            return m_Step - Each.m_StartedAt == ListSteps;
          });
      for (Entry &Each : m_Entries) {
        if (IsListDue || m_Rng.below(6) == 0)
          list(Each, IsListDue);
        if (m_Rng.below(3) == 0)
          exchange(Each);
        sendRequest(Each);
        receiveResponses(Each);
      }
    }
    return m_Violations;
  }

  /// Returns whether each entry uses every server that has not left, after all
  /// lists have arrived and all pauses have ended.
  bool usesAllServers() {
    m_Step += 400;
    for (Server &Each : m_Servers)
      ++Each.m_Start;
    for (Entry &Each : m_Entries) {
      list(Each, true);
      for (std::size_t Index = 0; Index < Servers; ++Index)
        if (Each.m_Pool->availability(id(Index), now()) !=
            ServerAvailability::Available)
          return false;
    }
    return true;
  }

private:
  struct Server {
    std::uint64_t m_Start = 1;
    int m_StartedAt = -MinLifetimeSteps;
    bool m_IsLeaving = false;
    base::Millis m_Pause{};
  };
  struct Request {
    std::size_t m_Server = 0;
    std::uint64_t m_KnownStart = 0;
    base::Millis m_SentAt{};
    int m_ArrivesAt = 0;
    int m_AnsweredAt = 0;
    bool m_HasArrived = false;
    std::uint64_t m_Start = 0;
    ServerNotice m_Notice;
  };
  struct Entry {
    std::unique_ptr<ServerPool> m_Pool;
    std::deque<Request> m_Requests;
    /// Latest start of each server that said to this entry that it leaves.
    std::vector<std::uint64_t> m_NoticedStart;
    std::vector<base::Millis> m_PausedUntil;
  };

  static std::string id(std::size_t Index) {
    return "s" + std::to_string(Index);
  }
  [[nodiscard]] base::Millis now() const {
    return base::seconds(100) + StepDuration * m_Step;
  }

  void changeServers() {
    for (Server &Each : m_Servers) {
      const bool IsKnown = m_Step - Each.m_StartedAt >= MinLifetimeSteps;
      if (!Each.m_IsLeaving && IsKnown && m_Rng.below(60) == 0)
        Each.m_IsLeaving = true;
      if (IsKnown && m_Rng.below(90) == 0)
        Each = {Each.m_Start + 1, m_Step, false, {}};
      if (m_Rng.below(20) == 0)
        Each.m_Pause = m_Rng.below(2) == 0
                           ? base::Millis(0)
                           : base::Millis(static_cast<std::int64_t>(
                                 100 + m_Rng.below(2000)));
    }
  }

  /// Gives an entry a list that is current, or older than its last one.
  void list(Entry &Target, bool IsCurrent) {
    std::vector<std::uint64_t> Starts;
    for (const Server &Each : m_Servers) {
      const bool IsOlder =
          !IsCurrent && Each.m_Start > 1 && m_Rng.below(3) == 0;
      Starts.push_back(Each.m_Start - (IsOlder ? 1 : 0));
    }
    apply(Target, Starts);
  }

  void apply(Entry &Target, const std::vector<std::uint64_t> &Starts) {
    std::vector<BackendServer> List;
    for (std::size_t Index = 0; Index < Servers; ++Index) {
      BackendServer Listed;
      Listed.m_Id = id(Index);
      Listed.m_Service = "s";
      Listed.m_Address = "10.0.0.1:" + std::to_string(1000 + Index);
      Listed.m_Zone = "a";
      Listed.m_Capacity = 8;
      Listed.m_StartTime = Starts[Index];
      List.push_back(Listed);
    }
    if (m_Fault == Plant::ForgetOnNewList)
      Target.m_Pool = std::make_unique<ServerPool>("a");
    Target.m_Pool->replaceServers(List, now());
  }

  void exchange(Entry &From) {
    Entry &To = m_Entries[m_Rng.below(m_Entries.size())];
    for (const LeavingStatement &Each : From.m_Pool->notices().statements())
      m_Late.push_back(Each);
    while (!m_Late.empty() && m_Rng.below(3) != 0) {
      const std::size_t At = m_Rng.below(m_Late.size());
      To.m_Pool->notices().applyStatement(m_Late[At], "other", now());
      if (m_Rng.below(2) == 0)
        m_Late.erase(m_Late.begin() + static_cast<std::ptrdiff_t>(At));
    }
    while (m_Late.size() > 16)
      m_Late.pop_front();
  }

  void sendRequest(Entry &From) {
    const BackendServer *Chosen =
        From.m_Pool->chooseServer("s", {}, now(), m_Rng);
    if (!Chosen)
      return;
    const std::size_t Index = Chosen->m_Id.back() - '0';
    From.m_Pool->attemptStarted(Chosen->m_Id, 0, now());
    Request Sent;
    Sent.m_Server = Index;
    Sent.m_KnownStart = From.m_Pool->notices().startTime(Chosen->m_Id);
    Sent.m_SentAt = now();
    Sent.m_ArrivesAt = m_Step + static_cast<int>(m_Rng.below(3));
    Sent.m_AnsweredAt = Sent.m_ArrivesAt + static_cast<int>(m_Rng.below(8));
    if (From.m_NoticedStart[Index] == m_Servers[Index].m_Start ||
        From.m_PausedUntil[Index] > now())
      ++m_Violations;
    From.m_Requests.push_back(Sent);
  }

  void receiveResponses(Entry &At) {
    for (Request &Each : At.m_Requests) {
      const Server &Target = m_Servers[Each.m_Server];
      if (!Each.m_HasArrived && Each.m_ArrivesAt <= m_Step) {
        Each.m_HasArrived = true;
        Each.m_Start = Target.m_Start;
        if (Target.m_Pause > base::Millis(0))
          Each.m_Notice.m_Pause = {PauseField::Kind::Named, Target.m_Pause};
        else
          Each.m_Notice.m_IsAccepted = true;
      }
      if (Each.m_HasArrived && Each.m_AnsweredAt == m_Step)
        receive(At, Each);
    }
    std::erase_if(At.m_Requests, [this](const Request &Each) {
      return Each.m_AnsweredAt <= m_Step;
    });
  }

  void receive(Entry &At, Request &Answered) {
    const std::size_t Index = Answered.m_Server;
    const Server &Target = m_Servers[Index];
    At.m_Pool->attemptEnded(id(Index), 0);
    // Connections of an earlier start are closed.
    if (Answered.m_Start != Target.m_Start)
      return;
    Answered.m_Notice.m_IsLeaving = Target.m_IsLeaving;
    if (Target.m_IsLeaving)
      At.m_NoticedStart[Index] = Target.m_Start;
    ServerNotice Notice = Answered.m_Notice;
    if (Notice.m_Pause.m_Kind == PauseField::Kind::Named)
      At.m_PausedUntil[Index] =
          std::max(At.m_PausedUntil[Index], now() + Notice.m_Pause.m_Duration);
    if (m_Fault == Plant::IgnoreLeaving)
      Notice.m_IsLeaving = false;
    if (m_Fault == Plant::HalvePauses)
      Notice.m_Pause.m_Duration = Notice.m_Pause.m_Duration / 2;
    At.m_Pool->notices().recordResponse(id(Index), Answered.m_KnownStart,
                                        Notice, Answered.m_SentAt, now());
  }

  base::Random m_Rng;
  const Plant m_Fault;
  std::vector<Server> m_Servers;
  std::vector<Entry> m_Entries;
  /// Statements on their way, which may arrive more than once.
  std::deque<LeavingStatement> m_Late;
  int m_Step = 0;
  int m_Violations = 0;
};

#ifdef CORNELDECK_FEW_SCHEDULES
constexpr std::uint64_t ScheduleDivisor = 20;
#else
constexpr std::uint64_t ScheduleDivisor = 1;
#endif

void expectNoViolation(std::size_t Entries, std::uint64_t Schedules) {
  for (std::uint64_t Seed = 1; Seed <= Schedules / ScheduleDivisor; ++Seed) {
    Schedule Run(Seed, Entries, Plant::None);
    ASSERT_EQ(Run.run(), 0) << "seed " << Seed;
    ASSERT_TRUE(Run.usesAllServers()) << "seed " << Seed;
  }
}

bool detects(Plant Fault) {
  constexpr std::uint64_t Schedules = 20;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed)
    if (Schedule(Seed, 3, Fault).run() > 0)
      return true;
  return false;
}

} // namespace

// Failure: a request reached a server after it had said to the entry that it
// leaves or wants none, or a server stayed unused forever.
TEST(ServerNoticesFuzz, OneEntryKeepsToAllNotices) {
  expectNoViolation(1, 12'000);
}

TEST(ServerNoticesFuzz, NineEntriesKeepToAllNotices) {
  expectNoViolation(9, 7'000);
}

TEST(ServerNoticesFuzz, ManyEntriesKeepToAllNotices) {
  expectNoViolation(46, 1'000);
}

TEST(ServerNoticesFuzz, DetectsPlantedMistakes) {
  EXPECT_TRUE(detects(Plant::IgnoreLeaving));
  EXPECT_TRUE(detects(Plant::ForgetOnNewList));
  EXPECT_TRUE(detects(Plant::HalvePauses));
}

} // namespace corneldeck::direct

#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Bench/ServerFaults.h"
#include "Bench/ServerLimitModel.h"

#include <algorithm>
#include <array>
#include <deque>
#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using base::Millis;
using base::seconds;

// The fault matrix.

constexpr std::size_t Entries = ServerFaultEntries;
constexpr std::size_t Servers = 6;
/// Each row is run with this many seeds.
constexpr std::uint64_t Seeds = 4;
constexpr double RequestsPerSecond = 54;
constexpr Millis FaultAfter = seconds(8);
constexpr Millis StepAfter = seconds(2);
constexpr Millis HealAfter = seconds(12);
constexpr Millis RestAfter = seconds(10);
/// The limit that a server lowers to 1.
constexpr double HighestLimit = 6;
/// Part of the ordinary share of requests that a server without a limit gets.
constexpr double LeastShare = 0.5;
/// Part of a limit that is used.
constexpr double LeastUsed = 0.5;

/// What the servers do.
struct LimitStep {
  std::string m_Name;
  /// Limits that the servers name from the start, by server.
  std::vector<double> m_Limits;
  std::function<void(ServerLimitModel &)> m_Step;
  /// Whether the server 0 has no limit afterwards.
  bool m_Ends = false;
};

std::vector<LimitStep> limitSteps() {
  return {
      {"one-limited", {1}, [](ServerLimitModel &) {}},
      {"one-takes-nothing", {0}, [](ServerLimitModel &) {}},
      {"one-takes-most", {6}, [](ServerLimitModel &) {}},
      {"all-limited", std::vector<double>(Servers, 2),
       [](ServerLimitModel &) {}},
      {"limit-falls",
       {HighestLimit},
       [](ServerLimitModel &Model) { Model.nameLimit(0, 1); }},
      {"limit-ends",
       {1},
       [](ServerLimitModel &Model) { Model.endLimit(0); },
       true},
      {"server-restarts",
       {1},
       [](ServerLimitModel &Model) { Model.restartServer(0); },
       true},
  };
}

std::string number(double Value) {
  return std::to_string(static_cast<std::int64_t>(Value));
}

std::string checkLimits(const ServerLimitModel &Model, const ServerFault &Fault,
                        const LimitStep &Step, Millis Begin) {
  fakes::RateLimitBound Bound;
  Bound.m_InformedEntriesOnly = false;
  Bound.m_LoweringTime = Fault.m_LoweringTime;
  for (std::size_t Server = 0; Server < Step.m_Limits.size(); ++Server) {
    const auto Worst = Model.oracle(Server).worstWindow(Bound);
    if (Worst.m_Requests > Worst.m_Allowed)
      return "server " + std::to_string(Server) + " got " +
             number(Worst.m_Requests) + " requests in 4 s, allowed " +
             number(Worst.m_Allowed);
    const double Used = Model.oracle(Server).usedRatio(Begin, Model.now());
    if (!Step.m_Ends && Step.m_Limits[Server] > 0 && Used < LeastUsed)
      return "only " + number(Used * 100) + " % of a limit were used";
  }
  return "";
}

std::string runLimitRow(const ServerFault &Fault, const LimitStep &Step,
                        const std::string &Plant, std::uint64_t Seed) {
  ServerLimitOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = Servers;
  Options.m_RequestsPerSecond = RequestsPerSecond;
  Options.m_Plant = Plant;
  Options.m_Seed = Seed;
  ServerLimitModel Model(Options);
  Model.runFor(seconds(2));
  for (std::size_t Server = 0; Server < Step.m_Limits.size(); ++Server)
    Model.nameLimit(Server, Step.m_Limits[Server]);
  const Millis Begin = Model.now() + seconds(4);
  Model.runFor(FaultAfter);
  Fault.m_Begin(Model);
  Model.runFor(StepAfter);
  Step.m_Step(Model);
  Model.runFor(HealAfter);
  Fault.m_Heal(Model);
  Model.runFor(RestAfter / 2);
  const std::uint64_t Before = Model.arrivals(0);
  Model.runFor(RestAfter / 2);
  std::string Seen = checkLimits(Model, Fault, Step, Begin);
  const auto Got = static_cast<double>(Model.arrivals(0) - Before);
  const double Share = RequestsPerSecond / Servers *
                       static_cast<double>(RestAfter.count()) / 2000;
  if (Seen.empty() && Step.m_Ends && Got < LeastShare * Share)
    Seen = "a server without a limit got " + number(Got) +
           " requests, its share is " + number(Share);
  return Seen;
}

std::vector<MatrixRow> serverLimitsMatrix(const std::string &Plant) {
  std::vector<MatrixRow> Rows;
  for (const ServerFault &Fault : serverFaults(HighestLimit))
    for (const LimitStep &Step : limitSteps()) {
      std::string Seen;
      for (std::uint64_t Seed = 1; Seed <= Seeds && Seen.empty(); ++Seed)
        Seen = runLimitRow(Fault, Step, Plant, Seed);
      Rows.push_back({Fault.m_Name, Step.m_Name, Seen.empty(), Seen});
    }
  return Rows;
}

// The fuzzer.

constexpr std::size_t FuzzEntries = 3;
constexpr double FuzzLimit = 4;
const std::string FuzzServer = "s";

enum class Act { Use, Deliver, DeliverNewest, Repeat, Lose, Restart, Count };

struct FuzzStep {
  int m_Act = 0;
  std::size_t m_Entry = 0;
  std::int64_t m_Wait = 0;
};

void showValue(const FuzzStep &Step, std::ostream &Out) {
  Out << "{act " << Step.m_Act << ", entry " << Step.m_Entry << ", after "
      << Step.m_Wait << " ms}";
}

rc::Gen<FuzzStep> anyFuzzStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<FuzzStep>(
          rc::gen::set(&FuzzStep::m_Act,
                       rc::gen::inRange(0, static_cast<int>(Act::Count))),
          rc::gen::set(&FuzzStep::m_Entry,
                       rc::gen::inRange<std::size_t>(0, FuzzEntries)),
          rc::gen::set(&FuzzStep::m_Wait, rc::gen::element<std::int64_t>(
                                              0, 1, 20, 100, 300, 900))));
}

/// Entries that share one server's limit over a network that delays, loses,
/// repeats and reorders messages.
class FuzzFleet {
public:
  explicit FuzzFleet(const std::string &Plant) : m_Plant(Plant) {
    for (std::size_t Index = 0; Index < FuzzEntries; ++Index)
      start(Index);
  }

  void perform(const FuzzStep &Step) {
    m_Now += Millis(Step.m_Wait);
    for (Member &Each : m_Members) {
      name(Each);
      Each.m_Tokens->update(m_Now);
    }
    const Act What = static_cast<Act>(Step.m_Act);
    if (What == Act::Use)
      use(m_Members[Step.m_Entry]);
    else if (What == Act::Restart)
      start(Step.m_Entry);
    else if (!m_Messages.empty())
      moveMessage(What);
  }

  /// \returns what was broken; empty if nothing was.
  [[nodiscard]] std::string check() const {
    // What may exist at the start of any span, once for each granter.
    const double Stored = (FuzzLimit + 2) * (m_Restarts + 1);
    for (std::size_t First = 0; First < m_Used.size(); ++First)
      for (std::size_t Last = First; Last < m_Used.size(); ++Last) {
        const auto Span =
            static_cast<double>((m_Used[Last] - m_Used[First]).count());
        if (static_cast<double>(Last - First + 1) >
            Stored + FuzzLimit * Span / 1000 + 1e-6)
          return std::to_string(Last - First + 1) + " requests in " +
                 number(Span) + " ms";
      }
    return "";
  }

  /// The server no longer names a limit. The entries go on with requests and
  /// heartbeats for a while, and no message is lost.
  void endLimit() {
    constexpr int Rounds = 20;
    m_Messages.clear();
    for (int Round = 0; Round < Rounds; ++Round) {
      m_Now += Millis(300);
      for (Member &Each : m_Members) {
        Each.m_Tokens->update(m_Now);
        Each.m_Tokens->request(FuzzServer, m_Now);
        while (!m_Messages.empty())
          moveMessage(Act::Deliver);
        if (!Each.m_Tokens->permits(FuzzServer))
          continue;
        Each.m_Tokens->use(FuzzServer, m_Now);
        if (m_Plant != "endless-limits")
          Each.m_Limits->recordResponse(FuzzServer, {}, true, m_Now,
                                        m_Now + Millis(50));
      }
      m_Now += Millis(50);
      exchangeStatements();
    }
  }
  /// \returns whether an entry applies a limit.
  [[nodiscard]] bool isLimited() const {
    return std::any_of(m_Members.begin(), m_Members.end(),
                       [](const Member &Each) {
                         return Each.m_Limits->limit(FuzzServer).has_value();
                       });
  }

private:
  struct Member {
    std::string m_Name;
    std::unique_ptr<direct::ServerRateLimits> m_Limits;
    std::unique_ptr<direct::RateTokens> m_Tokens;
  };
  struct InFlight {
    std::string m_From;
    std::size_t m_To = 0;
    direct::RateTokenMessage m_Message;
  };

  static std::string entryName(std::size_t Index) {
    return std::to_string(Index);
  }

  void start(std::size_t Index) {
    m_Restarts += m_Now > Millis(0) ? 1 : 0;
    Member &Started = m_Members[Index];
    Started.m_Name = entryName(Index);
    Started.m_Limits = std::make_unique<direct::ServerRateLimits>();
    Started.m_Limits->replaceServers({{FuzzServer, {"address", 1}}}, m_Now);
    m_FirstNumber += 1'000'000;
    Started.m_Tokens = std::make_unique<direct::RateTokens>(
        *Started.m_Limits, direct::RateTokenSettings{}, m_FirstNumber);
    Started.m_Tokens->onSend(
        [this, From = Started.m_Name](const std::string &To,
                                      const direct::RateTokenMessage &Message) {
          m_Messages.push_back({From, std::stoul(To), Message});
        });
    std::vector<std::string> Live;
    for (std::size_t Other = 0; Other < FuzzEntries; ++Other)
      if (m_Plant != "undivided-limits" || Other == Index)
        Live.push_back(entryName(Other));
    Started.m_Tokens->setEntries(Started.m_Name, Live, m_Now);
    name(Started);
  }

  void name(Member &At) {
    direct::RateLimitField Field;
    Field.m_Kind = direct::RateLimitField::Kind::Named;
    Field.m_PerSecond = FuzzLimit;
    const bool IsForgotten = m_Plant == "forget-limits" && m_Restarts > 0;
    if (!IsForgotten)
      At.m_Limits->recordResponse(FuzzServer, Field, true, m_Now, m_Now);
  }

  void exchangeStatements() {
    for (const Member &From : m_Members)
      for (const direct::RateLimitStatement &Each :
           From.m_Limits->statements(m_Now, [&From](const std::string &Server) {
             return From.m_Tokens->isGranter(Server);
           }))
        for (Member &To : m_Members)
          if (&To != &From)
            To.m_Limits->applyStatement(Each, From.m_Name, m_Now);
  }

  void use(Member &At) {
    constexpr int UsesAtOnce = 40;
    At.m_Tokens->request(FuzzServer, m_Now);
    for (int Count = 0; Count < UsesAtOnce && At.m_Tokens->permits(FuzzServer);
         ++Count) {
      At.m_Tokens->use(FuzzServer, m_Now);
      m_Used.push_back(m_Now);
    }
  }

  void moveMessage(Act What) {
    const auto Position =
        What == Act::DeliverNewest ? m_Messages.end() - 1 : m_Messages.begin();
    const InFlight Moved = *Position;
    if (What != Act::Repeat)
      m_Messages.erase(Position);
    if (What != Act::Lose)
      m_Members[Moved.m_To].m_Tokens->receive(Moved.m_From, Moved.m_Message,
                                              m_Now);
  }

  const std::string m_Plant;
  Millis m_Now;
  std::array<Member, FuzzEntries> m_Members;
  std::deque<InFlight> m_Messages;
  std::uint64_t m_FirstNumber = 0;
  int m_Restarts = 0;
  std::vector<Millis> m_Used;
};

std::string runFuzzSchedule(const std::vector<FuzzStep> &Schedule,
                            const std::string &Plant) {
  FuzzFleet Fleet(Plant);
  for (const FuzzStep &Step : Schedule)
    Fleet.perform(Step);
  std::string Seen = Fleet.check();
  if (!Seen.empty())
    return Seen;
  Fleet.endLimit();
  return Fleet.isLimited() ? "the end of the limit did not reach all entries"
                           : "";
}

FuzzReport serverLimitsFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                            const std::string &Plant) {
  constexpr int MaxSteps = 80;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<FuzzStep>>(anyFuzzStep());
    const std::string Seen = runFuzzSchedule(Schedule, Plant);
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise serverLimitsPromise() {
  return {"server-limits",
          {"undivided-limits", "endless-limits", "forget-limits"},
          serverLimitsMatrix,
          serverLimitsFuzz};
}

} // namespace corneldeck::bench

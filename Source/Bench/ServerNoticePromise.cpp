#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"
#include "Bench/ServerFaults.h"

#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using base::Millis;
using base::seconds;

constexpr std::size_t Servers = 6;
/// Each row is run with this many seeds.
constexpr std::uint64_t Seeds = 2;
constexpr double RequestsPerSecond = 54;
constexpr Millis FaultAfter = seconds(3);
constexpr Millis StepAfter = seconds(1);
constexpr Millis HealAfter = seconds(6);
constexpr Millis RestAfter = seconds(6);
constexpr Millis Pause = Millis(1500);
/// Part of the ordinary share of requests that a server gets again.
constexpr double LeastShare = 0.5;

/// What the servers do.
struct NoticeStep {
  std::string m_Name;
  std::function<void(ServerLimitModel &)> m_Step;
  /// What they do before the fault is healed.
  std::function<void(ServerLimitModel &)> m_Last = [](ServerLimitModel &) {};
  /// Whether all entries use the server 0 at the end.
  bool m_IsUsed = false;
};

void leave(ServerLimitModel &Model) { Model.leaveServer(0); }
void restart(ServerLimitModel &Model) { Model.restartServer(0); }

std::vector<NoticeStep> noticeSteps() {
  return {
      {"one-leaves", leave},
      {"one-leaves-and-restarts", leave, restart, true},
      {"one-leaves-with-a-limit",
       [](ServerLimitModel &Model) {
         Model.nameLimit(0, 3);
         Model.leaveServer(0);
       }},
      {"one-leaves-and-lists-are-older",
       [](ServerLimitModel &Model) {
         Model.restartServer(0);
         Model.runFor(seconds(1));
         Model.listFormerStarts();
         Model.leaveServer(0);
       }},
      {"all-leave",
       [](ServerLimitModel &Model) {
         for (std::size_t Server = 0; Server < Servers; ++Server)
           Model.leaveServer(Server);
       }},
      {"one-wants-none",
       [](ServerLimitModel &Model) { Model.refuseBeyond(0, 0, Pause); },
       [](ServerLimitModel &Model) { Model.acceptAll(0); }, true},
      {"one-wants-few",
       [](ServerLimitModel &Model) { Model.refuseBeyond(0, 1, Pause); }},
      {"all-want-none",
       [](ServerLimitModel &Model) {
         for (std::size_t Server = 0; Server < Servers; ++Server)
           Model.refuseBeyond(Server, 0, Pause);
       },
       [](ServerLimitModel &Model) {
         for (std::size_t Server = 0; Server < Servers; ++Server)
           Model.acceptAll(Server);
       },
       true},
  };
}

std::string runNoticeRow(const ServerFault &Fault, const NoticeStep &Step,
                         const std::string &Plant, std::uint64_t Seed) {
  ServerLimitOptions Options;
  Options.m_Entries = ServerFaultEntries;
  Options.m_Servers = Servers;
  Options.m_RequestsPerSecond = RequestsPerSecond;
  Options.m_Plant = Plant;
  Options.m_Seed = Seed;
  ServerLimitModel Model(Options);
  Model.runFor(FaultAfter);
  Fault.m_Begin(Model);
  Model.runFor(StepAfter);
  Step.m_Step(Model);
  Model.runFor(HealAfter);
  Step.m_Last(Model);
  Fault.m_Heal(Model);
  Model.runFor(RestAfter);
  const std::uint64_t Before = Model.arrivals(0);
  Model.runFor(RestAfter);
  if (Model.unwantedRequests() > 0)
    return std::to_string(Model.unwantedRequests()) +
           " requests reached a server that wanted none of their entry";
  const double Share = RequestsPerSecond / Servers *
                       static_cast<double>(RestAfter.count()) / 1000;
  const auto Got = static_cast<double>(Model.arrivals(0) - Before);
  if (Step.m_IsUsed && Got < LeastShare * Share)
    return "a server that accepts requests again got " +
           std::to_string(Model.arrivals(0) - Before);
  return "";
}

std::vector<MatrixRow> serverNoticesMatrix(const std::string &Plant) {
  // No server names a limit that falls.
  constexpr double HighestLimit = 6;
  std::vector<MatrixRow> Rows;
  for (const ServerFault &Fault : serverFaults(HighestLimit))
    for (const NoticeStep &Step : noticeSteps()) {
      std::string Seen;
      for (std::uint64_t Seed = 1; Seed <= Seeds && Seen.empty(); ++Seed)
        Seen = runNoticeRow(Fault, Step, Plant, Seed);
      Rows.push_back({Fault.m_Name, Step.m_Name, Seen.empty(), Seen});
    }
  return Rows;
}

// The fuzzer.

constexpr std::size_t FuzzServers = 3;

enum class Act {
  Leave,
  Restart,
  WantNone,
  WantFew,
  WantAll,
  OlderList,
  RestartEntry,
  CutEntry,
  HealEntry,
  Count
};

struct FuzzStep {
  int m_Act = 0;
  std::size_t m_Server = 0;
  std::size_t m_Entry = 0;
  std::int64_t m_Wait = 0;
};

void showValue(const FuzzStep &Step, std::ostream &Out) {
  Out << "{act " << Step.m_Act << ", server " << Step.m_Server << ", entry "
      << Step.m_Entry << ", then " << Step.m_Wait << " ms}";
}

rc::Gen<FuzzStep> anyFuzzStep(std::size_t Entries) {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<FuzzStep>(
          rc::gen::set(&FuzzStep::m_Act,
                       rc::gen::inRange(0, static_cast<int>(Act::Count))),
          rc::gen::set(&FuzzStep::m_Server,
                       rc::gen::inRange<std::size_t>(0, FuzzServers)),
          rc::gen::set(&FuzzStep::m_Entry,
                       rc::gen::inRange<std::size_t>(0, Entries)),
          rc::gen::set(&FuzzStep::m_Wait,
                       rc::gen::element<std::int64_t>(0, 20, 100, 300, 900))));
}

void perform(ServerLimitModel &Model, const FuzzStep &Step) {
  switch (static_cast<Act>(Step.m_Act)) {
  case Act::Leave:
    Model.leaveServer(Step.m_Server);
    break;
  case Act::Restart:
    // The lists name a start before the server leaves again.
    Model.restartServer(Step.m_Server);
    Model.runFor(seconds(1));
    break;
  case Act::WantNone:
    Model.refuseBeyond(Step.m_Server, 0, Millis(700));
    break;
  case Act::WantFew:
    Model.refuseBeyond(Step.m_Server, 1, Millis(300));
    break;
  case Act::WantAll:
    Model.acceptAll(Step.m_Server);
    break;
  case Act::OlderList:
    Model.listFormerStarts();
    break;
  case Act::RestartEntry:
    Model.restartEntry(Step.m_Entry);
    break;
  case Act::CutEntry:
    Model.cutEntry(Step.m_Entry, true);
    break;
  case Act::HealEntry:
    Model.cutEntry(Step.m_Entry, false);
    break;
  case Act::Count:
    break;
  }
  Model.runFor(Millis(Step.m_Wait));
}

/// Returns whether all entries may use a server within a second. A server on
/// trial is unavailable for a moment after each request.
bool isUsedSoon(ServerLimitModel &Model, std::size_t Server,
                std::size_t Entries) {
  const Millis End = Model.now() + seconds(1);
  while (Model.entriesThatUse(Server) != Entries && Model.now() < End)
    Model.runFor(Millis(20));
  return Model.entriesThatUse(Server) == Entries;
}

std::string runFuzzSchedule(const std::vector<FuzzStep> &Schedule,
                            std::size_t Entries, const std::string &Plant) {
  ServerLimitOptions Options;
  Options.m_Entries = Entries;
  Options.m_Servers = FuzzServers;
  Options.m_RequestsPerSecond = 30;
  Options.m_Plant = Plant;
  Options.m_Seed = Schedule.size() + 1;
  ServerLimitModel Model(Options);
  for (const FuzzStep &Step : Schedule)
    perform(Model, Step);
  if (Model.unwantedRequests() > 0)
    return std::to_string(Model.unwantedRequests()) +
           " requests reached a server that wanted none of their entry";
  for (std::size_t Server = 0; Server < FuzzServers; ++Server)
    Model.restartServer(Server);
  Model.runFor(seconds(2));
  for (std::size_t Server = 0; Server < FuzzServers; ++Server)
    if (!isUsedSoon(Model, Server, Entries))
      return "a new start of a server is not used";
  return "";
}

FuzzReport serverNoticesFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                             const std::string &Plant) {
  constexpr int MaxSteps = 12;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const std::size_t Entries = *rc::gen::element<std::size_t>(1, 3, 9);
    const auto Schedule =
        *rc::gen::container<std::vector<FuzzStep>>(anyFuzzStep(Entries));
    const std::string Seen = runFuzzSchedule(Schedule, Entries, Plant);
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise serverNoticesPromise() {
  return {"server-notices",
          {"ignore-leaving", "short-pauses", "endless-pauses"},
          serverNoticesMatrix,
          serverNoticesFuzz};
}

} // namespace corneldeck::bench

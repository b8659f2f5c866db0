#include "SoakPlan.h"

#include "Base/RendezvousHash.h"
#include "LoopbackProxy.h"
#include "Platform/StandinServer.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace corneldeck::tests {

namespace {

using base::Millis;

constexpr Millis HealInterval{50};
constexpr Millis FaultInterval{350};
constexpr Millis ChangeInterval{500};
/// Time from the signal until an entry that stops is started again.
constexpr Millis StopDuration = base::seconds(4);
/// Probability that a fault of a server or the store ends in a HealInterval.
constexpr double HealRate = 0.06;
/// Number of requests that the digest covers.
constexpr std::uint64_t DigestRequests = 4000;
/// Versions that are published before the store returns with an older copy, so
/// that later versions have offsets of these.
constexpr std::uint64_t VersionsBeforeReturn = 30;

/// Each kind of draw has a generator of its own.
enum Purpose : std::uint64_t {
  FaultPurpose,
  HealPurpose,
  LimitPurpose,
  NoticePurpose,
  StorePurpose,
  RequestPurpose
};

constexpr std::array StepNames = {
    "kill-entry",   "freeze-entry", "stop-entry",      "reload-entry",
    "reset-links",  "break-link",   "change-behavior", "heal-server",
    "leave-server", "pause-server", "say-leaving",     "name-limit",
    "publish",      "break-store",  "heal-store",      "copy-store",
    "return-store"};

bool isMultiple(Millis Time, Millis Interval) {
  return Time.count() % Interval.count() == 0;
}

Millis drawMillis(base::Random &Draw, std::int64_t Least, std::uint64_t Span) {
  return Millis(Least + static_cast<std::int64_t>(Draw.below(Span)));
}

} // namespace

const char *name(StepKind Kind) {
  return StepNames.at(static_cast<std::size_t>(Kind));
}

struct SoakPlan::World {
  struct Server {
    /// Whether a fault of the server or its link goes on, and whether the
    /// server still serves.
    bool m_IsFaulty = false;
    bool m_Serves = true;
    bool m_HasLeft = false;
    Millis m_LimitedUntil{};
    Millis m_LeavingUntil{};
  };

  explicit World(const SoakPlan &Plan)
      : m_Servers(Plan.m_Settings.m_Servers),
        m_EntryBusyUntil(Plan.m_Settings.m_Entries),
        m_FaultDraw(Plan.generator(FaultPurpose)),
        m_HealDraw(Plan.generator(HealPurpose)),
        m_LimitDraw(Plan.generator(LimitPurpose)),
        m_NoticeDraw(Plan.generator(NoticePurpose)),
        m_StoreDraw(Plan.generator(StorePurpose)) {}

  Millis m_Time{};
  std::vector<Server> m_Servers;
  std::vector<Millis> m_EntryBusyUntil;
  bool m_IsStoreFaulty = false;
  /// When the store kept its copy; zero if it has none.
  Millis m_CopiedAt{};
  /// When everything is written again after a return.
  Millis m_WrittenAgainAt{};
  base::Random m_FaultDraw;
  base::Random m_HealDraw;
  base::Random m_LimitDraw;
  base::Random m_NoticeDraw;
  base::Random m_StoreDraw;
};

SoakPlan::SoakPlan(SoakPlanSettings Settings) : m_Settings(Settings) {
  if (!addPlantedSteps())
    drawSteps();
  std::stable_sort(m_Steps.begin(), m_Steps.end(),
                   [](const Step &Left, const Step &Right) {
                     return Left.m_At < Right.m_At;
                   });
}

base::Random SoakPlan::generator(std::uint64_t Purpose,
                                 std::uint64_t Number) const {
  const std::string Text = std::to_string(m_Settings.m_Seed) + ":" +
                           std::to_string(Purpose) + ":" +
                           std::to_string(Number);
  return base::Random(base::hash64(Text, 0));
}

void SoakPlan::add(Millis At, StepKind Kind, std::size_t Target,
                   std::uint64_t Value, Millis Duration) {
  m_Steps.push_back({At, Kind, Target, Value, Duration});
}

void SoakPlan::drawSteps() {
  World Now(*this);
  for (Now.m_Time = HealInterval; Now.m_Time < m_Settings.m_Length;
       Now.m_Time += HealInterval) {
    heal(Now);
    if (isMultiple(Now.m_Time, FaultInterval))
      drawFault(Now);
    if (!isMultiple(Now.m_Time, ChangeInterval))
      continue;
    drawLimits(Now);
    drawNotices(Now);
    drawStoreReturn(Now);
  }
}

void SoakPlan::drawFault(World &Now) {
  // Every second seed leaves the store alone, since its faults excuse all
  // entries from the bounds of time.
  const bool HasStoreFaults = m_Settings.m_Seed % 2 == 0;
  switch (Now.m_FaultDraw.below(4)) {
  case 0:
    drawEntryFault(Now);
    return;
  case 1:
    if (!HasStoreFaults)
      return;
    add(Now.m_Time, StepKind::BreakStore, 0, Now.m_FaultDraw.below(6));
    Now.m_IsStoreFaulty = true;
    return;
  case 2:
    add(Now.m_Time, StepKind::Publish, 0, 1);
    return;
  default:
    drawServerFault(Now);
    return;
  }
}

void SoakPlan::drawEntryFault(World &Now) {
  constexpr std::array Kinds = {StepKind::KillEntry, StepKind::FreezeEntry,
                                StepKind::StopEntry, StepKind::ReloadEntry};
  const std::size_t Target = Now.m_FaultDraw.below(m_Settings.m_Entries);
  const StepKind Kind = Kinds.at(Now.m_FaultDraw.below(Kinds.size()));
  Millis Duration = drawMillis(Now.m_FaultDraw, 300, 1500);
  if (Now.m_Time <= Now.m_EntryBusyUntil[Target])
    return;
  if (Kind == StepKind::StopEntry)
    Duration = StopDuration;
  add(Now.m_Time, Kind, Target, 0, Duration);
  if (Kind != StepKind::ReloadEntry)
    Now.m_EntryBusyUntil[Target] = Now.m_Time + Duration + ChangeInterval;
}

void SoakPlan::drawServerFault(World &Now) {
  const std::size_t Target = Now.m_FaultDraw.below(Now.m_Servers.size());
  World::Server &Of = Now.m_Servers[Target];
  switch (Now.m_FaultDraw.below(6)) {
  case 0:
    add(Now.m_Time, StepKind::ResetLinks, Target);
    return;
  case 1:
    add(Now.m_Time, StepKind::BreakLink, Target,
        1 + Now.m_FaultDraw.below(
                static_cast<std::uint64_t>(LinkFault::SilentBack)));
    Of.m_IsFaulty = true;
    return;
  case 2:
  case 3:
    add(Now.m_Time, StepKind::ChangeBehavior, Target,
        1 + Now.m_FaultDraw.below(
                static_cast<std::uint64_t>(Behavior::TruncatedStream)));
    Of.m_IsFaulty = true;
    Of.m_Serves = false;
    return;
  default:
    break;
  }
  const auto Staying =
      std::count_if(Now.m_Servers.begin(), Now.m_Servers.end(),
                    [](const World::Server &Each) { return !Each.m_HasLeft; });
  if (Of.m_HasLeft || Staying <= 2)
    return;
  add(Now.m_Time, StepKind::LeaveServer, Target);
  Of.m_HasLeft = true;
  Now.m_Servers.emplace_back();
}

void SoakPlan::drawLimits(World &Now) {
  constexpr double LimitRate = 0.1;
  for (std::size_t Index = 0; Index < Now.m_Servers.size(); ++Index) {
    World::Server &Each = Now.m_Servers[Index];
    if (Now.m_Time < Each.m_LimitedUntil || !Now.m_LimitDraw.chance(LimitRate))
      continue;
    const std::uint64_t PerSecond = 1 + Now.m_LimitDraw.below(6);
    const Millis Duration = drawMillis(Now.m_LimitDraw, 5000, 5000);
    add(Now.m_Time, StepKind::NameLimit, Index, PerSecond, Duration);
    Each.m_LimitedUntil = Now.m_Time + Duration;
  }
}

void SoakPlan::drawNotices(World &Now) {
  constexpr double PauseRate = 0.08;
  constexpr double LeavingRate = 0.04;
  for (std::size_t Index = 0; Index < Now.m_Servers.size(); ++Index) {
    World::Server &Each = Now.m_Servers[Index];
    if (Now.m_NoticeDraw.chance(PauseRate) && Each.m_Serves) {
      add(Now.m_Time, StepKind::PauseServer, Index);
      Each.m_IsFaulty = true;
      Each.m_Serves = false;
    }
    if (Now.m_Time < Each.m_LeavingUntil ||
        !Now.m_NoticeDraw.chance(LeavingRate))
      continue;
    const Millis Duration = drawMillis(Now.m_NoticeDraw, 2000, 3000);
    add(Now.m_Time, StepKind::SayLeaving, Index, 0, Duration);
    Each.m_LeavingUntil = Now.m_Time + Duration + ChangeInterval;
  }
}

void SoakPlan::drawStoreReturn(World &Now) {
  constexpr double StoreRate = 0.25;
  constexpr Millis LeastAge{500};
  // As with the other faults of the store, every second seed has none.
  if (m_Settings.m_Seed % 2 != 0 || !Now.m_StoreDraw.chance(StoreRate))
    return;
  if (Now.m_CopiedAt == Millis(0)) {
    add(Now.m_Time, StepKind::CopyStore);
    Now.m_CopiedAt = Now.m_Time;
    return;
  }
  if (Now.m_Time - Now.m_CopiedAt < LeastAge ||
      Now.m_Time <= Now.m_WrittenAgainAt)
    return;
  const Millis Duration = drawMillis(Now.m_StoreDraw, 100, 1400);
  add(Now.m_Time, StepKind::ReturnStore, 0, 0, Duration);
  Now.m_CopiedAt = {};
  Now.m_WrittenAgainAt = Now.m_Time + Duration;
}

void SoakPlan::heal(World &Now) {
  if (Now.m_IsStoreFaulty && Now.m_HealDraw.chance(HealRate)) {
    add(Now.m_Time, StepKind::HealStore);
    Now.m_IsStoreFaulty = false;
  }
  for (std::size_t Index = 0; Index < Now.m_Servers.size(); ++Index)
    if (Now.m_Servers[Index].m_IsFaulty && Now.m_HealDraw.chance(HealRate)) {
      add(Now.m_Time, StepKind::HealServer, Index);
      Now.m_Servers[Index].m_IsFaulty = false;
      Now.m_Servers[Index].m_Serves = true;
    }
}

bool SoakPlan::addPlantedSteps() {
  constexpr Millis Begin{500};
  // Entries are excused for three seconds after their start.
  constexpr Millis Undisturbed{3500};
  constexpr Millis Interval{1500};
  constexpr Millis PauseDuration{400};
  const Millis LeavingDuration = base::seconds(3);
  base::Random Draw = generator(FaultPurpose);
  switch (m_Settings.m_Plant) {
  case Plant::None:
  case Plant::RetryAfterSilence:
  case Plant::VersionGoesBack:
  case Plant::AnswerOfAnother:
    return false;
  case Plant::LeavingStillUsed:
    add(Begin, StepKind::LeaveServer, Draw.below(m_Settings.m_Servers));
    break;
  case Plant::LimitExceeded:
    for (std::size_t Index = 0; Index < m_Settings.m_Servers; ++Index)
      add(Begin, StepKind::NameLimit, Index, 1 + Draw.below(6),
          m_Settings.m_Length);
    break;
  case Plant::NoticeIgnored:
    for (std::size_t Index = 0; Index < 3; ++Index)
      add(Undisturbed + Interval * static_cast<std::int64_t>(Index),
          StepKind::SayLeaving, Index, 0, LeavingDuration);
    break;
  case Plant::PauseIgnored:
    for (std::size_t Index = 0; Index < 3; ++Index) {
      const Millis At =
          Undisturbed + Interval * static_cast<std::int64_t>(Index);
      add(At, StepKind::PauseServer, Index);
      add(At + PauseDuration, StepKind::HealServer, Index);
    }
    break;
  case Plant::EraIgnored:
    add(Begin, StepKind::CopyStore);
    add(Begin, StepKind::Publish, 0, VersionsBeforeReturn);
    add(Begin + Interval, StepKind::ReturnStore, 0, 0, Begin);
    for (Millis At = Undisturbed; At < m_Settings.m_Length; At += Interval)
      add(At, StepKind::Publish, 0, 1);
    break;
  case Plant::FatalPartHidden:
    // The requests themselves end the servers.
    break;
  }
  return true;
}

PlannedRequest SoakPlan::request(std::uint64_t Number) const {
  constexpr double CancelRate = 0.02;
  // Fatal streams would hide other planted mistakes at the servers they end.
  const double FatalRate = m_Settings.m_Plant == Plant::FatalPartHidden ? 0.3
                           : m_Settings.m_Plant == Plant::None          ? 0.1
                                                                        : 0;
  base::Random Draw = generator(RequestPurpose, Number);
  PlannedRequest Request;
  Request.m_Entry = Draw.below(m_Settings.m_Entries);
  Request.m_Kind = static_cast<RequestKind>(Draw.below(4));
  Request.m_VersionDraw = Draw.below(1U << 20U);
  Request.m_IsCancelled = Draw.chance(CancelRate);
  Request.m_Parts = "a" + std::to_string(Draw.below(5)) + ":40,b" +
                    std::to_string(Draw.below(5)) + ":60,";
  Request.m_HasFatalPart =
      Request.m_Kind == RequestKind::Stream && Draw.chance(FatalRate);
  return Request;
}

std::string SoakPlan::digest() const {
  std::ostringstream Text;
  for (const Step &Each : m_Steps)
    Text << Each.m_At.count() << ' ' << name(Each.m_Kind) << ' '
         << Each.m_Target << ' ' << Each.m_Value << ' '
         << Each.m_Duration.count() << '\n';
  for (std::uint64_t Number = 1; Number <= DigestRequests; ++Number) {
    const PlannedRequest Each = request(Number);
    Text << Each.m_Entry << ' ' << static_cast<int>(Each.m_Kind) << ' '
         << Each.m_VersionDraw << Each.m_IsCancelled << Each.m_Parts
         << Each.m_HasFatalPart << '\n';
  }
  std::ostringstream Out;
  Out << std::hex << base::hash64(Text.str(), 0);
  return Out.str();
}

} // namespace corneldeck::tests

// Scenarios of a request's outcome: at-most-once, drain and silent.
#include "Bench/RequestOracle.h"
#include "Bench/Scenarios.h"

#include <algorithm>

namespace corneldeck::bench {

namespace {

using base::Millis;
using base::ResultCode;

constexpr Millis Patience{10000};
constexpr Millis Calm{1000};
constexpr double LastNewWorkBound = 3000;
constexpr double ReplacedBound = 2000;

/// Submits a call of each kind in turn, one at each interval.
void submitFor(RequestWorld &World, Millis Span, Millis Every,
               const std::vector<CallKind> &Kinds) {
  for (Millis Past{}; Past < Span; Past += Every) {
    const std::size_t Number = World.calls().size();
    World.submit(Kinds[Number % Kinds.size()], Number % World.entries(),
                 "k" + std::to_string(Number), Patience);
    World.advance(Every);
  }
}

double ranTwice(RequestWorld &World) {
  return judge(World, RequestPromise::AtMostOnce).empty() ? 0 : 1;
}

/// \returns the share of calls from \p First on without an answer.
double refusedRatio(RequestWorld &World, std::size_t First) {
  const std::size_t Asked = World.calls().size() - First;
  const auto Refused = std::count_if(
      World.calls().begin() + static_cast<std::ptrdiff_t>(First),
      World.calls().end(), [](const Call &Each) {
        return !Each.m_Outcome || Each.m_Outcome->m_Code != ResultCode::Ok;
      });
  return static_cast<double>(Refused) / static_cast<double>(Asked);
}

void addLatency(ScenarioReport &Report, const std::string &Variant,
                RequestWorld &World) {
  std::vector<double> Times;
  for (const Call &Each : World.calls())
    if (Each.m_Outcome)
      Times.push_back(static_cast<double>(
          (Each.m_AnsweredAt - Each.m_SubmittedAt).count()));
  std::sort(Times.begin(), Times.end());
  const auto At = [&Times](std::size_t Percent) {
    return Times[(Times.size() - 1) * Percent / 100];
  };
  Report.m_Measurements.push_back({Variant, "latency_p50_ms", At(50), "ms"});
  Report.m_Measurements.push_back({Variant, "latency_p99_ms", At(99), "ms"});
}

WorldOptions seeded(const ScenarioOptions &Options) {
  WorldOptions World;
  World.m_Seed = Options.m_Seed;
  return World;
}

void measureCalm(ScenarioReport &Report, const ScenarioOptions &Options,
                 const std::string &Variant, CallKind Kind) {
  RequestWorld World(seeded(Options));
  submitFor(World, base::seconds(10), Millis(1), {Kind});
  World.advance(Patience);
  addLatency(Report, Variant, World);
  Report.m_Measurements.push_back(
      {Variant, "refused_ratio", refusedRatio(World, 0), "ratio"});
}

void measureLogOut(ScenarioReport &Report, const ScenarioOptions &Options) {
  RequestWorld World(seeded(Options));
  World.setLogOut(true);
  submitFor(World, base::minutes(60), Millis(100), {CallKind::KeyedPlain});
  World.advance(Patience);
  Report.m_Measurements.push_back(
      {"log-out", "refused_ratio", refusedRatio(World, 0), "ratio"});
  Report.m_Measurements.push_back(
      {"log-out", "ran_twice", ranTwice(World), "count"});
}

/// One of three homes is lost and comes back with an empty memory.
void measureHomeLost(ScenarioReport &Report, const ScenarioOptions &Options,
                     bool TellCreated) {
  WorldOptions Settings = seeded(Options);
  Settings.m_TellCreated = TellCreated;
  RequestWorld World(Settings);
  const auto Measure = [&](const std::string &Phase, Millis Span) {
    const std::size_t First = World.calls().size();
    submitFor(World, Span, Millis(20), {CallKind::KeyedPlain});
    World.advance(Patience);
    Report.m_Measurements.push_back(
        {"home-lost",
         "refused_ratio",
         refusedRatio(World, First),
         "ratio",
         {{"phase", Phase}, {"created", TellCreated ? "told" : "not-told"}}});
  };
  World.killAgent(0, true);
  Measure("away", base::seconds(30));
  World.startAgent(0);
  Measure("first-10-s-back", base::seconds(10));
  Measure("next-60-s", base::minutes(1));
  World.advance(Settings.m_Attempts.m_Claims.m_RetentionWindow);
  Measure("after-the-window", base::minutes(1));
  Report.m_Measurements.push_back(
      {"home-lost",
       "ran_twice",
       ranTwice(World),
       "count",
       {{"created", TellCreated ? "told" : "not-told"}}});
}

ScenarioReport runAtMostOnce(const ScenarioOptions &Options) {
  ScenarioReport Report;
  measureCalm(Report, Options, "unmarked", CallKind::PlainOnce);
  measureCalm(Report, Options, "corneldeck", CallKind::KeyedPlain);
  measureLogOut(Report, Options);
  measureHomeLost(Report, Options, true);
  measureHomeLost(Report, Options, false);
  double Twice = 0;
  for (const Measurement &Row : Report.m_Measurements)
    if (Row.m_Metric == "ran_twice")
      Twice += Row.m_Value;
  Report.m_Bounds.push_back({"ran_twice == 0", Twice, Twice == 0});
  return Report;
}

/// What a stop of an agent under load did.
struct StopFigures {
  double m_LastNewWork = 0;
  double m_CutOff = 0;
  double m_Moved = 0;
};

/// An agent stops while its engine is slow, so that streams have to move.
///
/// \param Graceful false to end the process at once instead.
StopFigures stopAgent(const ScenarioOptions &Options, bool Graceful) {
  RequestWorld World(seeded(Options));
  const std::vector<CallKind> Kinds{CallKind::IdempotentStream,
                                    CallKind::PlainOnce};
  submitFor(World, Calm, Millis(5), Kinds);
  const Millis Notice = World.time().now();
  World.stall(0, Millis(2500));
  if (Graceful)
    World.drain(0, Millis(4000));
  else
    World.killAgent(0, false);
  submitFor(World, base::seconds(5), Millis(5), Kinds);
  World.advance(Patience);

  StopFigures Seen;
  for (const fakes::BackendRun &Run : World.history().m_Runs) {
    Seen.m_Moved += Run.m_Resumed ? 1 : 0;
    if (Run.m_Server == "a0" && Run.m_At > Notice)
      Seen.m_LastNewWork = static_cast<double>((Run.m_At - Notice).count());
  }
  Seen.m_CutOff =
      refusedRatio(World, 0) * static_cast<double>(World.calls().size());
  return Seen;
}

void addStop(ScenarioReport &Report, const std::string &Variant,
             const StopFigures &Seen) {
  Report.m_Measurements.push_back(
      {Variant, "last_new_work_ms", Seen.m_LastNewWork, "ms"});
  Report.m_Measurements.push_back({Variant, "cut_off", Seen.m_CutOff, "count"});
  Report.m_Measurements.push_back({Variant, "moved", Seen.m_Moved, "count"});
}

ScenarioReport runDrain(const ScenarioOptions &Options) {
  const StopFigures Stop = stopAgent(Options, true);
  ScenarioReport Report;
  addStop(Report, "agent-stop", Stop);
  addStop(Report, "agent-killed", stopAgent(Options, false));
  Report.m_Bounds = {
      {"agent-stop last_new_work_ms < 3000", Stop.m_LastNewWork,
       Stop.m_LastNewWork < LastNewWorkBound},
      {"agent-stop cut_off == 0", Stop.m_CutOff, Stop.m_CutOff == 0},
  };
  return Report;
}

/// What silent connections under load did.
struct SilenceFigures {
  double m_Replaced = 0;
  double m_RanTwice = 0;
  double m_Lost = 0;
  double m_Refused = 0;
};

/// All connections of one entry fall silent under load; new ones work.
///
/// \param Attach false to give up at once instead of asking for the answer over
/// the new connection.
SilenceFigures silenceEntry(const ScenarioOptions &Options, bool Attach) {
  WorldOptions Settings = seeded(Options);
  if (!Attach)
    Settings.m_Flow.m_ReattachTimeout = Millis(0);
  RequestWorld World(Settings);
  const std::vector<CallKind> Kinds{CallKind::IdempotentStream,
                                    CallKind::PlainOnce, CallKind::KeyedPlain,
                                    CallKind::KeyedStream};
  submitFor(World, Calm, Millis(5), Kinds);
  const Millis Since = World.time().now();
  SilenceFigures Seen;
  Seen.m_Replaced = static_cast<double>(Patience.count());
  std::size_t Waiting = World.agents();
  World.m_OnLinkUp = [&](std::size_t Entry, std::size_t) {
    if (Entry == 0 && Waiting > 0 && --Waiting == 0)
      Seen.m_Replaced =
          static_cast<double>((World.time().now() - Since).count());
  };
  for (std::size_t Agent = 0; Agent < World.agents(); ++Agent)
    World.silence(0, Agent);
  submitFor(World, base::seconds(3), Millis(5), Kinds);
  World.advance(Patience);
  Seen.m_RanTwice = ranTwice(World);
  for (const Call &Each : World.calls()) {
    const bool NotRun =
        Each.m_Outcome && Each.m_Outcome->m_Ran == base::Ran::No;
    const bool Answered =
        Each.m_Outcome && Each.m_Outcome->m_Code == ResultCode::Ok;
    Seen.m_Lost += Answered || NotRun ? 0 : 1;
    Seen.m_Refused += NotRun ? 1 : 0;
  }
  return Seen;
}

void addSilence(ScenarioReport &Report, const std::string &Variant,
                const SilenceFigures &Seen) {
  Report.m_Measurements.push_back(
      {Variant, "replaced_ms", Seen.m_Replaced, "ms"});
  Report.m_Measurements.push_back(
      {Variant, "ran_twice", Seen.m_RanTwice, "count"});
  Report.m_Measurements.push_back(
      {Variant, "lost_answers", Seen.m_Lost, "count"});
  Report.m_Measurements.push_back(
      {Variant, "refused", Seen.m_Refused, "count"});
}

ScenarioReport runSilent(const ScenarioOptions &Options) {
  const SilenceFigures Seen = silenceEntry(Options, true);
  ScenarioReport Report;
  addSilence(Report, "entry-agent", Seen);
  addSilence(Report, "no-attach", silenceEntry(Options, false));
  Report.m_Bounds = {
      {"entry-agent replaced_ms < 2000", Seen.m_Replaced,
       Seen.m_Replaced < ReplacedBound},
      {"entry-agent ran_twice == 0", Seen.m_RanTwice, Seen.m_RanTwice == 0},
  };
  return Report;
}

} // namespace

Scenario atMostOnceScenario() {
  return {"at-most-once",
          "added latency, refusals after the loss of a home and without a log",
          runAtMostOnce};
}

Scenario drainScenario() {
  return {"drain", "a planned stop of an agent under load", runDrain};
}

Scenario silentScenario() {
  return {"silent", "connections that go silent under load", runSilent};
}

} // namespace corneldeck::bench

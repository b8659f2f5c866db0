#include "Bench/HttpLoad.h"
#include "Bench/PathFleet.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace corneldeck::bench {

namespace {

constexpr std::chrono::milliseconds Warmup{1'000};
constexpr std::chrono::milliseconds Duration{4'000};
constexpr std::uint32_t ShortParallel = 64;
constexpr std::uint32_t StreamParallel = 512;
constexpr std::uint32_t StreamTokens = 200;
constexpr double HalfLoad = 0.5;

constexpr double RequestsPerCoreBound = 5'000;
constexpr double TokensPerCoreBound = 100'000;
constexpr double AddedP99BoundMs = 2;

/// A load with the processor time that each role spent on it.
struct CostedLoad {
  LoadResult m_Load;
  double m_EntryCpu = 0;
  double m_AgentCpu = 0;
};

net::HttpCall shortCall(const std::string &Address, const std::string &Path) {
  net::HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Address = Address;
  Call.m_Target = Path;
  Call.m_Headers = {{"X-Customer", "bench"}};
  Call.m_Body = "{\"lot\":17}";
  return Call;
}

net::HttpCall streamCall(const std::string &Address) {
  const nlohmann::json Body = {
      {"model", "model"},
      {"stream", true},
      {"max_tokens", StreamTokens},
      {"messages", {{{"role", "user"}, {"content", "a tin robot"}}}}};
  net::HttpCall Call = shortCall(Address, "/v1/chat/completions");
  Call.m_Body = Body.dump();
  Call.m_Timeout = base::minutes(1);
  return Call;
}

CostedLoad measure(ThreadedLoop &Entry, ThreadedLoop &Agent,
                   const std::function<LoadResult()> &Run) {
  CostedLoad Costed;
  const double EntryBefore = Entry.cpuSeconds();
  const double AgentBefore = Agent.cpuSeconds();
  Costed.m_Load = Run();
  Costed.m_EntryCpu = Entry.cpuSeconds() - EntryBefore;
  Costed.m_AgentCpu = Agent.cpuSeconds() - AgentBefore;
  return Costed;
}

/// Adds a row for each role and the bound on the lower one.
void addPerCore(ScenarioReport &Report, const std::string &Metric,
                const CostedLoad &Of, double Units, double Bound) {
  const double Entry = Units / Of.m_EntryCpu;
  const double Agent = Units / Of.m_AgentCpu;
  Report.m_Measurements.push_back(
      {"corneldeck", Metric, Entry, "1/s", {{"role", "entry"}}});
  Report.m_Measurements.push_back(
      {"corneldeck", Metric, Agent, "1/s", {{"role", "agent"}}});
  const double Lower = std::min(Entry, Agent);
  Report.m_Bounds.push_back(
      {Metric + " of each role >= " + std::to_string(static_cast<int>(Bound)),
       Lower, Lower >= Bound});
}

void measureShort(PathFleet &Fleet, ScenarioReport &Report) {
  const net::HttpCall Through =
      shortCall(Fleet.entryAddress(), "/services/service/lots");
  const net::HttpCall Direct = shortCall(Fleet.serviceAddress(), "/lots");
  runClosedLoop(Through, ShortParallel, Warmup);
  const CostedLoad Full =
      measure(Fleet.entryLoop(), Fleet.serviceAgentLoop(),
              [&] { return runClosedLoop(Through, ShortParallel, Duration); });
  const auto Answered = static_cast<double>(Full.m_Load.m_Answered);
  addPerCore(Report, "requests_per_core_s", Full, Answered,
             RequestsPerCoreBound);
  const double Rate = Answered / Full.m_Load.m_Seconds;
  Report.m_Measurements.push_back(
      {"corneldeck", "requests_per_s", Rate, "1/s"});

  const LoadResult Half = runOpenLoop(Through, Rate * HalfLoad, Duration);
  const LoadResult Base = runOpenLoop(Direct, Rate * HalfLoad, Duration);
  const double P50 = Half.percentile(0.5) - Base.percentile(0.5);
  const double P99 = Half.percentile(0.99) - Base.percentile(0.99);
  const auto Failed = static_cast<double>(Full.m_Load.m_Failed + Half.m_Failed);
  Report.m_Measurements.push_back({"corneldeck", "added_p50_ms", P50, "ms"});
  Report.m_Measurements.push_back({"corneldeck", "added_p99_ms", P99, "ms"});
  Report.m_Measurements.push_back({"corneldeck", "failed", Failed, ""});
  Report.m_Measurements.push_back(
      {"direct", "latency_p50_ms", Base.percentile(0.5), "ms"});
  Report.m_Measurements.push_back(
      {"direct", "latency_p99_ms", Base.percentile(0.99), "ms"});
  Report.m_Bounds.push_back(
      {"added_p99_ms < 2 at half load", P99, P99 < AddedP99BoundMs});
  Report.m_Bounds.push_back({"failed == 0", Failed, Failed == 0});
}

void measureStreams(PathFleet &Fleet, ScenarioReport &Report) {
  const net::HttpCall Through = streamCall(Fleet.entryAddress());
  const net::HttpCall Direct = streamCall(Fleet.engineAddress());
  const CostedLoad Streams =
      measure(Fleet.entryLoop(), Fleet.engineAgentLoop(),
              [&] { return runClosedLoop(Through, StreamParallel, Duration); });
  const LoadResult Base = runClosedLoop(Direct, StreamParallel, Duration);
  const double Tokens =
      static_cast<double>(Streams.m_Load.m_Answered) * StreamTokens;
  const double DirectTokens =
      static_cast<double>(Base.m_Answered) * StreamTokens;
  addPerCore(Report, "tokens_per_core_s", Streams, Tokens, TokensPerCoreBound);
  Report.m_Measurements.push_back(
      {"corneldeck", "tokens_per_s", Tokens / Streams.m_Load.m_Seconds, "1/s"});
  Report.m_Measurements.push_back(
      {"direct", "tokens_per_s", DirectTokens / Base.m_Seconds, "1/s"});
  const auto Failed = static_cast<double>(Streams.m_Load.m_Failed);
  Report.m_Bounds.push_back({"streams failed == 0", Failed, Failed == 0});
}

ScenarioReport runPath(const ScenarioOptions &) {
  PathFleet Fleet;
  if (const auto Started = Fleet.start(); !Started)
    throw std::runtime_error(Started.error().m_Message);
  ScenarioReport Report;
  measureShort(Fleet, Report);
  measureStreams(Fleet, Report);
  return Report;
}

} // namespace

Scenario pathScenario() {
  return {"path",
          "real daemons on loopback against the same client straight to the "
          "backend server",
          runPath};
}

} // namespace corneldeck::bench

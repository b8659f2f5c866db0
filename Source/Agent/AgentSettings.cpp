#include "Agent/AgentSettings.h"

#include <array>

namespace corneldeck::agent {

namespace {

constexpr std::array<std::string_view, 2> KindNames{"engine", "service"};
constexpr settings::Range RunningRange{1, 100'000};
constexpr settings::Range StopRange{0, 3'600'000};
constexpr settings::Range EventsRange{100, 1'000'000};
constexpr std::int64_t DefaultRunning = 256;
constexpr std::int64_t DefaultEvents = 20'000;
constexpr base::Millis DefaultStop = base::seconds(60);

} // namespace

base::Result<AgentSettings> readAgentSettings(settings::Reader Reader) {
  AgentSettings Read;
  Read.m_BackendServer = Reader.text("backend_server");
  Read.m_Zone = Reader.text("zone");
  Read.m_LinkAddress = Reader.address("link_address");
  Read.m_ControlAddress = Reader.address("control_address");
  Read.m_HttpAddress = Reader.address("http_address");
  Read.m_LogAddress = Reader.address("log");
  Read.m_Entries = Reader.addresses("entries");

  settings::Reader Backend = Reader.section("backend");
  Read.m_Kind = static_cast<BackendKind>(Backend.choice("kind", KindNames));
  Read.m_BackendAddress = Backend.address("address");
  Read.m_MaxRunning = static_cast<std::uint32_t>(
      Backend.integer("max_running", RunningRange, DefaultRunning));

  Read.m_StopTimeout = Reader.millis("stop_timeout_ms", StopRange, DefaultStop);
  Read.m_TimelineEvents = static_cast<std::size_t>(
      Reader.integer("timeline_events", EventsRange, DefaultEvents));
  Read.m_LogRequests = Reader.boolean("log_requests", false);
  if (const auto Verdict = Reader.validate(); !Verdict)
    return tl::unexpected(Verdict.error());
  return Read;
}

} // namespace corneldeck::agent

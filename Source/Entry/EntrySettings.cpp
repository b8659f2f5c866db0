#include "Entry/EntrySettings.h"

namespace corneldeck::entry {

namespace {

constexpr settings::Range StopRange{0, 3'600'000};
constexpr settings::Range ConnectionsRange{1, 1'000'000};
constexpr settings::Range EventsRange{100, 1'000'000};
constexpr std::int64_t DefaultConnections = 10'000;
constexpr std::int64_t DefaultEvents = 20'000;
constexpr base::Millis DefaultStop = base::seconds(60);

} // namespace

base::Result<EntrySettings> readEntrySettings(settings::Reader Reader) {
  EntrySettings Read;
  Read.m_Node = Reader.text("node");
  Read.m_Zone = Reader.text("zone");
  Read.m_HttpAddress = Reader.address("http_address");
  Read.m_ControlAddress = Reader.address("control_address");
  Read.m_LogAddress = Reader.address("log");
  Read.m_Entries = Reader.addresses("entries");
  Read.m_StopTimeout = Reader.millis("stop_timeout_ms", StopRange, DefaultStop);
  Read.m_MaxConnections = static_cast<std::size_t>(
      Reader.integer("max_connections", ConnectionsRange, DefaultConnections));
  Read.m_TimelineEvents = static_cast<std::size_t>(
      Reader.integer("timeline_events", EventsRange, DefaultEvents));
  Read.m_LogRequests = Reader.boolean("log_requests", false);
  if (const auto Verdict = Reader.validate(); !Verdict)
    return tl::unexpected(Verdict.error());
  return Read;
}

} // namespace corneldeck::entry

#include "RankAgent/EngineProfileReader.h"

#include "Net/RequestTarget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace corneldeck::rankagent {

namespace {

constexpr int Ok = 200;
/// Maximum size of the properties of an engine.
constexpr std::uint64_t MaxProfileBytes = 64 * net::KiB;

direct::EngineProfile profileOf(const wire::EngineNews &News) {
  direct::EngineProfile Profile;
  Profile.m_LayerSets = News.layer_sets();
  Profile.m_Experts = News.experts();
  Profile.m_SlotsPerSet = News.slots_per_set();
  Profile.m_MaxNewExperts = News.max_new_experts();
  Profile.m_ExpertMegabytes = News.expert_megabytes();
  Profile.m_CopyMegabitsPerSecond = News.copy_megabits_per_second();
  return Profile;
}

} // namespace

EngineProfileReader::EngineProfileReader(boost::asio::io_context &Context,
                                         net::HttpClient &Client,
                                         EngineProfileReaderSettings Settings,
                                         base::Timeline &Events,
                                         Hooks Callbacks)
    : m_Client(Client), m_Settings(std::move(Settings)), m_Events(Events),
      m_Hooks(std::move(Callbacks)), m_Rng(m_Settings.m_Seed),
      m_Timer(Context) {}

void EngineProfileReader::start() {
  if (std::exchange(m_Active, true))
    return;
  m_StartedAt = m_Clock.now();
  m_Remaining.clear();
  m_FailedEntries = 0;
  m_Backoff = base::Millis(0);
  askNextEntry();
}

void EngineProfileReader::cancel() {
  m_Active = false;
  m_Call.cancel();
  m_Timer.cancel();
}

void EngineProfileReader::askNextEntry() {
  if (m_Remaining.empty())
    listEntries();
  if (m_Remaining.empty() || m_FailedEntries >= m_Settings.m_EntriesBeforeLog)
    readLogIfDue();
  if (m_Remaining.empty()) {
    retryLater();
    return;
  }
  const wire::NodeNews Entry = std::move(m_Remaining.back());
  m_Remaining.pop_back();
  net::HttpCall Call;
  Call.m_Address = Entry.peer_address();
  Call.m_Target =
      "/engines?service=" + net::encodeQueryValue(m_Settings.m_Service);
  Call.m_Timeout = m_Settings.m_EntryTimeout;
  Call.m_MaxBodyBytes = MaxProfileBytes;
  m_Call = m_Client.fetch(
      std::move(Call),
      [this, Entry](const base::Result<net::HttpResponse> &Response) {
        handleResponse(Entry, Response);
      });
}

void EngineProfileReader::listEntries() {
  m_Remaining = m_Hooks.m_LiveEntries();
  std::erase_if(m_Remaining,
                [](const wire::NodeNews &Each) { return Each.leaving(); });
  for (std::size_t Left = m_Remaining.size(); Left > 1; --Left)
    std::swap(m_Remaining[Left - 1], m_Remaining[m_Rng.below(Left)]);
  std::partition(m_Remaining.begin(), m_Remaining.end(),
                 [this](const wire::NodeNews &Each) {
                   return Each.zone() != m_Settings.m_Zone;
                 });
}

void EngineProfileReader::handleResponse(
    const wire::NodeNews &Entry,
    const base::Result<net::HttpResponse> &Response) {
  wire::EngineNews News;
  if (Response && Response->m_Status == Ok &&
      News.ParseFromString(Response->m_Body) && News.layer_sets() > 0) {
    finish(profileOf(News), Entry.node(), News.version());
    return;
  }
  ++m_FailedEntries;
  m_Events.record(
      base::EventId::DependencyLost,
      {{"on", "engine profile"},
       {"node", Entry.node()},
       {"why", Response ? "status " + std::to_string(Response->m_Status)
                        : Response.error().m_Message}});
  retryLater();
}

void EngineProfileReader::readLogIfDue() {
  if (m_LogReadInFlight || m_Clock.now() < m_NextLogRead)
    return;
  m_LogReadInFlight = true;
  m_Hooks.m_ReadConfiguration(
      [this](const base::Result<direct::Configuration> &Published) {
        m_LogReadInFlight = false;
        m_NextLogRead = m_Clock.now() + m_Settings.m_LogInterval;
        if (m_Active)
          handleConfiguration(Published);
      });
}

void EngineProfileReader::handleConfiguration(
    const base::Result<direct::Configuration> &Published) {
  const direct::Service *Service =
      Published ? Published->findService(m_Settings.m_Service) : nullptr;
  if (Service && Service->m_Engine && Service->m_Engine->m_LayerSets > 0) {
    finish(*Service->m_Engine, "log", Published->m_Version);
    return;
  }
  m_Events.record(base::EventId::RecordUnreadable,
                  {{"feed", "configuration"},
                   {"service", m_Settings.m_Service},
                   {"why", Published ? "the service has no engine with experts"
                                     : Published.error().m_Message}});
}

void EngineProfileReader::retryLater() {
  m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_InitialBackoff,
                         m_Settings.m_MaxBackoff);
  m_Timer.expires_after(std::chrono::milliseconds(m_Backoff.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code && m_Active)
      askNextEntry();
  });
}

void EngineProfileReader::finish(const direct::EngineProfile &Profile,
                                 const std::string &From,
                                 std::uint64_t Version) {
  cancel();
  m_Events.record(
      base::EventId::EngineProfileRead,
      {{"service", m_Settings.m_Service},
       {"from", From},
       {"version", std::to_string(Version)},
       {"failed_entries", std::to_string(m_FailedEntries)},
       {"ms", std::to_string((m_Clock.now() - m_StartedAt).count())}});
  m_Hooks.m_OnRead(Profile);
}

} // namespace corneldeck::rankagent

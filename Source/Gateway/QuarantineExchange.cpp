#include "Gateway/QuarantineExchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <sstream>
#include <utility>

namespace corneldeck::gateway {

namespace {

/// Limits of received statements.
constexpr int MaxParts = 1024;
constexpr int MaxServers = 8;
constexpr std::size_t MaxNameBytes = 256;

std::uint32_t encodeAge(base::Millis Age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age.count(), 0, std::numeric_limits<std::int32_t>::max()));
}

wire::ServerEnd encode(const direct::ServerEndStatement &Statement) {
  wire::ServerEnd End;
  End.set_server(Statement.m_Start.m_Server);
  End.set_start_time(Statement.m_Start.m_StartTime);
  End.set_service(Statement.m_Service);
  End.set_reporter(Statement.m_Reporter);
  End.set_age_ms(encodeAge(Statement.m_Age));
  for (const std::uint64_t Each : Statement.m_Parts)
    End.add_parts(Each);
  return End;
}

wire::PartQuarantine encode(const direct::PartStatement &Statement) {
  wire::PartQuarantine Part;
  Part.set_service(Statement.m_Service);
  Part.set_part(Statement.m_Part);
  Part.set_number(Statement.m_Number);
  Part.set_released(Statement.m_IsReleased);
  Part.set_confirmed(Statement.m_IsConfirmed);
  Part.set_was_served(Statement.m_WasServed);
  Part.set_trial_failed(Statement.m_HasTrialFailed);
  Part.set_trials(Statement.m_Trials);
  Part.set_trial_entry(Statement.m_TrialEntry);
  Part.set_age_ms(encodeAge(Statement.m_Age));
  Part.set_first_end_age_ms(encodeAge(Statement.m_FirstEndAge));
  Part.set_ends(Statement.m_Ends);
  Part.set_end_times(Statement.m_EndTimes);
  for (const std::string &Each : Statement.m_Servers)
    Part.add_servers(Each);
  Part.set_reporter(Statement.m_Reporter);
  return Part;
}

direct::PartStatement decode(const wire::PartQuarantine &Part) {
  direct::PartStatement Statement;
  Statement.m_Service = Part.service();
  Statement.m_Part = Part.part();
  Statement.m_Number = Part.number();
  Statement.m_IsReleased = Part.released();
  Statement.m_IsConfirmed = Part.confirmed();
  Statement.m_WasServed = Part.was_served();
  Statement.m_HasTrialFailed = Part.trial_failed();
  Statement.m_Trials = Part.trials();
  Statement.m_TrialEntry = Part.trial_entry();
  Statement.m_Age = base::Millis(Part.age_ms());
  Statement.m_FirstEndAge = base::Millis(Part.first_end_age_ms());
  Statement.m_Ends = Part.ends();
  Statement.m_EndTimes = Part.end_times();
  Statement.m_Servers = {Part.servers().begin(), Part.servers().end()};
  Statement.m_Reporter = Part.reporter();
  return Statement;
}

base::EventId eventOf(direct::PromptQuarantine::Change::Type Type) {
  using Change = direct::PromptQuarantine::Change::Type;
  switch (Type) {
  case Change::Quarantined:
    return base::EventId::PartQuarantined;
  case Change::Confirmed:
    return base::EventId::PartConfirmed;
  case Change::Trial:
    return base::EventId::PartOnTrial;
  case Change::Released:
    return base::EventId::PartReleased;
  }
  return base::EventId::PartQuarantined;
}

std::string formatHex(std::uint64_t Number) {
  std::ostringstream Out;
  Out << std::hex << Number;
  return Out.str();
}

std::string joinServers(const direct::PartStatement &Part) {
  std::string Joined;
  for (const std::string &Each : Part.m_Servers)
    Joined += (Joined.empty() ? "" : ",") + Each;
  return Joined;
}

} // namespace

QuarantineExchange::QuarantineExchange(
    boost::asio::io_context &Context, direct::PromptQuarantine &Quarantine,
    fleet::FleetNode &Fleet, base::Timeline &Events, metrics::Registry &Metrics,
    base::Random &Rng,
    std::function<void(const std::string &, std::uint64_t)> OnQuarantined)
    : m_Context(Context), m_Quarantine(Quarantine), m_Fleet(Fleet),
      m_Events(Events), m_Rng(Rng), m_OnQuarantined(std::move(OnQuarantined)),
      m_Parts(Metrics.gauge("corneldeck_quarantined_parts",
                            "Parts of prompts that are in quarantine.")),
      m_Quarantines(Metrics.counter("corneldeck_quarantines_total",
                                    "Parts that were quarantined.")),
      m_Trials(
          Metrics.counter("corneldeck_quarantine_trials_total",
                          "Trials of quarantined parts, of all entries.")) {
  m_Quarantine.onChange([this](const direct::PromptQuarantine::Change &Change) {
    recordChange(Change);
  });
  m_Quarantine.onNews([this] { sendNews(); });
}

void QuarantineExchange::fillHeartbeat(wire::FleetBeat &Beat) const {
  const base::Millis Now = m_Clock.now();
  for (const direct::ServerEndStatement &Each : m_Quarantine.endStatements(Now))
    *Beat.add_ends() = encode(Each);
  for (const direct::PartStatement &Each : m_Quarantine.partStatements(Now))
    *Beat.add_parts() = encode(Each);
}

void QuarantineExchange::applyEnd(const wire::ServerEnd &Statement) {
  if (Statement.parts_size() > MaxParts ||
      Statement.server().size() > MaxNameBytes ||
      Statement.service().size() > MaxNameBytes)
    return;
  m_Quarantine.applyEnd({{Statement.server(), Statement.start_time()},
                         Statement.service(),
                         Statement.reporter(),
                         base::Millis(Statement.age_ms()),
                         {Statement.parts().begin(), Statement.parts().end()}},
                        m_Clock.now());
}

void QuarantineExchange::applyPart(const wire::PartQuarantine &Statement,
                                   const std::string &From) {
  if (Statement.servers_size() > MaxServers ||
      Statement.service().size() > MaxNameBytes)
    return;
  m_Quarantine.applyPart(decode(Statement), From, m_Clock.now());
}

void QuarantineExchange::recordChange(
    const direct::PromptQuarantine::Change &Change) {
  using Type = direct::PromptQuarantine::Change::Type;
  const direct::PartStatement &Part = Change.m_Part;
  m_Events.record(
      eventOf(Change.m_Type),
      {{"part", formatHex(Part.m_Part)},
       {"service", Part.m_Service},
       {"number", std::to_string(Part.m_Number)},
       {"confirmed", Part.m_IsConfirmed ? "yes" : "no"},
       {"ends", std::to_string(Part.m_Ends)},
       {"servers", joinServers(Part)},
       {"first_end_ms_ago", std::to_string(Part.m_FirstEndAge.count())},
       {"trials", std::to_string(Part.m_Trials)},
       {"trial_entry", Part.m_TrialEntry},
       {"next_trial_ms", std::to_string(Change.m_TrialIn.count())},
       {"by", Part.m_Reporter},
       {"from", Change.m_From}});
  m_Parts.set(static_cast<double>(m_Quarantine.quarantinedCount()));
  if (Change.m_Type == Type::Trial)
    m_Trials.add();
  if (Change.m_Type != Type::Quarantined)
    return;
  m_Quarantines.add();
  // The change may have been found while a request is handled.
  boost::asio::post(m_Context,
                    [this, Lifetime = std::weak_ptr<const bool>(m_Lifetime),
                     Service = Part.m_Service, Number = Part.m_Part] {
                      if (!Lifetime.expired())
                        m_OnQuarantined(Service, Number);
                    });
}

void QuarantineExchange::sendNews() {
  if (std::exchange(m_HasNews, true))
    return;
  boost::asio::post(
      m_Context, [this, Lifetime = std::weak_ptr<const bool>(m_Lifetime)] {
        if (Lifetime.expired())
          return;
        m_HasNews = false;
        wire::FleetBeat Beat;
        fillHeartbeat(Beat);
        wire::Datagram Message;
        wire::QuarantineNews &News = *Message.mutable_quarantine();
        News.set_node(m_Fleet.self().node());
        *News.mutable_ends() = std::move(*Beat.mutable_ends());
        *News.mutable_parts() = std::move(*Beat.mutable_parts());
        m_Fleet.sendToEntries(Message, std::numeric_limits<std::size_t>::max(),
                              m_Rng);
      });
}

std::string QuarantineExchange::describe() const {
  std::ostringstream Out;
  for (const auto &[Part, TrialIn] : m_Quarantine.quarantined(m_Clock.now()))
    Out << "part=" << formatHex(Part.m_Part) << " service=" << Part.m_Service
        << " confirmed=" << (Part.m_IsConfirmed ? "yes" : "no")
        << " ends=" << Part.m_Ends << " servers=" << joinServers(Part)
        << " first_end_ms_ago=" << Part.m_FirstEndAge.count()
        << " by=" << Part.m_Reporter << " trials=" << Part.m_Trials
        << " trial_entry=" << Part.m_TrialEntry
        << " next_trial_ms=" << TrialIn.count() << "\n";
  return Out.str();
}

} // namespace corneldeck::gateway

#include "Gateway/GroupExchange.h"

#include <cmath>

namespace corneldeck::gateway {

namespace {

/// Minimum interval between two logs of changed groups. Agents report once a
/// second, so a start of a fleet is logged in a few lines for each group.
constexpr base::Millis LogInterval{1000};

} // namespace

GroupExchange::GroupExchange(Dependencies Objects,
                             std::function<void()> AvailabilityChanged)
    : m_Dependencies(Objects),
      m_AvailabilityChanged(std::move(AvailabilityChanged)),
      m_KnownGroups(Objects.m_Metrics.gauge(
          "corneldeck_rank_groups", "Rank groups whose servers are known.")),
      m_KnownServers(
          Objects.m_Metrics.gauge("corneldeck_rank_group_servers",
                                  "Backend servers whose group is known.")) {}

void GroupExchange::update(const direct::RouteTable *Routes,
                           const direct::GroupCapacity &Capacity,
                           base::Millis Now) {
  m_Dependencies.m_Groups.discardExpired(Now);
  m_Dependencies.m_Limiter.advance(Now);
  if (Now - m_LoggedAt < LogInterval)
    return;
  m_LoggedAt = Now;
  recordSizes();
  if (Routes)
    recordLimits(*Routes, Capacity, Now);
}

void GroupExchange::recordSizes() {
  std::map<direct::RankGroup, unsigned> Sizes;
  unsigned Servers = 0;
  for (const auto &[Service, Groups] : m_Dependencies.m_Groups.sizes())
    for (const auto &[Group, Size] : Groups) {
      Sizes[{Service, Group}] = Size;
      Servers += Size;
    }
  m_KnownGroups.set(static_cast<double>(Sizes.size()));
  m_KnownServers.set(Servers);
  const auto Record = [&](const auto &Key, unsigned Before, unsigned Size) {
    if (Before != Size)
      m_Dependencies.m_Events.record(base::EventId::GroupServersChanged,
                                     {{"service", Key.m_Service},
                                      {"group", Key.m_Name},
                                      {"servers", std::to_string(Size)},
                                      {"before", std::to_string(Before)}});
  };
  for (const auto &[Key, Size] : Sizes) {
    const auto Logged = m_LoggedSizes.find(Key);
    Record(Key, Logged == m_LoggedSizes.end() ? 0 : Logged->second, Size);
  }
  for (const auto &[Key, Before] : m_LoggedSizes)
    if (!Sizes.contains(Key))
      Record(Key, Before, 0);
  m_LoggedSizes = std::move(Sizes);
}

void GroupExchange::recordLimits(const direct::RouteTable &Routes,
                                 const direct::GroupCapacity &Capacity,
                                 base::Millis Now) {
  for (const direct::Service &Each : Routes.configuration().m_Services)
    if (Each.m_Engine)
      for (const direct::GroupCapacity::GroupState &State :
           Capacity.states(Each.m_Name, *Each.m_Engine,
                           Routes.targetEventInterval(Each.m_Name), Now))
        recordLimit(Each.m_Name, State);
}

void GroupExchange::recordLimit(
    const std::string &Service,
    const direct::GroupCapacity::GroupState &State) {
  const metrics::Labels Labels{{"service", Service}, {"group", State.m_Name}};
  const double Limit = State.m_IsClosed ? 0 : State.m_Limit;
  metrics::Registry &Metrics = m_Dependencies.m_Metrics;
  Metrics
      .gauge("corneldeck_group_limit",
             "Maximum number of concurrent requests for one engine of a rank "
             "group; 0 if it is closed.",
             Labels)
      .set(Limit);
  Metrics
      .gauge("corneldeck_group_in_flight",
             "Requests in flight at a rank group over all entries.", Labels)
      .set(State.m_InFlight);
  const auto Whole = static_cast<unsigned>(std::lround(Limit));
  const auto [Logged, IsNew] =
      m_LoggedLimits.try_emplace({Service, State.m_Name}, Whole);
  if (!IsNew && Logged->second == Whole)
    return;
  m_Dependencies.m_Events.record(
      base::EventId::GroupLimitChanged,
      {{"service", Service},
       {"group", State.m_Name},
       {"limit", std::to_string(Whole)},
       {"before", IsNew ? std::string() : std::to_string(Logged->second)},
       {"servers", std::to_string(State.m_Servers)},
       {"in_flight", std::to_string(State.m_InFlight)},
       {"closed", State.m_IsClosed ? "true" : "false"}});
  Logged->second = Whole;
}

void GroupExchange::handleAgent(const wire::FleetBeat &Beat, base::Millis Now) {
  if (!Beat.has_group())
    return;
  const wire::GroupNews &Report = Beat.group();
  // An agent of an earlier release sends no address.
  if (!Report.server_address().empty())
    m_Dependencies.m_Groups.update(
        Report.service(), Report.group(),
        {direct::RankGroups::addressHash(Report.server_address())}, Now);
  recordState(Beat.sender().node(),
              {Report.service(), Report.group(), Report.epoch(), Report.open()},
              Now);
}

void GroupExchange::fillHeartbeat(wire::FleetBeat &Beat) const {
  for (const auto &[Group, Ratio] : m_Dependencies.m_Limiter.localRatios()) {
    // A ratio without a group is that of a whole service.
    if (Group.m_Name.empty() &&
        m_Dependencies.m_Groups.isDivided(Group.m_Service))
      continue;
    wire::PassStretch &Stretch = *Beat.add_stretches();
    Stretch.set_service(Group.m_Service);
    Stretch.set_group(Group.m_Name);
    Stretch.set_mean(Ratio.m_Mean);
    Stretch.set_variance(Ratio.m_Variance);
    for (const std::uint32_t Each : Ratio.m_Recent.encode())
      Stretch.add_counts(Each);
    for (const std::uint32_t Each : Ratio.m_Streams.encode())
      Stretch.add_stream_counts(Each);
  }
}

void GroupExchange::handleRatios(const wire::FleetBeat &Beat) {
  direct::ConcurrencyLimiter::PassTimeRatios Ratios;
  for (const wire::PassStretch &Each : Beat.stretches())
    Ratios[{Each.service(), Each.group()}] = {
        Each.mean(), Each.variance(), 1,
        direct::RatioHistogram::decode(Each.counts()),
        direct::RatioHistogram::decode(Each.stream_counts())};
  m_Dependencies.m_Limiter.setPeerRatios(Beat.sender().node(),
                                         std::move(Ratios));
}

void GroupExchange::handleSummary(const std::string &Peer,
                                  const wire::FleetSummary &Summary,
                                  base::Millis Now) {
  direct::ConcurrencyLimiter::PassTimeRatios Ratios;
  for (const wire::StretchSum &Each : Summary.stretches())
    if (Each.entries() > 0)
      Ratios[{Each.service(), Each.group()}] = {
          Each.mean() / Each.entries(), Each.variance() / Each.entries(),
          Each.entries(), direct::RatioHistogram::decode(Each.counts()),
          direct::RatioHistogram::decode(Each.stream_counts())};
  m_Dependencies.m_Limiter.setPeerRatios(Peer, std::move(Ratios));
  for (const wire::GroupTally &Each : Summary.groups()) {
    m_Dependencies.m_Groups.update(
        Each.service(), Each.group(),
        {Each.servers().begin(), Each.servers().end()}, Now);
    // A reporter has one report, so each group has reporters of its own.
    const std::string Reporter =
        Peer + ' ' + Each.service() + ' ' + Each.group();
    recordState(Reporter + " open",
                {Each.service(), Each.group(), Each.epoch(), true, Each.open()},
                Now);
    recordState(
        Reporter + " closed",
        {Each.service(), Each.group(), Each.epoch(), false, Each.closed()},
        Now);
  }
}

void GroupExchange::recordState(const std::string &Reporter,
                                const direct::GroupAvailability::Report &Latest,
                                base::Millis Now) {
  direct::GroupAvailability &Availability = m_Dependencies.m_Availability;
  if (!Availability.update(Reporter, Latest, Now))
    return;
  m_Dependencies.m_Events.record(
      Availability.outageDuration(Latest.m_Service, Now)
          ? base::EventId::GroupOut
          : base::EventId::GroupBack,
      {{"service", Latest.m_Service},
       {"group", Latest.m_Group},
       {"epoch", std::to_string(Latest.m_Epoch)},
       {"by", Reporter}});
  m_AvailabilityChanged();
}

} // namespace corneldeck::gateway

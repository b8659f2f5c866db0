#include "Gateway/GroupExchange.h"

namespace corneldeck::gateway {

namespace {

/// Minimum interval between two logs of changed groups. Agents report once a
/// second, so a start of a fleet is logged in a few lines for each group.
constexpr base::Millis SizeLogInterval{1000};

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

void GroupExchange::update(base::Millis Now) {
  m_Dependencies.m_Groups.discardExpired(Now);
  if (Now - m_LoggedAt < SizeLogInterval)
    return;
  m_LoggedAt = Now;
  recordSizes();
}

void GroupExchange::recordSizes() {
  std::map<std::pair<std::string, std::string>, unsigned> Sizes;
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
                                     {{"service", Key.first},
                                      {"group", Key.second},
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

void GroupExchange::handleSummary(const std::string &Peer,
                                  const wire::FleetSummary &Summary,
                                  base::Millis Now) {
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

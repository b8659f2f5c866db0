#include "Fleet/FleetSummary.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>

namespace corneldeck::fleet {

namespace {

/// Number of entries whose position is written for each feed and reason.
constexpr std::size_t PositionsPerReason = 2;

/// Maximum number of parts that are forwarded for the end of one server. Longer
/// lists have reached all entries directly, and the summary must fit a
/// datagram.
constexpr int MaxPartsPerEnd = 64;

std::uint32_t shortHash(std::string_view Text) {
  return static_cast<std::uint32_t>(base::hash64(Text, 0));
}

bool isNewer(const wire::FeedPosition &A, const wire::FeedPosition &B) {
  return std::tuple(A.loaded(), A.content_era(), A.content_offset(),
                    A.content_kept()) > std::tuple(B.loaded(), B.content_era(),
                                                   B.content_offset(),
                                                   B.content_kept());
}

bool isFresher(const wire::FeedPosition &A, const wire::FeedPosition &B) {
  return A.source_age_ms() < B.source_age_ms();
}

} // namespace

namespace {

/// Adds the counts of a histogram. No more bins than of this release, so that a
/// sum stays bounded.
template <typename Counts> void addCounts(Counts &Sum, const Counts &Added) {
  constexpr int MaxBins = 32;
  for (int Bin = 0; Bin < std::min(Added.size(), MaxBins); ++Bin) {
    if (Bin == Sum.size())
      Sum.Add(0);
    Sum.Set(Bin, Sum.Get(Bin) + Added.Get(Bin));
  }
}

/// Adds the estimate of one entry, or the sums of several.
template <typename Estimate>
void addStretch(wire::StretchSum &Sum, const Estimate &Added,
                std::uint32_t Entries) {
  Sum.set_entries(Sum.entries() + Entries);
  Sum.set_mean(Sum.mean() + Added.mean());
  Sum.set_variance(Sum.variance() + Added.variance());
  addCounts(*Sum.mutable_counts(), Added.counts());
  addCounts(*Sum.mutable_stream_counts(), Added.stream_counts());
}

} // namespace

std::uint32_t serverHash(std::string_view Id) { return shortHash(Id); }

std::uint32_t nodeHash(const wire::NodeNews &News) {
  return shortHash(News.node() + "/" + std::to_string(News.incarnation()) +
                   "/" + News.group());
}

void SummarySum::addEntry(const wire::FleetBeat &Beat, base::Millis Age) {
  ++m_Entries;
  m_Ages += static_cast<double>(Age.count());
  for (const wire::ServerWork &Each : Beat.work()) {
    Work &Sum = m_Work[serverHash(Each.server())];
    Sum.m_Requests += Each.requests();
    Sum.m_PromptTokens += Each.prompt_tokens();
  }
  for (const wire::PassStretch &Each : Beat.stretches())
    addStretch(m_Stretches[{Each.service(), Each.group()}], Each, 1);
  m_Classes.addEntry(Beat);
  wire::NodePositions &Positions = m_Positions.emplace_back();
  Positions.set_node(Beat.sender().node());
  *Positions.mutable_configuration() = Beat.configuration();
  *Positions.mutable_servers() = Beat.servers();
  for (const wire::ServerEnd &Each : Beat.ends())
    addEnd(Each, Age);
  for (const wire::PartQuarantine &Each : Beat.parts())
    addPart(Each, Age);
  if (Beat.rates_size() == 0 && Beat.leaving_size() == 0)
    return;
  wire::ForwardedNotices &Notices = m_Notices.emplace_back();
  Notices.set_node(Beat.sender().node());
  *Notices.mutable_rates() = Beat.rates();
  *Notices.mutable_leaving() = Beat.leaving();
  for (wire::ServerRate &Each : *Notices.mutable_rates())
    Each.set_age_ms(Each.age_ms() + static_cast<std::uint32_t>(Age.count()));
}

void SummarySum::addEnd(const wire::ServerEnd &End, base::Millis Age) {
  const auto [Found, IsNew] =
      m_Ends.try_emplace({End.server(), End.start_time()}, End);
  wire::ServerEnd &Sum = Found->second;
  if (IsNew) {
    Sum.set_age_ms(Sum.age_ms() + static_cast<std::uint32_t>(Age.count()));
    Sum.mutable_parts()->Truncate(std::min(Sum.parts_size(), MaxPartsPerEnd));
    return;
  }
  for (const std::uint64_t Each : End.parts())
    if (Sum.parts_size() < MaxPartsPerEnd &&
        std::find(Sum.parts().begin(), Sum.parts().end(), Each) ==
            Sum.parts().end())
      Sum.add_parts(Each);
}

void SummarySum::addPart(const wire::PartQuarantine &Part, base::Millis Age) {
  const auto Order = [](const wire::PartQuarantine &Each) {
    return std::tuple(Each.number(), Each.released(), Each.trials(),
                      Each.trial_failed(), Each.confirmed(), Each.was_served(),
                      Each.ends());
  };
  const auto [Found, IsNew] =
      m_Parts.try_emplace({Part.service(), Part.part()}, Part);
  wire::PartQuarantine &Newest = Found->second;
  if (!IsNew && Order(Part) <= Order(Newest))
    return;
  Newest = Part;
  const auto Added = static_cast<std::uint32_t>(Age.count());
  Newest.set_age_ms(Part.age_ms() + Added);
  Newest.set_first_end_age_ms(Part.first_end_age_ms() + Added);
}

void SummarySum::addAgent(const wire::GroupNews &Report) {
  wire::GroupTally Tally;
  Tally.set_service(Report.service());
  Tally.set_group(Report.group());
  Tally.set_epoch(Report.epoch());
  Tally.set_open(Report.open() ? 1 : 0);
  Tally.set_closed(Report.open() ? 0 : 1);
  if (!Report.server_address().empty())
    Tally.add_servers(serverHash(Report.server_address()));
  addTally(Tally);
}

void SummarySum::addTally(const wire::GroupTally &Tally) {
  wire::GroupTally &Sum = m_Tallies[{Tally.service(), Tally.group()}];
  // An agent that is cut off may not know of a later epoch.
  if (Tally.epoch() < Sum.epoch())
    return;
  if (Tally.epoch() > Sum.epoch() || Sum.group().empty()) {
    Sum = Tally;
    return;
  }
  Sum.set_open(Sum.open() + Tally.open());
  Sum.set_closed(Sum.closed() + Tally.closed());
  for (const std::uint32_t Each : Tally.servers())
    if (std::find(Sum.servers().begin(), Sum.servers().end(), Each) ==
        Sum.servers().end())
      Sum.add_servers(Each);
}

void SummarySum::addSummary(const wire::FleetSummary &Summary,
                            base::Millis Age) {
  m_Entries += Summary.entries();
  m_Ages += static_cast<double>(Summary.entries()) *
            static_cast<double>(Summary.age_ms() + Age.count());
  const int Servers = std::min({Summary.servers_size(), Summary.requests_size(),
                                Summary.prompt_tokens_size()});
  for (int Index = 0; Index < Servers; ++Index) {
    Work &Sum = m_Work[Summary.servers(Index)];
    Sum.m_Requests += Summary.requests(Index);
    Sum.m_PromptTokens += Summary.prompt_tokens(Index);
  }
  for (const wire::StretchSum &Each : Summary.stretches())
    addStretch(m_Stretches[{Each.service(), Each.group()}], Each,
               Each.entries());
  m_Classes.addSummary(Summary);
  m_Positions.insert(m_Positions.end(), Summary.positions().begin(),
                     Summary.positions().end());
  for (const wire::ForwardedNotices &Each : Summary.notices()) {
    wire::ForwardedNotices &Notices = m_Notices.emplace_back(Each);
    for (wire::ServerRate &Rate : *Notices.mutable_rates())
      Rate.set_age_ms(Rate.age_ms() + static_cast<std::uint32_t>(Age.count()));
  }
  for (const wire::GroupTally &Each : Summary.groups())
    addTally(Each);
  for (const wire::ServerEnd &Each : Summary.ends())
    addEnd(Each, Age);
  for (const wire::PartQuarantine &Each : Summary.parts())
    addPart(Each, Age);
}

void SummarySum::write(wire::FleetSummary &Target) const {
  Target.set_entries(m_Entries);
  if (m_Entries > 0)
    Target.set_age_ms(
        static_cast<std::uint32_t>(std::lround(m_Ages / m_Entries)));
  for (const auto &[Server, Sum] : m_Work) {
    Target.add_servers(Server);
    Target.add_requests(Sum.m_Requests);
    Target.add_prompt_tokens(Sum.m_PromptTokens);
  }
  for (const wire::ForwardedNotices &Each : m_Notices)
    *Target.add_notices() = Each;
  for (const auto &[Key, Each] : m_Ends)
    *Target.add_ends() = Each;
  for (const auto &[Key, Each] : m_Parts)
    *Target.add_parts() = Each;
  for (const auto &[Key, Each] : m_Tallies)
    *Target.add_groups() = Each;
  for (const auto &[Key, Each] : m_Stretches) {
    wire::StretchSum &Added = *Target.add_stretches();
    Added = Each;
    Added.set_service(Key.first);
    Added.set_group(Key.second);
  }
  m_Classes.write(Target);
  writePositions(Target);
}

void SummarySum::writePositions(wire::FleetSummary &Target) const {
  using Order = std::function<bool(const wire::NodePositions &,
                                   const wire::NodePositions &)>;
  const Order Orders[] = {
      [](const auto &A, const auto &B) {
        return isNewer(A.configuration(), B.configuration());
      },
      [](const auto &A, const auto &B) {
        return isNewer(A.servers(), B.servers());
      },
      [](const auto &A, const auto &B) {
        return isFresher(A.configuration(), B.configuration());
      },
      [](const auto &A, const auto &B) {
        return isFresher(A.servers(), B.servers());
      }};
  std::set<std::size_t> Chosen;
  std::vector<std::size_t> Indexes(m_Positions.size());
  for (std::size_t Index = 0; Index < Indexes.size(); ++Index)
    Indexes[Index] = Index;
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(PositionsPerReason, Indexes.size()));
  for (const Order &Precedes : Orders) {
    std::partial_sort(Indexes.begin(), Indexes.begin() + Count, Indexes.end(),
                      [this, &Precedes](std::size_t A, std::size_t B) {
                        return Precedes(m_Positions[A], m_Positions[B]);
                      });
    Chosen.insert(Indexes.begin(), Indexes.begin() + Count);
  }
  for (const std::size_t Index : Chosen)
    *Target.add_positions() = m_Positions[Index];
}

} // namespace corneldeck::fleet

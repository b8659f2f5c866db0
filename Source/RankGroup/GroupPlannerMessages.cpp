#include "RankGroup/GroupPlanner.h"

#include <algorithm>

namespace corneldeck::rankgroup {

namespace {

/// A rank whose last report is older than this many rounds is not a relay.
constexpr std::int64_t MaxMissedRounds = 3;
/// Bytes of a report without choices, and of an encoded count.
constexpr std::size_t ReportBaseBytes = 512;
constexpr double BytesPerCount = 1.5;

} // namespace

bool GroupPlanner::isResponsive(const RankRecord &Rank,
                                base::Millis Now) const {
  return Now - Rank.m_ReceivedAt <= roundInterval() * MaxMissedRounds;
}

std::size_t GroupPlanner::reportBytes() const {
  return ReportBaseBytes +
         static_cast<std::size_t>(BytesPerCount *
                                  static_cast<double>(m_Settings.m_LayerSets *
                                                      m_Settings.m_Experts));
}

base::Millis GroupPlanner::roundInterval() const {
  const std::size_t Bytes = reportBytes();
  const std::size_t Messages =
      std::min<std::size_t>(m_Size, m_Settings.m_Traffic.fanout(Bytes));
  return std::max(m_Settings.m_MinRoundInterval,
                  m_Settings.m_Traffic.reportInterval(Messages, Bytes));
}

base::Millis
GroupPlanner::repeatInterval(const wire::RankCommand &Command) const {
  const auto Kind = static_cast<SwitchOrderKind>(Command.kind());
  const bool MayHoldPass = Kind == SwitchOrderKind::Hold ||
                           Kind == SwitchOrderKind::Arm ||
                           Kind == SwitchOrderKind::Release;
  return (MayHoldPass ? m_Settings.m_SwitchReplyTimeout
                      : m_Settings.m_ReplyTimeout) +
         m_Settings.m_Traffic.distributionTime(m_Size, Command.ByteSizeLong());
}

std::size_t GroupPlanner::fanout(const wire::RankCommand &Command) const {
  // A request is answered with the choices of all experts.
  return m_Settings.m_Traffic.fanout(
      Command.round() != 0 ? reportBytes() : Command.ByteSizeLong());
}

std::vector<RelayBranch> GroupPlanner::route(const AddressedCommand &Command,
                                             base::Millis Now) const {
  std::vector<RelayBranch> Branches;
  std::vector<wire::RankAddress> Responsive;
  std::vector<wire::RankAddress> Silent;
  // Ranks of a zone are neighbours, so that most messages of a relay stay in
  // its zone.
  std::vector<std::pair<std::string, std::uint32_t>> ByZone;
  for (const std::uint32_t Rank : Command.m_Ranks)
    if (const auto Found = m_Ranks.find(Rank); Found != m_Ranks.end())
      ByZone.emplace_back(Found->second.m_Report.zone(), Rank);
  std::sort(ByZone.begin(), ByZone.end());
  for (const auto &[Zone, Rank] : ByZone) {
    const RankRecord &Record = m_Ranks.at(Rank);
    wire::RankAddress Address;
    Address.set_rank(Rank);
    Address.set_agent(Record.m_Report.agent());
    // The planner's link already carries the messages to all relays.
    if (Address.agent() == m_Address)
      Branches.push_back({Address, {}});
    else
      (isResponsive(Record, Now) ? Responsive : Silent).push_back(Address);
  }
  const std::size_t Fanout = fanout(Command.m_Command);
  for (std::vector<wire::RankAddress> *Targets : {&Responsive, &Silent}) {
    if (!Targets->empty())
      std::rotate(Targets->begin(),
                  Targets->begin() +
                      static_cast<std::ptrdiff_t>(Command.m_Repetitions %
                                                  Targets->size()),
                  Targets->end());
    for (RelayBranch &Each : divideIntoBranches(*Targets, Fanout))
      Branches.push_back(std::move(Each));
  }
  return Branches;
}

wire::RankCommand
GroupPlanner::makeCommand(const PendingCommand &Pending) const {
  wire::RankCommand Command;
  Command.set_group(m_Group);
  Command.set_epoch(m_Epoch);
  Command.set_planner_term(m_Term);
  Command.set_planner(m_Address);
  Command.set_oldest_valid(m_OldestValidCommand);
  Command.set_command(Pending.m_Number);
  Command.set_kind(static_cast<std::uint32_t>(Pending.m_Kind));
  Command.set_version(Pending.m_Version);
  Command.set_step(Pending.m_Step);
  if (Pending.m_Kind == SwitchOrderKind::Prepare) {
    Command.set_experts(static_cast<std::uint32_t>(m_Settings.m_Experts));
    Command.mutable_map()->Add(m_EncodedMaps.begin(), m_EncodedMaps.end());
  }
  return Command;
}

void GroupPlanner::addPending(std::vector<AddressedCommand> &Commands,
                              base::Millis Now) {
  std::map<std::uint64_t, AddressedCommand> ByNumber;
  for (const auto &[Rank, Pending] : m_PendingCommands) {
    AddressedCommand &Command = ByNumber[Pending.m_Number];
    if (Command.m_Command.command() == 0)
      Command.m_Command = makeCommand(Pending);
    RankRecord &Record = m_Ranks[Rank];
    const bool IsNew = Record.m_SentCommand != Pending.m_Number;
    const bool Confirmed = Record.m_Report.command() == Pending.m_Number;
    if (!IsNew && (Confirmed ||
                   Now - Record.m_SentAt < repeatInterval(Command.m_Command)))
      continue;
    Record.m_TimesSent = IsNew ? 1 : Record.m_TimesSent + 1;
    Record.m_SentCommand = Pending.m_Number;
    Record.m_SentAt = Now;
    Command.m_Ranks.push_back(Rank);
    Command.m_Repetitions =
        std::max(Command.m_Repetitions, Record.m_TimesSent - 1);
  }
  for (auto &[Number, Each] : ByNumber)
    if (!Each.m_Ranks.empty())
      Commands.push_back(std::move(Each));
}

void GroupPlanner::addRound(std::vector<AddressedCommand> &Commands,
                            base::Millis Now) {
  // After a shift of popularity the next round starts at once: its choices are
  // the first ones without the old popularity.
  const bool IsDue =
      Now - m_RoundStartedAt >= roundInterval() || (m_Shifted && !m_RoundOpen);
  if (!IsDue || m_Ranks.empty())
    return;
  m_RoundStartedAt = Now;
  m_RoundOpen = true;
  m_Shifted = false;
  ++m_Round;
  AddressedCommand &Request = Commands.emplace_back();
  Request.m_Command = makeCommand({});
  Request.m_Command.set_round(m_Round);
  Request.m_Command.set_with_experts(m_Phase == SwitchPhase::Gather);
  for (const auto &[Rank, Each] : m_Ranks)
    Request.m_Ranks.push_back(Rank);
}

} // namespace corneldeck::rankgroup

#include "Bench/FeedSpreadModel.h"

#include <algorithm>
#include <limits>

namespace corneldeck::bench {

using base::Millis;

namespace {

constexpr std::size_t Readers = 2;
/// Every entry with this index in a group of as many has a wide link.
constexpr std::size_t WideLinkPeriod = 8;
constexpr std::size_t MaxUploads = 4;
constexpr double SmallBytes = 16 * 1024;
constexpr std::size_t NewsFanout = 16;
constexpr Millis HeartbeatInterval{200};
constexpr Millis MessageDelay{2};
/// Time in which a source reads a request and prepares its response.
constexpr Millis ResponseTime{5};
constexpr Millis Step{5};
/// Time without progress after which a transfer ends.
constexpr Millis SilenceTimeout{700};
/// Time after which a transfer ends in the mode WholeStates.
constexpr Millis FixedTimeout{800};
constexpr double MillisPerSecond = 1000;

} // namespace

FeedSpreadModel::FeedSpreadModel(FeedSpreadOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {
  m_Entries.resize(m_Options.m_Entries);
  for (std::size_t Index = 0; Index < m_Entries.size(); ++Index)
    describeEntry(Index);
  for (std::size_t Index = 0; Index < m_Entries.size(); ++Index) {
    startEntry(Index);
    m_Entries[Index].m_Version = m_Published;
  }
  m_Time.after(Step, [this] { moveBytes(); });
}

void FeedSpreadModel::describeEntry(std::size_t Index) {
  Entry &At = m_Entries[Index];
  At.m_Name = "entry-" + std::to_string(Index);
  At.m_Zone = Index % m_Options.m_Zones;
  At.m_LinkBytesPerSecond =
      m_Options.m_LinkBytesPerSecond * (1 - m_Options.m_CallersShare);
  if (Index % WideLinkPeriod == WideLinkPeriod - 1)
    At.m_LinkBytesPerSecond *= m_Options.m_WideLinkFactor;
}

feed::ReaderCandidate FeedSpreadModel::candidate(std::size_t Index) const {
  const Entry &At = m_Entries[Index];
  constexpr double BytesPerKilobit = 125;
  const bool IgnoresLink = m_Options.m_Plant == "readers-by-name";
  return {At.m_Name, IgnoresLink
                         ? 0
                         : static_cast<std::uint32_t>(At.m_LinkBytesPerSecond /
                                                      BytesPerKilobit)};
}

bool FeedSpreadModel::isReader(std::size_t Index) const {
  const feed::ReaderCandidate Self = candidate(Index);
  std::size_t Earlier = 0;
  for (std::size_t Other = 0; Other < m_Entries.size(); ++Other)
    Earlier += candidate(Other).precedes(Self) ? 1 : 0;
  return Earlier < Readers;
}

std::size_t FeedSpreadModel::firstReader() const {
  std::size_t Index = 0;
  while (!m_Entries[Index].m_ReadsLog)
    ++Index;
  return Index;
}

void FeedSpreadModel::startEntry(std::size_t Index) {
  Entry &At = m_Entries[Index];
  ++At.m_Process;
  At.m_Version = 0;
  At.m_Fetching = false;
  At.m_Uploads = 0;
  At.m_ReadsLog =
      m_Options.m_Mode == FeedSpreadMode::EachReadsLog || isReader(Index);
  At.m_Selector = std::make_unique<feed::SourceSelector>(
      feed::SourceSelectorSettings(), std::to_string(At.m_Zone),
      m_Random.below(std::numeric_limits<std::uint64_t>::max()));
  const Millis Phase(static_cast<std::int64_t>(
      m_Random.below(static_cast<std::uint64_t>(HeartbeatInterval.count()))));
  m_Time.after(Phase, [this, Index, Process = At.m_Process] {
    heartbeat(Index, Process);
  });
}

void FeedSpreadModel::restartEntry(std::size_t Index) {
  startEntry(Index);
  if (m_Entries[Index].m_ReadsLog)
    readLog(Index);
}

void FeedSpreadModel::addEntry() {
  m_Entries.emplace_back();
  describeEntry(m_Entries.size() - 1);
  restartEntry(m_Entries.size() - 1);
}

void FeedSpreadModel::cutEntry(std::size_t Index, bool Cut) {
  m_Entries[Index].m_Cut = Cut;
}

void FeedSpreadModel::stallEntry(std::size_t Index, bool Stalled) {
  m_Entries[Index].m_Stalled = Stalled;
}

void FeedSpreadModel::publish() {
  ++m_Published;
  for (std::size_t Index = 0; Index < m_Entries.size(); ++Index)
    if (m_Entries[Index].m_ReadsLog)
      readLog(Index);
}

void FeedSpreadModel::runFor(Millis Duration) {
  m_Time.runUntil(m_Time.now() + Duration);
}

bool FeedSpreadModel::complete() const {
  return std::all_of(m_Entries.begin(), m_Entries.end(),
                     [this](const Entry &Each) {
                       return Each.m_Cut || Each.m_Version == m_Published;
                     });
}

Millis FeedSpreadModel::runUntilComplete(Millis Limit) {
  const Millis Begin = m_Time.now();
  while (!complete() && m_Time.now() - Begin < Limit)
    runFor(Step);
  return m_Time.now() - Begin;
}

FeedSpreadModel::Traffic FeedSpreadModel::traffic() const {
  Traffic Sum = m_Traffic;
  for (const Entry &Each : m_Entries)
    Sum.m_MaxSentBytes = std::max(Sum.m_MaxSentBytes, Each.m_SentBytes);
  return Sum;
}

void FeedSpreadModel::heartbeat(std::size_t Index, std::uint64_t Process) {
  if (m_Entries[Index].m_Process != Process)
    return;
  announce(Index, m_Entries.size());
  m_Time.after(HeartbeatInterval,
               [this, Index, Process] { heartbeat(Index, Process); });
}

void FeedSpreadModel::announce(std::size_t Index, std::size_t MaxReceivers) {
  const Entry &Sender = m_Entries[Index];
  if (Sender.m_Cut || Sender.m_Version == 0)
    return;
  const std::size_t Count = m_Entries.size();
  const bool ToAll = MaxReceivers >= Count;
  for (std::size_t Next = 0; Next < std::min(Count, MaxReceivers); ++Next) {
    const std::size_t Receiver = ToAll ? Next : m_Random.below(Count);
    // A position that is not ahead changes nothing at the receiver.
    if (Receiver == Index || m_Entries[Receiver].m_Version >= Sender.m_Version)
      continue;
    m_Time.after(MessageDelay,
                 [this, Receiver, Index] { hear(Receiver, Index); });
  }
}

void FeedSpreadModel::hear(std::size_t Receiver, std::size_t Sender) {
  Entry &At = m_Entries[Receiver];
  const Entry &From = m_Entries[Sender];
  if (At.m_Cut || From.m_Cut ||
      m_Options.m_Mode == FeedSpreadMode::EachReadsLog)
    return;
  if (m_Options.m_Plant == "ask-readers-only" && !From.m_ReadsLog)
    return;
  if (m_Options.m_Mode == FeedSpreadMode::WholeStates) {
    if (!At.m_Fetching && From.m_Version > At.m_Version)
      request(Receiver, Sender);
    return;
  }
  if (At.m_Version > 0)
    At.m_Selector->setOwnPosition(feed::LogPosition{.m_Offset = At.m_Version});
  At.m_Selector->announced(
      m_Time.now(),
      {From.m_Name, std::to_string(Sender), std::to_string(From.m_Zone)},
      feed::LogPosition{.m_Offset = From.m_Version});
  fetchIfDue(Receiver);
}

void FeedSpreadModel::fetchIfDue(std::size_t Index) {
  Entry &At = m_Entries[Index];
  if (At.m_Version > 0)
    At.m_Selector->setOwnPosition(feed::LogPosition{.m_Offset = At.m_Version});
  if (const auto Source = At.m_Selector->startTransfer(m_Time.now())) {
    request(Index, std::stoul(Source->m_Address));
    return;
  }
  const auto Due = At.m_Selector->nextDue(m_Time.now());
  if (Due)
    m_Time.after(std::max(*Due - m_Time.now(), Millis(1)),
                 [this, Index, Process = At.m_Process] {
                   if (m_Entries[Index].m_Process == Process)
                     fetchIfDue(Index);
                 });
}

double FeedSpreadModel::payloadBytes(const Entry &Receiver,
                                     const Entry &Source) const {
  if (m_Options.m_Mode == FeedSpreadMode::WholeStates ||
      m_Options.m_Plant == "no-differences")
    return m_Options.m_StateBytes;
  constexpr std::uint64_t KeptVersions = 4;
  const std::uint64_t Missing = Source.m_Version - Receiver.m_Version;
  if (Receiver.m_Version == 0 || Missing >= KeptVersions)
    return m_Options.m_CompleteBytes;
  return std::min(m_Options.m_CompleteBytes,
                  m_Options.m_DifferenceBytes * static_cast<double>(Missing));
}

void FeedSpreadModel::request(std::size_t Receiver, std::size_t Source) {
  m_Entries[Receiver].m_Fetching = true;
  Transfer Added;
  Added.m_Receiver = Receiver;
  Added.m_ReceiverProcess = m_Entries[Receiver].m_Process;
  Added.m_Source = Source;
  m_Time.after(MessageDelay + ResponseTime, [this, Added]() mutable {
    Entry &From = m_Entries[*Added.m_Source];
    const Entry &To = m_Entries[Added.m_Receiver];
    Added.m_SourceProcess = From.m_Process;
    Added.m_Version = From.m_Version;
    Added.m_StartedAt = m_Time.now();
    Added.m_ProgressAt = m_Time.now();
    Added.m_Size = From.m_Version > To.m_Version ? payloadBytes(To, From) : 0;
    Added.m_Remaining = Added.m_Size;
    const bool IsLimited = m_Options.m_Mode == FeedSpreadMode::Differences &&
                           Added.m_Size > SmallBytes;
    if (IsLimited && From.m_Uploads >= MaxUploads) {
      if (To.m_Process != Added.m_ReceiverProcess)
        return;
      m_Entries[Added.m_Receiver].m_Fetching = false;
      To.m_Selector->transferEnded(m_Time.now(), feed::TransferEnd::Busy);
      fetchIfDue(Added.m_Receiver);
      return;
    }
    ++From.m_Uploads;
    m_Transfers.push_back(Added);
  });
}

void FeedSpreadModel::readLog(std::size_t Index) {
  Transfer Added;
  Added.m_Receiver = Index;
  Added.m_ReceiverProcess = m_Entries[Index].m_Process;
  Added.m_Version = m_Published;
  Added.m_Size = m_Options.m_StateBytes;
  Added.m_Remaining = Added.m_Size;
  Added.m_StartedAt = m_Time.now();
  Added.m_ProgressAt = m_Time.now();
  m_Transfers.push_back(Added);
}

bool FeedSpreadModel::isBlocked(const Transfer &Each) const {
  if (m_Entries[Each.m_Receiver].m_Cut)
    return true;
  if (!Each.m_Source)
    return false;
  const Entry &Source = m_Entries[*Each.m_Source];
  return Source.m_Cut || Source.m_Stalled ||
         Source.m_Process != Each.m_SourceProcess;
}

void FeedSpreadModel::moveBytes() {
  std::vector<std::size_t> Sending(m_Entries.size());
  std::vector<std::size_t> Receiving(m_Entries.size());
  std::size_t FromLog = 0;
  for (const Transfer &Each : m_Transfers) {
    if (isBlocked(Each))
      continue;
    ++Receiving[Each.m_Receiver];
    if (Each.m_Source)
      ++Sending[*Each.m_Source];
    else
      ++FromLog;
  }
  const double StepSeconds =
      static_cast<double>(Step.count()) / MillisPerSecond;
  const double Log = m_Options.m_LogBytesPerSecond * StepSeconds;
  const Millis Now = m_Time.now();
  // Ends of transfers start others, which are appended to m_Transfers later.
  std::vector<Transfer> Active;
  Active.swap(m_Transfers);
  for (Transfer &Each : Active) {
    if (!isBlocked(Each)) {
      const auto LinkShare = [&](std::size_t Index, std::size_t Transfers) {
        return m_Entries[Index].m_LinkBytesPerSecond * StepSeconds /
               static_cast<double>(Transfers);
      };
      const double Rate = std::min(
          LinkShare(Each.m_Receiver, Receiving[Each.m_Receiver]),
          Each.m_Source ? LinkShare(*Each.m_Source, Sending[*Each.m_Source])
                        : Log / static_cast<double>(FromLog));
      const double Moved = std::min(Rate, Each.m_Remaining);
      Each.m_Remaining -= Moved;
      Each.m_ProgressAt = Now;
      if (!Each.m_Source) {
        m_Traffic.m_LogBytes += Moved;
      } else {
        Entry &Source = m_Entries[*Each.m_Source];
        m_Traffic.m_PeerBytes += Moved;
        Source.m_SentBytes += Moved;
        if (Source.m_Zone != m_Entries[Each.m_Receiver].m_Zone)
          m_Traffic.m_ZoneCrossingBytes += Moved;
      }
    }
    const bool IsFixed = m_Options.m_Mode == FeedSpreadMode::WholeStates;
    const bool TimedOut =
        Each.m_Source && (IsFixed ? Now - Each.m_StartedAt > FixedTimeout
                                  : Now - Each.m_ProgressAt > SilenceTimeout);
    if (Each.m_Remaining <= 0)
      endTransfer(Each, true);
    else if (TimedOut ||
             m_Entries[Each.m_Receiver].m_Process != Each.m_ReceiverProcess)
      endTransfer(Each, false);
  }
  for (Transfer &Each : Active)
    if (!Each.m_Ended)
      m_Transfers.push_back(Each);
  m_Time.after(Step, [this] { moveBytes(); });
}

void FeedSpreadModel::endTransfer(Transfer &Each, bool Complete) {
  Each.m_Ended = true;
  if (Each.m_Source) {
    Entry &Source = m_Entries[*Each.m_Source];
    if (Source.m_Process == Each.m_SourceProcess && Source.m_Uploads > 0)
      --Source.m_Uploads;
  }
  if (!Complete)
    m_Traffic.m_WastedBytes += Each.m_Size - Each.m_Remaining;
  Entry &Receiver = m_Entries[Each.m_Receiver];
  if (Receiver.m_Process != Each.m_ReceiverProcess)
    return;
  if (Complete)
    setVersion(Each.m_Receiver, Each.m_Version, !Each.m_Source);
  if (!Each.m_Source)
    return;
  Receiver.m_Fetching = false;
  if (m_Options.m_Mode != FeedSpreadMode::Differences)
    return;
  Receiver.m_Selector->transferEnded(m_Time.now(),
                                     Complete ? feed::TransferEnd::Complete
                                              : feed::TransferEnd::Failed);
  fetchIfDue(Each.m_Receiver);
}

void FeedSpreadModel::setVersion(std::size_t Index, std::uint64_t Version,
                                 bool FromLog) {
  Entry &At = m_Entries[Index];
  if (Version <= At.m_Version)
    return;
  At.m_Version = Version;
  if (m_Options.m_Mode == FeedSpreadMode::Differences)
    announce(Index, FromLog ? m_Entries.size() : NewsFanout);
}

} // namespace corneldeck::bench

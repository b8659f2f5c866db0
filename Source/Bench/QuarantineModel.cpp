#include "Bench/QuarantineModel.h"

#include "platform/CallerCodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace corneldeck::bench {

namespace {

const std::string Service = "llm";
constexpr std::uint64_t CommonParts = 60;
constexpr std::uint64_t FirstFatalPart = 500;
/// Parts of one document and of one session in long prompts.
constexpr std::uint64_t DocumentParts = 80;
constexpr std::uint64_t SessionParts = 100;
/// Precedes ids of over 16 digits.
const std::string LongIdPrefix = "0123456789abcdef01234567";
constexpr base::Millis HeartbeatInterval{200};
/// Time in which messages of fleets with relays pass them.
constexpr base::Millis MaxRelayDelay{600};
constexpr std::size_t MaxDirectEntries = 64;
/// Number of entries whose heartbeats stand for the summaries of the relays,
/// which contain each statement once.
constexpr std::size_t Relays = 10;
constexpr double MessageLoss = 0.02;
constexpr base::Millis MinQueueTime{20};
constexpr base::Millis MaxQueueTime{200};
/// Time from the first event until the entry records the request as served,
/// and until its end.
constexpr base::Millis ServingTime{300};
constexpr base::Millis StreamTime{1200};
constexpr base::Millis CheckTime{3};
constexpr base::Millis Stall{1500};
constexpr base::Millis RestartTime{2500};
constexpr base::Millis TrialAnnouncement{800};
constexpr unsigned MaxAttempts = 2;
/// Estimated size of an end and of a part in a message, beside its parts.
constexpr std::uint64_t StatementBytes = 60;

/// Returns an element of the header field that lists the parts of a prompt.
std::string formatPart(std::uint64_t Part, PromptShape Shape) {
  constexpr int HexBase = 16;
  std::array<char, 16> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Part, HexBase);
  return (Shape == PromptShape::LongIds ? LongIdPrefix : std::string()) +
         std::string(Digits.data(), End.ptr) + ":12,";
}

/// Returns the key of a part that follows the documents of a prompt.
std::uint64_t keyOf(std::uint64_t Part, PromptShape Shape) {
  if (Shape == PromptShape::Short)
    return Part;
  const auto Keys = platform::parsePromptParts(
      formatPart(Part * DocumentParts, Shape) + "0:1");
  return Keys.empty() ? Part : Keys.front();
}

} // namespace

std::size_t QuarantineModel::Outcomes::lateArrivals(base::Millis Window) const {
  constexpr std::size_t EndsBefore = 5;
  if (m_Ends.size() < EndsBefore)
    return 0;
  const base::Millis From = m_Ends[EndsBefore - 1] + Window;
  return static_cast<std::size_t>(
      std::count_if(m_FatalArrivals.begin(), m_FatalArrivals.end(),
                    [From](base::Millis Each) { return Each > From; }));
}

double QuarantineModel::Outcomes::soundRatio() const {
  return m_Sound == 0
             ? 1
             : static_cast<double>(m_SoundBegun) / static_cast<double>(m_Sound);
}

QuarantineModel::QuarantineModel(QuarantineOptions Options)
    : m_Options(Options), m_Rng(Options.m_Seed), m_Entries(Options.m_Entries),
      m_Servers(Options.m_Servers),
      m_FatalKey(keyOf(FirstFatalPart, Options.m_Prompts)) {
  for (std::size_t Index = 0; Index < m_Entries.size(); ++Index) {
    startEntry(Index);
    m_Time.after(uniform(base::Millis(0), HeartbeatInterval),
                 [this, Index] { heartbeat(Index); });
  }
  arriveSound();
}

void QuarantineModel::sendFatal(bool IsOn) {
  const bool WasOn = std::exchange(m_IsSendingFatal, IsOn);
  if (IsOn && !WasOn)
    arriveFatal();
}

void QuarantineModel::endServer() { crash(m_Rng.below(m_Servers.size())); }

void QuarantineModel::restartHalf() {
  for (std::size_t Index = 0; Index < m_Entries.size(); Index += 2)
    startEntry(Index);
}

void QuarantineModel::setCutOff(std::size_t Entry, bool IsCutOff) {
  m_Entries[Entry].m_IsCutOff = IsCutOff;
}

void QuarantineModel::blameWrongly(std::size_t Entry) {
  const std::string Name = "false-" + std::to_string(m_NextPart++);
  direct::PartStatement Blamed;
  Blamed.m_Service = Service;
  Blamed.m_Part = 0;
  Blamed.m_Number = 1;
  Blamed.m_IsConfirmed = true;
  Blamed.m_Ends = 3;
  Blamed.m_EndTimes = 3;
  Blamed.m_Reporter = Name;
  m_Entries[Entry].m_Quarantine->applyPart(Blamed, Name, m_Time.now());
}

void QuarantineModel::runFor(base::Millis Span) {
  m_Time.runUntil(m_Time.now() + Span);
  for (const Entry &Each : m_Entries)
    m_Outcomes.m_MaxBytes = std::max(m_Outcomes.m_MaxBytes, Each.m_Bytes);
}

bool QuarantineModel::refusesCommonPart() const {
  return std::any_of(m_Entries.begin(), m_Entries.end(), [](const Entry &Each) {
    return Each.m_Quarantine->findQuarantined(Service, {0}).has_value();
  });
}

bool QuarantineModel::allRefuseFatalPart() const {
  return std::all_of(
      m_Entries.begin(), m_Entries.end(), [this](const Entry &Each) {
        return Each.m_Quarantine->findQuarantined(Service, {m_FatalKey})
            .has_value();
      });
}

void QuarantineModel::startEntry(std::size_t Index) {
  Entry &Started = m_Entries[Index];
  ++Started.m_Incarnation;
  Started.m_Quarantine = std::make_unique<direct::PromptQuarantine>(
      "entry-" + std::to_string(Index));
  Started.m_Quarantine->onNews([this, Index] { sendNews(Index); });
  Started.m_Quarantine->onChange(
      [this, Index](const direct::PromptQuarantine::Change &Change) {
        using Type = direct::PromptQuarantine::Change::Type;
        if (Change.m_Type == Type::Quarantined)
          m_Time.after(base::Millis(0),
                       [this, Index, Part = Change.m_Part.m_Part] {
                         withdraw(Index, Part);
                       });
      });
}

void QuarantineModel::heartbeat(std::size_t Index) {
  const bool UsesRelays = m_Entries.size() > MaxDirectEntries;
  sendStatements(Index, base::Millis(1),
                 UsesRelays ? MaxRelayDelay : base::Millis(5),
                 !UsesRelays || Index < Relays);
  m_Time.after(HeartbeatInterval, [this, Index] { heartbeat(Index); });
}

void QuarantineModel::sendNews(std::size_t From) {
  if (std::exchange(m_Entries[From].m_HasNews, true))
    return;
  m_Time.after(base::Millis(0), [this, From] {
    m_Entries[From].m_HasNews = false;
    sendStatements(From, base::Millis(1), base::Millis(5), true);
  });
}

void QuarantineModel::sendStatements(std::size_t From, base::Millis MinDelay,
                                     base::Millis MaxDelay, bool CountBytes) {
  direct::PromptQuarantine &Own = *m_Entries[From].m_Quarantine;
  const auto Ends = Own.endStatements(m_Time.now());
  auto Parts = Own.partStatements(m_Time.now());
  if (m_Options.m_Mode == QuarantineMode::TrialsAlone)
    Parts.clear();
  const bool IsSilent = m_Options.m_Mode == QuarantineMode::EachAlone ||
                        m_Entries[From].m_IsCutOff;
  if (IsSilent || (Ends.empty() && Parts.empty()))
    return;
  std::uint64_t Bytes = StatementBytes * (Ends.size() + Parts.size());
  for (const auto &Each : Ends)
    Bytes += sizeof(std::uint64_t) * Each.m_Parts.size();
  if (!CountBytes)
    Bytes = 0;
  for (std::size_t To = 0; To < m_Entries.size(); ++To) {
    if (To == From || m_Rng.chance(MessageLoss))
      continue;
    m_Time.after(uniform(MinDelay, MaxDelay),
                 [this, From, To, Ends, Parts, Bytes] {
                   Entry &Receiver = m_Entries[To];
                   if (Receiver.m_IsCutOff)
                     return;
                   Receiver.m_Bytes += Bytes;
                   for (const auto &Each : Ends)
                     Receiver.m_Quarantine->applyEnd(Each, m_Time.now());
                   for (const auto &Each : Parts)
                     Receiver.m_Quarantine->applyPart(
                         Each, "entry-" + std::to_string(From), m_Time.now());
                 });
  }
}

void QuarantineModel::withdraw(std::size_t Entry, std::uint64_t Part) {
  for (Server &Each : m_Servers)
    std::erase_if(Each.m_Requests, [&](const RequestPtr &Waiting) {
      const bool IsAffected =
          Waiting->m_Entry == Entry && !Waiting->m_HasBegun &&
          !Waiting->m_IsTrial &&
          std::find(Waiting->m_Parts.begin(), Waiting->m_Parts.end(), Part) !=
              Waiting->m_Parts.end();
      Waiting->m_HasEnded |= IsAffected;
      return IsAffected;
    });
}

void QuarantineModel::arriveSound() {
  const auto Arrived = std::make_shared<Request>();
  Arrived->m_Entry = m_Rng.below(m_Entries.size());
  Arrived->m_Parts =
      promptOf({drawCommonPart(), CommonParts + drawCommonPart()});
  arrive(Arrived);
  m_Time.after(base::Millis(static_cast<std::int64_t>(
                   m_Rng.exponential(1000 / m_Options.m_SoundPerSecond))),
               [this] { arriveSound(); });
}

void QuarantineModel::arriveFatal() {
  if (!m_IsSendingFatal)
    return;
  const auto Arrived = std::make_shared<Request>();
  Arrived->m_Entry = m_Rng.below(m_Entries.size());
  Arrived->m_Parts =
      promptOf({drawCommonPart(), CommonParts + drawCommonPart(),
                FirstFatalPart + m_Rng.below(m_Options.m_FatalParts)});
  Arrived->m_IsFatal = true;
  arrive(Arrived);
  m_Time.after(base::Millis(static_cast<std::int64_t>(
                   m_Rng.exponential(1000 / m_Options.m_FatalPerSecond))),
               [this] { arriveFatal(); });
}

void QuarantineModel::arrive(const RequestPtr &Arrived) {
  Entry &At = m_Entries[Arrived->m_Entry];
  Arrived->m_Incarnation = At.m_Incarnation;
  if (!Arrived->m_IsFatal && !m_IsStalled)
    ++m_Outcomes.m_Sound;
  if (m_Options.m_Mode == QuarantineMode::None) {
    if (!isKnownClosed())
      send(Arrived);
    return;
  }
  const auto Decision = At.m_Quarantine->check(
      Service, considered(Arrived->m_Parts), m_Time.now(),
      !isKnownClosed() && m_Options.m_Mode != QuarantineMode::NeverReleased);
  using Verdict = direct::PromptQuarantine::Verdict;
  if (Decision.m_Verdict == Verdict::Trial) {
    Arrived->m_IsTrial = true;
    m_Time.after(TrialAnnouncement, [this, Arrived, Part = Decision.m_Part] {
      confirmTrial(Arrived, Part);
    });
    return;
  }
  if (Decision.m_Verdict == Verdict::Permitted && !isKnownClosed())
    send(Arrived);
}

void QuarantineModel::confirmTrial(const RequestPtr &Tried,
                                   std::uint64_t Part) {
  const Entry &At = m_Entries[Tried->m_Entry];
  if (At.m_Incarnation != Tried->m_Incarnation || isKnownClosed() ||
      !At.m_Quarantine->confirmTrial(Service, Part))
    return;
  ++m_Outcomes.m_Trials;
  send(Tried);
}

void QuarantineModel::send(const RequestPtr &Sent) {
  ++Sent->m_Attempts;
  do {
    Sent->m_Server = m_Rng.below(m_Servers.size());
  } while (!m_Servers[Sent->m_Server].m_IsAlive &&
           std::any_of(m_Servers.begin(), m_Servers.end(),
                       [](const Server &Each) { return Each.m_IsAlive; }));
  Server &To = m_Servers[Sent->m_Server];
  if (!To.m_IsAlive)
    return;
  Sent->m_ServerStart = To.m_Start;
  Sent->m_HasBegun = false;
  Sent->m_HasEnded = false;
  To.m_Requests.push_back(Sent);
  if (Sent->m_IsFatal)
    m_Outcomes.m_FatalArrivals.push_back(m_Time.now());
  m_Time.after(uniform(MinQueueTime, MaxQueueTime),
               [this, Sent] { begin(Sent); });
}

void QuarantineModel::begin(const RequestPtr &Begun) {
  const Server &At = m_Servers[Begun->m_Server];
  // A stalled group begins nothing; its work is cut off later.
  if (Begun->m_HasEnded || m_IsStalled || At.m_Start != Begun->m_ServerStart ||
      !At.m_IsAlive)
    return;
  Begun->m_HasBegun = true;
  if (!Begun->m_IsFatal && Begun->m_Attempts == 1)
    ++m_Outcomes.m_SoundBegun;
  if (Begun->m_IsFatal) {
    m_Outcomes.m_Ends.push_back(m_Time.now());
    crash(Begun->m_Server);
    return;
  }
  m_Time.after(ServingTime, [this, Begun] { serve(Begun); });
  m_Time.after(StreamTime, [this, Begun] {
    if (std::exchange(Begun->m_HasEnded, true))
      return;
    std::erase(m_Servers[Begun->m_Server].m_Requests, Begun);
  });
}

void QuarantineModel::serve(const RequestPtr &Served) {
  Entry &At = m_Entries[Served->m_Entry];
  if (Served->m_HasEnded || At.m_Incarnation != Served->m_Incarnation ||
      m_IsStalled)
    return;
  Served->m_IsServed = true;
  if (m_Options.m_Mode != QuarantineMode::None &&
      m_Options.m_Mode != QuarantineMode::NeverReleased)
    At.m_Quarantine->recordServed(Service, considered(Served->m_Parts),
                                  m_Time.now());
}

void QuarantineModel::crash(std::size_t Index) {
  Server &Ended = m_Servers[Index];
  if (!Ended.m_IsAlive)
    return;
  Ended.m_IsAlive = false;
  for (const RequestPtr &Each : std::exchange(Ended.m_Requests, {}))
    breakRequest(Each);
  if (!std::exchange(m_IsStalled, true)) {
    m_CutOffAt = m_Time.now() + Stall;
    m_Time.after(Stall, [this] {
      for (Server &Each : m_Servers)
        for (const RequestPtr &Cut : std::exchange(Each.m_Requests, {}))
          Cut->m_HasEnded = true;
    });
  }
  const unsigned Outage = ++m_Outages;
  m_Time.after(Stall + RestartTime, [this, Outage] {
    if (Outage == m_Outages)
      reopenGroup();
  });
}

void QuarantineModel::breakRequest(const RequestPtr &Broken) {
  Broken->m_HasEnded = true;
  const direct::ServerStart Start{"server-" + std::to_string(Broken->m_Server),
                                  m_Servers[Broken->m_Server].m_Start};
  m_Time.after(CheckTime, [this, Broken, Start] {
    Entry &At = m_Entries[Broken->m_Entry];
    if (At.m_Incarnation != Broken->m_Incarnation)
      return;
    bool MayRepeat = true;
    if (m_Options.m_Mode != QuarantineMode::None && !Broken->m_IsServed) {
      const direct::PromptParts Parts = considered(Broken->m_Parts);
      MayRepeat = !At.m_Quarantine->isSuspect(Service, Parts, m_Time.now());
      At.m_Quarantine->recordEnd(Start, Service, Parts, m_Time.now());
    }
    if (MayRepeat && Broken->m_Attempts < MaxAttempts)
      send(Broken);
  });
}

void QuarantineModel::reopenGroup() {
  m_IsStalled = false;
  for (Server &Each : m_Servers) {
    if (Each.m_IsAlive)
      continue;
    ++Each.m_Start;
    Each.m_IsAlive = true;
  }
}

base::Millis QuarantineModel::uniform(base::Millis Min, base::Millis Max) {
  return Min + base::Millis(static_cast<std::int64_t>(m_Rng.below(
                   static_cast<std::uint64_t>((Max - Min).count() + 1))));
}

std::uint64_t QuarantineModel::drawCommonPart() {
  // Low numbers are more popular.
  const double Drawn = m_Rng.uniform();
  return static_cast<std::uint64_t>(Drawn * Drawn *
                                    static_cast<double>(CommonParts));
}

direct::PromptParts
QuarantineModel::promptOf(const direct::PromptParts &Parts) {
  const PromptShape Shape = m_Options.m_Prompts;
  if (Shape == PromptShape::Short)
    return Parts;
  std::string Text;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    const std::uint64_t First = Parts[Index] * DocumentParts;
    const bool IsDocument = Index < 2;
    std::string Document;
    for (std::uint64_t Part = 0; Part < (IsDocument ? DocumentParts : 1);
         ++Part)
      Document += formatPart(First + Part, Shape);
    const bool IsRepeated = Shape == PromptShape::Repeated && Index == 0;
    Text += IsRepeated ? Document + Document : Document;
  }
  for (std::uint64_t Part = 0; Part <= SessionParts; ++Part)
    Text += formatPart(m_NextPart++, Shape);
  Text.pop_back();
  return platform::parsePromptParts(Text);
}

direct::PromptParts
QuarantineModel::considered(direct::PromptParts Parts) const {
  if (m_Options.m_Mode == QuarantineMode::FirstPart && !Parts.empty())
    Parts.resize(1);
  return Parts;
}

} // namespace corneldeck::bench

#include "Fakes/EngineModel.h"

#include <algorithm>
#include <utility>

namespace corneldeck::fakes {
namespace {

constexpr std::int64_t MicrosPerMilli = 1'000;
/// Published events that are kept for entries that ask late.
constexpr std::size_t MaxCacheEvents = 8'192;
constexpr std::size_t MaxLoadHistory = 512;

std::int64_t toMicros(base::Millis Time) {
  return Time.count() * MicrosPerMilli;
}

/// \returns the first whole millisecond at or after \p Micros.
base::Millis toMillis(std::int64_t Micros) {
  return base::Millis((Micros + MicrosPerMilli - 1) / MicrosPerMilli);
}

} // namespace

EngineModel::EngineModel(const EngineSettings &Settings, std::uint64_t Seed)
    : m_Settings(Settings), m_Random(Seed),
      m_Cache(Settings.m_CacheBlocks,
              [this](std::uint64_t Block, bool Added) {
                noteCacheChange(Block, Added);
              }),
      m_LastStepMicros(Settings.m_StepMicros) {}

void EngineModel::submit(base::Millis Now, EngineRequest Request) {
  Sequence New;
  New.m_NextToken = Request.m_ResumeFrom;
  New.m_PrefillLeft = Request.m_PromptTokens + Request.m_ResumeFrom;
  New.m_Request = std::move(Request);
  enqueue(Now, std::move(New));
}

void EngineModel::importKv(base::Millis Now, KvExport Exported) {
  Sequence New;
  New.m_NextToken = Exported.m_NextToken;
  New.m_PrefillLeft = Exported.m_PrefillLeft;
  New.m_Imported = true;
  New.m_Request = std::move(Exported.m_Request);
  enqueue(Now, std::move(New));
}

void EngineModel::enqueue(base::Millis Now, Sequence New) {
  run(toMicros(Now));
  const QueueKey Key{New.m_Request.m_Priority, m_Arrivals++};
  m_Queue.emplace(Key, std::move(New));
  noteLoad(toMicros(Now));
  if (!m_InStep && !m_StalledSince)
    beginStep(toMicros(Now));
}

bool EngineModel::cancel(base::Millis Now, const std::string &Id) {
  run(toMicros(Now));
  const auto Queued =
      std::find_if(m_Queue.begin(), m_Queue.end(), [&](const auto &Item) {
        return Item.second.m_Request.m_Id == Id;
      });
  if (Queued != m_Queue.end()) {
    m_Queue.erase(Queued);
    return true;
  }
  const auto Running =
      std::find_if(m_Batch.begin(), m_Batch.end(), [&](const Sequence &Item) {
        return Item.m_Request.m_Id == Id;
      });
  if (Running == m_Batch.end())
    return false;
  m_KvUsed -= kvNeed(*Running);
  m_Batch.erase(Running);
  return true;
}

void EngineModel::restart(base::Millis Now) {
  run(toMicros(Now));
  m_Queue.clear();
  m_Batch.clear();
  m_Outputs.clear();
  m_KvUsed = 0;
  m_InStep = false;
  m_StalledSince.reset();
  m_Cache = PrefixCache(m_Settings.m_CacheBlocks,
                        [this](std::uint64_t Block, bool Added) {
                          noteCacheChange(Block, Added);
                        });
  // The number moves on, so that readers see the lost cache as a gap.
  ++m_NextCacheEvent;
  m_CacheEvents.clear();
  noteLoad(toMicros(Now));
}

std::vector<EngineOutput> EngineModel::advance(base::Millis Now) {
  run(toMicros(Now));
  return std::exchange(m_Outputs, {});
}

std::optional<base::Millis> EngineModel::nextStep() const {
  if (!m_InStep || m_StalledSince)
    return std::nullopt;
  return toMillis(m_StepEndMicros);
}

void EngineModel::run(std::int64_t NowMicros) {
  while (m_InStep && !m_StalledSince && m_StepEndMicros <= NowMicros) {
    endStep();
    beginStep(m_StepEndMicros);
  }
}

void EngineModel::beginStep(std::int64_t StartMicros) {
  fillBatch();
  m_InStep = !m_Batch.empty();
  noteLoad(StartMicros);
  if (!m_InStep)
    return;
  const std::uint32_t Prefill = planPrefill();
  const auto Sequences = static_cast<std::int64_t>(m_Batch.size());
  const std::int64_t Normal = m_Settings.m_StepMicros +
                              Sequences * m_Settings.m_MicrosPerSequence +
                              Prefill * m_Settings.m_MicrosPerPrefillToken;
  m_LastStepMicros =
      static_cast<std::int64_t>(static_cast<double>(Normal) * m_Straggler);
  m_StepEndMicros = StartMicros + m_LastStepMicros;
  m_LoseEvents = m_Random.chance(m_Settings.m_CacheEventLoss);
}

void EngineModel::fillBatch() {
  while (!m_Queue.empty() && m_Batch.size() < m_Settings.m_MaxBatch) {
    const auto First = m_Queue.begin();
    const std::uint64_t Need = kvNeed(First->second);
    // One that never fits alone runs alone.
    if (m_KvUsed + Need > m_Settings.m_KvTokens && !m_Batch.empty())
      return;
    m_KvUsed += Need;
    joinBatch(std::move(First->second));
    m_Queue.erase(First);
  }
}

void EngineModel::joinBatch(Sequence Joining) {
  if (!Joining.m_Imported) {
    const EngineRequest &Request = Joining.m_Request;
    const std::size_t Run = m_Cache.cachedRun(Request.m_PrefixBlocks);
    // The last prompt token is always computed, to get the first new one.
    const auto Hit = static_cast<std::uint32_t>(
        std::min<std::size_t>(Run * m_Settings.m_BlockTokens,
                              std::max(Request.m_PromptTokens, 1U) - 1));
    Joining.m_PrefillLeft -= Hit;
    m_TokensHit += Hit;
    m_TokensSeen += Request.m_PromptTokens;
    m_Cache.use(std::span(Request.m_PrefixBlocks).first(Run));
  }
  m_Batch.push_back(std::move(Joining));
}

std::uint32_t EngineModel::planPrefill() {
  std::uint32_t Left = m_Settings.m_PrefillTokensPerStep;
  for (Sequence &Item : m_Batch) {
    Item.m_PrefillNow = std::min(Left, Item.m_PrefillLeft);
    Left -= Item.m_PrefillNow;
  }
  return m_Settings.m_PrefillTokensPerStep - Left;
}

void EngineModel::endStep() {
  std::erase_if(m_Batch, [this](Sequence &Item) {
    const bool Done = produceToken(Item);
    if (Done)
      m_KvUsed -= kvNeed(Item);
    return Done;
  });
}

bool EngineModel::produceToken(Sequence &Of) {
  const bool HadPrompt = Of.m_PrefillLeft > 0;
  Of.m_PrefillLeft -= Of.m_PrefillNow;
  Of.m_PrefillNow = 0;
  if (Of.m_PrefillLeft > 0)
    return false;
  if (HadPrompt)
    m_Cache.use(Of.m_Request.m_PrefixBlocks);
  const std::uint32_t Token = Of.m_NextToken++;
  const bool Finished = Of.m_NextToken >= Of.m_Request.m_OutputTokens;
  m_Outputs.push_back(
      {Of.m_Request.m_Id, toMillis(m_StepEndMicros), Token, Finished});
  return Finished;
}

std::uint64_t EngineModel::kvNeed(const Sequence &Of) const {
  return std::uint64_t{Of.m_Request.m_PromptTokens} +
         Of.m_Request.m_OutputTokens;
}

EngineLoad EngineModel::trueLoad() const {
  EngineLoad Load;
  Load.m_Running = static_cast<std::uint32_t>(m_Batch.size());
  Load.m_Queued = static_cast<std::uint32_t>(m_Queue.size());
  Load.m_Capacity = m_Settings.m_MaxBatch;
  Load.m_StepMicros = static_cast<std::uint32_t>(m_LastStepMicros);
  const auto Add = [&Load](const Sequence &Item) {
    Load.m_TokensAhead += Item.m_PrefillLeft;
    Load.m_TokensAhead += Item.m_Request.m_OutputTokens - Item.m_NextToken;
  };
  std::for_each(m_Batch.begin(), m_Batch.end(), Add);
  for (const auto &[Key, Item] : m_Queue)
    Add(Item);
  return Load;
}

void EngineModel::noteLoad(std::int64_t AtMicros) {
  m_LoadHistory.emplace_back(AtMicros, trueLoad());
  const std::int64_t Horizon = AtMicros - toMicros(m_Settings.m_LoadLag);
  while (m_LoadHistory.size() > MaxLoadHistory ||
         (m_LoadHistory.size() > 1 && m_LoadHistory[1].first <= Horizon))
    m_LoadHistory.pop_front();
}

EngineLoad EngineModel::loadReport(base::Millis Now) const {
  const std::int64_t Horizon = toMicros(Now - m_Settings.m_LoadLag);
  EngineLoad Last;
  Last.m_Capacity = m_Settings.m_MaxBatch;
  Last.m_StepMicros = static_cast<std::uint32_t>(m_Settings.m_StepMicros);
  for (const auto &[At, Load] : m_LoadHistory) {
    if (At > Horizon)
      break;
    Last = Load;
  }
  return Last;
}

void EngineModel::noteCacheChange(std::uint64_t Block, bool Added) {
  const std::uint64_t Number = m_NextCacheEvent++;
  if (m_LoseEvents)
    return;
  const std::int64_t Due =
      m_StepEndMicros + toMicros(m_Settings.m_CacheEventDelay);
  m_CacheEvents.push_back({Due, Number, Block, Added});
  if (m_CacheEvents.size() > MaxCacheEvents)
    m_CacheEvents.pop_front();
}

EngineCacheEvents EngineModel::cacheEvents(base::Millis Now,
                                           std::uint64_t From) const {
  EngineCacheEvents Batch;
  Batch.m_FirstSequence = From;
  auto Event =
      std::lower_bound(m_CacheEvents.begin(), m_CacheEvents.end(), From,
                       [](const CacheEvent &Item, std::uint64_t Number) {
                         return Item.m_Sequence < Number;
                       });
  std::uint64_t Next = From;
  for (; Event != m_CacheEvents.end(); ++Event) {
    if (Event->m_DueMicros > toMicros(Now))
      break;
    const bool First = Batch.m_Added.empty() && Batch.m_Evicted.empty();
    if (First)
      Batch.m_FirstSequence = Event->m_Sequence;
    else if (Event->m_Sequence != Next)
      break;
    Next = Event->m_Sequence + 1;
    (Event->m_Added ? Batch.m_Added : Batch.m_Evicted)
        .push_back(Event->m_Block);
  }
  return Batch;
}

std::size_t
EngineModel::cachedBlocks(std::span<const std::uint64_t> Blocks) const {
  return m_Cache.cachedRun(Blocks);
}

void EngineModel::stall(base::Millis Now) {
  run(toMicros(Now));
  if (!m_StalledSince)
    m_StalledSince = toMicros(Now);
}

void EngineModel::resume(base::Millis Now) {
  if (!m_StalledSince)
    return;
  m_StepEndMicros += toMicros(Now) - *m_StalledSince;
  m_StalledSince.reset();
  if (!m_InStep)
    beginStep(toMicros(Now));
}

std::optional<KvExport> EngineModel::exportKv(base::Millis Now,
                                              const std::string &Id) {
  run(toMicros(Now));
  for (const Sequence &Item : m_Batch)
    if (Item.m_Request.m_Id == Id)
      return KvExport{Item.m_Request, Item.m_PrefillLeft, Item.m_NextToken};
  return std::nullopt;
}

} // namespace corneldeck::fakes

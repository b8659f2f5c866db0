#ifndef CORNELDECK_FAKES_ENGINEMODEL_H
#define CORNELDECK_FAKES_ENGINEMODEL_H

#include "Base/Millis.h"
#include "Base/Random.h"
#include "Fakes/PrefixCache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace corneldeck::fakes {

/// The size and speed of one model replica.
struct EngineSettings {
  /// Sequences in one step.
  std::uint32_t m_MaxBatch = 32;
  /// Tokens that all running sequences may hold together.
  std::uint64_t m_KvTokens = 131'072;
  std::uint32_t m_BlockTokens = 64;
  /// Blocks kept for prompts that share a prefix.
  std::uint32_t m_CacheBlocks = 1'024;
  /// Prompt tokens computed in one step, over all sequences.
  std::uint32_t m_PrefillTokensPerStep = 512;
  std::int64_t m_StepMicros = 4'500;
  std::int64_t m_MicrosPerSequence = 60;
  std::int64_t m_MicrosPerPrefillToken = 10;
  /// Age of what loadReport() tells.
  base::Millis m_LoadLag{250};
  base::Millis m_CacheEventDelay{200};
  /// Share of the steps whose cache events are lost.
  double m_CacheEventLoss = 0.02;
};

/// One run asked of the engine.
struct EngineRequest {
  std::string m_Id;
  std::uint32_t m_PromptTokens = 0;
  /// Hashes of the prompt's full blocks, each over all blocks before it.
  std::vector<std::uint64_t> m_PrefixBlocks = {};
  /// Tokens of the whole answer.
  std::uint32_t m_OutputTokens = 1;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Answer tokens that the caller has already; they count as prompt.
  std::uint32_t m_ResumeFrom = 0;
};

/// Tokens that one sequence got in one step.
struct EngineOutput {
  std::string m_Id;
  base::Millis m_At{};
  /// Index in the whole answer.
  std::uint32_t m_Token = 0;
  bool m_Finished = false;
};

/// What the engine says of its load.
struct EngineLoad {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  std::uint32_t m_Capacity = 0;
  /// Prompt and answer tokens still to be computed.
  std::uint64_t m_TokensAhead = 0;
  /// Length of the last step.
  std::uint32_t m_StepMicros = 0;
};

/// Consecutive cache events, numbered from m_FirstSequence on.
struct EngineCacheEvents {
  std::uint64_t m_FirstSequence = 0;
  std::vector<std::uint64_t> m_Added;
  std::vector<std::uint64_t> m_Evicted;
};

/// The state of a running sequence, as one engine hands it to another.
struct KvExport {
  EngineRequest m_Request;
  std::uint32_t m_PrefillLeft = 0;
  std::uint32_t m_NextToken = 0;
};

/// A pure model of one replica's engine: continuous batching in lock-step
/// steps, chunked prefill, a prefix cache, priorities, cancel, resume, and KV
/// export and import.
///
/// Steps run back to back while there is work. A step takes the base time,
/// more for each sequence and prompt token in it, times the slowest rank's
/// factor.
class EngineModel {
public:
  /// \param Seed decides which cache events are lost.
  EngineModel(const EngineSettings &Settings, std::uint64_t Seed);
  EngineModel(const EngineModel &) = delete;
  EngineModel &operator=(const EngineModel &) = delete;

  /// Queues a run; it joins the batch at the start of a later step.
  void submit(base::Millis Now, EngineRequest Request);

  /// Drops a run. \returns false if it is unknown or finished.
  bool cancel(base::Millis Now, const std::string &Id);

  /// Drops all runs and the cache, as a restarted process does.
  void restart(base::Millis Now);

  /// Runs all steps that end by \p Now.
  /// \returns the tokens produced since the last call, oldest first.
  std::vector<EngineOutput> advance(base::Millis Now);

  /// \returns when the step in progress ends; nothing if idle or stalled.
  [[nodiscard]] std::optional<base::Millis> nextStep() const;

  /// \returns the load as it was m_LoadLag ago.
  [[nodiscard]] EngineLoad loadReport(base::Millis Now) const;

  /// \returns the load at the last step, without the lag.
  [[nodiscard]] EngineLoad trueLoad() const;

  /// \returns the published events from number \p From on, up to the next lost
  /// one. A first number above \p From tells of a gap.
  [[nodiscard]] EngineCacheEvents cacheEvents(base::Millis Now,
                                              std::uint64_t From) const;

  /// \returns the true number of cached blocks at the start of \p Blocks.
  [[nodiscard]] std::size_t
  cachedBlocks(std::span<const std::uint64_t> Blocks) const;

  /// \returns prompt tokens found in the cache, over all runs begun.
  [[nodiscard]] std::uint64_t prefixTokensHit() const { return m_TokensHit; }
  /// \returns prompt tokens of all runs begun.
  [[nodiscard]] std::uint64_t promptTokensSeen() const { return m_TokensSeen; }

  /// Stops all steps until resume(), as a stalled rank does.
  void stall(base::Millis Now);
  void resume(base::Millis Now);

  /// \param Factor the slowest rank's step time over the normal one, from the
  /// next step on.
  void setStraggler(double Factor) { m_Straggler = Factor; }

  /// \returns the state of a running sequence; nothing if it isn't running.
  std::optional<KvExport> exportKv(base::Millis Now, const std::string &Id);

  /// Continues an exported sequence at its exact token.
  void importKv(base::Millis Now, KvExport Sequence);

private:
  struct Sequence {
    EngineRequest m_Request;
    std::uint32_t m_PrefillLeft = 0;
    std::uint32_t m_NextToken = 0;
    /// Prompt tokens that the step in progress computes.
    std::uint32_t m_PrefillNow = 0;
    /// The prompt's state comes from another engine.
    bool m_Imported = false;
  };
  struct CacheEvent {
    std::int64_t m_DueMicros = 0;
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_Block = 0;
    bool m_Added = false;
  };
  /// Order of the queue: urgency, then arrival.
  using QueueKey = std::pair<std::uint32_t, std::uint64_t>;

  void run(std::int64_t NowMicros);
  void enqueue(base::Millis Now, Sequence New);
  void beginStep(std::int64_t StartMicros);
  void fillBatch();
  void joinBatch(Sequence Joining);
  std::uint32_t planPrefill();
  void endStep();
  bool produceToken(Sequence &Of);
  void noteCacheChange(std::uint64_t Block, bool Added);
  void noteLoad(std::int64_t AtMicros);
  [[nodiscard]] std::uint64_t kvNeed(const Sequence &Of) const;

  EngineSettings m_Settings;
  base::Random m_Random;
  PrefixCache m_Cache;
  std::map<QueueKey, Sequence> m_Queue;
  std::vector<Sequence> m_Batch;
  std::vector<EngineOutput> m_Outputs;
  std::uint64_t m_Arrivals = 0;
  std::uint64_t m_KvUsed = 0;
  std::uint64_t m_TokensHit = 0;
  std::uint64_t m_TokensSeen = 0;
  double m_Straggler = 1.0;
  bool m_InStep = false;
  std::int64_t m_StepEndMicros = 0;
  std::int64_t m_LastStepMicros = 0;
  std::optional<std::int64_t> m_StalledSince;
  std::deque<std::pair<std::int64_t, EngineLoad>> m_LoadHistory;
  std::deque<CacheEvent> m_CacheEvents;
  std::uint64_t m_NextCacheEvent = 0;
  bool m_LoseEvents = false;
};

} // namespace corneldeck::fakes

#endif

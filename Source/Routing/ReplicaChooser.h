#ifndef CORNELDECK_ROUTING_REPLICACHOOSER_H
#define CORNELDECK_ROUTING_REPLICACHOOSER_H

#include "Base/Millis.h"
#include "Base/Random.h"
#include "Routing/PrefixIndex.h"
#include "Routing/ReplicaLoad.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace corneldeck::routing {

/// Settings of a ReplicaChooser.
struct ChooserSettings {
  LoadSettings m_Load;
  PrefixIndexSettings m_Prefix;
  /// Tokens per prefix block; must be equal to that of the engines.
  std::uint32_t m_BlockTokens = 64;
  /// The choice is drawn evenly among replicas whose cost exceeds the lowest by
  /// at most this fraction of it plus m_TieAbsoluteMargin.
  double m_TieRelativeMargin = 0.05;
  base::Millis m_TieAbsoluteMargin{4};
  /// Additional cost of a replica in another availability zone.
  base::Millis m_CrossZoneCost{2};
  /// Weight of Prediction::m_CostToOthers against the predicted completion.
  double m_CostToOthersWeight = 3.0;
  /// Additional cost of a replica other than the preferred one of the prefix.
  /// All entries prefer the same one, so a prefix is cached only once.
  base::Millis m_NonPreferredCost{30};
  /// A replica has free capacity while the predicted wait of a request there is
  /// at most this.
  base::Millis m_MaxReplicaWait{300};
  /// This value is added to the cost of a replica whose last report is older.
  base::Millis m_MaxReportAge = base::seconds(3);
  /// A replica is skipped after this many consecutive failed attempts, for a
  /// backoff that doubles with each further failure.
  std::uint32_t m_FailureThreshold = 2;
  base::Millis m_InitialBackoff{200};
  base::Millis m_MaxBackoff = base::seconds(5);
  /// Weight of a new answer in the moving average and variance of answer
  /// lengths.
  double m_OutputAverageWeight = 0.02;
};

/// A backend server that can be chosen.
struct ReplicaInfo {
  std::string m_Name;
  std::string m_Zone;
};

/// The request for which a replica is chosen.
struct ChoiceQuery {
  std::uint32_t m_PromptTokens = 0;
  /// Expected tokens of the answer; 0 uses the mean of earlier answers.
  std::uint32_t m_OutputTokens = 0;
  /// Hashes of the prompt's full blocks, each over its block and all before it.
  std::span<const std::uint64_t> m_PrefixBlocks = {};
  /// Result of an earlier call of PrefixIndex::cachedPrefixLengths() to reuse;
  /// looked up if null.
  const std::map<std::string, std::size_t> *m_CachedPrefixLengths = nullptr;
  /// Replicas that must not be chosen, such as those where the request failed.
  std::set<std::string> m_Excluded = {};
};

/// What a request waits for if replicas are full.
enum class WaitPolicy {
  BestReplica, ///< Waits for free capacity at its best replica.
  AnyReplica,  ///< Waits for free capacity at any replica.
  NoWait       ///< Uses the best replica even if it is full.
};

/// Result of a choice.
enum class ChoiceKind {
  Chosen,   ///< A replica was chosen.
  Busy,     ///< Must wait for a report or the end of an attempt.
  NoReplica ///< No replica is eligible.
};

/// The replica chosen for a request.
struct Choice {
  ChoiceKind m_Kind = ChoiceKind::NoReplica;
  std::string m_Replica;
  /// The attempt size used for the prediction; read by onAttemptSent().
  AttemptSize m_Size;
  Prediction m_Prediction;
};

/// Chooses the replica with the lowest cost: predicted completion time, the
/// delay caused to other requests, and cache and zone locality.
///
/// One object serves one entry and one service. It draws among the replicas
/// with nearly the lowest cost, so that entries with the same reports do not
/// all choose the same one. The class has no clock and no thread; the caller
/// passes the time.
class ReplicaChooser {
public:
  /// \param Zone the entry's availability zone. \param Seed must differ
  /// between entries.
  ReplicaChooser(const ChooserSettings &Settings, std::string Zone,
                 std::uint64_t Seed);

  /// Sets the replicas of the service; existing ones keep their state.
  void setReplicas(std::span<const ReplicaInfo> Replicas);

  /// Applies an agent's load report; ignored for unknown replicas.
  void onReport(base::Millis Now, const std::string &Replica,
                const ReplicaReport &Report);

  /// Applies the cache events of a report; see PrefixIndex::onCacheEvents().
  void onCacheEvents(base::Millis Now, const std::string &Replica,
                     std::uint64_t FirstSequence,
                     std::span<const std::uint64_t> Added,
                     std::span<const std::uint64_t> Evicted);

  /// Sets whether a replica is reachable over its connections. The cached
  /// prefixes of an unreachable replica are dropped.
  void setReachable(const std::string &Replica, bool Reachable);

  /// Chooses a replica. The caller must call onAttemptSent() if it sends the
  /// attempt.
  Choice choose(base::Millis Now, const ChoiceQuery &Query,
                WaitPolicy Policy = WaitPolicy::BestReplica);

  /// Records that an attempt was sent to the replica of \p Chosen.
  void onAttemptSent(base::Millis Now, const std::string &Attempt,
                     const Choice &Chosen,
                     std::span<const std::uint64_t> PrefixBlocks);

  /// Records the first token of an attempt.
  void onFirstToken(const std::string &Attempt);

  /// Records the end of an attempt.
  /// \param OutputTokens number of tokens of a complete answer; 0 if there is
  /// none.
  void onAttemptEnded(base::Millis Now, const std::string &Attempt,
                      std::uint32_t OutputTokens);

  /// Records the failure of an attempt at its replica, which also ends it. The
  /// backoff is needed because a replica that fails quickly has no load and
  /// would otherwise be chosen for all requests.
  void onAttemptFailed(base::Millis Now, const std::string &Attempt);

  /// \returns the shortest predicted run time at any replica, without waiting.
  /// If the answer length is unknown, assumes the mean of earlier answers plus
  /// two standard deviations.
  [[nodiscard]] base::Millis predictRunTime(base::Millis Now,
                                            const ChoiceQuery &Query) const;

  /// \returns whether any eligible replica has free capacity.
  [[nodiscard]] bool anyHasCapacity(base::Millis Now) const;

  /// \returns the index of the replicas' prefix caches.
  [[nodiscard]] const PrefixIndex &prefixes() const { return m_Prefixes; }

  /// \returns the moving average of the tokens per answer.
  [[nodiscard]] double meanOutputTokens() const { return m_MeanOutputTokens; }

  /// \returns the number of attempts in flight.
  [[nodiscard]] std::size_t inFlight() const { return m_Attempts.size(); }

private:
  struct ReplicaState {
    std::string m_Zone;
    bool m_Reachable = true;
    ReplicaLoad m_Load;
    std::uint32_t m_ConsecutiveFailures = 0;
    base::Millis m_BackoffUntil{};
  };
  struct Candidate {
    std::string m_Name;
    AttemptSize m_Size;
    Prediction m_Prediction;
    double m_Cost = 0;
  };

  [[nodiscard]] static bool isEligible(base::Millis Now,
                                       const ReplicaState &State);
  [[nodiscard]] std::uint32_t outputTokens(const ChoiceQuery &Query) const;
  [[nodiscard]] ServiceLoad serviceLoad(base::Millis Now) const;
  [[nodiscard]] Candidate evaluate(base::Millis Now, const std::string &Name,
                                   const ReplicaState &State,
                                   const AttemptSize &Size,
                                   const ServiceLoad &Service) const;
  [[nodiscard]] std::vector<Candidate>
  candidates(base::Millis Now, const ChoiceQuery &Query) const;
  [[nodiscard]] std::string preferredReplica(
      base::Millis Now, std::span<const std::uint64_t> Blocks,
      const std::map<std::string, std::size_t> &PrefixLengths) const;
  [[nodiscard]] bool hasCapacity(const Candidate &Item) const;
  const Candidate &drawNearBest(const std::vector<Candidate> &From);

  ChooserSettings m_Settings;
  std::string m_Zone;
  base::Random m_Random;
  PrefixIndex m_Prefixes;
  std::map<std::string, ReplicaState> m_Replicas;
  /// The replica of each attempt in flight.
  std::unordered_map<std::string, std::string> m_Attempts;
  double m_MeanOutputTokens = 100;
  double m_OutputTokensVariance = 2'500;
};

} // namespace corneldeck::routing

#endif

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

/// How an entry chooses.
struct ChooserSettings {
  LoadSettings m_Load;
  PrefixIndexSettings m_Prefix;
  /// Tokens a prefix block covers; the same as at the engines.
  std::uint32_t m_BlockTokens = 64;
  /// Replicas predicted within this share of the best are drawn from evenly.
  double m_TieRelativeMargin = 0.05;
  /// And within this span of it.
  base::Millis m_TieAbsoluteMargin{4};
  /// What a request in another availability zone costs more.
  base::Millis m_CrossZoneCost{2};
  /// Weight of what a request costs the others at a replica.
  double m_CostToOthersWeight = 3.0;
  /// What a request costs more at a replica that isn't its prefix's home. Homes
  /// are the same for all entries, so prefixes gather there and fill no cache
  /// twice.
  base::Millis m_NonPreferredCost{30};
  /// A replica has room while it is predicted to let a request wait for at most
  /// this.
  base::Millis m_MaxReplicaWait{300};
  /// A replica without a report for this long is chosen only as a last resort.
  base::Millis m_MaxReportAge = base::seconds(3);
  /// A replica that fails this many attempts in a row is left out for a time
  /// that doubles with each further failure.
  std::uint32_t m_FailureThreshold = 2;
  base::Millis m_InitialBackoff{200};
  base::Millis m_MaxBackoff = base::seconds(5);
  /// Weight of a new answer's length against the mean so far.
  double m_OutputAverageWeight = 0.02;
};

/// A backend server that may be chosen.
struct ReplicaInfo {
  std::string m_Name;
  std::string m_Zone;
};

/// The request to be placed.
struct ChoiceQuery {
  std::uint32_t m_PromptTokens = 0;
  /// Expected tokens of the answer; 0 takes the mean of earlier answers.
  std::uint32_t m_OutputTokens = 0;
  /// Hashes of the prompt's full blocks, each over all blocks before it.
  std::span<const std::uint64_t> m_PrefixBlocks = {};
  /// Cached runs looked up before, to be used again; see
  /// PrefixIndex::cachedPrefixLengths. Without it they are looked up.
  const std::map<std::string, std::size_t> *m_CachedPrefixLengths = nullptr;
  /// Replicas that must not be chosen, such as those that failed it.
  std::set<std::string> m_Excluded = {};
};

/// What a request is ready to wait for.
enum class WaitPolicy {
  BestReplica, ///< For room at the replica that is best for it.
  AnyReplica,  ///< For room at any replica.
  NoWait       ///< For nothing: the best replica is taken even if it is full.
};

enum class ChoiceKind {
  Chosen,   ///< A replica was chosen.
  Busy,     ///< It has to wait for a report or an ended attempt.
  NoReplica ///< No replica is in service.
};

/// Chosen to send a request.
struct Choice {
  ChoiceKind m_Kind = ChoiceKind::NoReplica;
  std::string m_Replica;
  /// The size by which it was chosen; goes into onAttemptSent().
  AttemptSize m_Size;
  Prediction m_Prediction;
};

/// Chooses the replica that is predicted to answer first.
///
/// One object serves one entry and one service. It draws among all replicas
/// that are close to the best, so entries with the same reports don't all
/// choose the same one. Pure: it owns no clock and no thread.
class ReplicaChooser {
public:
  /// \param Zone the entry's availability zone. \param Seed must differ
  /// between entries.
  ReplicaChooser(const ChooserSettings &Settings, std::string Zone,
                 std::uint64_t Seed);

  /// Sets the replicas of the service; those known already keep their state.
  void setReplicas(std::span<const ReplicaInfo> Replicas);

  /// Takes an agent's report.
  void onReport(base::Millis Now, const std::string &Replica,
                const ReplicaReport &Report);

  /// Takes the cache events that came with a report; see
  /// PrefixIndex::onCacheEvents.
  void onCacheEvents(base::Millis Now, const std::string &Replica,
                     std::uint64_t FirstSequence,
                     std::span<const std::uint64_t> Added,
                     std::span<const std::uint64_t> Evicted);

  /// A replica is lost (false) or back (true), as seen on its connections.
  void setReachable(const std::string &Replica, bool Reachable);

  /// Chooses a replica; onAttemptSent() must follow if the attempt is sent.
  Choice choose(base::Millis Now, const ChoiceQuery &Query,
                WaitPolicy Policy = WaitPolicy::BestReplica);

  /// An attempt was sent to the replica of \p Chosen.
  void onAttemptSent(base::Millis Now, const std::string &Attempt,
                     const Choice &Chosen,
                     std::span<const std::uint64_t> PrefixBlocks);

  /// The first token of an attempt came.
  void onFirstToken(const std::string &Attempt);

  /// An attempt ended in any way.
  /// \param OutputTokens the tokens of a whole answer, 0 for none.
  void onAttemptEnded(base::Millis Now, const std::string &Attempt,
                      std::uint32_t OutputTokens);

  /// An attempt failed at its replica; counts as ended. A replica that fails at
  /// once has no load and would drawNearBest all requests.
  void onAttemptFailed(base::Millis Now, const std::string &Attempt);

  /// \returns the predicted time of a run without any wait, for an answer
  /// longer than most: the mean and twice the deviation of earlier ones.
  [[nodiscard]] base::Millis predictRunTime(base::Millis Now,
                                            const ChoiceQuery &Query) const;

  /// \returns whether any replica in service has room.
  [[nodiscard]] bool anyHasCapacity(base::Millis Now) const;

  /// \returns what is known of the replicas' prefix caches.
  [[nodiscard]] const PrefixIndex &prefixes() const { return m_Prefixes; }

  /// \returns the mean tokens of earlier answers.
  [[nodiscard]] double meanOutputTokens() const { return m_MeanOutputTokens; }

  /// \returns attempts sent and not ended.
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
  /// The replica of each attempt.
  std::unordered_map<std::string, std::string> m_Attempts;
  double m_MeanOutputTokens = 100;
  double m_OutputTokensVariance = 2'500;
};

} // namespace corneldeck::routing

#endif

#ifndef CORNELDECK_ROUTING_REPLICALOAD_H
#define CORNELDECK_ROUTING_REPLICALOAD_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>

namespace corneldeck::routing {

/// What an agent last said of its backend server.
struct ReplicaReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  /// Requests that run at once; 0 if unknown.
  std::uint32_t m_Capacity = 0;
  /// Prompt and answer tokens still to be computed.
  std::uint64_t m_PendingTokens = 0;
  /// Length of the last step; 0 if the backend server has no steps.
  std::uint32_t m_StepMicros = 0;
  /// The agent takes no new work.
  bool m_Draining = false;
  /// The backend server or its rank group can't run requests.
  bool m_OutOfService = false;
};

/// The size of an attempt, as far as the entry knows it.
struct AttemptSize {
  std::uint32_t m_PromptTokens = 0;
  /// Prompt tokens that are likely cached at the replica.
  std::uint32_t m_CachedTokens = 0;
  /// Expected tokens of the answer; 1 for a plain call.
  std::uint32_t m_OutputTokens = 1;
};

/// When an attempt sent now would reach its stages, from now on.
struct Prediction {
  /// Until it has a place in the batch.
  base::Millis m_Wait{};
  base::Millis m_FirstToken{};
  base::Millis m_Completion{};
  /// What it costs the other weightedSequences there, summed up: its prompt's
  /// computing and its place in the batch make their steps longer.
  base::Millis m_CostToOthers{};
};

/// What an entry knows of all replicas of a service together.
struct ServiceLoad {
  /// Mean tokens of the answers.
  double m_MeanOutputTokens = 100;
  /// Requests at all replicas for each of this entry's own.
  double m_RequestsPerOwnAttempt = 1;
  /// OwnAttempt attempts for each replica; below 1 they say little of the load.
  double m_OwnAttemptsPerReplica = 0;
};

/// How predictions are made.
struct LoadSettings {
  /// Age of an engine's load when it is reported.
  base::Millis m_ReportLag{250};
  /// Prompt tokens that an engine computes in one step.
  std::uint32_t m_PrefillTokensPerStep = 512;
  /// Step time assumed before a report came.
  std::int64_t m_DefaultStepMicros = 6'000;
  /// Weight of a new report's step time against the earlier ones.
  double m_StepAverageWeight = 0.1;
  /// Weight of the entry's own attempts, scaled up to all entries, against the
  /// reports. OwnAttempt counts are fresh; the reports know of all entries.
  double m_OwnAttemptsWeight = 0.5;
  /// Part of the step time that is the same for an empty and a full batch.
  double m_FixedStepShare = 0.7;
};

/// One entry's view of the load of one replica: the last report, corrected by
/// the entry's own attempts that the report can't include yet, and by those
/// that ended since.
class ReplicaLoad {
public:
  explicit ReplicaLoad(const LoadSettings &Settings);

  void onReport(base::Millis Now, const ReplicaReport &Report);

  void onAttemptSent(base::Millis Now, const std::string &Attempt,
                     const AttemptSize &Size);
  void onFirstToken(const std::string &Attempt);
  void onAttemptEnded(base::Millis Now, const std::string &Attempt);

  /// \param Service what is known of all replicas together.
  [[nodiscard]] Prediction predict(base::Millis Now, const AttemptSize &Size,
                                   const ServiceLoad &Service) const;

  /// \returns how many requests run or wait there by the last report and own
  /// attempts since.
  [[nodiscard]] double estimatedSequences() const {
    return m_EstimatedSequences;
  }

  /// \returns the time until a request sent now has a place in the batch.
  [[nodiscard]] base::Millis predictWait(const ServiceLoad &Service) const;

  /// \returns own attempts that have not ended.
  [[nodiscard]] std::size_t ownAttempts() const { return m_OwnAttempts.size(); }

  [[nodiscard]] const ReplicaReport &lastReport() const { return m_Report; }
  [[nodiscard]] bool hasReport() const { return m_HasReport; }
  [[nodiscard]] base::Millis reportedAt() const { return m_ReportedAt; }

private:
  struct OwnAttempt {
    base::Millis m_SentAt{};
    AttemptSize m_Size;
    bool m_HasToken = false;
  };

  [[nodiscard]] base::Millis reportCoversUntil() const;
  [[nodiscard]] double weightedSequences(const ServiceLoad &Service) const;
  [[nodiscard]] double stepMicrosAt(double FillLevel) const;
  void updateSequences();

  LoadSettings m_Settings;
  ReplicaReport m_Report;
  bool m_HasReport = false;
  base::Millis m_ReportedAt{};
  double m_StepMicros;
  std::map<std::string, OwnAttempt> m_OwnAttempts;
  /// Prompt tokens of own attempts that have no token yet.
  double m_OwnPromptTokens = 0;
  double m_EstimatedSequences = 0;
  /// When own attempts ended that the last report still counts.
  std::multimap<base::Millis, base::Millis> m_EndedAttempts;
};

} // namespace corneldeck::routing

#endif

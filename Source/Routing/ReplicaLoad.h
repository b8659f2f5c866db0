#ifndef CORNELDECK_ROUTING_REPLICALOAD_H
#define CORNELDECK_ROUTING_REPLICALOAD_H

#include "Base/Millis.h"

#include <cstdint>
#include <map>
#include <string>

namespace corneldeck::routing {

/// An agent's load report for its backend server.
struct ReplicaReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
  /// Maximum number of concurrent requests; 0 if unknown.
  std::uint32_t m_Capacity = 0;
  /// Prompt and answer tokens still to be computed.
  std::uint64_t m_PendingTokens = 0;
  /// Duration of the last step; 0 if the backend server has no steps.
  std::uint32_t m_StepMicros = 0;
  /// The agent refuses new work.
  bool m_Draining = false;
  /// The backend server or its rank group cannot run requests.
  bool m_OutOfService = false;
};

/// The estimated size of an attempt.
struct AttemptSize {
  std::uint32_t m_PromptTokens = 0;
  /// Prompt tokens that are likely cached at the replica.
  std::uint32_t m_CachedTokens = 0;
  /// Expected tokens of the answer; 1 for a call that is not a generation.
  std::uint32_t m_OutputTokens = 1;
};

/// Predicted durations of an attempt, from the time it is sent.
struct Prediction {
  /// Time until it joins the batch.
  base::Millis m_Wait{};
  base::Millis m_FirstToken{};
  base::Millis m_Completion{};
  /// Total delay of the other sequences at the replica: computing the prompt
  /// and a larger batch make their steps longer.
  base::Millis m_CostToOthers{};
};

/// Load over all replicas of a service, as estimated by an entry.
struct ServiceLoad {
  /// Moving average of the tokens per answer.
  double m_MeanOutputTokens = 100;
  /// Requests of all entries per request of this entry; at least 1.
  double m_RequestsPerOwnAttempt = 1;
  /// This entry's attempts in flight per replica; below 1 they are a poor
  /// estimate of the load.
  double m_OwnAttemptsPerReplica = 0;
};

/// Settings of the load prediction.
struct LoadSettings {
  /// Age of the engine's load values when their report arrives.
  base::Millis m_ReportLag{250};
  /// Prompt tokens that an engine computes in one step.
  std::uint32_t m_PrefillTokensPerStep = 512;
  /// Step time assumed before the first report.
  std::int64_t m_DefaultStepMicros = 6'000;
  /// Weight of a new report in the moving average of the step time.
  double m_StepAverageWeight = 0.1;
  /// Weight of this entry's attempts, scaled to all entries, against the
  /// reports. The entry's own count is current; reports cover all entries.
  double m_OwnAttemptsWeight = 0.5;
  /// Fraction of the step time that does not depend on the batch size.
  double m_FixedStepShare = 0.7;
};

/// Estimates the load of one replica at one entry: the last report, corrected
/// by the entry's own attempts that started or ended after the state that the
/// report describes.
class ReplicaLoad {
public:
  explicit ReplicaLoad(const LoadSettings &Settings);

  /// Applies a load report.
  void onReport(base::Millis Now, const ReplicaReport &Report);

  /// Records an attempt sent to this replica.
  void onAttemptSent(base::Millis Now, const std::string &Attempt,
                     const AttemptSize &Size);
  /// Records the first token of an attempt.
  void onFirstToken(const std::string &Attempt);
  /// Records the end of an attempt.
  void onAttemptEnded(base::Millis Now, const std::string &Attempt);

  /// Predicts the durations of an attempt sent at \p Now.
  /// \param Service load over all replicas.
  [[nodiscard]] Prediction predict(base::Millis Now, const AttemptSize &Size,
                                   const ServiceLoad &Service) const;

  /// \returns the estimated number of running and queued requests: the last
  /// report, corrected by this entry's attempts since.
  [[nodiscard]] double estimatedSequences() const {
    return m_EstimatedSequences;
  }

  /// \returns the predicted time until a request sent now joins the batch.
  [[nodiscard]] base::Millis predictWait(const ServiceLoad &Service) const;

  /// \returns the number of this entry's attempts in flight.
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
  /// Uncached prompt tokens of this entry's attempts without a first token.
  double m_OwnPromptTokens = 0;
  double m_EstimatedSequences = 0;
  /// End time and send time of ended attempts that the last report may still
  /// count.
  std::multimap<base::Millis, base::Millis> m_EndedAttempts;
};

} // namespace corneldeck::routing

#endif

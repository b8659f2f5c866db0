#include "Routing/ReplicaLoad.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::routing {
namespace {

constexpr double MicrosPerMilli = 1'000;

base::Millis toMillis(double Micros) {
  return base::Millis(
      static_cast<std::int64_t>(std::ceil(Micros / MicrosPerMilli)));
}

std::uint32_t uncachedTokens(const AttemptSize &Size) {
  return Size.m_PromptTokens -
         std::min(Size.m_PromptTokens, Size.m_CachedTokens);
}

} // namespace

ReplicaLoad::ReplicaLoad(const LoadSettings &Settings)
    : m_Settings(Settings),
      m_StepMicros(static_cast<double>(Settings.m_DefaultStepMicros)) {}

void ReplicaLoad::onReport(base::Millis Now, const ReplicaReport &Report) {
  const auto Step = static_cast<double>(Report.m_StepMicros);
  const double Weight = m_HasReport ? m_Settings.m_StepAverageWeight : 1.0;
  if (Report.m_StepMicros > 0)
    m_StepMicros += Weight * (Step - m_StepMicros);
  m_Report = Report;
  m_HasReport = true;
  m_ReportedAt = Now;
  m_EndedAttempts.erase(m_EndedAttempts.begin(),
                        m_EndedAttempts.upper_bound(reportCoversUntil()));
  updateSequences();
}

base::Millis ReplicaLoad::reportCoversUntil() const {
  return m_ReportedAt - m_Settings.m_ReportLag;
}

void ReplicaLoad::onAttemptSent(base::Millis Now, const std::string &Attempt,
                                const AttemptSize &Size) {
  const auto [Item, IsNew] =
      m_OwnAttempts.try_emplace(Attempt, OwnAttempt{Now, Size, false});
  if (!IsNew)
    return;
  m_OwnPromptTokens += uncachedTokens(Size);
  updateSequences();
}

void ReplicaLoad::onFirstToken(const std::string &Attempt) {
  const auto Found = m_OwnAttempts.find(Attempt);
  if (Found == m_OwnAttempts.end() || Found->second.m_HasToken)
    return;
  Found->second.m_HasToken = true;
  m_OwnPromptTokens -= uncachedTokens(Found->second.m_Size);
}

void ReplicaLoad::onAttemptEnded(base::Millis Now, const std::string &Attempt) {
  const auto Found = m_OwnAttempts.find(Attempt);
  if (Found == m_OwnAttempts.end())
    return;
  onFirstToken(Attempt);
  m_EndedAttempts.emplace(Now, Found->second.m_SentAt);
  m_OwnAttempts.erase(Found);
  updateSequences();
}

void ReplicaLoad::updateSequences() {
  double Count = m_Report.m_Running + m_Report.m_Queued;
  for (const auto &[Attempt, Item] : m_OwnAttempts)
    if (!m_HasReport || Item.m_SentAt >= reportCoversUntil())
      Count += 1;
  for (const auto &[EndedAt, SentAt] : m_EndedAttempts)
    if (m_HasReport && SentAt < reportCoversUntil())
      Count -= 1;
  m_EstimatedSequences = std::max(Count, 0.0);
}

double ReplicaLoad::weightedSequences(const ServiceLoad &Service) const {
  const double Scaled = static_cast<double>(m_OwnAttempts.size()) *
                        Service.m_RequestsPerOwnAttempt;
  const double Weight = m_Settings.m_OwnAttemptsWeight *
                        std::min(Service.m_OwnAttemptsPerReplica, 1.0);
  return Weight * Scaled + (1 - Weight) * m_EstimatedSequences;
}

/// \returns the step time in microseconds.
/// \param FillLevel used fraction of the batch, from 0 to 1.
double ReplicaLoad::stepMicrosAt(double FillLevel) const {
  const double Fixed = m_Settings.m_FixedStepShare;
  return m_StepMicros * (Fixed + (1 - Fixed) * FillLevel);
}

base::Millis ReplicaLoad::predictWait(const ServiceLoad &Service) const {
  const double Sequences = weightedSequences(Service);
  const double Capacity = std::max(m_Report.m_Capacity, 1U);
  if (!m_HasReport || Sequences < Capacity)
    return base::Millis(0);
  const double Rounds = (Sequences - Capacity + 1) / Capacity;
  return toMillis(Rounds * Service.m_MeanOutputTokens * stepMicrosAt(1));
}

Prediction ReplicaLoad::predict(base::Millis Now, const AttemptSize &Size,
                                const ServiceLoad &Service) const {
  const double Capacity = std::max(m_Report.m_Capacity, 1U);
  const double FillLevel = std::min(weightedSequences(Service) / Capacity, 1.0);
  const double Step = stepMicrosAt(FillLevel);
  const double PerToken = m_StepMicros / m_Settings.m_PrefillTokensPerStep;
  const double Prefill = uncachedTokens(Size) * PerToken;
  const double Decode = Size.m_OutputTokens * Step;
  const double Share = Decode * (1 - m_Settings.m_FixedStepShare) / Capacity;
  Prediction Result;
  Result.m_Wait = predictWait(Service);
  Result.m_FirstToken =
      Result.m_Wait + toMillis(Step + Prefill + m_OwnPromptTokens * PerToken);
  Result.m_Completion = Result.m_FirstToken + toMillis(Decode);
  Result.m_CostToOthers = toMillis(FillLevel * Capacity * (Prefill + Share));
  // Penalizes replicas whose last report is older.
  if (m_HasReport)
    Result.m_Completion += (Now - m_ReportedAt) / 2;
  return Result;
}

} // namespace corneldeck::routing

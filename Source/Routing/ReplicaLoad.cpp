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

std::uint32_t uncached(const AttemptSize &Size) {
  return Size.m_PromptTokens -
         std::min(Size.m_PromptTokens, Size.m_CachedTokens);
}

} // namespace

ReplicaLoad::ReplicaLoad(const LoadSettings &Settings)
    : m_Settings(Settings),
      m_StepMicros(static_cast<double>(Settings.m_DefaultStepMicros)) {}

void ReplicaLoad::report(base::Millis Now, const ReplicaReport &Report) {
  const auto Step = static_cast<double>(Report.m_StepMicros);
  const double Weight = m_HasReport ? m_Settings.m_StepWeight : 1.0;
  if (Report.m_StepMicros > 0)
    m_StepMicros += Weight * (Step - m_StepMicros);
  m_Report = Report;
  m_HasReport = true;
  m_ReportedAt = Now;
  m_Ended.erase(m_Ended.begin(), m_Ended.upper_bound(coveredUntil()));
}

base::Millis ReplicaLoad::coveredUntil() const {
  return m_ReportedAt - m_Settings.m_ReportLag;
}

void ReplicaLoad::started(base::Millis Now, const std::string &Attempt,
                          const AttemptSize &Size) {
  m_Own[Attempt] = {Now, Size, false};
}

void ReplicaLoad::firstToken(const std::string &Attempt) {
  const auto Found = m_Own.find(Attempt);
  if (Found != m_Own.end())
    Found->second.m_HasToken = true;
}

void ReplicaLoad::ended(base::Millis Now, const std::string &Attempt) {
  const auto Found = m_Own.find(Attempt);
  if (Found == m_Own.end())
    return;
  m_Ended.emplace(Now, Found->second.m_SentAt);
  m_Own.erase(Found);
}

double ReplicaLoad::sequences() const {
  double Count = m_Report.m_Running + m_Report.m_Queued;
  for (const auto &[Attempt, Item] : m_Own)
    if (!m_HasReport || Item.m_SentAt > coveredUntil())
      Count += 1;
  for (const auto &[EndedAt, SentAt] : m_Ended)
    if (m_HasReport && SentAt <= coveredUntil())
      Count -= 1;
  return std::max(Count, 0.0);
}

Prediction ReplicaLoad::predict(base::Millis Now, const AttemptSize &Size,
                                double MeanOutput) const {
  const double Sequences = sequences();
  const auto Capacity = static_cast<double>(m_Report.m_Capacity);
  double WaitMicros = 0;
  if (Capacity > 0 && Sequences >= Capacity)
    WaitMicros =
        (Sequences - Capacity + 1) / Capacity * MeanOutput * m_StepMicros;
  double Prompt = uncached(Size);
  const double OwnPrompt = Prompt;
  for (const auto &[Attempt, Item] : m_Own)
    if (!Item.m_HasToken)
      Prompt += uncached(Item.m_Size);
  const double PerToken = m_StepMicros / m_Settings.m_PrefillTokensPerStep;
  const double First = WaitMicros + m_StepMicros + Prompt * PerToken;
  Prediction Result;
  Result.m_Wait = toMillis(WaitMicros);
  Result.m_Prefill = toMillis(OwnPrompt * PerToken);
  Result.m_FirstToken = toMillis(First);
  Result.m_Completion = toMillis(First + Size.m_OutputTokens * m_StepMicros);
  // A report that is older than usual says less and less.
  if (m_HasReport)
    Result.m_Completion += (Now - m_ReportedAt) / 2;
  return Result;
}

} // namespace corneldeck::routing

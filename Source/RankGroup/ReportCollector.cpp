#include "RankGroup/ReportCollector.h"

#include <algorithm>

namespace corneldeck::rankgroup {

void ReportCollector::beginRound(std::uint64_t Round, std::size_t Reporters) {
  m_Round = Round;
  m_Reporters = Reporters;
  m_Replied.clear();
}

void ReportCollector::add(const wire::GroupReport &Report, base::Millis Now) {
  bool RoundCompleted = false;
  for (const wire::RankReport &Each : Report.ranks()) {
    wire::RankReport &Kept = m_Reports[Each.rank()];
    // The experts are sent only once, so a later report must not remove them.
    if (Each.held_size() == 0 && Kept.held_size() > 0 &&
        Each.map_version() == Kept.map_version() &&
        Each.epoch() == Kept.epoch()) {
      const auto Held = Kept.held();
      Kept = Each;
      *Kept.mutable_held() = Held;
    } else {
      Kept = Each;
    }
    if (Each.round() == m_Round && m_Replied.insert(Each.rank()).second)
      RoundCompleted = m_Replied.size() == m_Reporters;
  }
  const auto Size = static_cast<std::size_t>(Report.chosen_size());
  if (Size > 0) {
    if (m_Chosen.size() != Size)
      m_Chosen.assign(Size, 0);
    std::transform(m_Chosen.begin(), m_Chosen.end(), Report.chosen().begin(),
                   m_Chosen.begin(), std::plus<>());
  }
  m_Urgent = m_Urgent || Report.urgent();
  base::Millis DueAt =
      Now + (m_Urgent ? m_Settings.m_UrgentDelay : m_Settings.m_RoundTimeout);
  if (RoundCompleted || m_Reports.size() >= m_Reporters)
    DueAt = Now;
  m_DueAt = std::min(m_DueAt.value_or(DueAt), DueAt);
}

std::optional<wire::GroupReport> ReportCollector::takeDue(base::Millis Now) {
  if (!m_DueAt || *m_DueAt > Now)
    return std::nullopt;
  wire::GroupReport Message;
  for (auto &[Rank, Each] : m_Reports)
    Message.add_ranks()->Swap(&Each);
  Message.mutable_chosen()->Add(m_Chosen.begin(), m_Chosen.end());
  Message.set_urgent(m_Urgent);
  m_Reports.clear();
  m_Chosen.clear();
  m_Urgent = false;
  m_DueAt.reset();
  return Message;
}

} // namespace corneldeck::rankgroup

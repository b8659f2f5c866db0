#include "Feed/FeedFollower.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace corneldeck::feed {

FeedFollower::FeedFollower(boost::asio::io_context &Context,
                           const KeyedLogClient &Log, KeyedState &State,
                           FeedFollowerSettings Settings, Hooks Callbacks)
    : m_Log(Log), m_State(State), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Callbacks)), m_Timer(Context),
      m_DecisionTimer(Context) {}

void FeedFollower::setActive(bool Active) {
  if (m_Active == Active)
    return;
  m_Active = Active;
  if (Active && !m_CallPending)
    startNextCall();
}

base::Millis FeedFollower::staleness() const {
  if (!m_HasContacted)
    return base::Millis(std::numeric_limits<std::int32_t>::max());
  return m_Clock.now() - m_LastContactTime;
}

void FeedFollower::startNextCall() {
  m_CallStartTime = m_Clock.now();
  const bool MustDecide = isEraUndecided() && !isRewriteTime(m_CallStartTime);
  if (!m_Active && !MustDecide) {
    m_CallPending = false;
    if (isEraUndecided())
      scheduleDecision();
    return;
  }
  m_CallPending = true;
  if (MustDecide)
    m_NeedsSnapshot = true;
  if (m_NeedsSnapshot) {
    m_SnapshotRecords.clear();
    readSnapshotPage({});
  } else {
    readNext();
  }
}

void FeedFollower::scheduleDecision() {
  const base::Millis Wait =
      m_EraStartTime + m_Settings.m_RewriteTime - m_Clock.now();
  m_DecisionTimer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_DecisionTimer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code && !m_CallPending)
      startNextCall();
  });
}

bool FeedFollower::isEraUndecided() const {
  return m_Era && m_State.coverage().m_AllKeys.m_Era < *m_Era;
}

bool FeedFollower::isRewriteTime(base::Millis Now) const {
  return Now - m_EraStartTime < m_Settings.m_RewriteTime;
}

void FeedFollower::readSnapshotPage(const std::string &After) {
  m_Log.m_ReadSnapshot(
      m_Settings.m_Topic, After, [this] { recordProgress(); },
      [this, After](const base::Result<SnapshotPage> &Page) {
        if (Page)
          addSnapshotPage(*Page, After);
        else
          callFailed(Page.error());
      });
}

void FeedFollower::addSnapshotPage(const SnapshotPage &Page,
                                   const std::string &After) {
  const std::uint64_t Era = eraOf(Page.m_Era);
  if (After.empty())
    m_SnapshotEnd = {Era, Page.m_EndOffset};
  if (Era != m_SnapshotEnd.m_Era || Era < m_Era.value_or(0)) {
    callFailed({base::ResultCode::LogUnavailable,
                "the snapshot has pages of different or earlier eras",
                {}});
    return;
  }
  if (Page.m_MalformedRecords.m_Count > 0)
    m_Hooks.m_OnMalformed(Page.m_MalformedRecords);
  for (const KeyedRecord &Each : Page.m_Records)
    m_SnapshotRecords.emplace_back(Each).m_Era = Era;
  // A key that cannot be named exactly would return the same page again.
  if (Page.m_HasMore && Page.m_LastKey > After)
    readSnapshotPage(Page.m_LastKey);
  else
    applySnapshot();
}

void FeedFollower::applySnapshot() {
  const base::Millis Now = m_Clock.now();
  const std::uint64_t Era = m_SnapshotEnd.m_Era;
  const std::optional<std::uint64_t> EraBefore = std::exchange(m_Era, Era);
  const std::uint64_t OffsetBefore = m_NextOffset;
  if (EraBefore != Era) {
    m_EraStartTime = Now;
    m_NextOffset = 0;
  }
  m_NeedsSnapshot = false;
  m_NextOffset = std::max(m_NextOffset, m_SnapshotEnd.m_Offset);
  const bool MayBeRewritten = isEraUndecided() && isRewriteTime(Now);
  const bool Changed =
      m_State.applySnapshot(m_SnapshotRecords, m_SnapshotEnd,
                            MayBeRewritten ? KeyedState::MissingKeys::Keep
                                           : KeyedState::MissingKeys::Delete);
  m_SnapshotRecords.clear();
  const std::size_t KeptKeys = m_State.keysBefore(Era);
  callSucceeded();
  if (EraBefore && *EraBefore != Era)
    m_Hooks.m_OnNewEra({*EraBefore, Era, OffsetBefore, m_NextOffset, KeptKeys});
  if (Changed)
    m_Hooks.m_OnChanged();
  scheduleNextRead();
}

void FeedFollower::readNext() {
  m_Log.m_Read(
      m_Settings.m_Topic, m_NextOffset, m_Settings.m_PollTimeout,
      [this] { recordProgress(); },
      [this](base::Result<RecordBatch> Batch) {
        if (Batch) {
          applyBatch(std::move(*Batch));
          return;
        }
        if (Batch.error().m_Code != base::ResultCode::LogGap) {
          callFailed(Batch.error());
          return;
        }
        // The expired records may include deletions of keys.
        m_NeedsSnapshot = true;
        m_NextOffset = 0;
        startNextCall();
      });
}

void FeedFollower::applyBatch(RecordBatch Batch) {
  const std::uint64_t Era = eraOf(Batch.m_Era);
  if (Era != m_Era) {
    // The offset that was read belongs to another era.
    m_NeedsSnapshot = true;
    scheduleNextCall(m_Settings.m_InitialBackoff);
    return;
  }
  if (Batch.m_MalformedRecords.m_Count > 0)
    m_Hooks.m_OnMalformed(Batch.m_MalformedRecords);
  bool Changed = false;
  for (KeyedRecord &Each : Batch.m_Records) {
    Each.m_Era = Era;
    Changed = m_State.apply(Each) || Changed;
  }
  m_NextOffset = std::max(m_NextOffset, Batch.m_NextOffset);
  callSucceeded();
  if (Changed)
    m_Hooks.m_OnChanged();
  scheduleNextRead();
}

void FeedFollower::scheduleNextRead() {
  scheduleNextCall(m_Settings.m_PollTimeout > base::Millis(0)
                       ? base::Millis(0)
                       : m_Settings.m_PollInterval);
}

void FeedFollower::recordProgress() {
  if (m_Clock.now() - m_CallStartTime <= m_Settings.m_MaxReadTime)
    recordContact();
}

void FeedFollower::recordContact() {
  m_HasContacted = true;
  m_LastContactTime = m_Clock.now();
}

void FeedFollower::callSucceeded() {
  m_Backoff = base::Millis(0);
  recordContact();
  m_Hooks.m_OnContact(nullptr);
}

void FeedFollower::callFailed(const base::Error &Cause) {
  m_Hooks.m_OnContact(&Cause);
  m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_InitialBackoff,
                         m_Settings.m_MaxBackoff);
  scheduleNextCall(m_Backoff);
}

void FeedFollower::scheduleNextCall(base::Millis Delay) {
  m_Timer.expires_after(std::chrono::milliseconds(Delay.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      startNextCall();
  });
}

} // namespace corneldeck::feed

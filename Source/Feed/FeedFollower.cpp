#include "Feed/FeedFollower.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace corneldeck::feed {

FeedFollower::FeedFollower(boost::asio::io_context &Context,
                           const KeyedLogClient &Log, KeyedState &State,
                           FeedFollowerSettings Settings, Hooks Callbacks)
    : m_Log(Log), m_State(State), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Callbacks)), m_Timer(Context) {}

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
  if (!m_Active) {
    m_CallPending = false;
    return;
  }
  m_CallPending = true;
  if (m_NeedsSnapshot) {
    m_SnapshotRecords.clear();
    readSnapshotPage({});
  } else {
    readNext();
  }
}

void FeedFollower::readSnapshotPage(const std::string &After) {
  m_Log.m_ReadSnapshot(
      m_Settings.m_Topic, After,
      [this, IsFirstPage = After.empty()](base::Result<SnapshotPage> Page) {
        if (!Page) {
          callFailed(Page.error());
          return;
        }
        if (IsFirstPage)
          m_SnapshotEnd = Page->m_EndOffset;
        m_SnapshotRecords.insert(m_SnapshotRecords.end(),
                                 Page->m_Records.begin(),
                                 Page->m_Records.end());
        if (Page->m_HasMore && !Page->m_Records.empty()) {
          readSnapshotPage(Page->m_Records.back().m_Key);
          return;
        }
        m_NeedsSnapshot = false;
        m_NextOffset = std::max(m_NextOffset, m_SnapshotEnd);
        const bool Changed =
            m_State.applySnapshot(m_SnapshotRecords, m_SnapshotEnd);
        m_SnapshotRecords.clear();
        callSucceeded();
        if (Changed)
          m_Hooks.m_OnChanged();
        scheduleNextCall(m_Settings.m_PollTimeout > base::Millis(0)
                             ? base::Millis(0)
                             : m_Settings.m_PollInterval);
      });
}

void FeedFollower::readNext() {
  m_Log.m_Read(m_Settings.m_Topic, m_NextOffset, m_Settings.m_PollTimeout,
               [this](base::Result<RecordBatch> Batch) {
                 if (!Batch &&
                     Batch.error().m_Code == base::ResultCode::LogGap) {
                   // The expired records may include deletions of keys.
                   m_NeedsSnapshot = true;
                   m_NextOffset = 0;
                   startNextCall();
                   return;
                 }
                 if (!Batch) {
                   callFailed(Batch.error());
                   return;
                 }
                 bool Changed = false;
                 for (const KeyedRecord &Each : Batch->m_Records)
                   Changed = m_State.apply(Each) || Changed;
                 m_NextOffset = std::max(m_NextOffset, Batch->m_NextOffset);
                 callSucceeded();
                 if (Changed)
                   m_Hooks.m_OnChanged();
                 scheduleNextCall(m_Settings.m_PollTimeout > base::Millis(0)
                                      ? base::Millis(0)
                                      : m_Settings.m_PollInterval);
               });
}

void FeedFollower::callSucceeded() {
  m_Backoff = base::Millis(0);
  m_HasContacted = true;
  m_LastContactTime = m_Clock.now();
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

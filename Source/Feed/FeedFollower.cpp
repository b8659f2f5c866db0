#include "Feed/FeedFollower.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace corneldeck::feed {

FeedFollower::FeedFollower(boost::asio::io_context &Context, const LogPort &Log,
                           KeyedState &State, FollowerSettings Settings,
                           Hooks Callbacks)
    : m_Log(Log), m_State(State), m_Settings(std::move(Settings)),
      m_Hooks(std::move(Callbacks)), m_Timer(Context) {}

void FeedFollower::setActive(bool Active) {
  if (m_Active == Active)
    return;
  m_Active = Active;
  if (Active && !m_Busy)
    next();
}

base::Millis FeedFollower::sourceAge() const {
  if (!m_WasInContact)
    return base::Millis(std::numeric_limits<std::int32_t>::max());
  return m_Clock.now() - m_LastContact;
}

void FeedFollower::next() {
  if (!m_Active) {
    m_Busy = false;
    return;
  }
  m_Busy = true;
  if (m_NeedsListing) {
    m_Listed.clear();
    list({});
  } else {
    read();
  }
}

void FeedFollower::list(const std::string &After) {
  m_Log.m_Newest(
      m_Settings.m_Topic, After,
      [this, First = After.empty()](base::Result<NewestPage> Page) {
        if (!Page) {
          failed(Page.error());
          return;
        }
        if (First)
          m_ListedEnd = Page->m_EndOffset;
        m_Listed.insert(m_Listed.end(), Page->m_Records.begin(),
                        Page->m_Records.end());
        if (Page->m_HasMore && !Page->m_Records.empty()) {
          list(Page->m_Records.back().m_Key);
          return;
        }
        m_NeedsListing = false;
        m_NextOffset = std::max(m_NextOffset, m_ListedEnd);
        const bool Changed = m_State.applyListing(m_Listed, m_ListedEnd);
        m_Listed.clear();
        succeeded();
        if (Changed)
          m_Hooks.m_Changed();
        pause(m_Settings.m_Wait > base::Millis(0) ? base::Millis(0)
                                                  : m_Settings.m_Period);
      });
}

void FeedFollower::read() {
  m_Log.m_Read(m_Settings.m_Topic, m_NextOffset, m_Settings.m_Wait,
               [this](base::Result<RecordRun> Run) {
                 if (!Run && Run.error().m_Code == base::ResultCode::LogGap) {
                   // Expired records may have named keys for the last time.
                   m_NeedsListing = true;
                   m_NextOffset = 0;
                   next();
                   return;
                 }
                 if (!Run) {
                   failed(Run.error());
                   return;
                 }
                 bool Changed = false;
                 for (const KeyedRecord &Each : Run->m_Records)
                   Changed = m_State.apply(Each) || Changed;
                 m_NextOffset = std::max(m_NextOffset, Run->m_NextOffset);
                 succeeded();
                 if (Changed)
                   m_Hooks.m_Changed();
                 pause(m_Settings.m_Wait > base::Millis(0)
                           ? base::Millis(0)
                           : m_Settings.m_Period);
               });
}

void FeedFollower::succeeded() {
  m_Pause = base::Millis(0);
  m_WasInContact = true;
  m_LastContact = m_Clock.now();
  m_Hooks.m_Contact(nullptr);
}

void FeedFollower::failed(const base::Error &Why) {
  m_Hooks.m_Contact(&Why);
  m_Pause = std::clamp(m_Pause * 2, m_Settings.m_FirstPause,
                       m_Settings.m_LongestPause);
  pause(m_Pause);
}

void FeedFollower::pause(base::Millis For) {
  m_Timer.expires_after(std::chrono::milliseconds(For.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      next();
  });
}

} // namespace corneldeck::feed

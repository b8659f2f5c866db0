#include "Membership/LinkMonitor.h"

#include <algorithm>

namespace corneldeck::membership {

LinkMonitor::LinkMonitor(LinkSettings Settings, base::Millis Now)
    : m_Settings(Settings), m_LastTick(Now), m_NextOpen(Now),
      m_RetryDelay(Settings.m_FirstRetry) {}

void LinkMonitor::opened(base::Millis Now) {
  m_Phase = Phase::Up;
  m_LastHeard = Now;
  m_NextHeartbeat = Now;
  m_RetryDelay = m_Settings.m_FirstRetry;
}

void LinkMonitor::heard(base::Millis Now) { m_LastHeard = Now; }

void LinkMonitor::closed(base::Millis Now) {
  if (m_Phase != Phase::Down)
    fail(Now);
}

void LinkMonitor::fail(base::Millis Now) {
  m_Phase = Phase::Down;
  m_NextOpen = Now + m_RetryDelay;
  m_RetryDelay = std::min(m_RetryDelay * 2, m_Settings.m_LastRetry);
}

void LinkMonitor::tickUp(base::Millis Now, LinkActions &Actions) {
  if (Now >= m_LastHeard + m_Settings.m_SilentAfter) {
    Actions.m_Close = true;
    Actions.m_Silent = true;
    m_Phase = Phase::Down;
    m_NextOpen = Now;
    return;
  }
  if (Now < m_NextHeartbeat)
    return;
  m_NextHeartbeat = Now + m_Settings.m_HeartbeatEvery;
  Actions.m_SendHeartbeat = true;
  Actions.m_Sequence = ++m_Sequence;
}

LinkActions LinkMonitor::tick(base::Millis Now) {
  LinkActions Actions;
  // After a pause of this process the other end gets a chance to be heard.
  const base::Millis Half = m_Settings.m_SilentAfter / 2;
  if (Now >= m_LastTick + Half)
    m_LastHeard = std::max(m_LastHeard, Now - Half);
  m_LastTick = Now;
  if (m_Phase == Phase::Up)
    tickUp(Now, Actions);
  if (m_Phase == Phase::Connecting &&
      Now >= m_Since + m_Settings.m_ConnectTimeout) {
    Actions.m_Close = true;
    fail(Now);
  }
  if (m_Phase == Phase::Down && Now >= m_NextOpen) {
    m_Phase = Phase::Connecting;
    m_Since = Now;
    Actions.m_Open = true;
  }
  return Actions;
}

bool LinkMonitor::alive(base::Millis Now) const {
  return m_Phase == Phase::Up && Now < m_LastHeard + m_Settings.m_SilentAfter;
}

} // namespace corneldeck::membership

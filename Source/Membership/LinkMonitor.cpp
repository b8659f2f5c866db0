#include "Membership/LinkMonitor.h"

#include <algorithm>

namespace corneldeck::membership {

LinkMonitor::LinkMonitor(LinkSettings Settings, base::Millis Now)
    : m_Settings(Settings), m_LastTick(Now), m_NextConnect(Now),
      m_RetryDelay(Settings.m_MinRetryDelay) {}

void LinkMonitor::onOpened(base::Millis Now) {
  m_Phase = Phase::Up;
  m_LastMessageAt = Now;
  m_NextHeartbeat = Now;
  m_RetryDelay = m_Settings.m_MinRetryDelay;
}

void LinkMonitor::onMessage(base::Millis Now) { m_LastMessageAt = Now; }

void LinkMonitor::onClosed(base::Millis Now) {
  if (m_Phase != Phase::Down)
    scheduleRetry(Now);
}

void LinkMonitor::scheduleRetry(base::Millis Now) {
  m_Phase = Phase::Down;
  m_NextConnect = Now + m_RetryDelay;
  m_RetryDelay = std::min(m_RetryDelay * 2, m_Settings.m_MaxRetryDelay);
}

void LinkMonitor::tickUp(base::Millis Now, LinkActions &Actions) {
  if (Now >= m_LastMessageAt + m_Settings.m_SilenceTimeout) {
    Actions.m_Close = true;
    Actions.m_Silent = true;
    m_Phase = Phase::Down;
    m_NextConnect = Now;
    return;
  }
  if (Now < m_NextHeartbeat)
    return;
  m_NextHeartbeat = Now + m_Settings.m_HeartbeatInterval;
  Actions.m_SendHeartbeat = true;
  Actions.m_Sequence = ++m_Sequence;
}

LinkActions LinkMonitor::tick(base::Millis Now) {
  LinkActions Actions;
  // After a pause of this process, allow half the silence timeout for messages
  // that arrived meanwhile; otherwise a healthy connection would be closed.
  const base::Millis Half = m_Settings.m_SilenceTimeout / 2;
  if (Now >= m_LastTick + Half)
    m_LastMessageAt = std::max(m_LastMessageAt, Now - Half);
  m_LastTick = Now;
  if (m_Phase == Phase::Up)
    tickUp(Now, Actions);
  if (m_Phase == Phase::Connecting &&
      Now >= m_ConnectingSince + m_Settings.m_ConnectTimeout) {
    Actions.m_Close = true;
    scheduleRetry(Now);
  }
  if (m_Phase == Phase::Down && Now >= m_NextConnect) {
    m_Phase = Phase::Connecting;
    m_ConnectingSince = Now;
    Actions.m_Open = true;
  }
  return Actions;
}

bool LinkMonitor::alive(base::Millis Now) const {
  return m_Phase == Phase::Up &&
         Now < m_LastMessageAt + m_Settings.m_SilenceTimeout;
}

} // namespace corneldeck::membership

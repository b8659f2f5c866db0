#include "Log/EventLog.h"

#include <glog/logging.h>
#include <mutex>

namespace corneldeck::log {

namespace {

/// Range of the numbers of events that belong to individual requests.
constexpr int FirstRequestEvent = 1100;
constexpr int EndOfRequestEvents = 1300;

bool isRequestEvent(base::EventId Id) {
  const int Number = static_cast<int>(Id);
  return Number >= FirstRequestEvent && Number < EndOfRequestEvents;
}

bool isWarning(base::EventId Id) {
  switch (Id) {
  case base::EventId::SettingsRejected:
  case base::EventId::LinkSilent:
  case base::EventId::NodeLost:
  case base::EventId::BadFrame:
  case base::EventId::CatalogueTooOld:
  case base::EventId::LogUnavailable:
  case base::EventId::LogGap:
  case base::EventId::LeaseLost:
  case base::EventId::GroupOut:
    return true;
  default:
    return false;
  }
}

bool needsQuotes(const std::string &Value) {
  if (Value.empty())
    return true;
  for (const unsigned char Byte : Value)
    if (Byte <= ' ' || Byte == '"' || Byte == '=' || Byte == '\\')
      return true;
  return false;
}

void appendQuoted(std::string &Out, const std::string &Value) {
  Out += '"';
  for (const char Byte : Value) {
    if (Byte == '"' || Byte == '\\')
      Out += '\\';
    // Control characters become spaces, so that a value with a line break does
    // not look like a second event.
    Out += static_cast<unsigned char>(Byte) < ' ' ? ' ' : Byte;
  }
  Out += '"';
}

void appendField(std::string &Out, const std::string &Key,
                 const std::string &Value) {
  Out += ' ';
  Out += Key;
  Out += '=';
  if (needsQuotes(Value))
    appendQuoted(Out, Value);
  else
    Out += Value;
}

} // namespace

void startLog(const std::string &Program) {
  // glog stores the pointer to the name.
  static const std::string Name = Program;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Name.c_str());
}

void attachLog(base::Timeline &Events, LogOptions Options) {
  // glog reads the time zone before it locks its own mutex, and the thread
  // sanitizer does not see the C library's lock there. Without this mutex it
  // reports a data race.
  static std::mutex WriteMutex;
  Events.setSink([Options](const base::TimelineEvent &Event) {
    if (isRequestEvent(Event.m_Id) && !Options.m_IncludeRequests)
      return;
    const std::lock_guard Lock(WriteMutex);
    if (isWarning(Event.m_Id))
      LOG(WARNING) << formatEvent(Event);
    else
      LOG(INFO) << formatEvent(Event);
  });
}

std::string formatEvent(const base::TimelineEvent &Event) {
  std::string Out = "event=" + std::to_string(static_cast<int>(Event.m_Id));
  appendField(Out, "name", std::string(base::name(Event.m_Id)));
  appendField(Out, "node", Event.m_Node);
  for (const auto &[Key, Value] : Event.m_Fields)
    appendField(Out, Key, Value);
  return Out;
}

} // namespace corneldeck::log

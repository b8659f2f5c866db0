#include "Fakes/FakeBackend.h"

#include <algorithm>
#include <cstdlib>

namespace corneldeck::fakes {

std::string tokenText(std::uint64_t Generation, std::uint32_t Token) {
  return std::to_string(Generation) + "." + std::to_string(Token) + ";";
}

std::string streamText(std::uint64_t Generation) {
  std::string Text;
  for (std::uint32_t Token = 0; Token < FakeBackend::Tokens; ++Token)
    Text += tokenText(Generation, Token);
  return Text;
}

FakeBackend::FakeBackend(VirtualTime &Time, BackendHistory &History,
                         std::string Server)
    : m_Time(Time), m_History(History), m_Server(std::move(Server)) {}

std::uint64_t FakeBackend::connect(Hooks AgentHooks) {
  m_Hooks = std::move(AgentHooks);
  m_Active.clear();
  return ++m_Connection;
}

void FakeBackend::reset() {
  ++m_Connection;
  m_Hooks = {};
  m_Active.clear();
  m_StalledUntil = base::Millis(0);
}

void FakeBackend::stall(base::Millis Span) {
  m_StalledUntil = std::max(m_StalledUntil, m_Time.now() + Span);
}

void FakeBackend::run(std::uint64_t Connection, const BackendCall &Call) {
  const bool Heard = Connection == m_Connection;
  Active Begun;
  Begun.m_Call = Call;
  Begun.m_NextToken = Call.m_ResumeFrom;
  const bool Resumed = Call.m_ResumeFrom > 0;
  if (!Call.m_KvLocation.empty()) {
    const auto Found = m_History.m_Exports.find(Call.m_KvLocation);
    if (Found == m_History.m_Exports.end() ||
        Found->second.second != Call.m_ResumeFrom) {
      if (Heard)
        m_Hooks.m_End(Call.m_Run, false, "");
      return;
    }
  }
  // The prompt and the text so far decide how a stream goes on.
  Begun.m_Generation =
      Resumed ? std::strtoull(Call.m_ResumeText.c_str(), nullptr, 10)
              : ++m_History.m_Generations;
  m_History.m_Runs.push_back(
      {m_Time.now(), m_Server, Call, Begun.m_Generation, Resumed});
  if (!Heard)
    return;
  m_Active[Call.m_Run] = Begun;
  m_Hooks.m_Began(Call.m_Run);
  later(Call.m_Stream ? TokenTime : PlainTime, Call.m_Run);
}

void FakeBackend::later(base::Millis Delay, std::uint64_t Run) {
  m_Time.after(Delay, [this, Connection = m_Connection, Run] {
    advance(Connection, Run);
  });
}

void FakeBackend::advance(std::uint64_t Connection, std::uint64_t Run) {
  if (Connection != m_Connection)
    return;
  const auto Found = m_Active.find(Run);
  if (Found == m_Active.end())
    return;
  if (m_Time.now() < m_StalledUntil) {
    later(m_StalledUntil - m_Time.now(), Run);
    return;
  }
  Active &Now = Found->second;
  if (!Now.m_Call.m_Stream) {
    const std::string Body =
        std::to_string(Now.m_Generation) + ":" + Now.m_Call.m_Content;
    m_Active.erase(Found);
    m_Hooks.m_End(Run, true, Body);
    return;
  }
  if (Now.m_NextToken < Tokens) {
    const std::string Data = tokenText(Now.m_Generation, Now.m_NextToken++);
    later(TokenTime, Run);
    m_Hooks.m_Chunk(Run, 1, Data);
    return;
  }
  m_Active.erase(Found);
  m_Hooks.m_End(Run, true, "");
}

void FakeBackend::cancel(std::uint64_t Run) { m_Active.erase(Run); }

void FakeBackend::exportCache(std::uint64_t Run) {
  const auto Found = m_Active.find(Run);
  if (Found == m_Active.end())
    return;
  const std::string Location =
      m_Server + "/" + std::to_string(m_History.m_Exports.size());
  m_History.m_Exports[Location] = {Found->second.m_Generation,
                                   Found->second.m_NextToken};
  m_Active.erase(Found);
  m_Hooks.m_Exported(Run, Location);
}

} // namespace corneldeck::fakes

#include "Claims/FenceRounds.h"

namespace corneldeck::claims {

FenceRounds::FenceRounds(const HomeResolver &Home, ClaimSettings Settings,
                         std::uint64_t FirstAsk)
    : m_Home(Home), m_Settings(Settings), m_LastAsk(FirstAsk) {}

wire::ClaimFence FenceRounds::open(base::Millis Now, std::uint64_t Run,
                                   base::Millis Created, wire::ClaimFence Ask,
                                   const std::vector<std::string> &Servers) {
  Ask.set_ask(++m_LastAsk);
  Round &Opened = m_Rounds[m_LastAsk];
  Opened.m_Run = Run;
  Opened.m_Created = Created;
  Opened.m_Due = Now + m_Settings.m_FenceTimeout;
  Opened.m_Outstanding = {Servers.begin(), Servers.end()};
  return Ask;
}

std::optional<FenceResult>
FenceRounds::onReply(base::Millis Wall, const std::string &Server,
                     const wire::ClaimFenceReply &Reply) {
  const auto Found = m_Rounds.find(Reply.ask());
  if (Found == m_Rounds.end() || Found->second.m_Outstanding.erase(Server) == 0)
    return std::nullopt;
  Round &Open = Found->second;
  FenceResult Result;
  Result.m_Run = Open.m_Run;
  Result.m_Reply = Reply;
  if (Reply.refused()) {
    Result.m_Outcome = FenceOutcome::Refused;
  } else if (Reply.known()) {
    Result.m_Outcome = Reply.finished() ? FenceOutcome::Finished
                       : Reply.lost()   ? FenceOutcome::OutcomeUnknown
                                        : FenceOutcome::Running;
  } else {
    const base::Millis Since(Reply.remembers_since_ms());
    if (m_Home.mayPredate(Wall, Open.m_Created, Since))
      Open.m_Forgotten = true;
    if (!Open.m_Outstanding.empty())
      return std::nullopt;
    Result.m_Outcome =
        Open.m_Forgotten ? FenceOutcome::MayHaveRun : FenceOutcome::Clear;
  }
  m_Rounds.erase(Found);
  return Result;
}

std::vector<FenceResult> FenceRounds::expire(base::Millis Now) {
  std::vector<FenceResult> Results;
  for (auto Each = m_Rounds.begin(); Each != m_Rounds.end();) {
    if (Each->second.m_Due > Now) {
      ++Each;
      continue;
    }
    Results.push_back({Each->second.m_Run, FenceOutcome::Unavailable, {}});
    Each = m_Rounds.erase(Each);
  }
  return Results;
}

void FenceRounds::close(std::uint64_t Run) {
  std::erase_if(m_Rounds,
                [Run](const auto &Entry) { return Entry.second.m_Run == Run; });
}

std::optional<base::Millis> FenceRounds::nextTimer() const {
  std::optional<base::Millis> Next;
  for (const auto &[Ask, Open] : m_Rounds)
    if (!Next || Open.m_Due < *Next)
      Next = Open.m_Due;
  return Next;
}

} // namespace corneldeck::claims

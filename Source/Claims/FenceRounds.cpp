#include "Claims/FenceRounds.h"

namespace corneldeck::claims {

FenceRounds::FenceRounds(const HomeResolver &Resolver, ClaimSettings Settings,
                         std::uint64_t FirstNumber)
    : m_Resolver(Resolver), m_Settings(Settings), m_LastNumber(FirstNumber) {}

wire::ClaimFence FenceRounds::start(base::Millis Now, std::uint64_t Run,
                                    base::Millis Created,
                                    wire::ClaimFence Fence,
                                    const std::vector<std::string> &Servers) {
  Fence.set_ask(++m_LastNumber);
  Round &Started = m_Rounds[m_LastNumber];
  Started.m_Run = Run;
  Started.m_Created = Created;
  Started.m_Deadline = Now + m_Settings.m_FenceTimeout;
  Started.m_AwaitedServers = {Servers.begin(), Servers.end()};
  return Fence;
}

std::optional<FenceResult>
FenceRounds::onReply(base::Millis Wall, const std::string &Server,
                     const wire::ClaimFenceReply &Reply) {
  const auto Found = m_Rounds.find(Reply.ask());
  if (Found == m_Rounds.end() ||
      Found->second.m_AwaitedServers.erase(Server) == 0)
    return std::nullopt;
  Round &Current = Found->second;
  FenceResult Result;
  Result.m_Run = Current.m_Run;
  Result.m_Reply = Reply;
  if (Reply.refused()) {
    Result.m_Outcome = FenceOutcome::Refused;
  } else if (Reply.known()) {
    Result.m_Outcome = Reply.finished() ? FenceOutcome::Finished
                       : Reply.lost()   ? FenceOutcome::OutcomeUnknown
                                        : FenceOutcome::Running;
  } else {
    const base::Millis RecordsSince(Reply.remembers_since_ms());
    if (m_Resolver.mayPredate(Wall, Current.m_Created, RecordsSince))
      Current.m_MayHaveRun = true;
    if (!Current.m_AwaitedServers.empty())
      return std::nullopt;
    Result.m_Outcome =
        Current.m_MayHaveRun ? FenceOutcome::MayHaveRun : FenceOutcome::Clear;
  }
  m_Rounds.erase(Found);
  return Result;
}

std::vector<FenceResult> FenceRounds::expire(base::Millis Now) {
  std::vector<FenceResult> Results;
  for (auto Each = m_Rounds.begin(); Each != m_Rounds.end();) {
    if (Each->second.m_Deadline > Now) {
      ++Each;
      continue;
    }
    Results.push_back({Each->second.m_Run, FenceOutcome::Unavailable, {}});
    Each = m_Rounds.erase(Each);
  }
  return Results;
}

void FenceRounds::cancel(std::uint64_t Run) {
  std::erase_if(m_Rounds,
                [Run](const auto &Entry) { return Entry.second.m_Run == Run; });
}

std::optional<base::Millis> FenceRounds::nextTimer() const {
  std::optional<base::Millis> Next;
  for (const auto &[Fence, Current] : m_Rounds)
    if (!Next || Current.m_Deadline < *Next)
      Next = Current.m_Deadline;
  return Next;
}

} // namespace corneldeck::claims

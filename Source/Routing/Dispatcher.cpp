#include "Routing/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace corneldeck::routing {

Dispatcher::Dispatcher(const DispatcherSettings &Settings, std::string Zone,
                       std::uint64_t Seed)
    : m_Settings(Settings), m_Admission(Settings.m_Admission),
      m_Chooser(Settings.m_Chooser, std::move(Zone), Seed) {}

ChoiceQuery Dispatcher::makeQuery(const DispatchRequest &Request) {
  ChoiceQuery Query;
  Query.m_PromptTokens = Request.m_PromptTokens;
  Query.m_OutputTokens = Request.m_OutputTokens;
  Query.m_PrefixBlocks = Request.m_PrefixBlocks;
  Query.m_Excluded = Request.m_Excluded;
  return Query;
}

ChoiceQuery Dispatcher::makeQuery(base::Millis Now, Queued &Waiting) const {
  ChoiceQuery Query = makeQuery(Waiting.m_Request);
  if (!Waiting.m_PrefixLengthsAt ||
      Now - *Waiting.m_PrefixLengthsAt > m_Settings.m_CachedPrefixLifetime) {
    Waiting.m_PrefixLengths = m_Chooser.prefixes().cachedPrefixLengths(
        Now, Waiting.m_Request.m_PrefixBlocks);
    Waiting.m_PrefixLengthsAt = Now;
  }
  Query.m_CachedPrefixLengths = &Waiting.m_PrefixLengths;
  return Query;
}

admission::EnqueueResult Dispatcher::enqueue(base::Millis Now,
                                             DispatchRequest Request) {
  admission::QueuedRequest New;
  New.m_Request = Request.m_Id;
  New.m_Customer = Request.m_Customer;
  New.m_Class = Request.m_Class;
  const double OutputTokens = Request.m_OutputTokens > 0
                                  ? Request.m_OutputTokens
                                  : m_Chooser.meanOutputTokens();
  New.m_Work =
      OutputTokens + m_Settings.m_PromptTokenWork * Request.m_PromptTokens;
  New.m_Deadline = Request.m_Deadline;
  New.m_ExpectedRunTime = m_Chooser.predictRunTime(Now, makeQuery(Request));
  admission::EnqueueResult Outcome = m_Admission.enqueue(Now, std::move(New));
  for (const admission::Refusal &Each : Outcome.m_Displaced)
    m_Queued.erase(Each.m_Request);
  if (!Outcome.m_Refusal) {
    const std::string Id = Request.m_Id;
    m_Queued[Id].m_Request = std::move(Request);
  }
  return Outcome;
}

std::vector<Dispatch> Dispatcher::dispatchReady(base::Millis Now) {
  std::vector<Dispatch> Sent;
  if (m_Queued.empty() || !m_Chooser.anyHasCapacity(Now))
    return Sent;
  std::vector<std::string> Considered;
  for (const admission::QueuedRequest *Each :
       m_Admission.peek(m_Settings.m_LookaheadCount))
    Considered.push_back(Each->m_Request);
  for (const std::string &Request : Considered)
    trySend(Now, Request, Sent);
  // If all of these requests were sent, later ones may be ready too.
  if (!Considered.empty() && Sent.size() == Considered.size()) {
    std::vector<Dispatch> More = dispatchReady(Now);
    Sent.insert(Sent.end(), std::make_move_iterator(More.begin()),
                std::make_move_iterator(More.end()));
  }
  return Sent;
}

base::Millis Dispatcher::spilloverTime(base::Millis Now,
                                       const DispatchRequest &Request) const {
  const auto Left = static_cast<double>((Request.m_Deadline - Now).count());
  const auto Share = base::Millis(
      static_cast<std::int64_t>(Left * m_Settings.m_SpilloverDeadlineShare));
  return Now + std::min(m_Settings.m_SpilloverDelay, Share);
}

bool Dispatcher::trySend(base::Millis Now, const std::string &Request,
                         std::vector<Dispatch> &Sent) {
  Queued &Waiting = m_Queued.at(Request);
  const bool Spilled = Waiting.m_SpilloverAt && Now >= *Waiting.m_SpilloverAt;
  Choice Chosen = m_Chooser.choose(Now, makeQuery(Now, Waiting),
                                   Spilled ? WaitPolicy::AnyReplica
                                           : WaitPolicy::BestReplica);
  if (Chosen.m_Kind != ChoiceKind::Chosen) {
    if (!Waiting.m_SpilloverAt)
      Waiting.m_SpilloverAt = spilloverTime(Now, Waiting.m_Request);
    return false;
  }
  m_Admission.dequeue(Now, Request);
  m_Chooser.onAttemptSent(Now, Request, Chosen,
                          Waiting.m_Request.m_PrefixBlocks);
  Sent.push_back({Request, std::move(Chosen)});
  m_Queued.erase(Request);
  return true;
}

std::vector<admission::Refusal> Dispatcher::expire(base::Millis Now) {
  std::vector<admission::Refusal> Refused = m_Admission.expire(Now);
  for (const admission::Refusal &Each : Refused)
    m_Queued.erase(Each.m_Request);
  return Refused;
}

bool Dispatcher::cancel(base::Millis Now, const std::string &Request) {
  m_Queued.erase(Request);
  return m_Admission.cancel(Now, Request);
}

} // namespace corneldeck::routing

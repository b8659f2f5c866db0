#include "Bench/RequestOracle.h"

#include <cstdlib>
#include <set>

namespace corneldeck::bench {

using base::Millis;
using base::Ran;
using base::ResultCode;
using fakes::BackendRun;

namespace {

/// What a call's answer may be late by: one timer and the caller's own way.
constexpr Millis DeadlineSlack{5};

/// The name under which runs are counted: the key, or the call itself.
std::string subjectOf(const Call &Each) {
  return Each.m_Key.empty() ? Each.m_Id : "key " + Each.m_Key;
}

std::string subjectOf(const BackendRun &Run) {
  return Run.m_Call.m_Key.empty() ? Run.m_Call.m_Request
                                  : "key " + Run.m_Call.m_Key;
}

bool streamed(const Call &Each) {
  return Each.m_Kind == CallKind::IdempotentStream ||
         Each.m_Kind == CallKind::KeyedStream;
}

std::string textOf(const Call &Each) {
  return streamed(Each) ? Each.m_Text : Each.m_Outcome->m_Body;
}

std::string judgeRuns(RequestWorld &World) {
  std::map<std::string, int> Generations;
  for (const BackendRun &Run : World.history().m_Runs)
    Generations[subjectOf(Run)] += Run.m_Resumed ? 0 : 1;
  std::map<std::string, std::string> Answers;
  for (const Call &Each : World.calls()) {
    if (Each.m_Kind == CallKind::IdempotentStream)
      continue;
    const std::string Subject = subjectOf(Each);
    if (Generations[Subject] > 1)
      return Subject + " ran " + std::to_string(Generations[Subject]) +
             " times";
    if (!Each.m_Outcome || Each.m_Outcome->m_Code != ResultCode::Ok)
      continue;
    const auto First = Answers.try_emplace(Subject, textOf(Each)).first;
    if (First->second != textOf(Each))
      return Subject + " has two answers";
  }
  return {};
}

/// \returns whether "not run", told of \p Told, covers the calls of \p Run: its
/// own, and those that were answered before.
bool covers(RequestWorld &World, const Call &Told, const BackendRun &Run) {
  if (Run.m_Call.m_Request == Told.m_Id || Run.m_At < Told.m_SubmittedAt)
    return true;
  for (const Call &Each : World.calls())
    if (Each.m_Id == Run.m_Call.m_Request)
      return Each.m_Outcome && Each.m_AnsweredAt <= Told.m_AnsweredAt;
  return false;
}

std::string judgeNo(RequestWorld &World, const Call &Told) {
  if (Told.m_Outcome->m_Ran != Ran::No)
    return {};
  for (const BackendRun &Run : World.history().m_Runs)
    if (subjectOf(Run) == subjectOf(Told) &&
        Run.m_Call.m_Content == Told.m_Content && covers(World, Told, Run))
      return Told.m_Id + " was told not run, but ran at " + Run.m_Server;
  return {};
}

std::string judgeAnswer(RequestWorld &World, const Call &Told) {
  if (Told.m_Broken || Told.m_NextToken != Told.m_Outcome->m_Tokens)
    return Told.m_Id + " has a stream that names the wrong token";
  const std::uint64_t Generation =
      std::strtoull(textOf(Told).c_str(), nullptr, 10);
  const std::string Stream = fakes::streamText(Generation);
  if (streamed(Told) && Stream.rfind(Told.m_Text, 0) != 0)
    return Told.m_Id + " has a spliced stream: " + Told.m_Text;
  if (Told.m_Outcome->m_Code != ResultCode::Ok)
    return {};
  const std::string Whole =
      streamed(Told) ? Stream
                     : std::to_string(Generation) + ":" + Told.m_Content;
  if (textOf(Told) != Whole)
    return Told.m_Id + " got a part of an answer: " + textOf(Told);
  for (const BackendRun &Run : World.history().m_Runs)
    if (Run.m_Generation == Generation && !Run.m_Resumed)
      return Run.m_Call.m_Content == Told.m_Content
                 ? ""
                 : Told.m_Id + " got the answer of another request";
  return Told.m_Id + " got an answer that nobody gave";
}

std::string judgeOutcome(RequestWorld &World) {
  for (const Call &Each : World.calls()) {
    if (Each.m_Finishes > 1)
      return Each.m_Id + " was answered twice";
    if (!Each.m_Outcome) {
      if (!Each.m_EntryFailed)
        return Each.m_Id + " got no answer";
      continue;
    }
    if (!Each.m_EntryFailed &&
        Each.m_AnsweredAt > Each.m_Deadline + DeadlineSlack)
      return Each.m_Id + " was answered after its deadline";
    if (std::string Wrong = judgeNo(World, Each); !Wrong.empty())
      return Wrong;
    if (std::string Wrong = judgeAnswer(World, Each); !Wrong.empty())
      return Wrong;
  }
  return {};
}

} // namespace

std::string judge(RequestWorld &World, RequestPromise Promise) {
  return Promise == RequestPromise::AtMostOnce ? judgeRuns(World)
                                               : judgeOutcome(World);
}

} // namespace corneldeck::bench

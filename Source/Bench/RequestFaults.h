#ifndef CORNELDECK_BENCH_REQUESTFAULTS_H
#define CORNELDECK_BENCH_REQUESTFAULTS_H

#include "Bench/RequestWorld.h"

#include <span>
#include <string>
#include <string_view>

namespace corneldeck::bench {

/// What goes wrong on the way of a request.
enum class RequestFault {
  EngineStall,
  MessageLate,
  MessageDuplicate,
  MessageLost,
  AgentDeath,
  VmReplaced,
  EntryDeath,
  EntryPause,
  AgentPause,
  LinkSilent,
  LinkCut,
  HomeMoves,
  HomeMovesAndBack,
  HomeMovesEntryBehind,
  HomeMovesAgentBehind,
  HomeMovesFormerCut,
  LogOut,
  CallerRetries,
  AgentDrains,
  OutOfService
};

/// \returns all faults.
std::span<const RequestFault> requestFaults();

/// \returns all steps of a request's way.
std::span<const Step> requestSteps();

std::string_view name(RequestFault Fault);
std::string_view name(Step At);

/// Brings a fault about and ends it by itself.
///
/// \param About the call on whose way it strikes. \param Agent the agent that
/// the call goes to.
void inject(RequestWorld &World, RequestFault Fault, const Call &About,
            std::size_t Agent);

} // namespace corneldeck::bench

#endif

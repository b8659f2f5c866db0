#ifndef CORNELDECK_REQUEST_REQUESTTYPES_H
#define CORNELDECK_REQUEST_REQUESTTYPES_H

#include "Base/Error.h"
#include "Base/Millis.h"
#include "Base/ResultCode.h"
#include "Link.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace corneldeck::request {

/// An admitted request as received from its caller.
struct RequestSpec {
  std::string m_Id;
  std::string m_Service;
  std::string m_Customer;
  std::uint32_t m_Priority = 0;
  /// The caller's deadline on the entry's monotonic clock.
  base::Millis m_Deadline{};
  /// Whether the request may run more than once. Never set together with m_Key.
  bool m_Idempotent = false;
  /// The caller's Idempotency-Key; empty if none was given.
  std::string m_Key;
  /// Wall time of the key's first use; zero if unknown.
  base::Millis m_KeyCreated{};
  /// Log offset of the catalogue change that the choice of agents is based on.
  std::uint64_t m_CatalogueOffset = 0;
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  bool m_Stream = false;
  std::vector<std::uint64_t> m_PrefixBlocks;
};

/// The agent chosen for an attempt.
struct Target {
  std::string m_Agent;
  std::uint64_t m_Incarnation = 0;
  /// The agent's monotonic time, from AgentClock::estimate().
  base::Millis m_AgentTime{};
};

/// Callbacks of a RequestFlow.
struct FlowHooks {
  /// Chooses an agent that is not in \p Excluded; only the home of the key for
  /// a request with an idempotency key. Returns the refusal for the caller if
  /// there is none.
  std::function<base::Result<Target>(base::Millis Now,
                                     const std::vector<std::string> &Excluded)>
      m_ChooseAgent;
  /// Charges one retry or hedge to the budget; returns false if it is
  /// exhausted.
  std::function<bool()> m_TryConsumeRetry;
};

/// Timeouts and limits of one request.
struct FlowSettings {
  /// An attempt whose connection was lost is abandoned after this time.
  base::Millis m_ReattachTimeout{1500};
  /// A second attempt of an idempotent request is sent if no token arrived
  /// within this time; zero disables hedging.
  base::Millis m_HedgeDelay{};
  /// Retry delay of refusals without a more specific one.
  base::Millis m_DefaultRetryAfter{1000};
  std::uint32_t m_MaxAttempts = 4;
};

/// The final answer to the caller.
struct Outcome {
  base::ResultCode m_Code = base::ResultCode::Internal;
  base::Ran m_Ran = base::Ran::Unknown;
  base::Millis m_RetryAfter{};
  std::string m_Message;
  /// The backend server's status and content, if m_Code is Ok.
  std::uint32_t m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
  /// Number of tokens delivered, also of a broken stream.
  std::uint32_t m_Tokens = 0;
  /// Whether the answer is that of an earlier request with the same key.
  bool m_Duplicate = false;
  std::uint32_t m_Attempts = 0;
};

/// Sends a frame over the current connection to an agent; dropped if there is
/// none.
struct SendFrame {
  std::string m_Agent;
  wire::LinkFrame m_Frame;
};

/// Sends part of a streamed answer to the caller.
struct DeliverChunk {
  std::uint32_t m_FirstToken = 0;
  std::uint32_t m_Tokens = 0;
  std::string m_Data;
};

/// Ends the request; emitted once, as the last action.
struct Finish {
  Outcome m_Outcome;
};

using FlowAction = std::variant<SendFrame, DeliverChunk, Finish>;

} // namespace corneldeck::request

#endif

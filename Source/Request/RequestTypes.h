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

/// An admitted request as its caller gave it.
struct RequestSpec {
  std::string m_Id;
  std::string m_Service;
  std::string m_Customer;
  std::uint32_t m_Priority = 0;
  /// The caller's deadline on the entry's monotonic clock.
  base::Millis m_Deadline{};
  /// May be run again. Never set together with a key.
  bool m_Idempotent = false;
  /// The caller's Idempotency-Key; empty if none was given.
  std::string m_Key;
  /// Wall time of the key's first use; zero if not given.
  base::Millis m_KeyCreated{};
  /// Log offset of the catalogue entry's change by which agents are chosen.
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
  /// AgentClock::estimate() of the agent.
  base::Millis m_AgentTime{};
};

/// What a RequestFlow asks of its surroundings.
struct FlowHooks {
  /// Chooses an agent that is none of \p Excluded; for a request with a key
  /// only its home. Fails with the refusal for the caller.
  std::function<base::Result<Target>(base::Millis Now,
                                     const std::vector<std::string> &Excluded)>
      m_ChooseAgent;
  /// Takes one retry or hedge from the budget; false if it is spent.
  std::function<bool()> m_TryConsumeRetry;
};

/// Times of one request.
struct FlowSettings {
  /// An attempt on a lost connection is given up after this.
  base::Millis m_ReattachTimeout{1500};
  /// A second attempt of an idempotent request is sent if nothing came within
  /// this; zero for none.
  base::Millis m_HedgeDelay{};
  /// Told to callers where nothing better is known.
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
  /// Tokens delivered; where a broken stream ended.
  std::uint32_t m_Tokens = 0;
  /// The answer is that of an earlier call with the same key.
  bool m_Duplicate = false;
  std::uint32_t m_Attempts = 0;
};

/// Sends a frame to an agent over its connection in use; dropped if there is
/// none.
struct SendFrame {
  std::string m_Agent;
  wire::LinkFrame m_Frame;
};

/// Sends a part of a streamed answer to the caller.
struct DeliverChunk {
  std::uint32_t m_FirstToken = 0;
  std::uint32_t m_Tokens = 0;
  std::string m_Data;
};

/// Ends the request. Comes once, last.
struct Finish {
  Outcome m_Outcome;
};

using FlowAction = std::variant<SendFrame, DeliverChunk, Finish>;

} // namespace corneldeck::request

#endif

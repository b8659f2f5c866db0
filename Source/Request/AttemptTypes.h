#ifndef CORNELDECK_REQUEST_ATTEMPTTYPES_H
#define CORNELDECK_REQUEST_ATTEMPTTYPES_H

#include "Base/Millis.h"
#include "Base/ResultCode.h"
#include "Claims/ClaimSettings.h"
#include "Link.pb.h"
#include "Peer.pb.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace corneldeck::request {

/// Identifies a connection of one agent process; never reused.
using LinkId = std::uint64_t;

/// Identifies a run of one agent process; never reused.
using RunId = std::uint64_t;

/// Identity of an agent process.
struct AgentIdentity {
  /// Name of its backend server in the catalogue.
  std::string m_Server;
  std::uint64_t m_Incarnation = 0;
};

/// Timeouts and limits for the requests at one agent.
struct AttemptSettings {
  claims::ClaimSettings m_Claims;
  std::uint32_t m_MaxRunning = 256;
  /// A Start frame older than this on arrival is refused.
  base::Millis m_MaxStartDelay = base::seconds(10);
  /// Time for which attempts are kept; at least twice m_MaxStartDelay.
  base::Millis m_AttemptRetention = base::seconds(20);
  /// A run without a connection is cancelled after this time, unless it has an
  /// idempotency key.
  base::Millis m_DetachGracePeriod = base::seconds(5);
  /// A run with an idempotency key is cancelled after this time.
  base::Millis m_MaxKeyedRunTime = base::minutes(5);
  /// Bytes of a stream kept for replay over a new connection.
  std::size_t m_MaxBufferedStreamBytes = 4UL * 1024 * 1024;
  /// Retry delay of refusals without a more specific one.
  base::Millis m_DefaultRetryAfter{500};
};

/// Sends a request to the backend server.
struct StartBackendRun {
  RunId m_Run = 0;
  wire::Start m_Start;
  /// On the agent's monotonic clock.
  base::Millis m_Deadline{};
};

/// Cancels a run at the backend server; its later events are ignored.
struct CancelBackendRun {
  RunId m_Run = 0;
};

/// Makes the engine stop a stream and export its KV cache.
struct ExportBackendStream {
  RunId m_Run = 0;
};

/// Sends a frame over a connection.
struct SendOnLink {
  LinkId m_Link = 0;
  wire::LinkFrame m_Frame;
};

/// Sends a ClaimFence to another backend server's agent.
struct SendFence {
  std::string m_Server;
  wire::ClaimFence m_Fence;
};

using AttemptAction = std::variant<StartBackendRun, CancelBackendRun,
                                   ExportBackendStream, SendOnLink, SendFence>;
using AttemptActions = std::vector<AttemptAction>;

/// The end of a run at the backend server.
struct BackendEnd {
  base::ResultCode m_Code = base::ResultCode::Ok;
  /// No only if the backend server cannot have received the request.
  base::Ran m_Ran = base::Ran::Yes;
  std::uint32_t m_HttpStatus = 200;
  std::string m_ContentType;
  /// The response body, if it is not streamed.
  std::string m_Body;
  std::string m_Message;
};

/// Identifies an attempt of a request.
struct AttemptKey {
  std::string m_Request;
  std::uint32_t m_Attempt = 0;

  bool operator<(const AttemptKey &Other) const {
    if (m_Request != Other.m_Request)
      return m_Request < Other.m_Request;
    return m_Attempt < Other.m_Attempt;
  }
  bool operator==(const AttemptKey &Other) const {
    return m_Attempt == Other.m_Attempt && m_Request == Other.m_Request;
  }
};

/// Callbacks of an AttemptTable.
struct AttemptHooks {
  /// Returns the wall time, which is compared with the creation times of keys.
  std::function<base::Millis()> m_WallClock;
  /// Optional final check before a run starts; returns Ok or the code of the
  /// refusal.
  std::function<base::ResultCode(const wire::Start &Start)> m_CheckAdmission;
};

} // namespace corneldeck::request

#endif

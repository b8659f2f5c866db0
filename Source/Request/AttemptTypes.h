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

/// Numbers the connections of one agent process; never used twice.
using LinkId = std::uint64_t;

/// Numbers the runs of one agent process; never used twice.
using RunId = std::uint64_t;

/// Who an agent process is.
struct AgentIdentity {
  /// Name of its backend server in the catalogue.
  std::string m_Server;
  std::uint64_t m_Incarnation = 0;
};

/// Times and sizes of the requests in one agent.
struct AttemptSettings {
  claims::ClaimSettings m_Claims;
  std::uint32_t m_MaxRunning = 256;
  /// A Start that took longer on its way is refused.
  base::Millis m_MaxStartDelay = base::seconds(10);
  /// Attempts are remembered this long, at least twice m_MaxStartDelay.
  base::Millis m_AttemptRetention = base::seconds(20);
  /// Work without a connection is cancelled after this, but for keys.
  base::Millis m_DetachGracePeriod = base::seconds(5);
  /// The run of a key is cancelled after this.
  base::Millis m_MaxKeyedRunTime = base::minutes(5);
  /// A run keeps at most this much of its stream for a new connection.
  std::size_t m_MaxBufferedStreamBytes = 4UL * 1024 * 1024;
  /// Told with refusals for which nothing better is known.
  base::Millis m_DefaultRetryAfter{500};
};

/// Hands a request to the backend server.
struct StartBackendRun {
  RunId m_Run = 0;
  wire::Start m_Start;
  /// On the agent's monotonic clock.
  base::Millis m_Deadline{};
};

/// Stops a run at the backend server; its later events are ignored.
struct CancelBackendRun {
  RunId m_Run = 0;
};

/// Asks the engine to stop a stream and export its KV cache.
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
  /// No only if the backend server can't have got the request.
  base::Ran m_Ran = base::Ran::Yes;
  std::uint32_t m_HttpStatus = 200;
  std::string m_ContentType;
  /// The answer, if it is not streamed.
  std::string m_Body;
  std::string m_Message;
};

/// A request's attempt.
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

/// What lies outside of an AttemptTable.
struct AttemptHooks {
  /// Wall time, for the creation times of keys.
  std::function<base::Millis()> m_WallClock;
  /// A last check before work is begun: Ok, or the code of a refusal. Empty
  /// for none.
  std::function<base::ResultCode(const wire::Start &Start)> m_CheckAdmission;
};

} // namespace corneldeck::request

#endif

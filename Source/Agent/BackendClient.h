#ifndef CORNELDECK_AGENT_BACKENDCLIENT_H
#define CORNELDECK_AGENT_BACKENDCLIENT_H

#include "Agent/AgentSettings.h"
#include "Net/HttpClient.h"
#include "Request/AttemptTypes.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace corneldeck::agent {

/// Callbacks for the progress of a run at the backend server.
struct BackendHooks {
  std::function<void(request::RunId)> m_OnBegan;
  std::function<void(request::RunId, std::uint32_t Tokens,
                     const std::string &Data)>
      m_OnChunk;
  std::function<void(request::RunId, const request::BackendEnd &)> m_OnEnd;
  std::function<void(request::RunId, const std::string &Location)> m_OnExported;
};

/// Sends requests to the backend server over HTTP and passes on the responses.
///
/// Streams are passed on as whole server-sent events. An event with content
/// counts as one token; events without content are collected and passed on at
/// the end.
class BackendClient {
public:
  /// \param Http must outlive this object.
  BackendClient(net::HttpClient &Http, BackendKind Kind, std::string Address,
                BackendHooks Hooks);

  void run(base::Millis Now, const request::StartBackendRun &Action);

  /// Closes the connection, which cancels the run at an engine. Does nothing if
  /// the run has ended.
  void cancel(request::RunId Run);

  /// Stops a stream, so that it can be resumed at another replica from the text
  /// generated so far.
  void exportRun(request::RunId Run);

private:
  struct ActiveRun;

  void onHead(ActiveRun &Run, const net::HttpResponseHead &Head);
  void onData(ActiveRun &Run, std::string_view Piece);
  void onEvent(ActiveRun &Run, std::string_view Data);
  void onEnd(request::RunId Run, const base::Result<void> &Ended);
  void flush(ActiveRun &Run);
  static request::BackendEnd buildEnd(ActiveRun &Run,
                                      const base::Result<void> &Ended);
  static request::BackendEnd buildFailedEnd(const base::Error &Error,
                                            bool Began);

  net::HttpClient &m_Http;
  const BackendKind m_Kind;
  const std::string m_Address;
  const BackendHooks m_Hooks;
  std::map<request::RunId, std::shared_ptr<ActiveRun>> m_ActiveRuns;
};

/// Adds the fields that resume a stream to the JSON body of a completion
/// request.
///
/// \param Events the server-sent events that the caller has already received.
/// \param From the number of the first token to generate.
/// \returns the new body, or \p Body unchanged if it is not a JSON object.
std::string buildResumeBody(const std::string &Body, std::uint32_t From,
                            const std::string &Events);

} // namespace corneldeck::agent

#endif

#include "Agent/BackendClient.h"

#include "Net/ServerSentEventParser.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::agent {

using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int FirstServerError = 500;
constexpr std::size_t MaxBodyBytes = 64 * net::MiB;
/// A stream fails if the engine sends no data for this long.
constexpr base::Millis StreamReadTimeout = base::seconds(30);
constexpr std::string_view DoneMarker = "[DONE]";

std::string formatEvent(std::string_view Data) {
  std::string Event = "data: ";
  Event += Data;
  Event += "\n\n";
  return Event;
}

std::string deltaContent(std::string_view Data) {
  const json Event = json::parse(Data, nullptr, false);
  if (!Event.is_object() || !Event.contains("choices"))
    return "";
  const json &Choices = Event["choices"];
  if (!Choices.is_array() || Choices.empty() || !Choices[0].contains("delta"))
    return "";
  return Choices[0]["delta"].value("content", "");
}

} // namespace

std::string buildResumeBody(const std::string &Body, std::uint32_t From,
                            const std::string &Events) {
  json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return Body;
  std::string Text;
  net::ServerSentEventParser Parser(
      [&Text](std::string_view Data) { Text += deltaContent(Data); });
  Parser.feed(Events);
  Document["resume_from"] = From;
  Document["resume_text"] = Text;
  return Document.dump();
}

/// One run at the backend server.
struct BackendClient::ActiveRun {
  request::RunId m_Id = 0;
  bool m_Stream = false;
  net::HttpCallHandle m_Call;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  bool m_TooLarge = false;
  bool m_DoneReceived = false;
  std::unique_ptr<net::ServerSentEventParser> m_EventParser;
  /// Complete events that are received but not passed on yet.
  std::string m_PendingEvents;
  std::uint32_t m_PendingTokens = 0;
};

BackendClient::BackendClient(net::HttpClient &Http, BackendKind Kind,
                             std::string Address, BackendHooks Hooks)
    : m_Http(Http), m_Kind(Kind), m_Address(std::move(Address)),
      m_Hooks(std::move(Hooks)) {}

void BackendClient::run(base::Millis Now,
                        const request::StartBackendRun &Action) {
  const wire::Start &Start = Action.m_Start;
  auto Run = std::make_shared<ActiveRun>();
  Run->m_Id = Action.m_Run;
  Run->m_Stream = Start.stream();
  Run->m_EventParser = std::make_unique<net::ServerSentEventParser>(
      [this, Target = Run.get()](std::string_view Data) {
        onEvent(*Target, Data);
      });
  m_ActiveRuns[Action.m_Run] = Run;

  net::HttpCall Call;
  Call.m_Method = Start.method();
  Call.m_Address = m_Address;
  Call.m_Target = Start.path();
  Call.m_Body = Start.resume_from() == 0
                    ? Start.body()
                    : buildResumeBody(Start.body(), Start.resume_from(),
                                      Start.resume_text());
  Call.m_Timeout = std::max(Action.m_Deadline - Now, base::Millis(1));
  if (Run->m_Stream)
    Call.m_ReadTimeout = StreamReadTimeout;
  Call.m_Headers = {{"X-Request-Id", Start.request()},
                    {"X-Customer", Start.customer()}};
  if (!Start.content_type().empty())
    Call.m_Headers.push_back({"Content-Type", Start.content_type()});
  if (!Start.key().empty())
    Call.m_Headers.push_back({"Idempotency-Key", Start.key()});

  Run->m_Call = m_Http.request(
      std::move(Call),
      {[this, Run](const net::HttpResponseHead &Head) { onHead(*Run, Head); },
       [this, Run](std::string_view Piece) { onData(*Run, Piece); },
       [this, Id = Action.m_Run](const base::Result<void> &Ended) {
         onEnd(Id, Ended);
       }});
}

void BackendClient::cancel(request::RunId Run) {
  const auto Found = m_ActiveRuns.extract(Run);
  if (!Found.empty())
    Found.mapped()->m_Call.cancel();
}

void BackendClient::exportRun(request::RunId Run) {
  if (!m_ActiveRuns.contains(Run))
    return;
  cancel(Run);
  m_Hooks.m_OnExported(Run, "");
}

void BackendClient::onHead(ActiveRun &Run, const net::HttpResponseHead &Head) {
  Run.m_Status = Head.m_Status;
  const std::string_view Type = net::findHeader(Head.m_Headers, "Content-Type");
  if (net::isPrintable(Type))
    Run.m_ContentType = Type;
  // An error response is not a stream.
  Run.m_Stream = Run.m_Stream && Head.m_Status == HttpOk;
  m_Hooks.m_OnBegan(Run.m_Id);
}

void BackendClient::onData(ActiveRun &Run, std::string_view Piece) {
  if (Run.m_Stream) {
    if (!Run.m_EventParser->feed(Piece))
      Run.m_TooLarge = true;
    flush(Run);
    return;
  }
  if (Run.m_Body.size() + Piece.size() > MaxBodyBytes)
    Run.m_TooLarge = true;
  else
    Run.m_Body += Piece;
}

void BackendClient::onEvent(ActiveRun &Run, std::string_view Data) {
  if (Data == DoneMarker) {
    Run.m_DoneReceived = true;
    return;
  }
  if (Data.find("\"content\"") == std::string_view::npos) {
    Run.m_Body += formatEvent(Data);
    return;
  }
  Run.m_PendingEvents += formatEvent(Data);
  ++Run.m_PendingTokens;
}

void BackendClient::flush(ActiveRun &Run) {
  if (Run.m_PendingTokens == 0)
    return;
  const std::uint32_t Tokens = std::exchange(Run.m_PendingTokens, 0);
  const std::string Data = std::exchange(Run.m_PendingEvents, {});
  m_Hooks.m_OnChunk(Run.m_Id, Tokens, Data);
}

void BackendClient::onEnd(request::RunId Run, const base::Result<void> &Ended) {
  const auto Found = m_ActiveRuns.extract(Run);
  if (!Found.empty())
    m_Hooks.m_OnEnd(Run, buildEnd(*Found.mapped(), Ended));
}

request::BackendEnd BackendClient::buildEnd(ActiveRun &Run,
                                            const base::Result<void> &Ended) {
  if (!Ended)
    return buildFailedEnd(Ended.error(), Run.m_Status != 0);
  if (Run.m_TooLarge)
    return buildFailedEnd(
        {base::ResultCode::BackendFailed,
         "The backend server's response exceeds the size limit.",
         {}},
        true);
  if (Run.m_Stream && !Run.m_DoneReceived)
    return buildFailedEnd({base::ResultCode::BackendFailed,
                           "The backend server's stream ended without [DONE].",
                           {}},
                          true);
  request::BackendEnd End;
  End.m_HttpStatus = static_cast<std::uint32_t>(Run.m_Status);
  End.m_ContentType = Run.m_ContentType;
  End.m_Body = std::move(Run.m_Body);
  if (Run.m_Status >= FirstServerError) {
    End.m_Code = base::ResultCode::BackendFailed;
    End.m_Ran = base::Ran::Unknown;
    End.m_Message = "The backend server responded with HTTP status " +
                    std::to_string(Run.m_Status) + ".";
  }
  return End;
}

request::BackendEnd BackendClient::buildFailedEnd(const base::Error &Error,
                                                  bool Began) {
  request::BackendEnd End;
  End.m_Code = base::ResultCode::BackendFailed;
  const bool NotSent =
      !Began && Error.m_Code == base::ResultCode::ConnectionFailed;
  End.m_Ran = NotSent ? base::Ran::No : base::Ran::Unknown;
  End.m_Message = Error.m_Message;
  return End;
}

} // namespace corneldeck::agent

#include "Agent/BackendRunner.h"

#include "Net/EventStream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneldeck::agent {

using nlohmann::json;

namespace {

constexpr int HttpOk = 200;
constexpr int FirstServerError = 500;
constexpr std::size_t MaxBodyBytes = 64 * net::MiB;
/// An engine that sends nothing for this long counts as failed.
constexpr base::Millis StreamSilence = base::seconds(30);
constexpr std::string_view DoneMark = "[DONE]";

std::string eventText(std::string_view Data) {
  std::string Event = "data: ";
  Event += Data;
  Event += "\n\n";
  return Event;
}

std::string contentOf(std::string_view Data) {
  const json Event = json::parse(Data, nullptr, false);
  if (!Event.is_object() || !Event.contains("choices"))
    return "";
  const json &Choices = Event["choices"];
  if (!Choices.is_array() || Choices.empty() || !Choices[0].contains("delta"))
    return "";
  return Choices[0]["delta"].value("content", "");
}

} // namespace

std::string resumeBody(const std::string &Body, std::uint32_t From,
                       const std::string &Events) {
  json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return Body;
  std::string Text;
  net::EventStream Stream(
      [&Text](std::string_view Data) { Text += contentOf(Data); });
  Stream.feed(Events);
  Document["resume_from"] = From;
  Document["resume_text"] = Text;
  return Document.dump();
}

/// One request at the backend server.
struct BackendRunner::Running {
  request::RunId m_Id = 0;
  bool m_Stream = false;
  net::HttpCancel m_Cancel;
  int m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  bool m_TooLarge = false;
  bool m_Done = false;
  std::unique_ptr<net::EventStream> m_Events;
  /// Whole events that were taken from the connection and not passed on yet.
  std::string m_Ready;
  std::uint32_t m_ReadyTokens = 0;
};

BackendRunner::BackendRunner(net::HttpClient &Http, BackendKind Kind,
                             std::string Address, BackendHooks Hooks)
    : m_Http(Http), m_Kind(Kind), m_Address(std::move(Address)),
      m_Hooks(std::move(Hooks)) {}

void BackendRunner::run(base::Millis Now,
                        const request::StartBackendRun &Order) {
  const wire::Start &Start = Order.m_Start;
  auto Run = std::make_shared<Running>();
  Run->m_Id = Order.m_Run;
  Run->m_Stream = Start.stream();
  Run->m_Events = std::make_unique<net::EventStream>(
      [this, Of = Run.get()](std::string_view Data) { onEvent(*Of, Data); });
  m_Running[Order.m_Run] = Run;

  net::HttpCall Call;
  Call.m_Method = Start.method();
  Call.m_Address = m_Address;
  Call.m_Target = Start.path();
  Call.m_Body =
      Start.resume_from() == 0
          ? Start.body()
          : resumeBody(Start.body(), Start.resume_from(), Start.resume_text());
  Call.m_Timeout = std::max(Order.m_Deadline - Now, base::Millis(1));
  if (Run->m_Stream)
    Call.m_SilenceTimeout = StreamSilence;
  Call.m_Headers = {{"X-Request-Id", Start.request()},
                    {"X-Customer", Start.customer()}};
  if (!Start.content_type().empty())
    Call.m_Headers.push_back({"Content-Type", Start.content_type()});
  if (!Start.key().empty())
    Call.m_Headers.push_back({"Idempotency-Key", Start.key()});

  Run->m_Cancel = m_Http.request(
      std::move(Call),
      {[this, Run](const net::HttpAnswerHead &Head) { onHead(*Run, Head); },
       [this, Run](std::string_view Piece) { onData(*Run, Piece); },
       [this, Id = Order.m_Run](const base::Result<void> &Ended) {
         onEnd(Id, Ended);
       }});
}

void BackendRunner::cancel(request::RunId Run) {
  const auto Found = m_Running.extract(Run);
  if (!Found.empty())
    Found.mapped()->m_Cancel.cancel();
}

void BackendRunner::exportRun(request::RunId Run) {
  if (!m_Running.contains(Run))
    return;
  cancel(Run);
  m_Hooks.m_Exported(Run, "");
}

void BackendRunner::onHead(Running &Of, const net::HttpAnswerHead &Head) {
  Of.m_Status = Head.m_Status;
  const std::string_view Type = net::findHeader(Head.m_Headers, "Content-Type");
  if (net::isPrintable(Type))
    Of.m_ContentType = Type;
  // An error is not streamed.
  Of.m_Stream = Of.m_Stream && Head.m_Status == HttpOk;
  m_Hooks.m_Began(Of.m_Id);
}

void BackendRunner::onData(Running &Of, std::string_view Piece) {
  if (Of.m_Stream) {
    if (!Of.m_Events->feed(Piece))
      Of.m_TooLarge = true;
    flush(Of);
    return;
  }
  if (Of.m_Body.size() + Piece.size() > MaxBodyBytes)
    Of.m_TooLarge = true;
  else
    Of.m_Body += Piece;
}

void BackendRunner::onEvent(Running &Of, std::string_view Data) {
  if (Data == DoneMark) {
    Of.m_Done = true;
    return;
  }
  if (Data.find("\"content\"") == std::string_view::npos) {
    Of.m_Body += eventText(Data);
    return;
  }
  Of.m_Ready += eventText(Data);
  ++Of.m_ReadyTokens;
}

void BackendRunner::flush(Running &Of) {
  if (Of.m_ReadyTokens == 0)
    return;
  const std::uint32_t Tokens = std::exchange(Of.m_ReadyTokens, 0);
  const std::string Data = std::exchange(Of.m_Ready, {});
  m_Hooks.m_Chunk(Of.m_Id, Tokens, Data);
}

void BackendRunner::onEnd(request::RunId Run, const base::Result<void> &Ended) {
  const auto Found = m_Running.extract(Run);
  if (!Found.empty())
    m_Hooks.m_End(Run, endOf(*Found.mapped(), Ended));
}

request::BackendEnd BackendRunner::endOf(Running &Of,
                                         const base::Result<void> &Ended) {
  if (!Ended)
    return failedEnd(Ended.error(), Of.m_Status != 0);
  if (Of.m_TooLarge)
    return failedEnd({base::ResultCode::BackendFailed,
                      "The backend server's answer is over the size limit.",
                      {}},
                     true);
  if (Of.m_Stream && !Of.m_Done)
    return failedEnd({base::ResultCode::BackendFailed,
                      "The backend server's stream ended without its mark.",
                      {}},
                     true);
  request::BackendEnd End;
  End.m_HttpStatus = static_cast<std::uint32_t>(Of.m_Status);
  End.m_ContentType = Of.m_ContentType;
  End.m_Body = std::move(Of.m_Body);
  if (Of.m_Status >= FirstServerError) {
    End.m_Code = base::ResultCode::BackendFailed;
    End.m_Ran = base::Ran::Unknown;
    End.m_Message = "The backend server answered with HTTP status " +
                    std::to_string(Of.m_Status) + ".";
  }
  return End;
}

request::BackendEnd BackendRunner::failedEnd(const base::Error &Problem,
                                             bool Began) {
  request::BackendEnd End;
  End.m_Code = base::ResultCode::BackendFailed;
  const bool NeverSent =
      !Began && Problem.m_Code == base::ResultCode::ConnectionFailed;
  End.m_Ran = NeverSent ? base::Ran::No : base::Ran::Unknown;
  End.m_Message = Problem.m_Message;
  return End;
}

} // namespace corneldeck::agent

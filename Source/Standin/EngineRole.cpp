#include "Standin/EngineRole.h"

#include "Base/PromptBlocks.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::size_t MaxRuns = 200'000;
constexpr std::uint64_t LossSeed = 1;
constexpr int StatusOk = 200;

net::HttpResponse jsonBody(const json &Document) {
  return net::jsonResponse(dump(Document));
}

std::string textField(const json &Document, const char *Key) {
  const auto Found = Document.find(Key);
  return Found != Document.end() && Found->is_string()
             ? Found->get<std::string>()
             : "";
}

} // namespace

EngineRole::EngineRole(boost::asio::io_context &Context,
                       const fakes::EngineSettings &Settings)
    : m_Model(Settings, LossSeed), m_Orders(Context), m_StepTimer(Context),
      m_Role(Context,
             {[this](const ExchangePtr &Exchange) { handle(Exchange); },
              [this](FaultOrder &Order) {
                Order.take("stall", m_Stall);
                Order.take("straggler", m_Straggler);
                Order.take("break_streams", m_BreakStreams);
                m_Orders.readFaults(Order);
              },
              [this] { faultsChanged(); }}) {}

void EngineRole::handle(const ExchangePtr &Exchange) {
  const net::RequestTarget Of(Exchange->target());
  const std::string &Path = Of.path();
  if (Path == "/v1/chat/completions")
    complete(Exchange);
  else if (Path == "/cancel")
    cancel(Exchange);
  else if (Path == "/load")
    load(Exchange);
  else if (Path == "/cache-events")
    cacheEvents(Exchange, Of);
  else if (Path == "/kv/export")
    exportKv(Exchange);
  else if (Path == "/kv/import")
    importKv(Exchange);
  else if (Path == "/orders")
    m_Orders.handle(Exchange, m_Role.gate());
  else if (Path == "/runs")
    listRuns(Exchange);
  else
    Exchange->respondWithError(
        {base::ResultCode::UnknownService, "no such path", {}});
}

void EngineRole::complete(const ExchangePtr &Exchange) {
  const auto Asked = parseCompletion(Exchange->body());
  if (!Asked) {
    Exchange->respondWithError(Asked.error());
    return;
  }
  const std::string Id = requestId(*Exchange);
  if (m_Answers.contains(Id)) {
    Exchange->respondWithError({base::ResultCode::RunningElsewhere,
                                "a request with this X-Request-Id is running",
                                {}},
                               base::Ran::No);
    return;
  }
  if (!checkResume(Exchange, *Asked))
    return;
  fakes::EngineRequest Request;
  Request.m_Id = Id;
  Request.m_PromptTokens = base::promptTokens(Asked->m_Prompt);
  Request.m_PrefixBlocks = base::promptBlocks(Asked->m_Prompt);
  Request.m_OutputTokens = Asked->m_MaxTokens;
  Request.m_Priority = Asked->m_Priority;
  Request.m_ResumeFrom = Asked->m_ResumeFrom;
  m_Model.submit(m_Clock.now(), std::move(Request));
  begin(Exchange, Id, *Asked);
}

bool EngineRole::checkResume(const ExchangePtr &Exchange,
                             const Completion &Asked) const {
  if (Asked.m_ResumeText.empty())
    return true;
  const AnswerText Text(Asked.m_Model, Asked.m_Prompt);
  if (Text.tokensBefore(Asked.m_ResumeFrom) == Asked.m_ResumeText)
    return true;
  Exchange->respondWithError(
      {base::ResultCode::BadRequest,
       "resume_text is not the text of the tokens before "
       "resume_from",
       {}});
  return false;
}

std::string EngineRole::requestId(const net::HttpExchange &Exchange) {
  const std::string_view Given = Exchange.header("X-Request-Id");
  return Given.empty() ? "run-" + std::to_string(++m_NextId)
                       : std::string(Given);
}

void EngineRole::begin(const ExchangePtr &Exchange, const std::string &Id,
                       const Completion &Asked) {
  Answer New{Exchange,
             Asked,
             AnswerText(Asked.m_Model, Asked.m_Prompt),
             AnswerFormat(Id, Asked.m_Model),
             base::promptTokens(Asked.m_Prompt),
             "",
             0};
  Run Begun;
  Begun.m_Id = Id;
  Begun.m_Key = Exchange->header("Idempotency-Key");
  Begun.m_FirstToken = Asked.m_ResumeFrom;
  New.m_Run = addRun(Begun);
  if (Asked.m_Stream)
    Exchange->startStream(StatusOk, {{"Content-Type", "text/event-stream"},
                                     {"Cache-Control", "no-cache"}});
  Exchange->onClosed([this, Id] { cancelRun(Id); });
  m_Answers.emplace(Id, std::move(New));
  arm();
}

std::size_t EngineRole::addRun(const Run &New) {
  m_Runs.push_back(New);
  // Runs in progress are never among the oldest of so many.
  if (m_Runs.size() > MaxRuns) {
    m_Runs.pop_front();
    ++m_FirstRun;
  }
  return m_FirstRun + m_Runs.size() - 1;
}

void EngineRole::cancel(const ExchangePtr &Exchange) {
  const auto Document = parseObject(Exchange->body());
  const std::string Id = Document ? textField(*Document, "id") : "";
  const auto Found = m_Answers.find(Id);
  const bool Running = Found != m_Answers.end();
  if (Running) {
    const ExchangePtr Cancelled = Found->second.m_Exchange;
    cancelRun(Id);
    Cancelled->abort();
  }
  Exchange->respond(jsonBody({{"cancelled", Running}}));
}

bool EngineRole::cancelRun(const std::string &Id) {
  const auto Found = m_Answers.find(Id);
  if (Found == m_Answers.end())
    return false;
  run(Found->second).m_Cancelled = true;
  m_Model.cancel(m_Clock.now(), Id);
  // The exchange may be what keeps the caller of this function alive.
  const ExchangePtr Kept = Found->second.m_Exchange;
  m_Answers.erase(Found);
  arm();
  return true;
}

void EngineRole::load(const ExchangePtr &Exchange) const {
  const fakes::EngineLoad Load = m_Model.loadReport(m_Clock.now());
  Exchange->respond(jsonBody({{"running", Load.m_Running},
                              {"queued", Load.m_Queued},
                              {"capacity", Load.m_Capacity},
                              {"tokens_ahead", Load.m_TokensAhead},
                              {"step_us", Load.m_StepMicros}}));
}

void EngineRole::cacheEvents(const ExchangePtr &Exchange,
                             const net::RequestTarget &Of) const {
  const fakes::EngineCacheEvents Events =
      m_Model.cacheEvents(m_Clock.now(), Of.number("from", 0));
  const std::uint64_t Next =
      Events.m_FirstSequence + Events.m_Added.size() + Events.m_Evicted.size();
  Exchange->respond(jsonBody({{"first", Events.m_FirstSequence},
                              {"next", Next},
                              {"added", Events.m_Added},
                              {"evicted", Events.m_Evicted}}));
}

void EngineRole::exportKv(const ExchangePtr &Exchange) {
  const auto Document = parseObject(Exchange->body());
  const std::string Id = Document ? textField(*Document, "id") : "";
  const auto Found = m_Answers.find(Id);
  const auto State = m_Model.exportKv(m_Clock.now(), Id);
  if (Found == m_Answers.end() || !State) {
    Exchange->respondWithError(
        {base::ResultCode::BadRequest, "no sequence with this id runs", {}});
    return;
  }
  const Completion &Asked = Found->second.m_Asked;
  Exchange->respond(jsonBody({{"id", Id},
                              {"model", Asked.m_Model},
                              {"prompt", Asked.m_Prompt},
                              {"max_tokens", Asked.m_MaxTokens},
                              {"priority", Asked.m_Priority},
                              {"prefill_left", State->m_PrefillLeft},
                              {"next_token", State->m_NextToken}}));
}

void EngineRole::importKv(const ExchangePtr &Exchange) {
  try {
    const json State = json::parse(Exchange->body());
    Completion Asked;
    Asked.m_Model = State.at("model").get<std::string>();
    Asked.m_Prompt = State.at("prompt").get<std::string>();
    Asked.m_MaxTokens = State.at("max_tokens").get<std::uint32_t>();
    Asked.m_Priority = State.at("priority").get<std::uint32_t>();
    Asked.m_ResumeFrom = State.at("next_token").get<std::uint32_t>();
    Asked.m_Stream = true;
    fakes::KvExport Sequence;
    Sequence.m_Request.m_Id = State.at("id").get<std::string>();
    Sequence.m_Request.m_PromptTokens = base::promptTokens(Asked.m_Prompt);
    Sequence.m_Request.m_OutputTokens = Asked.m_MaxTokens;
    Sequence.m_Request.m_Priority = Asked.m_Priority;
    Sequence.m_PrefillLeft = State.at("prefill_left").get<std::uint32_t>();
    Sequence.m_NextToken = Asked.m_ResumeFrom;
    const std::string Id = Sequence.m_Request.m_Id;
    if (Asked.m_ResumeFrom >= Asked.m_MaxTokens || m_Answers.contains(Id)) {
      Exchange->respondWithError({base::ResultCode::BadRequest,
                                  "the sequence is at its end or runs here",
                                  {}});
      return;
    }
    m_Model.importKv(m_Clock.now(), std::move(Sequence));
    begin(Exchange, Id, Asked);
  } catch (const json::exception &Failure) {
    Exchange->respondWithError(
        {base::ResultCode::BadRequest,
         std::string("expected what /kv/export gave: ") + Failure.what(),
         {}});
  }
}

void EngineRole::listRuns(const ExchangePtr &Exchange) const {
  json Runs = json::array();
  for (const Run &Item : m_Runs)
    Runs.push_back({{"id", Item.m_Id},
                    {"key", Item.m_Key},
                    {"first_token", Item.m_FirstToken},
                    {"tokens", Item.m_Tokens},
                    {"finished", Item.m_Finished},
                    {"cancelled", Item.m_Cancelled}});
  Exchange->respond(jsonBody(
      {{"count", m_FirstRun + m_Runs.size()}, {"runs", std::move(Runs)}}));
}

void EngineRole::arm() {
  const auto Next = m_Model.nextStep();
  if (!Next) {
    m_StepTimer.cancel();
    return;
  }
  const base::Millis Wait = std::max(*Next - m_Clock.now(), base::Millis(0));
  m_StepTimer.expires_after(std::chrono::milliseconds(Wait.count()));
  m_StepTimer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      step();
  });
}

void EngineRole::step() {
  for (const fakes::EngineOutput &Output : m_Model.advance(m_Clock.now()))
    deliver(Output);
  arm();
}

void EngineRole::deliver(const fakes::EngineOutput &Output) {
  const auto Found = m_Answers.find(Output.m_Id);
  if (Found == m_Answers.end())
    return;
  Answer &Of = Found->second;
  ++run(Of).m_Tokens;
  const std::string Text = Of.m_Text.token(Output.m_Token);
  if (!Of.m_Asked.m_Stream) {
    Of.m_Whole += Text;
  } else if (m_BreakStreams > 0) {
    --m_BreakStreams;
    const ExchangePtr Broken = Of.m_Exchange;
    cancelRun(Output.m_Id);
    Broken->abort();
    return;
  } else if (!Of.m_Exchange->writeChunk(
                 Of.m_Format.tokenEvent(Output.m_Token, Text))) {
    return;
  }
  if (Output.m_Finished)
    finish(Output.m_Id, Of);
}

void EngineRole::finish(const std::string &Id, Answer &Of) {
  run(Of).m_Finished = true;
  if (Of.m_Asked.m_Stream) {
    Of.m_Exchange->writeChunk(Of.m_Format.endEvents());
    Of.m_Exchange->endStream();
  } else {
    m_Role.gate().answerChange(
        Of.m_Exchange,
        net::jsonResponse(Of.m_Format.wholeBody(Of.m_Whole, Of.m_PromptTokens,
                                                Of.m_Asked.m_MaxTokens)));
  }
  m_Answers.erase(Id);
}

void EngineRole::faultsChanged() {
  const base::Millis Now = m_Clock.now();
  m_Model.setStraggler(std::max(m_Straggler, 1.0));
  if (m_Stall)
    m_Model.stall(Now);
  else
    m_Model.resume(Now);
  arm();
}

} // namespace corneldeck::standin

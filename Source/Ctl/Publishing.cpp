#include "Ctl/Publishing.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace corneldeck::ctl {

using nlohmann::json;

namespace {

constexpr int Tries = 3;
constexpr base::Millis RetryPause{500};
constexpr base::Millis PollPause{100};

bool mayHaveRun(base::ResultCode Code) {
  return base::info(Code).m_Ran != base::Ran::No;
}

admin::PublishResponse describe(const base::Error &Failure) {
  const bool Unknown = mayHaveRun(Failure.m_Code);
  return {Unknown ? admin::PublishResult::Unknown
                  : admin::PublishResult::Rejected,
          Failure.m_Code, 0, Failure.m_Message};
}

/// Asks until the outcome is known, a few times. The same identifier makes
/// that safe: the log holds at most one accepted change with it.
admin::PublishResponse publishUntilKnown(OperatorClient &Client,
                                         const admin::PublishRequest &Request) {
  admin::PublishResponse Answer;
  for (int Try = 0; Try < Tries; ++Try) {
    if (Try > 0)
      Client.pause(RetryPause);
    const auto Body = Client.post(admin::PublishPath, admin::encode(Request));
    const auto Read =
        Body ? admin::decodePublishResponse(*Body)
             : base::Result<admin::PublishResponse>(describe(Body.error()));
    if (!Read) {
      Answer.m_Message = Read.error().m_Message;
      continue;
    }
    // Once a try may have landed, a later refusal says nothing of it.
    const bool Refused =
        Read->m_Result == admin::PublishResult::Rejected && Read->m_Offset == 0;
    if (Try > 0 && Refused)
      continue;
    Answer = *Read;
    if (Answer.m_Result != admin::PublishResult::Unknown)
      return Answer;
  }
  return Answer;
}

std::vector<std::string> laggards(const admin::Status &All,
                                  std::uint64_t Offset) {
  std::vector<std::string> Names;
  for (const admin::NodeStatus &Node : All.m_Nodes)
    if (Node.m_Offset < Offset)
      Names.push_back(Node.m_Node);
  return Names;
}

/// \returns the nodes that lag when all are in step or the time is up.
base::Result<std::vector<std::string>> waitUntilInForce(const Invocation &Run,
                                                        std::uint64_t Offset) {
  const base::Clock Clock = base::steadyClock();
  const base::Millis End =
      Clock.now() + base::Millis(Run.m_Options["wait-ms"].as<std::int64_t>());
  while (true) {
    const auto All = Run.m_Client.get(admin::StatusPath)
                         .and_then([](const std::string &Body) {
                           return admin::decodeStatus(Body);
                         });
    const bool Late = Clock.now() >= End;
    if (!All && Late)
      return tl::make_unexpected(All.error());
    if (All) {
      const std::vector<std::string> Names = laggards(*All, Offset);
      const bool Known = !All->m_Nodes.empty() && All->m_Offset >= Offset;
      if (Late || (Known && Names.empty()))
        return Names;
    }
    Run.m_Client.pause(PollPause);
  }
}

ExitCode exitCodeOf(const admin::PublishResponse &Answer) {
  switch (Answer.m_Result) {
  case admin::PublishResult::Accepted:
    return ExitCode::Ok;
  case admin::PublishResult::Unknown:
    return ExitCode::Unknown;
  case admin::PublishResult::Rejected:
    break;
  }
  switch (Answer.m_Code) {
  case base::ResultCode::ConnectionFailed:
    return ExitCode::Unreachable;
  case base::ResultCode::RejectedVersion:
  case base::ResultCode::RejectedOwner:
  case base::ResultCode::RejectedInvalid:
    return ExitCode::Rejected;
  default:
    return ExitCode::Failed;
  }
}

void print(const Invocation &Run, const admin::PublishRequest &Request,
           const admin::PublishResponse &Answer,
           const std::vector<std::string> &Lagging) {
  if (Run.isJson()) {
    json Document = json::parse(admin::encode(Answer));
    Document["change_id"] = Request.m_ChangeId;
    Document["lagging"] = Lagging;
    Run.m_Out << Document.dump(-1, ' ', false, json::error_handler_t::replace)
              << std::endl;
    return;
  }
  Run.m_Out << admin::name(Answer.m_Result) << " (" << base::name(Answer.m_Code)
            << ")";
  if (Answer.m_Offset > 0)
    Run.m_Out << " at offset " << Answer.m_Offset;
  Run.m_Out << ", change " << Request.m_ChangeId << '\n';
  if (!Answer.m_Message.empty())
    Run.m_Out << Answer.m_Message << '\n';
  if (Answer.m_Code != base::ResultCode::Ok)
    Run.m_Out << base::info(Answer.m_Code).m_CallerAction << '\n';
  for (const std::string &Name : Lagging)
    Run.m_Out << "not yet in force at " << Name << '\n';
  Run.m_Out.flush();
}

} // namespace

std::string newChangeId() {
  constexpr int Words = 4;
  constexpr std::string_view Digits = "0123456789abcdef";
  std::random_device Source;
  std::string Id;
  for (int Word = 0; Word < Words; ++Word) {
    std::uint32_t Value = Source();
    for (std::size_t Digit = 0; Digit < 2 * sizeof(Value); ++Digit) {
      Id += Digits[Value % Digits.size()];
      Value /= Digits.size();
    }
  }
  return Id;
}

ExitCode publishAndReport(Invocation &Run,
                          const admin::PublishRequest &Request) {
  const admin::PublishResponse Answer =
      publishUntilKnown(Run.m_Client, Request);
  std::vector<std::string> Lagging;
  ExitCode Code = exitCodeOf(Answer);
  if (Code == ExitCode::Ok && Run.m_Options.count("wait") > 0) {
    const auto Waited = waitUntilInForce(Run, Answer.m_Offset);
    if (!Waited)
      reportError(Run, Waited.error());
    else
      Lagging = *Waited;
    if (!Waited || !Lagging.empty())
      Code = ExitCode::NotInForceYet;
  }
  print(Run, Request, Answer, Lagging);
  return Code;
}

} // namespace corneldeck::ctl

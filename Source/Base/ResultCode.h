#ifndef CORNELDECK_BASE_RESULTCODE_H
#define CORNELDECK_BASE_RESULTCODE_H

#include <optional>
#include <span>
#include <string_view>

namespace corneldeck::base {

/// Whether a request ran at a backend server.
enum class Ran {
  No,     ///< No backend server received it, and none will.
  Yes,    ///< It ran to completion.
  Unknown ///< It may have run, or may still run.
};

/// The numbered outcome of a request or an operator's command.
///
/// The numbers are part of the public interface. docs/RESULT_CODES.md lists
/// them. A number is never reused for another outcome.
enum class ResultCode {
  Ok = 0,
  // Refused before any run: 100 to 199.
  BadRequest = 100,
  UnknownService = 101,
  Unauthorized = 102,
  TooLarge = 103,
  UnknownKey = 104,
  LimitExceeded = 110,
  Overloaded = 111,
  DeadlineTooShort = 112,
  RetryBudgetSpent = 113,
  RequestQuarantined = 114,
  NoReplica = 120,
  NotReady = 121,
  Stopping = 122,
  CatalogueTooOld = 123,
  NotStarted = 124,
  RouteUnusable = 125,
  ClaimHomeUnavailable = 130,
  ClaimWindow = 131,
  KeyReused = 132,
  KeyTooOld = 133,
  // The run started, or may have started: 200 to 299.
  DeadlineExceeded = 200,
  Cancelled = 201,
  BackendFailed = 202,
  StreamBroken = 203,
  OutcomeUnknown = 210,
  RunningElsewhere = 211,
  AnswerNotKept = 212,
  // Operators' commands: 300 to 399.
  RejectedVersion = 300,
  RejectedOwner = 301,
  RejectedInvalid = 302,
  PublishUnknown = 303,
  LogUnavailable = 304,
  LeaseNotHeld = 310,
  FencingRefused = 311,
  NotInForceYet = 312,
  // Faults of the program, its settings or its connections: 400 to 499.
  BadSettings = 400,
  BadMessage = 401,
  Timeout = 402,
  ConnectionFailed = 403,
  LogGap = 404,
  Internal = 499
};

/// The description of one result code.
struct ResultCodeInfo {
  ResultCode m_Code;
  std::string_view m_Name;
  int m_HttpStatus;
  Ran m_Ran;
  std::string_view m_Meaning;
  std::string_view m_CallerAction;
};

/// \returns the table of all result codes, in ascending order of their numbers.
std::span<const ResultCodeInfo> resultCodes();

/// \returns the description of \p Code; that of Internal if it has none.
const ResultCodeInfo &info(ResultCode Code);

/// \returns the code with the number \p Number, or none.
std::optional<ResultCode> resultCodeFromNumber(int Number);

/// \returns "yes", "no" or "unknown".
std::string_view name(Ran Value);

/// \returns the code's name, such as "limit-exceeded".
std::string_view name(ResultCode Code);

} // namespace corneldeck::base

#endif

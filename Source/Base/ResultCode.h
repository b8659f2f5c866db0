#ifndef CORNELDECK_BASE_RESULTCODE_H
#define CORNELDECK_BASE_RESULTCODE_H

#include <optional>
#include <span>
#include <string_view>

namespace corneldeck::base {

/// Whether a request ran at a backend server.
enum class Ran {
  No,     ///< No backend server got it, and none will.
  Yes,    ///< It ran to its end.
  Unknown ///< It may have run, or may still run.
};

/// The numbered outcome of a request or an operator's command.
///
/// The numbers are part of the interface: docs/RESULT_CODES.md lists them, and
/// a number is never given a second meaning.
enum class ResultCode {
  Ok = 0,
  // Refusals before any run: the 100s.
  BadRequest = 100,
  UnknownService = 101,
  Unauthorized = 102,
  TooLarge = 103,
  UnknownKey = 104,
  LimitExceeded = 110,
  Overloaded = 111,
  DeadlineTooShort = 112,
  RetryBudgetSpent = 113,
  NoReplica = 120,
  NotReady = 121,
  Stopping = 122,
  CatalogueTooOld = 123,
  NotStarted = 124,
  ClaimHomeUnavailable = 130,
  ClaimWindow = 131,
  KeyReused = 132,
  KeyTooOld = 133,
  // The run was begun, or may have been: the 200s.
  DeadlineExceeded = 200,
  Cancelled = 201,
  BackendFailed = 202,
  StreamBroken = 203,
  OutcomeUnknown = 210,
  RunningElsewhere = 211,
  AnswerNotKept = 212,
  // Operators' commands: the 300s.
  RejectedVersion = 300,
  RejectedOwner = 301,
  RejectedInvalid = 302,
  PublishUnknown = 303,
  LogUnavailable = 304,
  LeaseNotHeld = 310,
  FencingRefused = 311,
  NotInForceYet = 312,
  // Faults of the program or its settings: the 400s.
  BadSettings = 400,
  BadMessage = 401,
  Timeout = 402,
  ConnectionFailed = 403,
  LogGap = 404,
  Internal = 499
};

/// What the tables say of one result code.
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

/// \returns the row of the table for \p Code.
const ResultCodeInfo &info(ResultCode Code);

/// \returns the code with number \p Number, or none if there is no such code.
std::optional<ResultCode> resultCodeFromNumber(int Number);

/// \returns "yes", "no" or "unknown".
std::string_view name(Ran Value);

/// \returns the code's name, such as "limit-exceeded".
std::string_view name(ResultCode Code);

} // namespace corneldeck::base

#endif

#ifndef CORNELDECK_CTL_EXITCODE_H
#define CORNELDECK_CTL_EXITCODE_H

#include <span>
#include <string_view>

namespace corneldeck::ctl {

/// What the exit status of corneldeckctl says. docs/CLI.md lists them.
enum class ExitCode {
  Ok = 0,
  Rejected = 1,
  Usage = 2,
  Invalid = 3,
  Unreachable = 4,
  Unknown = 5,
  NotInForceYet = 6,
  Differs = 7,
  Failed = 8
};

struct ExitCodeInfo {
  ExitCode m_Code;
  std::string_view m_Name;
  std::string_view m_Meaning;
};

/// \returns the table of all exit codes, in ascending order.
std::span<const ExitCodeInfo> exitCodes();

} // namespace corneldeck::ctl

#endif
